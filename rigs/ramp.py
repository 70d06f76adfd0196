"""What a fleet sends a server that has just started: `python -m rigs.ramp [--gateways 24 --trials 20]`.

Real gateway processes before one location of stand-in caches, each behind a relay, with traffic as uneven as
a Pareto distribution makes it. In each trial one or two caches are listed as started anew, the news reaches
some gateways late, and in half of the trials some gateways, or most of them at once, are restarted during the
slow start. Counted by the caches' own accounts: the calls of all gateways in every window of the settings'
length, beside N, the calls of mean work that the settings allow a cold server in it. Chance may add
2 x root of N + 2.
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

from rigs.fleet import Fleet, Meta
from rigs.load import Load
from rigs.scene import Gateway
from rigs.told import tell

KBYTES = 400.0  # of each request of the load
CAPACITY = 5.0  # transfers at full pace that a cache's link carries, as it is listed
LATE = 0.4  # part of the gateways that the news reaches late
LATEST = 1.5  # seconds
SETTLES = 4.0  # seconds of service before the first trial
FEW, MOST = 1 / 6, 0.7  # parts of the gateways that are restarted
UNEVEN = 1.2  # shape of the Pareto distribution of the gateways' traffic


@dataclass(frozen=True)
class SlowStart:
    """What the settings promise of a server that has started; spans in seconds."""

    floor: float  # part of its capacity that it has at once
    warm: float  # when it has all of it
    multiple: float  # of its capacity at a time: sent more than that, it falls over
    window: float  # counted over so long
    calls: float  # of mean work that it can do in a second when warm

    def allowed(self, age: float) -> float:
        """N: the calls that it may be sent in a window that ends at an age."""
        return self.multiple * (self.floor + (1 - self.floor) * age / self.warm) * self.calls * self.window

    def total(self) -> float:
        """The calls allowed over the whole start."""
        return self.multiple * self.calls * self.warm * (1 + self.floor) / 2


@dataclass(frozen=True)
class Use:
    """How a budget was used."""

    sent: int  # calls over the whole start
    part: float  # of what the settings allow over the whole start
    fullest: float  # the most in a window, as a part of its N
    over: float  # the most in a window above its N, in units of root N; below 0: never so many
    beyond_chance: int  # windows with more than N + 2 x root of N + 2


def use(ages: Iterable[float], start: SlowStart) -> Use:
    """Of calls that came at some ages of a server, in order."""
    within: deque[float] = deque()
    sent, fullest, over, beyond = 0, 0.0, -math.inf, 0
    for age in ages:
        if not 0 <= age < start.warm:
            continue
        sent += 1
        within.append(age)
        while within[0] <= age - start.window:
            within.popleft()
        allowed = start.allowed(age)
        fullest = max(fullest, len(within) / allowed)
        over = max(over, (len(within) - allowed) / math.sqrt(allowed))
        beyond += len(within) > allowed + 2 * math.sqrt(allowed) + 2
    return Use(sent, sent / start.total(), fullest, over, beyond)


class Ramp(Fleet):
    """One location of caches behind many gateways; no planners."""

    def __init__(self, folder: Path, seed: int, gateways: int, warm: float, untold: bool = False) -> None:
        """`untold`: the gateways are told nothing of what a cache, or the location's link, can do."""
        self.warm, self.untold = warm, untold
        super().__init__(folder, seed, gateways, planners=0, zones=1, hubs=1, caches=4, parents=2)
        self.heard: dict[tuple[str, str], float] = {}  # gateway and cache: when it was told of the start

    def settings(self, zone: int, slot: int) -> dict[str, Any]:
        out = super().settings(zone, slot)
        out["obligations"]["coldNs"] = int(self.warm * 1e9)
        if self.untold:
            out["weightSource"] = "silent"
            del out["familyInfo"]["feedKbPerS"]
        return out

    def slow_start(self) -> SlowStart:
        """As the settings have it."""
        settings = self.settings(0, 0)
        rules, pace = settings["obligations"], settings["familyInfo"]["paceKbPerS"]
        return SlowStart(
            rules["startCapacity"],
            self.warm,
            rules["tipMultiple"],
            rules["fallNs"] / 1e9,
            CAPACITY * pace / KBYTES,
        )

    def begin(self, backends: list[Meta], delays: dict[str, float]) -> None:
        """Some caches have started just now, and each gateway hears of it after a delay."""
        now, first = time.time(), self.number + 1
        for backend in backends:
            backend.started = now
            self.number += 1
            self.listed(backend)
        for gateway in self.gateways:
            self.timers.after(
                delays[gateway.name], lambda name=gateway.name: self._hears(name, first, backends)
            )

    def _hears(self, name: str, first: int, backends: list[Meta]) -> None:
        for place, backend in enumerate(backends):
            self.heard.setdefault((name, backend.name), time.time())
            self.feeds[name].tell(first + place, backend)

    def restart(self, gateway: Gateway, backends: list[Meta]) -> None:
        """It is killed and started anew, and its configuration tells it of all starts so far."""
        for backend in backends:
            self.heard.setdefault((gateway.name, backend.name), time.time())
        self._again(gateway)

    def trial(self, number: int, load: Load) -> dict[str, float]:
        """One slow start, or two at once; returns the caches by their starts."""
        chance = self.chance(f"trial {number}")
        load.weights = [chance.paretovariate(UNEVEN) for _ in self.gateways]
        backends = chance.sample(self.caches, 2 if number % 3 == 2 else 1)
        self.heard.clear()
        self.begin(
            backends,
            {
                gateway.name: chance.uniform(0, LATEST) if chance.random() < LATE else 0.0
                for gateway in self.gateways
            },
        )
        begun = time.monotonic()
        for at, gateway in self._restarts(chance, number):
            time.sleep(max(0.0, begun + at - time.monotonic()))
            self.restart(gateway, backends)
        time.sleep(max(0.0, begun + self.warm + 0.5 - time.monotonic()))
        return {backend.name: backend.started for backend in backends}

    def _restarts(self, chance: Random, number: int) -> list[tuple[float, Gateway]]:
        """When which gateways are restarted: in every fourth trial a few, each at its time; in every fourth
        most of them at once; else none. Seconds after the caches' start."""
        latest = 0.8 * self.warm
        if number % 4 == 1:
            few = chance.sample(self.gateways, round(FEW * len(self.gateways)))
            return sorted(((chance.uniform(0, latest), one) for one in few), key=lambda one: one[0])
        if number % 4 == 3:
            at = chance.uniform(0, latest)
            return [(at, one) for one in chance.sample(self.gateways, round(MOST * len(self.gateways)))]
        return []


