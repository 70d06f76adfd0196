"""Kills workers of a supervised gateway at random points: `python -m rigs.upgrade --kill`."""

from __future__ import annotations

import argparse
import os
import signal
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from lilacloft.handover.request import request_upgrade
from rigs.checker import check
from rigs.lateness import lateness, who_was_late
from rigs.load import Load
from rigs.scene import Scene
from rigs.upgrade_probes import crash_command, histogram, show_progress

POLL_SECONDS = 0.01
SERVING_TIMEOUT = 20.0  # seconds after a kill until a worker must serve


class KillRun:
    """A run that kills the workers of a supervised gateway between upgrades and during them."""

    def __init__(self, args: argparse.Namespace, folder: Path) -> None:
        self.args = args
        self.scene = Scene(folder, args.seed)
        self.gateway = self.scene.gateways[0]
        self.random = self.scene.chance("kills")
        self.load = Load(self.scene, args.rate)
        self.kinds = dict.fromkeys(("between", "old", "new"), 0)  # kills, by the process that was killed
        self.recoveries: list[float] = []  # seconds after each kill until a worker served

    def worker(self) -> int:
        """Return the process id of the serving worker, from the supervisor's log."""
        lines = [
            line
            for line in self.gateway.log.read_text().split("\n")
            if "supervisor: worker" in line and "is the gateway" in line
        ]
        return int(lines[-1].split("worker ")[1].split()[0])

    def run(self) -> dict[str, Any]:
        """Kill workers, then end the supervisor; returns the report."""
        arguments = ["--handover", self.gateway.handover, "--supervised"]
        if self.args.store:  # then clients retry non-idempotent writes too, as the listener stays open
            arguments += self.gateway.settings('(store (folder "store"))')
            self.load.resends_bookings = True
        self.gateway.start(*arguments)
        supervisor = self.gateway.process
        self.load.start()
        self.gateway.wait("is the gateway")
        time.sleep(1.0)
        for number in range(self.args.times):
            kind = self.random.choice(list(self.kinds))
            self.kinds[kind] += 1
            self.kill(kind)
            self._wait_until_served(f"kill {number + 1} ({kind})")
            show_progress(f"{number + 1}/{self.args.times} {kind:8}")
            time.sleep(0.05 + self.random.random() * 0.4)
        self.load.stop()
        supervisor_lived = supervisor.poll() is None
        supervisor.send_signal(signal.SIGTERM)
        return self.report(supervisor_lived, supervisor.wait(15))

    def kill(self, kind: str) -> None:
        """Kill the worker between upgrades, or one of the two processes during an upgrade."""
        pid = self.worker()
        self.gateway.pids.append(pid)
        wait = self.random.random() * 0.25
        upgrade = None if kind == "between" else self._start_upgrade(kind, wait)
        time.sleep(wait)
        if self.args.store and self.random.random() < 0.5:
            self.scene.log.purge(f"{self.random.randrange(40):016x}")
            time.sleep(0.02 * self.random.random())
        if kind != "new":  # the new process kills itself
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        if upgrade:
            upgrade.join(20)

    def _start_upgrade(self, kind: str, wait: float) -> threading.Thread:
        """Start an upgrade. If `kind` is `new`, the new process dies after `wait` seconds."""
        step = f"kill-{1000 * wait:.1f}" if kind == "new" else "fine"
        arguments = [word for word in self.gateway.words[3:] if word != "--supervised"]
        upgrade = threading.Thread(
            target=request_upgrade,
            args=(
                self.gateway.handover,
                crash_command(step, arguments),
                self.args.mode,
                lambda report: None,
            ),
            daemon=True,
        )
        upgrade.start()
        return upgrade

    def _wait_until_served(self, kill: str) -> None:
        """Wait until a worker serves after a kill."""
        began = time.monotonic()
        while not self.gateway.alive():
            if time.monotonic() - began > SERVING_TIMEOUT:
                raise RuntimeError(f"no worker serves within {SERVING_TIMEOUT:.0f} s after {kill}")
            time.sleep(POLL_SECONDS)
        self.recoveries.append(time.monotonic() - began)

    def report(self, supervisor_lived: bool, code: int) -> dict[str, Any]:
        """Return the report of all kills. `code`: the supervisor's exit code."""
        limits = self.scene.limits()
        limits.attempts = True
        entries = self.scene.account.sorted()
        breaches = check(entries, limits)
        cut_off = [breach for breach in breaches if "its connection ended" in breach.text]
        others = [breach for breach in breaches if breach not in cut_off]
        return {
            "rig": "upgrade",
            "seed": self.args.seed,
            "rate": self.args.rate,
            "kills": self.args.times,
            "kinds": self.kinds,
            "supervisor_lived": supervisor_lived,
            "code": code,
            "counts": self.load.counts,
            "cut_off": len(cut_off),
            "doubled": sum(breach.rule == 2 for breach in others),
            "sent_again": self.load.again,
            "store": self.args.store,
            "forgotten_purges": sum(breach.rule == 5 for breach in others),
            "faults": self.gateway.log.read_text().count("Traceback"),
            "breaches": [str(breach) for breach in others],
            "who_was_late": [who_was_late(breach, entries) for breach in others],
            "late": lateness(entries, [self.gateway.log.read_text()]),
            "back_ms": histogram(self.recoveries),
        }
