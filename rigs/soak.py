"""A soak of a few dozen real processes on loopback with troubles that overlap:
`python -m rigs.soak --seeds 1 2 3 [--gateways 24 --seconds 20 --troubles 16] [--hard] [--json FILE]`.

Gateways, boxes and relays on all links are processes, as in rigs.fleet, without planners. From the seed are
drawn: planned ends with restarts, kills, pauses, new configurations in a row that move discovery, links that
stall, reset, lose or delay, a change log that cannot be reached, boxes that fall silent, slow, reset, drain,
or start anew cold, and purges; two or three at a time. Under some gateways system calls fail for a moment
(rigs.failing), and some have a wall clock that is an hour off, and stepped. Beside the judged clients, some
of whom cancel or have little time, there are rude ones (rigs.rude).

With `--hard` signals come in series (SIGTERM and SIGHUP several times within 0.1 s, also to a process that
starts), SIGKILL comes at the protocol's earliest after SIGTERM, with clients that use their open connections
until then, and there are crowds: the rate threefold for a second or two, at one gateway or at all.

Judged by the accounts of clients and boxes (rigs.checker, with the operators' terms on attempts), by the
gateways' own checks (lilacloft/invariants.py), and by how processes end: a planned end is with code 0 and in
time, no start takes 10 s, no event ends in an exception, nothing is held once all is answered.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from rigs.checker import Limits
from rigs.fleet import TOLD, Fleet, Meta
from rigs.lateness import lateness, relay_entries, who_was_late
from rigs.load import Load
from rigs.rude import Rude
from rigs.scene import Gateway
from rigs.told import tell

SETTLES = 2.0  # seconds of service before the first trouble
QUIET = 1.0  # seconds after the last one
PURGES_LAST = 6.0  # seconds for which a configuration tells of purges, by the settings
EARLIEST_KILL = 3.7  # seconds after SIGTERM, by the protocol for deadlines of 3 s
SIGNAL_SERIES = 0.1  # seconds
START_SPAN = 0.6  # seconds of a start in which a signal may come to it
CROWD = 3.0  # times the rate
ENDS = 7.0  # seconds in which a process that is told to end must have
READY = 10.0  # seconds in which a start must serve
HOUR = 3_600_000  # milliseconds
RATES = {
    "accept": 0.02,
    "recv": 0.002,
    "send": 0.005,
    "connect": 0.05,
    "socket": 0.02,
    "setsockopt": 0.05,
    "poll": 0.002,
    "close": 0.02,
    "thread": 0.005,
    "thread that writes": 0.05,
}
KINDS = (
    "term",
    "term",
    "kill",
    "pause",
    "reload",
    "reload",
    "stall",
    "reset",
    "lossy",
    "late",
    "unlogged",
    "silent",
    "slow",
    "resets",
    "drain",
    "cold",
    "purge",
    "purge",
)
HARD_KINDS = (*KINDS, "signals", "signals", "start", "crowd", "crowd")


@dataclass
class Ended:
    """How processes came to their ends, and up again."""

    codes: Counter[int] = field(default_factory=Counter)
    late: list[str] = field(default_factory=list)
    slowest_start: float = 0.0


class Soak(Fleet):
    """The world of one run."""

    def __init__(self, folder: Path, seed: int, gateways: int, hard: bool = False) -> None:
        super().__init__(folder, seed, gateways, planners=0, zones=2, caches=3, hubs=1, parents=2)
        self.patience = EARLIEST_KILL if hard else ENDS  # for a planned end
        self.load: Load | None = None
        self.crowded = False
        self.purged: list[tuple[int, str, float]] = []  # number, object and time
        self.direct: set[str] = set()  # gateways that follow the change log without the relay
        self.ended = Ended()
        self.paused: dict[str, list[tuple[float, float]]] = {}  # gateways that were stopped, and when: what
        # they answer late is no fault, and what they lose is one
        self.busy: set[str] = set()  # gateways that are being ended or started
        self.threads: list[threading.Thread] = []
        for number, gateway in enumerate(self.gateways):
            gateway.program = ("rigs.shim", json.dumps(self._spec(number)))

    def _spec(self, number: int) -> dict[str, Any]:
        """The shim of one gateway: calls fail under every second, a clock is off at every third."""
        chance, spec = self.chance(f"shim {number}"), {"seed": self.seed * 100 + number}
        if number % 2:
            spec.update(rates=RATES, short=0.2)
        if number % 3 == 1:
            spec["offset"] = chance.choice((HOUR, -HOUR))
        if number % 3 == 2:
            spec["steps"] = [[chance.uniform(3, 10), chance.choice((HOUR, -HOUR, 5000, -5000))]]
        return spec

    def config(self, gateway: Any) -> dict[str, Any]:
        """With the purges of late, as the protocol has it, and the change log where it is followed now."""
        out, now = super().config(gateway), time.time()
        out["known"]["results"] += [
            {"seq": number, "invalidate": {"object": key, "time": int(at * 1000)}}
            for number, key, at in self.purged
            if now - at < PURGES_LAST
        ]
        if gateway.name in self.direct:
            out["changelog"] = f"127.0.0.1:{self.feeds[gateway.name].port}"
        return out

    def limits(self) -> Limits:
        limits = super().limits()
        limits.chance = limits.attempts = True
        return limits

    # --- troubles ---

    def act(self, kind: str, chance: Random) -> None:
        """One trouble, of a length of its own; it is taken back by itself."""
        span = chance.uniform(0.3, 2.5)
        free = [one for one in self.gateways if one.name not in self.busy]
        gateway = chance.choice(free or self.gateways)
        if kind in ("term", "kill", "pause", "reload", "signals", "start") and not free:
            return
        self.account.write("script", "said", text=f"{kind} {gateway.name} for {span:.2f} s")
        own = {
            "term": self._term,
            "kill": self._kill,
            "pause": self._pause,
            "reload": self._reload,
            "signals": self._signals,
            "start": self._signalled_start,
        }
        if kind == "crowd":
            self._crowd(gateway if chance.random() < 0.5 else None, chance.uniform(1.0, 2.0))
        elif kind in own:
            self._aside(own[kind], gateway, chance.uniform(0.1, 0.9), chance.randrange(1, 4))
        elif kind in ("stall", "reset", "lossy", "late", "unlogged"):
            self._link_trouble(kind, gateway, span, chance)
        elif kind == "purge":
            for _ in range(chance.randrange(1, 4)):
                self.purge(f"{int(300 * chance.random() ** 3):016x}")
        elif kind == "cold":
            self._cold(chance)
        else:
            self._box_trouble(kind, chance.choice([*self.caches, *self.parents]), span)

    def _aside(self, what: Callable[..., None], gateway: Gateway, *told: Any) -> None:
        self.busy.add(gateway.name)

        def run() -> None:
            try:
                what(gateway, *told)
            finally:
                self.busy.discard(gateway.name)

        thread = threading.Thread(target=run, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _up(self, gateway: Gateway) -> None:
        began = time.monotonic()
        self.start_gateway(gateway)
        self.ended.slowest_start = max(self.ended.slowest_start, time.monotonic() - began)

    def _term(self, gateway: Gateway, *_: Any) -> None:
        """A planned end, and a restart."""
        self.end(gateway)
        self._up(gateway)

    def end(self, gateway: Gateway) -> None:
        """A planned end."""
        process = gateway.process
        assert process is not None
        process.terminate()
        try:
            self.ended.codes[process.wait(self.patience)] += 1
        except subprocess.TimeoutExpired:
            self.ended.late.append(gateway.name)
            process.kill()
            process.wait()

    def _signals(self, gateway: Gateway, span: float, times: int) -> None:
        """A planned end that is told several times, with new configurations between."""
        for number in [signal.SIGTERM, signal.SIGHUP] * times:
            self._signal([gateway], number)
            time.sleep(SIGNAL_SERIES * span / (2 * times))
        self._term(gateway)

    def _signalled_start(self, gateway: Gateway, span: float, times: int) -> None:
        """A planned end, and another one while the next process starts."""
        self.end(gateway)
        place = gateway.spawn()
        process = gateway.process
        assert process is not None
        time.sleep(START_SPAN * span)
        for number in [signal.SIGHUP] * (times - 1) + [signal.SIGTERM]:
            process.send_signal(number)
        code = process.wait(self.patience)
        has_served = b"serving on" in gateway.log.read_bytes()[place:]
        if has_served or code not in (
            -signal.SIGTERM,
            -signal.SIGHUP,
        ):  # before it takes signals, they end it
            self.ended.codes[code] += 1
        self._up(gateway)

    def _crowd(self, gateway: Gateway | None, span: float) -> None:
        """More requests for a while, to one gateway or to all."""
        load = self.load
        if load is None or self.crowded:
            return
        self.crowded, usual, weights = True, load.rate, load.weights
        load.rate = CROWD * usual
        if gateway is not None:
            share = (CROWD - 1) * len(self.gateways)  # of that one: all that is more comes to it
            load.weights = [1.0 + share * (one is gateway) for one in self.gateways]

        def back() -> None:
            load.rate, load.weights, self.crowded = usual, weights, False

        self.timers.after(span, back)

    def _kill(self, gateway: Gateway, *_: Any) -> None:
        self._halted([gateway], 3.0)
        assert gateway.process is not None
        gateway.process.kill()
        gateway.process.wait()
        self._up(gateway)

    def _pause(self, gateway: Gateway, span: float, _: int) -> None:
        now = time.time()
        self.paused.setdefault(gateway.name, []).append((now, now + span + 1.0))
        self._signal([gateway], signal.SIGSTOP)
        time.sleep(span)
        self._signal([gateway], signal.SIGCONT)

    def _reload(self, gateway: Gateway, _: float, times: int) -> None:
        """New configurations in a row, each of which moves discovery."""
        for _ in range(times):
            self.direct ^= {gateway.name}
            part = gateway.config.with_suffix(".part")
            part.write_text(json.dumps(self.config(gateway)))
            part.replace(gateway.config)
            self._signal([gateway], signal.SIGHUP)
            time.sleep(0.03)

    def _link_trouble(self, kind: str, gateway: Gateway, span: float, chance: Random) -> None:
        if kind == "unlogged":
            pairs = [(gateway.name, "log")]
            if gateway.name not in self.direct:
                self.cut(pairs, seconds=span + 1, stall=True)
                self.timers.after(span, lambda: self.cut(pairs, "both", True, stall=False))
            return
        box = chance.choice([*self.caches, *self.parents])
        pairs = [(one.name, box.name) for one in self.gateways]
        if kind == "stall":
            way = chance.choice(("up", "down", "both"))
            self.cut(pairs, way, seconds=span + 1, stall=True)
            self.timers.after(span, lambda: self.cut(pairs, way, chance.random() < 0.5, stall=False))
            return
        set_, back = {
            "reset": ({"reset": 0.1}, {"reset": 0.0}),
            "lossy": ({"lossy": 0.2}, {"lossy": 0.0}),
            "late": ({"delay": chance.uniform(0.05, 0.4)}, {"delay": 0.0}),
        }[kind]
        self.cut(pairs, seconds=span + 1, **set_)
        self.timers.after(span, lambda: self.cut(pairs, **back))

    def _box_trouble(self, kind: str, box: Meta, span: float) -> None:
        names = [box.name]
        if kind == "drain":
            if box.state == "active":
                self._state(names, "leaving")
                self.timers.after(span + 1.5, lambda: self._state(names, "active"))
            return
        on, off = {
            "silent": ({"silent": True}, {"silent": False}),
            "slow": ({"slow": 0.3}, {"slow": 0.0}),
            "resets": ({"resets": 0.2}, {"resets": 0.0}),
        }[kind]
        self.box(names, set=on)
        self.timers.after(span, lambda: self.box(names, set=off))

    def _cold(self, chance: Random) -> None:
        """All caches of a location start anew."""
        place = chance.randrange(self.zones)
        self.kill_site(place)
        self.timers.after(0.3, lambda: self._born(place))

    def purge(self, key: str) -> None:
        self.purged.append((self.number + 1, key, time.time()))
        super().purge(key)

    def _excused(self, breach: Any, requests: dict[str, Any], names: dict[int, str]) -> bool:
        """Also what a client sends again whose gateway was killed: it may have run there; and what a gateway
        answers late that was stopped."""
        if super()._excused(breach, requests, names):
            return True
        name = re.search(r"\b[0-9a-f]{16}\b", breach.text)
        request = requests.get(name[0]) if name else None
        if request is None:
            return False
        if breach.rule == 1:
            spans = self.paused.get(names.get(request["gateway"], ""), ())
            return "too late" in breach.text and any(
                begin <= breach.at and request["at"] <= end for begin, end in spans
            )
        return breach.rule == 2 and any(
            port == request["gateway"] and begin - TOLD <= request["at"] <= end
            for port, begin, end in self.halted
        )


def counted(logs: list[str], part: str) -> Counter[str]:
    """One part of the counters that gateways print at their ends, summed."""
    out: Counter[str] = Counter()
    for text in logs:
        for line in re.findall(rf" {part}: (.*)", text):
            out.update({name: int(count) for name, count in re.findall(r"(\w+)=(\d+)", line)})
    return out


def broken(logs: dict[str, str], paused: Container[str]) -> Counter[str]:
    """Promises that gateways found broken, but for late answers of those that the script had stopped."""
    out: Counter[str] = Counter()
    for name, text in logs.items():
        found = counted([text], "violations")
        if name in paused:
            found.pop("answered_late", None)
        out.update(found)
    return +out


def run(
    seed: int,
    gateways: int,
    seconds: float,
    troubles: int,
    rate: float,
    keep: Path | None = None,
    hard: bool = False,
) -> dict[str, Any]:
    """One run; everybody's account and all logs are kept in a folder, if one is named."""
    with tempfile.TemporaryDirectory(prefix="soak") as name:
        fleet = Soak(Path(name), seed, gateways, hard)
        chance = fleet.chance("troubles")
        due = sorted(
            (chance.uniform(0, seconds), chance.choice(HARD_KINDS if hard else KINDS))
            for _ in range(troubles)
        )
        try:
            fleet.start()
            load = Load(fleet, rate, held=2)  # type: ignore[arg-type]
            load.allows, load.forgets, load.bold = (2500, 2500, 1500, 600, 120), 0.05, True
            fleet.load = load
            rude = Rude([gateway.port for gateway in fleet.gateways], fleet.chance("rude"))
            load.start()
            rude.start()
            time.sleep(SETTLES)
            began = time.monotonic()
            for at, kind in due:
                time.sleep(max(0.0, began + at - time.monotonic()))
                fleet.act(kind, chance)
            time.sleep(max(0.0, began + seconds - time.monotonic()))
            for thread in fleet.threads:
                thread.join(ENDS + READY)
            time.sleep(QUIET)
            rude.stop()
            load.stop()
            for gateway in fleet.gateways:
                fleet.end(gateway)
            entries = fleet.entries()
            breaches, beyond = fleet.judged(entries)
            seen = [*entries, *relay_entries(fleet.folder)]
            by_name = {path.stem: path.read_text() for path in sorted(fleet.folder.glob("n*.log"))}
            logs = list(by_name.values())
            violations = broken(by_name, fleet.paused)
            if keep:
                kept = keep / str(seed)
                shutil.copytree(fleet.folder, kept, dirs_exist_ok=True)
                lines = "".join(json.dumps(entry) + "\n" for entry in entries)
                (kept / "account.jsonl").write_text(lines)
        finally:
            fleet.close()
    return {
        "seed": seed,
        "gateways": gateways,
        "seconds": seconds,
        "troubles": [f"{at:.2f} {kind}" for at, kind in due],
        "counts": load.counts,
        "breaches": [
            f"{one} ({who_was_late(one, seen) or 'nobody of the rig was late'})" for one in breaches
        ],
        "late": lateness(seen, logs),
        "beyond": beyond,
        "violations": violations,
        "told": [line[:600] for text in logs for line in text.splitlines() if "invariant: " in line][:20],
        "exceptions": [text[text.index("Traceback") :][:1500] for text in logs if "Traceback" in text][:3],
        "left_over": +Counter(
            {name: counted(logs, "held")[name] for name in ("calls", "names", "reqs", "limits")}
        ),
        "faults": counted(logs, "answers")["faults"],
        "codes": {str(code): many for code, many in fleet.ended.codes.items()},
        "ended_late": fleet.ended.late,
        "slowest_start_s": round(fleet.ended.slowest_start, 2),
        "refused": counted(logs, "refused"),
        "retried": counted(logs, "retried after"),
    }


def bad(report: dict[str, Any]) -> bool:
    """Was anything found?"""
    return bool(
        report["breaches"]
        or sum(report["violations"].values())
        or report["exceptions"]
        or report["left_over"]
        or report["faults"]
        or report["ended_late"]
        or set(report["codes"]) - {"0"}
        or report["slowest_start_s"] > READY
    )


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--troubles", type=int, default=24)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--hard", action="store_true", help="signals in series, early kills, crowds")
    parser.add_argument("--keep", type=Path, metavar="FOLDER", help="for accounts and logs")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    reports = [
        run(seed, given.gateways, given.seconds, given.troubles, given.rate, given.keep, given.hard)
        for seed in given.seeds
    ]
    tell({"runs": reports, "bad": [report["seed"] for report in reports if bad(report)]}, given.json)
    return 1 if any(map(bad, reports)) else 0


if __name__ == "__main__":
    sys.exit(main())
