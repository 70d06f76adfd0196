"""Measures a fleet's load on a cache in slow start: `python -m rigs.ramp [--gateways 24 --trials 20]`.

Real gateway processes run in front of one location of stub caches, each behind a relay, and their shares of
the traffic follow a Pareto distribution. In each trial one or two caches are listed as just started, some
gateways get the update late, and in half of the trials some or most gateways are restarted during the slow
start. The caches' event logs give the calls of all gateways in each window of the configured length. They
are compared with N, the calls of mean work that the settings allow a cold cache in that window. Random
variation may add 2 x root of N + 2.
"""

from __future__ import annotations

import argparse
import math
import sys
import tempfile
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

from rigs.fleet import BackendInfo, Fleet
from rigs.load import Load
from rigs.scene import Gateway
from rigs.told import tell

KBYTES = 400.0  # of each request of the load
CAPACITY = 5.0  # listed capacity of a cache's link, in concurrent transfers at the full rate
LATE_SHARE = 0.4  # share of the gateways that get an update late
MAX_UPDATE_DELAY = 1.5  # seconds
WARM_UP = 4.0  # seconds of service before the first trial
RESTARTED_FEW, RESTARTED_MOST = 1 / 6, 0.7  # shares of the gateways that are restarted
PARETO_SHAPE = 1.2  # of the distribution of the gateways' traffic


@dataclass(frozen=True)
class SlowStart:
    """The load limits that the settings set for a cache in slow start; durations in seconds."""

    floor: float  # share of its capacity that is available at the start
    warm: float  # age at which all of its capacity is available
    multiple: float  # of the available capacity; a cache that gets more load fails
    window: float  # length of the window in which calls are counted
    calls: float  # calls of mean work per second that it can serve when warm

    def allowed(self, age: float) -> float:
        """Return N, the calls that it may be sent in a window that ends at an age."""
        return self.multiple * (self.floor + (1 - self.floor) * age / self.warm) * self.calls * self.window

    def total(self) -> float:
        """Return the calls that are allowed over the whole slow start."""
        return self.multiple * self.calls * self.warm * (1 + self.floor) / 2


@dataclass(frozen=True)
class BudgetUse:
    """How much of a slow start's budget was used."""

    sent: int  # calls over the whole slow start
    part: float  # used share of what the settings allow over the whole slow start
    fullest: float  # most calls in a window, divided by its N
    over: float  # most calls in a window above its N, in units of root N; negative if N was never reached
    beyond_chance: int  # windows with more than N + 2 x root of N + 2 calls


def budget_use(ages: Iterable[float], start: SlowStart) -> BudgetUse:
    """Return the budget use of calls that came at these ages of a cache; the ages are sorted."""
    in_window: deque[float] = deque()
    sent, fullest, over, beyond = 0, 0.0, -math.inf, 0
    for age in ages:
        if not 0 <= age < start.warm:
            continue
        sent += 1
        in_window.append(age)
        while in_window[0] <= age - start.window:
            in_window.popleft()
        allowed = start.allowed(age)
        fullest = max(fullest, len(in_window) / allowed)
        over = max(over, (len(in_window) - allowed) / math.sqrt(allowed))
        beyond += len(in_window) > allowed + 2 * math.sqrt(allowed) + 2
    return BudgetUse(sent, sent / start.total(), fullest, over, beyond)


