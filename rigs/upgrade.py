"""Runs successive upgrades under steady load: `python -m rigs.upgrade --times 100 --rate 200 --seed 1`.

Reads and writes of all idempotency classes go through one gateway while it is replaced repeatedly, by
processes that may fail on purpose. The report says what was lost or executed twice, by the event logs of
clients and stub backends; the latency of requests during upgrades and between them; how long connections
waited to be accepted; and the memory and descriptors of both processes. With `--kill` the serving process of
a supervised gateway is killed at random points instead.
"""

from __future__ import annotations

import argparse
import os
import shlex
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

from lilacloft.handover.messages import PhaseReport
from lilacloft.handover.request import request_upgrade
from rigs.checker import check
from rigs.crash import STEPS
from rigs.load import Load
from rigs.scene import Scene
from rigs.told import tell
from rigs.upgrade_kills import KillRun
from rigs.upgrade_probes import AcceptProbe, ResourceSampler, crash_command, histogram, show_progress

POLL_SECONDS = 0.02
WARM_UP_SECONDS = 2.0  # after a start, in which the hit share is measured
STEADY_SECONDS = 3.0  # before the first upgrade, in which it is measured for comparison
END_TIMEOUT = 10.0  # seconds until a gateway must have exited
SUCCEEDING_STEPS = ("fine", "old")  # steps of rigs.crash with which the handover succeeds


def cache_use(entries: list[dict[str, Any]], began: float, ended: float) -> dict[str, float]:
    """Return the hit share and the attempts per request of the reads that were sent between two times."""
    requests = {
        entry["ref"]
        for entry in entries
        if entry["what"] == "req" and entry["vhost"] == "clip" and began <= entry["at"] < ended
    }
    sent = sum(entry["what"] == "do" and entry["ref"] in requests for entry in entries)
    notes = [entry["note"] for entry in entries if entry["what"] == "end" and entry["ref"] in requests]
    return {
        "reqs": len(requests),
        "hit_share": notes.count("TCP_HIT") / max(1, len(notes)),
        "dispatches": sent / max(1, len(requests)),
    }


