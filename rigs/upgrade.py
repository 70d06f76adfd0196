"""Upgrades in a row under steady load: `python -m rigs.upgrade --times 100 --rate 200 --seed 1`.

Reads, uniqued writes and bookings go through one gateway while it is replaced again and again, by processes
that may fail on purpose. The report says what was lost or doubled, by the accounts of clients and
stand-ins, how long reqs took during upgrades against between them, how long nothing was accepted, and what
both processes had of memory and descriptors. `--kill` instead ends the process that serves, at random
points, under a supervisor.
"""

from __future__ import annotations

import argparse
import os
import shlex
import signal
import socket
import statistics
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from lilacloft.handover.messages import PhaseReport
from lilacloft.handover.request import request_upgrade
from lilacloft.net.resp import encode
from rigs.checker import check
from rigs.crash import STEPS
from rigs.load import Load
from rigs.scene import Scene
from rigs.told import tell

LOOK = 0.01  # seconds between two tries to be accepted
WARM = 2.0  # seconds after a start in which its warmth is measured


def histogram(spans: list[float]) -> dict[str, float]:
    """Of spans in seconds: count, and milliseconds at the usual places."""
    found = HdrHistogram(1, 60_000_000, 3)
    for span in spans:
        found.record_value(max(1, int(span * 1e6)))
    at = {
        name: found.get_value_at_percentile(place) / 1000
        for name, place in (("p50", 50), ("p99", 99), ("p99.9", 99.9))
    }
    return {"count": len(spans), **at, "max": max(spans, default=0.0) * 1000}


class Door(threading.Thread):
    """Connects and asks ALIVE again and again: how long is nobody accepted?"""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port, self.over = port, False
        self.waits: list[tuple[float, float]] = []
        self.refused = 0

    def run(self) -> None:
        while not self.over:
            began = time.time()
            try:
                with socket.create_connection(("127.0.0.1", self.port), 5.0) as sock:
                    sock.sendall(encode(b"ALIVE", b"1", b""))
                    if sock.recv(100):
                        self.waits.append((began, time.time() - began))
                    else:
                        self.refused += 1
            except OSError:
                self.refused += 1
            time.sleep(LOOK)


class Held(threading.Thread):
    """Looks at what the processes of an upgrade have, while it runs."""

    def __init__(self, pids: list[int]) -> None:
        super().__init__(daemon=True)
        self.pids, self.over = pids, False
        self.memory = self.sockets = 0.0

    def run(self) -> None:
        while not self.over:
            memory = sockets = 0.0
            for pid in list(self.pids):
                with suppress(OSError, ValueError, IndexError):
                    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                    memory += pages * os.sysconf("SC_PAGESIZE") / 1e6
                    sockets += len(os.listdir(f"/proc/{pid}/fd"))
            self.memory, self.sockets = max(self.memory, memory), max(self.sockets, sockets)
            time.sleep(0.005)


def warmth(entries: list[dict[str, Any]], began: float, ended: float) -> dict[str, float]:
    """Hit share and dispatches a req of the reads that were sent in a time."""
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


