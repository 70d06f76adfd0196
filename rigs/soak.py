"""A soak test of a few dozen real processes on loopback with overlapping faults:
`python -m rigs.soak --seeds 1 2 3 [--gateways 24 --seconds 20 --troubles 16] [--hard] [--press]
[--memory 192] [--deadline 3.0] [--json FILE]`.

Gateways, backends and a relay on each link are processes, as in rigs.fleet, without planners. The seed
determines the faults, two or three at a time: planned restarts, kills, pauses, series of new configurations
that move discovery, links that stall, reset, lose or delay, an unreachable change log, backends that do not
answer, slow down, reset connections, drain or restart with an empty cache, and purges. At some gateways
system calls fail briefly (rigs.failing), and some have a wall clock that is an hour off or is stepped. Beside
the checked clients, some of whom cancel or have little time, there are misbehaving ones (rigs.rude).

With `--hard` signals come in series (SIGTERM and SIGHUP several times within 0.1 s, also during a start),
SIGKILL follows SIGTERM at the earliest time that the protocol allows, with clients that use their open
connections until then, and there are load spikes: three times the rate for a second or two, at one gateway
or at all.

With `--press` misbehaving clients also take up memory and time (rigs.rude.PressingRude). `--memory` is the
gateways' limit in MB, which no process may pass; `--deadline` the longest deadline in seconds, of which the
earliest kill and the clients' own limits follow.

The verdict is made from the event logs of clients and backends (rigs.checker, including the rules on
attempts), the gateways' own checks (lilacloft/invariants.py), and the processes' exits: a planned exit has
code 0 and is in time, no start takes 10 s, no event ends in an exception, and nothing is held once all
requests are answered.
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
from rigs.fleet import PROPAGATION_SECONDS, BackendInfo, Fleet
from rigs.lateness import lateness, relay_entries, who_was_late
from rigs.load import Load
from rigs.pressure import anonymous_memory
from rigs.rude import PressingRude, Rude
from rigs.scene import Gateway
from rigs.told import tell

WARM_UP = 2.0  # seconds of service before the first fault
COOL_DOWN = 1.0  # seconds of service after the last fault
PURGE_RETENTION = 6.0  # seconds for which the settings keep purges in a configuration
LONGEST_DEADLINE = 3.0  # seconds; a longer one counts as this
KILL_MARGIN = 0.7  # seconds from SIGTERM to the earliest kill, beside the longest deadline
MEGABYTE = 1_000_000
MEMORY_INTERVAL = 0.05  # seconds between two samples
SIGNAL_SERIES = 0.1  # seconds over which a series of signals is spread
START_SPAN = 0.6  # seconds after a process's start in which it may be signalled
SPIKE_FACTOR = 3.0  # multiple of the usual request rate
EXIT_TIMEOUT = 7.0  # seconds from SIGTERM to the exit
START_TIMEOUT = 10.0  # seconds from a start to service
HOUR_MS = 3_600_000
CALL_FAILURE_RATES = {
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
FAULT_KINDS = (
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
HARD_FAULT_KINDS = (*FAULT_KINDS, "signals", "signals", "start", "crowd", "crowd")


@dataclass
class ProcessExits:
    """Exit codes, late exits and the slowest start of the gateway processes."""

    codes: Counter[int] = field(default_factory=Counter)
    late: list[str] = field(default_factory=list)
    slowest_start: float = 0.0


@dataclass(frozen=True)
class SoakOptions:
    """How hard a run is."""

    hard: bool = False  # series of signals, early kills, load spikes
    press: bool = False  # clients that take up memory and time
    memory_mb: int = 192
    deadline: float = LONGEST_DEADLINE  # seconds


class Soak(Fleet):
    """The processes and faults of one run."""

    def __init__(self, folder: Path, seed: int, gateways: int, options: SoakOptions = SoakOptions()) -> None:
        super().__init__(folder, seed, gateways, planners=0, zones=2, caches=3, hubs=1, parents=2)
        self.memory_mb, self.options = options.memory_mb, options
        earliest_kill = min(LONGEST_DEADLINE, options.deadline) + KILL_MARGIN
        self.exit_timeout = earliest_kill if options.hard else EXIT_TIMEOUT  # for a planned exit
        self.peak_memory = 0  # bytes of anonymous memory, of any gateway process at any time
        self.is_over = threading.Event()
        self.load: Load | None = None
        self.spike_active = False
        self.purged: list[tuple[int, str, float]] = []  # number, object and time
        self.direct: set[str] = set()  # gateways that follow the change log without the relay
        self.exits = ProcessExits()
        # When each gateway was stopped by SIGSTOP: late answers in that time are excused, lost requests not.
        self.paused: dict[str, list[tuple[float, float]]] = {}
        self.busy: set[str] = set()  # gateways that a fault of their own is acting on
        self.threads: list[threading.Thread] = []
        for number, gateway in enumerate(self.gateways):
            gateway.program = ("rigs.shim", json.dumps(self._spec(number)))

    def _spec(self, number: int) -> dict[str, Any]:
        """Return the shim's settings for one gateway. System calls fail at every second gateway; the clock
        has an offset at every third and is stepped at another third."""
        chance, spec = self.chance(f"shim {number}"), {"seed": self.seed * 100 + number}
        if number % 2:
            spec.update(rates=CALL_FAILURE_RATES, short=0.2)
        if number % 3 == 1:
            spec["offset"] = chance.choice((HOUR_MS, -HOUR_MS))
        if number % 3 == 2:
            spec["steps"] = [[chance.uniform(3, 10), chance.choice((HOUR_MS, -HOUR_MS, 5000, -5000))]]
        return spec

    def watch_memory(self) -> None:
        """Record the largest process until the run is over."""
        while not self.is_over.wait(MEMORY_INTERVAL):
            for gateway in self.gateways:
                if gateway.process is not None:
                    self.peak_memory = max(self.peak_memory, anonymous_memory(gateway.process.pid))

    def config(self, gateway: Any) -> dict[str, Any]:
        """Add the recent purges, as the protocol requires, and the address of the change log in use."""
        config, now = super().config(gateway), time.time()
        for vhost in config["settings"]["classes"]:
            vhost["deadlineNs"] = int(self.options.deadline * 1e9)
            vhost["promiseNs"] = min(vhost["promiseNs"], vhost["deadlineNs"] // 2)
        config["known"]["results"] += [
            {"seq": number, "invalidate": {"object": key, "time": int(at * 1000)}}
            for number, key, at in self.purged
            if now - at < PURGE_RETENTION
        ]
        if gateway.name in self.direct:
            config["changelog"] = f"127.0.0.1:{self.feeds[gateway.name].port}"
        return config

    def limits(self) -> Limits:
        limits = super().limits()
        limits.chance = limits.attempts = True
        return limits

    # --- faults ---

    def inject(self, kind: str, chance: Random) -> None:
        """Inject one fault of random duration; it ends by itself."""
        span = chance.uniform(0.3, 2.5)
        idle = [one for one in self.gateways if one.name not in self.busy]
        gateway = chance.choice(idle or self.gateways)
        if kind in ("term", "kill", "pause", "reload", "signals", "start") and not idle:
            return
        self.account.write("script", "said", text=f"{kind} {gateway.name} for {span:.2f} s")
        gateway_faults = {
            "term": self._term,
            "kill": self._kill,
            "pause": self._pause,
            "reload": self._reload,
            "signals": self._signals,
            "start": self._signalled_start,
        }
        if kind == "crowd":
            self._load_spike(gateway if chance.random() < 0.5 else None, chance.uniform(1.0, 2.0))
        elif kind in gateway_faults:
            self._run_in_thread(
                gateway_faults[kind], gateway, chance.uniform(0.1, 0.9), chance.randrange(1, 4)
            )
        elif kind in ("stall", "reset", "lossy", "late", "unlogged"):
            self._inject_link_fault(kind, gateway, span, chance)
        elif kind == "purge":
            for _ in range(chance.randrange(1, 4)):
                self.purge(f"{int(300 * chance.random() ** 3):016x}")
        elif kind == "cold":
            self._cold(chance)
        else:
            self._inject_backend_fault(kind, chance.choice([*self.caches, *self.parents]), span)

    def _run_in_thread(self, fault: Callable[..., None], gateway: Gateway, *arguments: Any) -> None:
        self.busy.add(gateway.name)

        def run() -> None:
            try:
                fault(gateway, *arguments)
            finally:
                self.busy.discard(gateway.name)

        thread = threading.Thread(target=run, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _start_and_time(self, gateway: Gateway) -> None:
        began = time.monotonic()
        self.start_gateway(gateway)
        self.exits.slowest_start = max(self.exits.slowest_start, time.monotonic() - began)

    def _term(self, gateway: Gateway, *_: Any) -> None:
        """Stop a gateway as planned, and restart it."""
        self.end(gateway)
        self._start_and_time(gateway)

    def end(self, gateway: Gateway) -> None:
        """Stop a gateway as planned: SIGTERM, and SIGKILL after the time limit."""
        process = gateway.process
        assert process is not None
        process.terminate()
        try:
            self.exits.codes[process.wait(self.exit_timeout)] += 1
        except subprocess.TimeoutExpired:
            self.exits.late.append(gateway.name)
            process.kill()
            process.wait()

    def _signals(self, gateway: Gateway, span: float, times: int) -> None:
        """Send SIGTERM and SIGHUP alternately, then stop and restart the gateway."""
        for number in [signal.SIGTERM, signal.SIGHUP] * times:
            self._signal([gateway], number)
            time.sleep(SIGNAL_SERIES * span / (2 * times))
        self._term(gateway)

    def _signalled_start(self, gateway: Gateway, span: float, times: int) -> None:
        """Restart a gateway and signal the new process during its start."""
        self.end(gateway)
        log_offset = gateway.spawn()
        process = gateway.process
        assert process is not None
        time.sleep(START_SPAN * span)
        for number in [signal.SIGHUP] * (times - 1) + [signal.SIGTERM]:
            process.send_signal(number)
        code = process.wait(self.exit_timeout)
        has_served = b"serving on" in gateway.log.read_bytes()[log_offset:]
        # Until its signal handlers are installed, the signals end the process.
        if has_served or code not in (-signal.SIGTERM, -signal.SIGHUP):
            self.exits.codes[code] += 1
        self._start_and_time(gateway)

    def _load_spike(self, gateway: Gateway | None, span: float) -> None:
        """Raise the request rate for a while, at one gateway or at all."""
        load = self.load
        if load is None or self.spike_active:
            return
        self.spike_active, usual, weights = True, load.rate, load.weights
        load.rate = SPIKE_FACTOR * usual
        if gateway is not None:
            share = (SPIKE_FACTOR - 1) * len(self.gateways)  # all additional requests go to that gateway
            load.weights = [1.0 + share * (one is gateway) for one in self.gateways]

        def end_spike() -> None:
            load.rate, load.weights, self.spike_active = usual, weights, False

        self.timers.after(span, end_spike)

    def _kill(self, gateway: Gateway, *_: Any) -> None:
        self._record_halt([gateway], 3.0)
        assert gateway.process is not None
        gateway.process.kill()
        gateway.process.wait()
        self._start_and_time(gateway)

    def _pause(self, gateway: Gateway, span: float, _: int) -> None:
        now = time.time()
        self.paused.setdefault(gateway.name, []).append((now, now + span + 1.0))
        self._signal([gateway], signal.SIGSTOP)
        time.sleep(span)
        self._signal([gateway], signal.SIGCONT)

    def _reload(self, gateway: Gateway, _: float, times: int) -> None:
        """Apply a series of new configurations, each of which moves discovery."""
        for _ in range(times):
            self.direct ^= {gateway.name}
            temporary = gateway.config.with_suffix(".part")
            temporary.write_text(json.dumps(self.config(gateway)))
            temporary.replace(gateway.config)
            self._signal([gateway], signal.SIGHUP)
            time.sleep(0.03)

    def _inject_link_fault(self, kind: str, gateway: Gateway, span: float, chance: Random) -> None:
        if kind == "unlogged":
            pairs = [(gateway.name, "log")]
            if gateway.name not in self.direct:
                self.cut(pairs, seconds=span + 1, stall=True)
                self.timers.after(span, lambda: self.cut(pairs, "both", True, stall=False))
            return
        backend = chance.choice([*self.caches, *self.parents])
        pairs = [(one.name, backend.name) for one in self.gateways]
        if kind == "stall":
            way = chance.choice(("up", "down", "both"))
            self.cut(pairs, way, seconds=span + 1, stall=True)
            self.timers.after(span, lambda: self.cut(pairs, way, chance.random() < 0.5, stall=False))
            return
        fault, cleared = {
            "reset": ({"reset": 0.1}, {"reset": 0.0}),
            "lossy": ({"lossy": 0.2}, {"lossy": 0.0}),
            "late": ({"delay": chance.uniform(0.05, 0.4)}, {"delay": 0.0}),
        }[kind]
        self.cut(pairs, seconds=span + 1, **fault)
        self.timers.after(span, lambda: self.cut(pairs, **cleared))

    def _inject_backend_fault(self, kind: str, backend: BackendInfo, span: float) -> None:
        names = [backend.name]
        if kind == "drain":
            if backend.state == "active":
                self._state(names, "leaving")
                self.timers.after(span + 1.5, lambda: self._state(names, "active"))
            return
        fault, cleared = {
            "silent": ({"silent": True}, {"silent": False}),
            "slow": ({"slow": 0.3}, {"slow": 0.0}),
            "resets": ({"resets": 0.2}, {"resets": 0.0}),
        }[kind]
        self.box(names, set=fault)
        self.timers.after(span, lambda: self.box(names, set=cleared))

    def _cold(self, chance: Random) -> None:
        """Restart all caches of a location with empty storage."""
        zone = chance.randrange(self.zones)
        self.kill_site(zone)
        self.timers.after(0.3, lambda: self._restart_site(zone))

    def purge(self, key: str) -> None:
        self.purged.append((self.number + 1, key, time.time()))
        super().purge(key)

    def _is_caused_by_script(self, breach: Any, requests: dict[str, Any], names: dict[int, str]) -> bool:
        """Also excuse repeated requests of clients whose gateway was killed, as it may have executed them,
        and late answers of gateways that were paused."""
        if super()._is_caused_by_script(breach, requests, names):
            return True
        ref = re.search(r"\b[0-9a-f]{16}\b", breach.text)
        request = requests.get(ref[0]) if ref else None
        if request is None:
            return False
        if breach.rule == 1:
            spans = self.paused.get(names.get(request["gateway"], ""), ())
            return "too late" in breach.text and any(
                begin <= breach.at and request["at"] <= end for begin, end in spans
            )
        return breach.rule == 2 and any(
            port == request["gateway"] and begin - PROPAGATION_SECONDS <= request["at"] <= end
            for port, begin, end in self.halted
        )


def summed_counters(logs: list[str], group: str) -> Counter[str]:
    """Sum one group of the counters that gateways print at exit."""
    total: Counter[str] = Counter()
    for text in logs:
        for line in re.findall(rf" {group}: (.*)", text):
            total.update({name: int(count) for name, count in re.findall(r"(\w+)=(\d+)", line)})
    return total


def reported_violations(logs: dict[str, str], paused: Container[str]) -> Counter[str]:
    """Sum the violations that gateways reported, except late answers of gateways that were paused."""
    total: Counter[str] = Counter()
    for name, text in logs.items():
        violations = summed_counters([text], "violations")
        if name in paused:
            violations.pop("answered_late", None)
        total.update(violations)
    return +total


def run(
    seed: int,
    gateways: int,
    seconds: float,
    troubles: int,
    rate: float,
    keep: Path | None = None,
    options: SoakOptions = SoakOptions(),
) -> dict[str, Any]:
    """Make one run and return its report; event logs and process logs are copied to `keep` if given."""
    with tempfile.TemporaryDirectory(prefix="soak") as name:
        fleet = Soak(Path(name), seed, gateways, options)
        chance = fleet.chance("troubles")
        schedule = sorted(
            (chance.uniform(0, seconds), chance.choice(HARD_FAULT_KINDS if options.hard else FAULT_KINDS))
            for _ in range(troubles)
        )
        try:
            fleet.start()
            load = Load(fleet, rate, held=2)  # type: ignore[arg-type]
            scale = options.deadline / LONGEST_DEADLINE
            load.allows = tuple(int(allow * scale) for allow in (2500, 2500, 1500, 600, 120))
            load.forgets, load.resends_bookings = 0.05, True
            fleet.load = load
            kind_of_rude = PressingRude if options.press else Rude
            rude = kind_of_rude([gateway.port for gateway in fleet.gateways], fleet.chance("rude"))
            threading.Thread(target=fleet.watch_memory, daemon=True).start()
            load.start()
            rude.start()
            time.sleep(WARM_UP)
            began = time.monotonic()
            for at, kind in schedule:
                time.sleep(max(0.0, began + at - time.monotonic()))
                fleet.inject(kind, chance)
            time.sleep(max(0.0, began + seconds - time.monotonic()))
            for thread in fleet.threads:
                thread.join(EXIT_TIMEOUT + START_TIMEOUT)
            time.sleep(COOL_DOWN)
            rude.stop()
            load.stop()
            for gateway in fleet.gateways:
                fleet.end(gateway)
            entries = fleet.entries()
            breaches, beyond = fleet.judged(entries)
            seen = [*entries, *relay_entries(fleet.folder)]
            by_name = {path.stem: path.read_text() for path in sorted(fleet.folder.glob("n*.log"))}
            logs = list(by_name.values())
            violations = reported_violations(by_name, fleet.paused)
            if keep:
                kept = keep / str(seed)
                shutil.copytree(fleet.folder, kept, dirs_exist_ok=True)
                lines = "".join(json.dumps(entry) + "\n" for entry in entries)
                (kept / "account.jsonl").write_text(lines)
        finally:
            fleet.is_over.set()
            fleet.close()
    return {
        "seed": seed,
        "peak_memory_mb": round(fleet.peak_memory / MEGABYTE, 1),
        "memory_mb": options.memory_mb,
        "gateways": gateways,
        "seconds": seconds,
        "troubles": [f"{at:.2f} {kind}" for at, kind in schedule],
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
            {name: summed_counters(logs, "held")[name] for name in ("calls", "names", "reqs", "limits")}
        ),
        "faults": summed_counters(logs, "answers")["faults"],
        "codes": {str(code): many for code, many in fleet.exits.codes.items()},
        "ended_late": fleet.exits.late,
        "slowest_start_s": round(fleet.exits.slowest_start, 2),
        "refused": summed_counters(logs, "refused"),
        "retried": summed_counters(logs, "retried after"),
    }


def has_failed(report: dict[str, Any]) -> bool:
    """Return whether a run's report shows a failure."""
    return bool(
        report["breaches"]
        or sum(report["violations"].values())
        or report["exceptions"]
        or report["left_over"]
        or report["faults"]
        or report["ended_late"]
        or set(report["codes"]) - {"0"}
        or report["slowest_start_s"] > START_TIMEOUT
        or report.get("peak_memory_mb", 0) > report.get("memory_mb", 0)
    )


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--troubles", type=int, default=24)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--hard", action="store_true", help="series of signals, early kills, load spikes")
    parser.add_argument("--press", action="store_true", help="clients that take up memory and time")
    parser.add_argument("--memory", type=int, default=192, help="the gateways' limit in MB")
    parser.add_argument("--deadline", type=float, default=LONGEST_DEADLINE, help="the longest, in seconds")
    parser.add_argument(
        "--keep", type=Path, metavar="FOLDER", help="where event logs and process logs are kept"
    )
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    options = SoakOptions(args.hard, args.press, args.memory, args.deadline)
    reports = [
        run(seed, args.gateways, args.seconds, args.troubles, args.rate, args.keep, options)
        for seed in args.seeds
    ]
    tell({"runs": reports, "bad": [report["seed"] for report in reports if has_failed(report)]}, args.json)
    return 1 if any(map(has_failed, reports)) else 0


if __name__ == "__main__":
    sys.exit(main())
