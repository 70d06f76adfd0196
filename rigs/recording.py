"""Measures the cost of recording or of a store:
`python -m rigs.recording --seconds 60 --rate 170 [--store] [--reads]`.

Two gateways of one fleet run side by side under the same load: one writes records (or has a store), the other
does not. The report has the CPU use, memory and latency of both, and the bytes written per second. The
gateways change roles from round to round.
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

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


READS = (("clip", 1.0),)


def measure_round(
    folder: Path, seed: int, seconds: float, rate: float, first: int, store: bool = False, reads: bool = False
) -> dict[str, Any]:
    """Measure one round; `first` is the number of the gateway that records, or has a store."""
    settings = '(store (folder "store"))' if store else '(record (folder "RECORDS"))'
    scene = Scene(folder, seed, gateways=2)
    try:
        loads = []
        for place, gateway in enumerate(scene.gateways):
            gateway.start(*(gateway.settings(settings) if place == first else ()))
        for gateway in scene.gateways:
            load = Load(scene, rate, seed="same", **({"mix": READS} if reads else {}))
            load.links = {gateway.port: []}
            loads.append(load)
        for load in loads:
            load.start()
        time.sleep(3.0)
        for load in loads:
            load.times.clear()
        began = [cpu_seconds(gateway.process.pid) for gateway in scene.gateways]
        time.sleep(seconds)
        ended = [cpu_seconds(gateway.process.pid) for gateway in scene.gateways]
        cpu_used = [after - before for before, after in zip(began, ended, strict=True)]
        resident_mb = [memory_mb(gateway.process.pid) for gateway in scene.gateways]
        for load in loads:
            load.stop()
        size = sum(path.stat().st_size for path in folder.rglob("*.jsonl"))
        report = {}
        for place, name in ((first, "on"), (1 - first, "off")):
            report[name] = {
                "cpu_part": cpu_used[place] / seconds,
                "memory_mb": resident_mb[place],
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
        return {**report, "bytes_a_second": size / (seconds + 3)}
    finally:
        scene.close()


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.recording", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=170.0, help="requests per second and gateway")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--store", action="store_true", help="measure a store instead of recording")
    parser.add_argument("--reads", action="store_true", help="only requests that need no durable write")
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    rounds = []
    for number in range(args.rounds):
        with tempfile.TemporaryDirectory(prefix="recording") as folder:
            rounds.append(
                measure_round(
                    Path(folder),
                    args.seed + number,
                    args.seconds,
                    args.rate,
                    number % 2,
                    args.store,
                    args.reads,
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
    tell(report, args.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
