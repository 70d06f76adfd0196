"""Gateways and planners on sockets:
`python -m rigs.planes --forwarders 30 --planners 3 --seconds 60 [--calm|--alone]`.

Runs real gateways and planners with stand-in backends, under load. At random times planners are killed and
restarted, or stopped for a while as if cut off, sometimes all at once; backends fall silent and drain, and
objects are purged. The checker judges the accounts of clients, backends and change log. With `--calm` the
planners are not disturbed, with `--alone` there are none.
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
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from rigs.checker import check
from rigs.load import Load
from rigs.scene import Scene
from rigs.stands import unused
from rigs.told import tell
from rigs.upgrade_probes import histogram

SETTLING_SECONDS = 3.0  # from the start of the load until counting begins
STOP_SHARE = 0.3  # share of the planner faults that stop a planner for a while; the others kill it
SINGLE_SHARE = 0.75  # share of the planner faults that affect one planner; the others affect all
ANSWER_SECONDS = 10.0  # time within which a newly started planner answers
FAULT_KINDS = ("silent", "drain", "purge")


class Planners:
    """The planner processes of a test fleet."""

    def __init__(self, scene: Scene, count: int) -> None:
        self.scene = scene
        self.addresses = {f"p{number}": f"127.0.0.1:{unused()}" for number in range(count)}
        self.setting = ",".join(f"{name}={address}" for name, address in self.addresses.items())
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.kills = self.stops = 0

    def start(self, name: str) -> None:
        """Start a planner."""
        # one file per planner, as another planner that was just started may still be reading its file
        config = self.scene.folder / f"{name}.json"
        config.write_text(json.dumps(self.scene.config(self.scene.gateways[0])))
        options = {
            "--config": str(config),
            "--name": name,
            "--planners": self.setting,
            "--store": str(self.scene.folder / f"store-{name}"),
        }
        arguments = [argument for option in options.items() for argument in option]
        with (self.scene.folder / f"{name}.log").open("ab") as file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "lilacloft", "plan", "serve", *arguments],
                stderr=file,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )

    def kill(self, name: str) -> None:
        """Kill a planner."""
        self.processes[name].kill()
        self.processes[name].wait()
        self.kills += 1

    def stop(self, name: str, seconds: float) -> None:
        """Suspend a planner with SIGSTOP for `seconds`; to the others it is unreachable."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.processes[name].pid, signal.SIGSTOP)
            self.stops += 1
            time.sleep(seconds)
            os.kill(self.processes[name].pid, signal.SIGCONT)

    def query(self, name: str, command: str, *arguments: str) -> list[str]:
        """Return the lines of a command of `lilacloft plan`."""
        words = [sys.executable, "-m", "lilacloft", "plan", command, self.addresses[name], *arguments]
        completed = subprocess.run(words, capture_output=True, text=True, timeout=20)
        return completed.stdout.splitlines()

    def close(self) -> None:
        """End all planners."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
            process.kill()
            process.wait()


@dataclass(frozen=True)
class Options:
    """The parameters of a run."""

    forwarders: int
    planners: int
    seconds: float
    rate: float  # requests per second
    seed: int
    calm: bool = False  # planners are not disturbed
    alone: bool = False  # there are no planners
    caches: int = 6


@dataclass
class Findings:
    """The results of a run."""

    shown: list[str]  # the first lines of `plan show`
    breaches: list[Any]
    faults: int  # exceptions in logs
    plans_taken: int
    alone_again: int


def run(options: Options) -> dict[str, Any]:
    """Run a fleet under load and faults; return the report."""
    with tempfile.TemporaryDirectory(prefix="planes") as name:
        scene = Scene(Path(name), options.seed, caches=options.caches, gateways=options.forwarders)
        planners = Planners(scene, 0 if options.alone else options.planners)
        random = scene.chance("planners")
        over = threading.Event()
        try:
            start(scene, planners, options)
            load = Load(scene, options.rate, held=2)
            load.start()
            time.sleep(SETTLING_SECONDS)
            load.times.clear()
            before = dict(load.counts)
            threading.Thread(target=disturb_caches, args=(scene, over), daemon=True).start()
            disturb_planners(planners, options, random)
            over.set()
            shown = first_lines(planners)
            load.stop()
            findings = examine(scene, shown)
        finally:
            over.set()
            planners.close()
            scene.close()
    counts = {key: load.counts[key] - before[key] for key in before}
    latencies = histogram([took for _, took, _, word in load.times if word == "200"])
    return report_of(options, planners, counts, findings, latencies)


def start(scene: Scene, planners: Planners, options: Options) -> None:
    """Start planners and gateways."""
    for name in planners.addresses:
        planners.start(name)
    setting = f'(plan (planners "{planners.setting}"))'
    for gateway in scene.gateways:
        gateway.start(*(() if options.alone else gateway.settings(setting)))


def disturb_caches(scene: Scene, over: threading.Event) -> None:
    """Disturb caches until the end, with the same faults at the same times in every mode."""
    random = scene.chance("boxes")
    while not over.wait(2.0 + 2.0 * random.random()):
        cache = random.choice(scene.caches)
        kind = random.choice(FAULT_KINDS)
        if kind == "purge":
            scene.log.purge(f"{random.randrange(40):016x}")
        elif kind == "silent":
            cache.silent = True
            over.wait(2.5)
            cache.silent = False
        elif cache.state == "active":
            cache.state = "leaving"
            scene.log.tell(cache)
            over.wait(3.0)
            cache.state = "active"
            scene.log.tell(cache)


def disturb_planners(planners: Planners, options: Options, random: Random) -> None:
    """Kill and stop planners until the end of the run, or only wait if they are not to be disturbed."""
    until = time.monotonic() + options.seconds
    while time.monotonic() < until:
        time.sleep(0.5 + random.random())
        if options.calm or options.alone:
            continue
        names = list(planners.addresses)
        if random.random() >= 1 - SINGLE_SHARE:
            names = [random.choice(names)]
        if random.random() < STOP_SHARE:
            planners.stop(names[0], 1.0 + 2 * random.random())
            continue
        for name in names:
            planners.kill(name)
        time.sleep(3.0 * random.random())
        for name in names:
            planners.start(name)


def first_lines(planners: Planners) -> list[str]:
    """Return the first lines of `plan show`, retrying as the planner may have just been started."""
    shown: list[str] = []
    until = time.monotonic() + ANSWER_SECONDS
    while planners.addresses and not shown and time.monotonic() < until:
        shown = planners.query("p0", "show")[:2]
    return shown


def examine(scene: Scene, shown: list[str]) -> Findings:
    """Check the accounts and the logs."""
    breaches = list(check(scene.account.sorted(), scene.limits()))
    logs = [gateway.log.read_text() for gateway in scene.gateways]
    planner_logs = [path.read_text() for path in scene.folder.glob("p*.log")]
    return Findings(
        shown=shown,
        breaches=breaches,
        faults=sum(text.count("Traceback") for text in [*logs, *planner_logs]),
        plans_taken=sum(text.count("holds") for text in logs),
        alone_again=sum(text.count("plan: none holds") for text in logs),
    )


def report_of(
    options: Options,
    planners: Planners,
    counts: dict[str, int],
    findings: Findings,
    latencies: Any,
) -> dict[str, Any]:
    """Return the report of a run."""
    return {
        "forwarders": options.forwarders,
        "planners": 0 if options.alone else options.planners,
        "seconds": options.seconds,
        "rate": options.rate,
        "seed": options.seed,
        "kills": planners.kills,
        "stops": planners.stops,
        "counts": counts,
        "done": counts["done"] / max(1, counts["asked"]),
        "plans_taken": findings.plans_taken,
        "alone_again": findings.alone_again,
        "breaches": len(findings.breaches),
        "first": [str(breach) for breach in findings.breaches[:5]],
        "faults": findings.faults,
        "latency_ms": latencies,
        "shown": findings.shown,
    }


def main(words: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m rigs.planes", description=__doc__)
    parser.add_argument("--forwarders", type=int, default=30)
    parser.add_argument("--planners", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", action="store_true", help="do not disturb planners")
    parser.add_argument("--alone", action="store_true", help="run no planners")
    parser.add_argument("--json", metavar="FILE")
    arguments = vars(parser.parse_args(words))
    path = arguments.pop("json")
    report = run(Options(**arguments))
    tell(report, path)
    return 0 if not (report["breaches"] or report["faults"]) else 1


if __name__ == "__main__":
    sys.exit(main())