class Ramp(Fleet):
    """One location of caches behind many gateways; no planners."""

    def __init__(self, folder: Path, seed: int, gateways: int, warm: float, untold: bool = False) -> None:
        """`untold`: the gateways do not know the capacity of the caches and of the location's link."""
        self.warm, self.untold = warm, untold
        super().__init__(folder, seed, gateways, planners=0, zones=1, hubs=1, caches=4, parents=2)
        self.updated_at: dict[tuple[str, str], float] = {}  # by gateway and cache: time of the update

    def settings(self, zone: int, slot: int) -> dict[str, Any]:
        out = super().settings(zone, slot)
        out["obligations"]["coldNs"] = int(self.warm * 1e9)
        if self.untold:
            out["weightSource"] = "silent"
            del out["familyInfo"]["feedKbPerS"]
        return out

    def slow_start(self) -> SlowStart:
        """Return the slow start that the settings define."""
        settings = self.settings(0, 0)
        rules, pace = settings["obligations"], settings["familyInfo"]["paceKbPerS"]
        return SlowStart(
            rules["startCapacity"],
            self.warm,
            rules["tipMultiple"],
            rules["fallNs"] / 1e9,
            CAPACITY * pace / KBYTES,
        )

    def begin(self, backends: list[BackendInfo], delays: dict[str, float]) -> None:
        """List caches as just started; each gateway gets the update after its delay."""
        now, first = time.time(), self.number + 1
        for backend in backends:
            backend.started = now
            self.number += 1
            self.listed(backend)
        for gateway in self.gateways:
            self.timers.after(
                delays[gateway.name], lambda name=gateway.name: self._send_update(name, first, backends)
            )

    def _send_update(self, name: str, first: int, backends: list[BackendInfo]) -> None:
        for number, backend in enumerate(backends):
            self.updated_at.setdefault((name, backend.name), time.time())
            self.feeds[name].tell(first + number, backend)

    def restart(self, gateway: Gateway, backends: list[BackendInfo]) -> None:
        """Kill and restart a gateway; its new configuration holds the last start of each cache."""
        for backend in backends:
            self.updated_at.setdefault((gateway.name, backend.name), time.time())
        self._restart_gateway(gateway)

    def trial(self, number: int, load: Load) -> dict[str, float]:
        """Run one slow start, or two at once; return the start times by cache."""
        chance = self.chance(f"trial {number}")
        load.weights = [chance.paretovariate(PARETO_SHAPE) for _ in self.gateways]
        backends = chance.sample(self.caches, 2 if number % 3 == 2 else 1)
        self.updated_at.clear()
        self.begin(
            backends,
            {
                gateway.name: chance.uniform(0, MAX_UPDATE_DELAY) if chance.random() < LATE_SHARE else 0.0
                for gateway in self.gateways
            },
        )
        trial_began = time.monotonic()
        for at, gateway in self._restarts(chance, number):
            time.sleep(max(0.0, trial_began + at - time.monotonic()))
            self.restart(gateway, backends)
        time.sleep(max(0.0, trial_began + self.warm + 0.5 - time.monotonic()))
        return {backend.name: backend.started for backend in backends}

    def _restarts(self, chance: Random, number: int) -> list[tuple[float, Gateway]]:
        """Return the restarts of gateways, in seconds after the caches' start: in every fourth trial a few,
        each at its own time; in every other fourth most of them at once; otherwise none."""
        latest = 0.8 * self.warm
        if number % 4 == 1:
            few = chance.sample(self.gateways, round(RESTARTED_FEW * len(self.gateways)))
            return sorted(((chance.uniform(0, latest), one) for one in few), key=lambda one: one[0])
        if number % 4 == 3:
            at = chance.uniform(0, latest)
            return [
                (at, one) for one in chance.sample(self.gateways, round(RESTARTED_MOST * len(self.gateways)))
            ]
        return []


def measure_starts(
    entries: list[dict[str, Any]],
    names: dict[int, str],
    starts: dict[str, float],
    updated_at: dict[tuple[str, str], float],
    start: SlowStart,
) -> list[dict[str, Any]]:
    """Return the budget use of each start, by all gateways and by those that had got the update."""
    senders = {entry["ref"]: names[entry["gateway"]] for entry in entries if entry["what"] == "req"}
    report = []
    for name, began in starts.items():
        calls = [
            (entry["at"], senders.get(entry["ref"], ""))
            for entry in entries
            if entry["what"] == "do" and entry["who"] == name
        ]
        after_update = [at for at, who in calls if at >= updated_at.get((who, name), math.inf)]
        report.append(
            {
                "cache": name,
                "all": asdict(budget_use((at - began for at, _ in calls), start)),
                "told": asdict(budget_use((at - began for at in after_update), start)),
            }
        )
    return report


def run(
    gateways: int, trials: int, rate: float, warm: float, seed: int, untold: bool = False
) -> dict[str, Any]:
    """Run the trials one after the other on one fleet and return the report."""
    done, starts = [], []
    with tempfile.TemporaryDirectory(prefix="ramp") as folder:
        fleet = Ramp(Path(folder), seed, gateways, warm, untold)
        try:
            fleet.start()
            load = Load(fleet, rate)  # type: ignore[arg-type]
            load.start()
            time.sleep(WARM_UP)
            for number in range(trials):
                done.append((fleet.trial(number, load), dict(fleet.updated_at)))
            load.stop()
            entries, start = fleet.entries(), fleet.slow_start()
            names = {gateway.port: gateway.name for gateway in fleet.gateways}
            for began, updated_at in done:
                starts += measure_starts(entries, names, began, updated_at, start)
        finally:
            fleet.close()
    informed = [one["told"] for one in starts]
    return {
        "untold": untold,
        "gateways": gateways,
        "trials": trials,
        "rate": rate,
        "warm": warm,
        "seed": seed,
        "starts": len(starts),
        "asked": load.counts["asked"],
        "done": load.counts["done"],
        "n_at_first": start.allowed(0.0),
        "most_over": max(used["over"] for used in informed),
        "fullest": max(used["fullest"] for used in informed),
        "most_over_by_all": max(one["all"]["over"] for one in starts),
        "part_used": sum(used["part"] for used in informed) / len(informed),
        "beyond_chance": sum(used["beyond_chance"] for used in informed),
        "each": starts,
    }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.ramp", description=__doc__)
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--trials", type=int, default=20)
    parser.add_argument("--rate", type=float, default=240.0, help="requests per second of all clients")
    parser.add_argument(
        "--warm", type=float, default=8.0, help="seconds until all of a cache's capacity is available"
    )
    parser.add_argument("--untold", action="store_true", help="gateways do not know the caches' capacity")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    report = run(args.gateways, args.trials, args.rate, args.warm, args.seed, args.untold)
    tell(report, args.json)
    return 1 if report["beyond_chance"] else 0


if __name__ == "__main__":
    sys.exit(main())