def measured(
    entries: list[dict[str, Any]],
    names: dict[int, str],
    starts: dict[str, float],
    heard: dict[tuple[str, str], float],
    start: SlowStart,
) -> list[dict[str, Any]]:
    """How each start was used: by all gateways, and by those that had been told of it."""
    senders = {entry["ref"]: names[entry["gateway"]] for entry in entries if entry["what"] == "req"}
    out = []
    for name, began in starts.items():
        calls = [
            (entry["at"], senders.get(entry["ref"], ""))
            for entry in entries
            if entry["what"] == "do" and entry["who"] == name
        ]
        told = [at for at, who in calls if at >= heard.get((who, name), math.inf)]
        out.append(
            {
                "cache": name,
                "all": asdict(use((at - began for at, _ in calls), start)),
                "told": asdict(use((at - began for at in told), start)),
            }
        )
    return out


def run(
    gateways: int, trials: int, rate: float, warm: float, seed: int, untold: bool = False
) -> dict[str, Any]:
    """Trials one after the other on one fleet."""
    done, starts = [], []
    with tempfile.TemporaryDirectory(prefix="ramp") as folder:
        fleet = Ramp(Path(folder), seed, gateways, warm, untold)
        try:
            fleet.start()
            load = Load(fleet, rate)  # type: ignore[arg-type]
            load.start()
            time.sleep(SETTLES)
            for number in range(trials):
                done.append((fleet.trial(number, load), dict(fleet.heard)))
            load.stop()
            entries, start = fleet.entries(), fleet.slow_start()
            names = {gateway.port: gateway.name for gateway in fleet.gateways}
            for began, heard in done:
                starts += measured(entries, names, began, heard, start)
        finally:
            fleet.close()
    told = [one["told"] for one in starts]
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
        "most_over": max(one["over"] for one in told),
        "fullest": max(one["fullest"] for one in told),
        "most_over_by_all": max(one["all"]["over"] for one in starts),
        "part_used": sum(one["part"] for one in told) / len(told),
        "beyond_chance": sum(one["beyond_chance"] for one in told),
        "each": starts,
    }


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.ramp", description=__doc__)
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--trials", type=int, default=20)
    parser.add_argument("--rate", type=float, default=240.0, help="requests a second of all clients")
    parser.add_argument("--warm", type=float, default=8.0, help="seconds until a cache has all its capacity")
    parser.add_argument("--untold", action="store_true", help="nothing is told of what caches can do")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    report = run(given.gateways, given.trials, given.rate, given.warm, given.seed, given.untold)
    tell(report, given.json)
    return 1 if report["beyond_chance"] else 0


if __name__ == "__main__":
    sys.exit(main())
