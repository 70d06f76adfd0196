"""What recording costs, or a store: `python -m rigs.recording --seconds 60 --rate 170 [--store] [--reads]`.

Two gateways of one world under the same load, side by side in one run: one writes records (or has a store),
the other does not. It prints the CPU time of each a req, the latency of each, and what was written; several
rounds, the two taking turns.
"""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from rigs.load import Load
from rigs.scene import Scene
from rigs.told import tell
from rigs.upgrade_probes import histogram

TICK = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has had."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory(pid: int) -> float:
    """Its resident memory in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


READS = (("clip", 1.0),)


def round_(
    folder: Path, seed: int, seconds: float, rate: float, first: int, store: bool = False, reads: bool = False
) -> dict[str, Any]:
    """One round; `first` says which of the two gateways records, or has a store."""
    forms = '(store (folder "store"))' if store else '(record (folder "RECORDS"))'
    scene = Scene(folder, seed, gateways=2)
    try:
        loads = []
        for place, gateway in enumerate(scene.gateways):
            gateway.start(*(gateway.settings(forms) if place == first else ()))
        for gateway in scene.gateways:
            load = Load(scene, rate, seed="same", **({"mix": READS} if reads else {}))
            load.links = {gateway.port: []}
            loads.append(load)
        for load in loads:
            load.start()
        time.sleep(3.0)
        for load in loads:
            load.times.clear()
        began = [cpu(gateway.process.pid) for gateway in scene.gateways]
        time.sleep(seconds)
        ended = [cpu(gateway.process.pid) for gateway in scene.gateways]
        used = [after - before for before, after in zip(began, ended, strict=True)]
        held = [memory(gateway.process.pid) for gateway in scene.gateways]
        for load in loads:
            load.stop()
        size = sum(path.stat().st_size for path in folder.rglob("*.jsonl"))
        out = {}
        for place, name in ((first, "on"), (1 - first, "off")):
            out[name] = {
                "cpu_part": used[place] / seconds,
                "memory_mb": held[place],
                "latency_ms": histogram([took for _, took, _, _ in loads[place].times]),
                "by_vhost_ms": {
                    vhost: histogram(
                        [
                            took
                            for _, took, name, word in loads[place].times
                            if name == vhost and word == "200"
                        ]
                    )
                    for vhost in sorted({one[2] for one in loads[place].times})
                },
            }
        return {**out, "bytes_a_second": size / (seconds + 3)}
    finally:
        scene.close()


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.recording", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=170.0, help="reqs a second a gateway")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--store", action="store_true", help="what a store costs")
    parser.add_argument("--reads", action="store_true", help="no req needs a durable word")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    rounds = []
    for number in range(given.rounds):
        with tempfile.TemporaryDirectory(prefix="recording") as folder:
            rounds.append(
                round_(
                    Path(folder),
                    given.seed + number,
                    given.seconds,
                    given.rate,
                    number % 2,
                    given.store,
                    given.reads,
                )
            )

    def median(name: str, of: str) -> float:
        return statistics.median(one[name][of] for one in rounds)

    more = median("on", "cpu_part") - median("off", "cpu_part")
    report = {
        "rounds": rounds,
        "cpu_on": median("on", "cpu_part"),
        "cpu_off": median("off", "cpu_part"),
        "more_of_a_core": more,
        "more_of_its_cpu": more / median("off", "cpu_part"),
    }
    tell(report, given.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