class Run:
    """One run of the rig."""

    def __init__(self, given: argparse.Namespace, folder: Path) -> None:
        self.given = given
        self.scene = Scene(folder, given.seed)
        self.gateway = self.scene.gateways[0]
        self.chance = self.scene.chance("upgrades")
        self.load = Load(self.scene, given.rate, held=given.held, objects=given.objects)
        self.pid = 0
        self.rows: list[dict[str, Any]] = []

    def upgrade(self, step: str) -> dict[str, Any]:
        """One upgrade, whose new process fails at a step or does not."""
        words = self.gateway.words
        to = "" if step == "fine" else shlex.join([sys.executable, "-m", "rigs.crash", step, *words[3:]])
        if step == "fine":
            to = shlex.join(words)
        phases: list[PhaseReport] = []
        held = Held([self.pid])
        held.start()

        def tell(phase: PhaseReport) -> None:
            phases.append(phase)
            if phase.pid and phase.pid not in held.pids:
                held.pids.append(phase.pid)

        began = time.time()
        done, why = request_upgrade(self.gateway.handover, to, self.given.mode, tell)
        ended = time.time()
        held.over = True
        held.join()
        if done:
            self.pid = phases[-1].pid
            self.gateway.pids.append(self.pid)
        return {
            "step": step,
            "done": done,
            "why": why,
            "began": began,
            "ended": ended,
            "phases": [(phase.phase, round(phase.previous_phase_seconds, 5)) for phase in phases],
            "memory_mb": held.memory,
            "sockets": held.sockets,
        }

    def run(self) -> dict[str, Any]:
        """The whole of it; returns the report."""
        given = self.given
        self.gateway.start("--handover", self.gateway.handover)
        self.pid = self.gateway.process.pid
        self.load.start()
        time.sleep(3.0)
        door = Door(self.gateway.port)
        door.start()
        steady = time.time()
        time.sleep(3.0)
        for number in range(given.times):
            step = "fine"
            if given.crash == "random":
                step = "fine" if self.chance.random() < 0.5 else self.chance.choice(STEPS)
            elif given.crash != "none":
                step = given.crash if number % 2 else "fine"
            row = self.upgrade(step)
            self.rows.append(row)
            if sys.stderr.isatty():
                print(f"\r{number + 1}/{given.times} {step:12}", end="", file=sys.stderr)
            time.sleep(given.gap or 0.15 + self.chance.random() * 0.3)
        door.over = True
        door.join()
        self.load.stop()
        cold = self.cold()
        entries = self.scene.account.sorted()
        return self.report(entries, door, steady, cold)

    def cold(self) -> tuple[float, float]:
        """The way before: SIGTERM and a start from nothing; the load begins again with it."""
        os.kill(self.pid, signal.SIGTERM)
        until = time.monotonic() + 10
        while time.monotonic() < until and Path(f"/proc/{self.pid}/status").exists():
            with suppress(ChildProcessError):
                if os.waitpid(self.pid, os.WNOHANG)[0]:
                    break
            if "zombie" in Path(f"/proc/{self.pid}/status").read_text():
                break
            time.sleep(0.02)
        self.gateway.start("--handover", self.gateway.handover)
        self.pid = self.gateway.process.pid
        again = Load(self.scene, self.given.rate, seed="again")
        began = time.time()
        again.start()
        time.sleep(WARM)
        again.stop()
        return began, began + WARM

    def steady(self, entries: list[dict[str, Any]], began: float) -> dict[str, float]:
        """Of the spans between upgrades that the first seconds after one are over in; else of the start."""
        if self.given.gap <= WARM:
            return warmth(entries, began, began + 3.0)
        found = [warmth(entries, row["ended"] + WARM, row["ended"] + self.given.gap) for row in self.rows]
        return {name: statistics.mean(one[name] for one in found) for name in found[0]}

    def report(
        self, entries: list[dict[str, Any]], door: Door, steady: float, cold: tuple[float, float]
    ) -> dict[str, Any]:
        breaches = check(entries, self.scene.limits())
        windows = [(row["began"], row["ended"]) for row in self.rows]

        def within(at: float, took: float) -> bool:
            return any(at < ended and at + took > began for began, ended in windows)

        during = [took for at, took, _, _ in self.load.times if within(at, took)]
        between = [took for at, took, _, _ in self.load.times if not within(at, took)]
        fine = [row for row in self.rows if row["step"] == "fine"]
        failed = [row for row in self.rows if row["step"] != "fine"]
        after = [warmth(entries, row["ended"], row["ended"] + WARM) for row in fine if row["done"]]
        pauses = {
            name: sum(took for phase, took in row["phases"] if phase in ("committed", "letting_go"))
            for name, row in enumerate(fine)
        }
        spans = [row["ended"] - row["began"] for row in fine]
        return {
            "rig": "upgrade",
            "seed": self.given.seed,
            "rate": self.given.rate,
            "mode": self.given.mode,
            "crash": self.given.crash,
            "upgrades": len(self.rows),
            "fine": len(fine),
            "fine_done": sum(row["done"] for row in fine),
            "failed": len(failed),
            "fallbacks": sum(not row["done"] for row in failed),
            "unexpected": [row for row in self.rows if row["done"] != (row["step"] in ("fine", "old"))],
            "counts": self.load.counts,
            "sent_again": self.load.again,
            "breaches": [str(breach) for breach in breaches],
            "lost": sum(breach.text.endswith(("unanswered", "never answered")) for breach in breaches),
            "doubled": sum(breach.rule == 2 for breach in breaches),
            "effects": sum(entry["what"] == "effect" for entry in entries),
            "latency_ms": {"during": histogram(during), "between": histogram(between)},
            "nothing_served_ms": histogram(list(pauses.values())),
            "upgrade_s": {"median": statistics.median(spans), "max": max(spans)} if spans else {},
            "accept_ms": histogram([took for _, took in door.waits]),
            "not_accepted": door.refused,
            "warmth": {
                "steady": self.steady(entries, steady),
                "after_upgrades": {name: statistics.mean(one[name] for one in after) for name in after[0]}
                if after
                else {},
                "after_sigterm": warmth(entries, *cold),
            },
            "by_step": {
                step: sum(row["step"] == step for row in self.rows)
                for step in sorted({row["step"] for row in self.rows})
            },
            "memory_mb": max((row["memory_mb"] for row in self.rows), default=0.0),
            "sockets": max((row["sockets"] for row in self.rows), default=0.0),
        }


