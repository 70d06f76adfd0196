"""Two levels on sockets: `python -m rigs.planes --forwarders 30 --planners 3 --seconds 60 [--calm|--alone]`.

Real gateways and planners before stand-in boxes, under load. Planners are killed and started again, and
stopped for a while as if cut off, at random, all at once at times; boxes fall silent and drain, objects are
purged. Judged by the accounts of clients, boxes and change log. `--calm` leaves planners alone, `--alone`
runs none.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from rigs.checker import check
from rigs.load import Load
from rigs.scene import Scene
from rigs.stands import unused
from rigs.told import tell
from rigs.upgrade_probes import histogram


class Planners:
    """The planner processes of a scene."""

    def __init__(self, scene: Scene, count: int) -> None:
        self.scene = scene
        self.places = {f"p{number}": f"127.0.0.1:{unused()}" for number in range(count)}
        self.words = ",".join(f"{name}={place}" for name, place in self.places.items())
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.kills = self.stops = 0

    def start(self, name: str) -> None:
        # one a planner: another that was just started may still be reading its own
        config = self.scene.folder / f"{name}.json"
        config.write_text(json.dumps(self.scene.config(self.scene.gateways[0])))
        with (self.scene.folder / f"{name}.log").open("ab") as file:
            words = [
                "--config",
                str(config),
                "--name",
                name,
                "--planners",
                self.words,
                "--store",
                str(self.scene.folder / f"store-{name}"),
            ]
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "lilacloft", "plan", "serve", *words],
                stderr=file,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()
        self.kills += 1

    def stop(self, name: str, seconds: float) -> None:
        """As if cut off: it neither hears nor says anything for a while."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.processes[name].pid, signal.SIGSTOP)
            self.stops += 1
            time.sleep(seconds)
            os.kill(self.processes[name].pid, signal.SIGCONT)

    def asked(self, name: str, *words: str) -> list[str]:
        command = [sys.executable, "-m", "lilacloft", "plan", words[0], self.places[name], *words[1:]]
        told = subprocess.run(command, capture_output=True, text=True, timeout=20)
        return told.stdout.splitlines()

    def close(self) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
            process.kill()
            process.wait()


def run(
    forwarders: int,
    count: int,
    seconds: float,
    rate: float,
    seed: int,
    calm: bool = False,
    alone: bool = False,
    boxes: int = 6,
) -> dict[str, Any]:
    """One run."""
    with tempfile.TemporaryDirectory(prefix="planes") as name:
        scene = Scene(Path(name), seed, caches=boxes, gateways=forwarders)
        planners = Planners(scene, 0 if alone else count)
        chance = scene.chance("planners")
        over = threading.Event()
        try:
            for one in planners.places:
                planners.start(one)
            form = f'(plan (planners "{planners.words}"))'
            for gateway in scene.gateways:
                gateway.start(*(() if alone else gateway.settings(form)))
            load = Load(scene, rate, held=2)
            load.start()
            time.sleep(3.0)
            load.times.clear()
            before = dict(load.counts)

            def boxes_fail() -> None:
                """What planners are for: the same at the same times in every mode."""
                turns = scene.chance("boxes")
                while not over.wait(2.0 + 2.0 * turns.random()):
                    box = turns.choice(scene.caches)
                    kind = turns.choice(("silent", "drain", "purge"))
                    if kind == "purge":
                        scene.log.purge(f"{turns.randrange(40):016x}")
                    elif kind == "silent":
                        box.silent = True
                        over.wait(2.5)
                        box.silent = False
                    elif box.state == "active":
                        box.state = "leaving"
                        scene.log.tell(box)
                        over.wait(3.0)
                        box.state = "active"
                        scene.log.tell(box)

            threading.Thread(target=boxes_fail, daemon=True).start()
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                time.sleep(0.5 + chance.random())
                if calm or alone:
                    continue
                names = list(planners.places)
                if chance.random() >= 0.25:
                    names = [chance.choice(names)]
                if chance.random() < 0.3:
                    planners.stop(names[0], 1.0 + 2 * chance.random())
                    continue
                for one in names:
                    planners.kill(one)
                time.sleep(3.0 * chance.random())
                for one in names:
                    planners.start(one)
            over.set()
            shown: list[str] = []
            until = time.monotonic() + 10
            while planners.places and not shown and time.monotonic() < until:
                shown = planners.asked("p0", "show")[:2]  # it may have been started just now
            load.stop()
            entries = scene.account.sorted()
            breaches = [one for one in check(entries, scene.limits())]
            logs = [gateway.log.read_text() for gateway in scene.gateways]
            faults = sum(text.count("Traceback") for text in logs) + sum(
                path.read_text().count("Traceback") for path in scene.folder.glob("p*.log")
            )
            held = sum(text.count("holds") for text in logs)
            alone_again = sum(text.count("plan: none holds") for text in logs)
        finally:
            over.set()
            planners.close()
            scene.close()
    counts = {key: load.counts[key] - before[key] for key in before}
    return {
        "forwarders": forwarders,
        "planners": 0 if alone else count,
        "seconds": seconds,
        "rate": rate,
        "seed": seed,
        "kills": planners.kills,
        "stops": planners.stops,
        "counts": counts,
        "done": counts["done"] / max(1, counts["asked"]),
        "plans_taken": held,
        "alone_again": alone_again,
        "breaches": len(breaches),
        "first": [str(one) for one in breaches[:5]],
        "faults": faults,
        "latency_ms": histogram([took for _, took, _, word in load.times if word == "200"]),
        "shown": shown,
    }


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.planes", description=__doc__)
    parser.add_argument("--forwarders", type=int, default=30)
    parser.add_argument("--planners", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", action="store_true", help="planners are left alone")
    parser.add_argument("--alone", action="store_true", help="there are none")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    report = run(
        given.forwarders, given.planners, given.seconds, given.rate, given.seed, given.calm, given.alone
    )
    tell(report, given.json)
    return 0 if not (report["breaches"] or report["faults"]) else 1


if __name__ == "__main__":
    sys.exit(main())