class UpgradeRun:
    """A run of successive upgrades of one gateway."""

    def __init__(self, args: argparse.Namespace, folder: Path) -> None:
        self.args = args
        self.scene = Scene(folder, args.seed)
        self.gateway = self.scene.gateways[0]
        self.random = self.scene.chance("upgrades")
        self.load = Load(self.scene, args.rate, held=args.held, objects=args.objects)
        self.pid = 0
        self.rows: list[dict[str, Any]] = []  # one for each upgrade

    def upgrade(self, step: str) -> dict[str, Any]:
        """Upgrade once, to a process that fails at `step` (`fine`: it does not fail)."""
        arguments = self.gateway.words
        command = shlex.join(arguments) if step == "fine" else crash_command(step, arguments[3:])
        phases: list[PhaseReport] = []
        sampler = ResourceSampler([self.pid])
        sampler.start()

        def on_phase(report: PhaseReport) -> None:
            phases.append(report)
            if report.pid and report.pid not in sampler.pids:
                sampler.pids.append(report.pid)

        began = time.time()
        result = request_upgrade(self.gateway.handover, command, self.args.mode, on_phase)
        ended = time.time()
        sampler.finish()
        if result.succeeded:
            self.pid = phases[-1].pid
            self.gateway.pids.append(self.pid)
        return {
            "step": step,
            "done": result.succeeded,
            "why": result.reason,
            "began": began,
            "ended": ended,
            "phases": [(report.phase, round(report.previous_phase_seconds, 5)) for report in phases],
            "memory_mb": sampler.memory_mb,
            "sockets": sampler.sockets,
        }

    def run(self) -> dict[str, Any]:
        """Run all upgrades, and a restart for comparison; returns the report."""
        self.gateway.start("--handover", self.gateway.handover)
        self.pid = self.gateway.process.pid
        self.load.start()
        time.sleep(STEADY_SECONDS)
        probe = AcceptProbe(self.gateway.port)
        probe.start()
        steady_began = time.time()
        time.sleep(STEADY_SECONDS)
        for number in range(self.args.times):
            step = self._choose_step(number)
            self.rows.append(self.upgrade(step))
            show_progress(f"{number + 1}/{self.args.times} {step:12}")
            time.sleep(self.args.gap or 0.15 + self.random.random() * 0.3)
        probe.finish()
        self.load.stop()
        restarted = self.restart()
        entries = self.scene.account.sorted()
        cache_uses = {
            "steady": self._steady_cache_use(entries, steady_began),
            "after_upgrades": self._cache_use_after_upgrades(entries),
            "after_sigterm": cache_use(entries, *restarted),
        }
        return self.report(entries, probe, cache_uses)

    def _choose_step(self, number: int) -> str:
        """Return the step at which the new process of an upgrade fails."""
        crash = self.args.crash
        if crash == "random":
            return "fine" if self.random.random() < 0.5 else self.random.choice(STEPS)
        return crash if crash != "none" and number % 2 else "fine"

    def restart(self) -> tuple[float, float]:
        """Replace the gateway without a handover, and send load again; returns the time of that load."""
        os.kill(self.pid, signal.SIGTERM)
        self._wait_for_end()
        self.gateway.start("--handover", self.gateway.handover)
        self.pid = self.gateway.process.pid
        load = Load(self.scene, self.args.rate, seed="again")
        began = time.time()
        load.start()
        time.sleep(WARM_UP_SECONDS)
        load.stop()
        return began, began + WARM_UP_SECONDS

    def _wait_for_end(self) -> None:
        deadline = time.monotonic() + END_TIMEOUT
        while time.monotonic() < deadline and Path(f"/proc/{self.pid}/status").exists():
            with suppress(ChildProcessError):
                if os.waitpid(self.pid, os.WNOHANG)[0]:
                    break
            if "zombie" in Path(f"/proc/{self.pid}/status").read_text():
                break
            time.sleep(POLL_SECONDS)

    def _steady_cache_use(self, entries: list[dict[str, Any]], began: float) -> dict[str, float]:
        """Return the cache use between upgrades; where they follow too closely, before the first."""
        if self.args.gap <= WARM_UP_SECONDS:
            return cache_use(entries, began, began + STEADY_SECONDS)
        return mean_values(
            [
                cache_use(entries, row["ended"] + WARM_UP_SECONDS, row["ended"] + self.args.gap)
                for row in self.rows
            ]
        )

    def _cache_use_after_upgrades(self, entries: list[dict[str, Any]]) -> dict[str, float]:
        return mean_values(
            [
                cache_use(entries, row["ended"], row["ended"] + WARM_UP_SECONDS)
                for row in self.rows
                if row["step"] == "fine" and row["done"]
            ]
        )

    def report(
        self, entries: list[dict[str, Any]], probe: AcceptProbe, cache_uses: dict[str, dict[str, float]]
    ) -> dict[str, Any]:
        """Return the report of all upgrades."""
        breaches = check(entries, self.scene.limits())
        return {
            "rig": "upgrade",
            "seed": self.args.seed,
            "rate": self.args.rate,
            "mode": self.args.mode,
            "crash": self.args.crash,
            **self._report_outcomes(),
            "counts": self.load.counts,
            "sent_again": self.load.again,
            "breaches": [str(breach) for breach in breaches],
            "lost": sum(breach.text.endswith(("unanswered", "never answered")) for breach in breaches),
            "doubled": sum(breach.rule == 2 for breach in breaches),
            "effects": sum(entry["what"] == "effect" for entry in entries),
            **self._report_durations(),
            "accept_ms": histogram([seconds for _, seconds in probe.waits]),
            "not_accepted": probe.refused,
            "warmth": cache_uses,
            "by_step": dict(sorted(Counter(row["step"] for row in self.rows).items())),
            "memory_mb": max((row["memory_mb"] for row in self.rows), default=0.0),
            "sockets": max((row["sockets"] for row in self.rows), default=0.0),
        }

    def _report_outcomes(self) -> dict[str, Any]:
        """Return how many upgrades succeeded, and which had an unexpected result."""
        fine = [row for row in self.rows if row["step"] == "fine"]
        failed = [row for row in self.rows if row["step"] != "fine"]
        return {
            "upgrades": len(self.rows),
            "fine": len(fine),
            "fine_done": sum(row["done"] for row in fine),
            "failed": len(failed),
            "fallbacks": sum(not row["done"] for row in failed),
            "unexpected": [row for row in self.rows if row["done"] != (row["step"] in SUCCEEDING_STEPS)],
        }

    def _report_durations(self) -> dict[str, Any]:
        """Return the latency during and between upgrades, and how long those took."""
        fine = [row for row in self.rows if row["step"] == "fine"]
        windows = [(row["began"], row["ended"]) for row in self.rows]

        def is_during(at: float, seconds: float) -> bool:
            return any(at < ended and at + seconds > began for began, ended in windows)

        during = [seconds for at, seconds, _, _ in self.load.times if is_during(at, seconds)]
        between = [seconds for at, seconds, _, _ in self.load.times if not is_during(at, seconds)]
        unserved = [
            sum(seconds for phase, seconds in row["phases"] if phase in ("committed", "letting_go"))
            for row in fine
        ]
        spans = [row["ended"] - row["began"] for row in fine]
        return {
            "latency_ms": {"during": histogram(during), "between": histogram(between)},
            "nothing_served_ms": histogram(unserved),
            "upgrade_s": {"median": statistics.median(spans), "max": max(spans)} if spans else {},
        }


def mean_values(rows: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each value over all rows; empty if there are none."""
    return {name: statistics.mean(row[name] for row in rows) for name in rows[0]} if rows else {}


def argument_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m rigs.upgrade", description=__doc__)
    parser.add_argument("--times", type=int, default=100)
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mode", choices=("whole", "drain"), default="whole")
    parser.add_argument("--crash", default="none", help=f"random, or one of {', '.join(STEPS)}")
    parser.add_argument("--gap", type=float, default=0.0, help="seconds between upgrades; default: random")
    parser.add_argument("--held", type=int, default=8, help="clients' persistent connections")
    parser.add_argument("--objects", type=int, default=300)
    parser.add_argument("--kill", action="store_true", help="kill a supervised worker instead")
    parser.add_argument("--store", action="store_true", help="give it a store; clients then retry bookings")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--account", metavar="FILE", help="write the event logs of all processes to FILE")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run as the command line says; return 0 if no check failed, else 1."""
    args = argument_parser().parse_args(argv)
    with tempfile.TemporaryDirectory(prefix="upgrade") as folder:
        run = (KillRun if args.kill else UpgradeRun)(args, Path(folder))
        try:
            report = run.run()
        finally:
            if args.account:
                run.scene.account.save(args.account)
            log = run.gateway.log.read_text() if run.gateway.log.exists() else ""
            run.scene.close()
    faults = [line for line in log.split("\n") if "Traceback" in line or "failed in" in line]
    report["faults"] = faults
    tell(report, args.json)
    is_good = not (report["breaches"] or faults or report.get("unexpected"))
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