class Kills:
    """A supervised worker is killed at random points: between upgrades, and in the middle of them."""

    def __init__(self, given: argparse.Namespace, folder: Path) -> None:
        self.given = given
        self.scene = Scene(folder, given.seed)
        self.gateway = self.scene.gateways[0]
        self.chance = self.scene.chance("kills")
        self.load = Load(self.scene, given.rate)

    def worker(self) -> int:
        """The worker that is the gateway, by the supervisor's log."""
        lines = [
            line
            for line in self.gateway.log.read_text().split("\n")
            if "supervisor: worker" in line and "is the gateway" in line
        ]
        return int(lines[-1].split("worker ")[1].split()[0])

    def run(self) -> dict[str, Any]:
        words = ["--handover", self.gateway.handover, "--supervised"]
        if self.given.store:  # then bookings too are sent again, over the door that stays open
            words += self.gateway.settings('(store (folder "store"))')
            self.load.bold = True
        self.gateway.start(*words)
        supervisor = self.gateway.process
        self.load.start()
        self.gateway.wait("is the gateway")
        time.sleep(1.0)
        kinds = dict.fromkeys(("between", "old", "new"), 0)
        backs: list[float] = []
        killed_at: list[float] = []
        for number in range(self.given.times):
            kind = self.chance.choice(list(kinds))
            kinds[kind] += 1
            pid = self.worker()
            self.gateway.pids.append(pid)
            wait = self.chance.random() * 0.25
            if kind != "between":
                step = f"kill-{1000 * wait:.1f}" if kind == "new" else "fine"
                to = shlex.join([sys.executable, "-m", "rigs.crash", step, *self.worker_words()])
                asking = threading.Thread(
                    target=request_upgrade,
                    args=(self.gateway.handover, to, self.given.mode, lambda phase: None),
                    daemon=True,
                )
                asking.start()
            time.sleep(wait)
            if self.given.store and self.chance.random() < 0.5:
                self.scene.log.purge(f"{self.chance.randrange(40):016x}")
                time.sleep(0.02 * self.chance.random())
            killed_at.append(time.time())
            if kind != "new":
                with suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            if kind != "between":
                asking.join(20)
            began = time.monotonic()
            while not self.gateway.alive():
                if time.monotonic() - began > 20:
                    raise RuntimeError(f"nobody serves after kill {number + 1} ({kind})")
                time.sleep(0.01)
            backs.append(time.monotonic() - began)
            if sys.stderr.isatty():
                print(f"\r{number + 1}/{self.given.times} {kind:8}", end="", file=sys.stderr)
            time.sleep(0.05 + self.chance.random() * 0.4)
        self.load.stop()
        ok = supervisor.poll() is None
        supervisor.send_signal(signal.SIGTERM)
        code = supervisor.wait(15)
        entries = self.scene.account.sorted()
        limits = self.scene.limits()
        limits.attempts = True
        breaches = check(entries, limits)
        cut = [breach for breach in breaches if "its connection ended" in breach.text]
        others = [breach for breach in breaches if breach not in cut]
        return {
            "rig": "upgrade",
            "seed": self.given.seed,
            "rate": self.given.rate,
            "kills": self.given.times,
            "kinds": kinds,
            "supervisor_lived": ok,
            "code": code,
            "counts": self.load.counts,
            "cut_off": len(cut),
            "doubled": sum(breach.rule == 2 for breach in others),
            "sent_again": self.load.again,
            "store": self.given.store,
            "forgotten_purges": sum(breach.rule == 5 for breach in others),
            "faults": self.gateway.log.read_text().count("Traceback"),
            "breaches": [str(breach) for breach in others],
            "back_ms": histogram(backs),
        }

    def worker_words(self) -> list[str]:
        return [word for word in self.gateway.words[3:] if word != "--supervised"]


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.upgrade", description=__doc__)
    parser.add_argument("--times", type=int, default=100)
    parser.add_argument("--rate", type=float, default=200.0, help="reqs a second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mode", choices=("whole", "drain"), default="whole")
    parser.add_argument("--crash", default="none", help=f"random, or one of {', '.join(STEPS)}")
    parser.add_argument("--gap", type=float, default=0.0, help="seconds between upgrades; else drawn")
    parser.add_argument("--held", type=int, default=8, help="clients' connections that stay")
    parser.add_argument("--objects", type=int, default=300)
    parser.add_argument("--kill", action="store_true", help="kill a supervised worker instead")
    parser.add_argument("--store", action="store_true", help="one that has a store; bookings are sent again")
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--account", metavar="FILE", help="keep what all parties saw")
    given = parser.parse_args(words)
    with tempfile.TemporaryDirectory(prefix="upgrade") as folder:
        run = (Kills if given.kill else Run)(given, Path(folder))
        try:
            report = run.run()
        finally:
            if given.account:
                run.scene.account.save(given.account)
            log = run.gateway.log.read_text() if run.gateway.log.exists() else ""
            run.scene.close()
    faults = [line for line in log.split("\n") if "Traceback" in line or "failed in" in line]
    report["faults"] = faults
    tell(report, given.json)
    good = not (report["breaches"] or faults or report.get("unexpected"))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
