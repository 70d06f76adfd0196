"""A location lost and back, in virtual time: `python -m rigs.zones silent-cold --seeds 8 [--json FILE]`.

The same world, clients and faults by seed under several ways of deciding: `alone` (each gateway by itself),
`planes` (planners, locations not left: our earlier version), `leaves` (locations are left, past their caches,
and returned to), `across` (the same, to others' caches), `oracle` (reads the world). What is said: worth in
all, in the trouble and in the 20 s after it; when nine tenths of a lost location's reqs went elsewhere, from
the first that was not answered; what was sent into it; which were left, how often; rules broken.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from lilacloft.emulator import faults as language
from lilacloft.emulator.chance import Chance
from lilacloft.emulator.faults import Fault, parse
from lilacloft.emulator.fleet import START, Fleet
from lilacloft.emulator.planes import Planes, Trouble, troubles
from lilacloft.emulator.policies import POLICIES
from lilacloft.emulator.worlds import READS, SECOND, World
from lilacloft.zones.course import LEFT

WAYS = ("alone", "planes", "leaves", "across", "oracle")


@dataclass(frozen=True)
class Script:
    """What happens: faults, planners' troubles, and from when to when it is trouble."""

    faults: str
    troubles: tuple[Trouble, ...] = ()
    begin: float = 4.0
    end: float = 9.0
    span: float = 30.0
    parent: float = 16.0  # transfers that one parent can send at once


def turns(seconds: float, length: float) -> str:
    """A location that is silent by turns."""
    out, at = [], 4.0
    while at + length < seconds:
        out.append(f"(at {at:g}s (silent (zone 1)) (for {length:g}s))")
        at += 2 * length
    return " ".join(out)


SILENT = "(at 4s (silent (zone 1)) (for 5s))"
SCRIPTS = {
    "silent-cold": Script(f"{SILENT} (at 8.9s (cold (zone 1)))"),
    "silent": Script(SILENT),
    "mute": Script("(at 4s (mute (zone 1)) (for 5s))"),
    "deaf": Script("(at 4s (deaf (zone 1)) (for 5s))"),
    "apart": Script("(at 4s (apart (zone 1)) (for 5s))"),
    "down": Script("(at 4s (down (zone 1)) (for 5s))"),
    "hub": Script("(at 4s (silent (hub 1)) (for 5s)) (at 8.9s (cold (hub 1)))"),
    "two": Script(
        "(at 4s (silent (zone 1)) (for 5s)) (at 4s (silent (zone 2)) (for 5s)) "
        "(at 8.9s (cold (zone 1))) (at 8.9s (cold (zone 2)))"
    ),
    "second": Script(
        f"{SILENT} (at 8.9s (cold (zone 1))) (at 13s (silent (zone 2)) (for 4s)) (at 16.9s (cold (zone 2)))",
        end=17.0,
        span=36.0,
    ),
    "turns": Script(turns(60.0, 3.0), end=60.0, span=80.0),
    "turns-long": Script(turns(600.0, 3.0), end=600.0, span=620.0),
    "half": Script(f"{SILENT} (at 8.9s (cold (version 1)))"),  # every second box anew at the return
    "issuer": Script(f"{SILENT} (at 8.9s (cold (zone 1)))", (Trouble("kill", 0, 45_000, 120_000),)),
    "issuer-back": Script(f"{SILENT} (at 8.9s (cold (zone 1)))", (Trouble("kill", 0, 115_000, 60_000),)),
    "nobody": Script(
        f"{SILENT} (at 8.9s (cold (zone 1)))",
        tuple(Trouble("kill", number, 60_000, 400_000) for number in range(3)),
        span=40.0,
    ),
    "drain": Script(
        f"{SILENT} (at 8.9s (cold (zone 1))) (at 13s (drain (zone 1)) (for 4s))", end=17.0, span=36.0
    ),
    "purge": Script(
        f"{SILENT} (at 8.9s (cold (zone 1))) (at 6s (purge (group 1) 4)) (at 12s (purge (group 2) 8))"
    ),
    "slow-origin": Script("(at 4s (slow origin 8) (for 5s))"),
    "lone": Script(f"{SILENT} (at 3s (lone (zone 1)) (for 8s))"),
    "unlogged": Script(f"{SILENT} (at 8.9s (cold (zone 1))) (at 3s (unlogged (zone 1)) (for 8s))"),
    "calm": Script(""),
    "drawn": Script("", begin=0.0, end=10.0, span=16.0),  # four faults of any kind, from the seed
    "tight": Script(f"{SILENT} (at 8.9s (cold (zone 1)))", parent=0.4),
}


def world(
    caches: int = 200, gateways: int = 50, rate: float = 600.0, zones: int = 4, span: float = 30.0
) -> World:
    """A large site: locations of one size, parents in two hubs that can bear a lost location."""
    return World(
        "site",
        zones=zones,
        caches=caches // zones,
        gateways=max(1, gateways // zones),
        parents=8,
        hubs=2,
        cells=4,
        span=int(span * SECOND),
        habits=replace(READS, rate=rate, objects=10 * caches, drift=0.2),
    )


class Watched:
    """Counts by second what clients asked and were served, by their gateway's location, and what came to
    boxes."""

    def watch(self) -> None:
        self.could_at: dict[int, float] = {}
        self.earned_at: dict[int, float] = {}
        self.sent_to: dict[tuple[int, int], int] = {}  # by tenth of a second: dispatches into a location
        self.asked_in: dict[tuple[int, int], int] = {}  # and reqs of its gateways
        self.took_in: dict[int, list[int]] = {}  # what was done, by location: how long it took

    def _comes_in(self) -> None:
        before = self.could
        super()._comes_in()
        at = (self.events.now - START) // SECOND
        self.could_at[at] = self.could_at.get(at, 0.0) + self.could - before

    def final(self, gateway: Any, number: int, ask: Any, word: str, after: int, dispatch: Any) -> None:
        before, asked = self.earned, self.asked_at.get(number, ask.first)  # this try, not the first
        super().final(gateway, number, ask, word, after, dispatch)
        at = (ask.first - START) // SECOND
        self.earned_at[at] = self.earned_at.get(at, 0.0) + self.earned - before
        if word == "done":
            self.took_in.setdefault(gateway.zone, []).append(self.events.now - asked)

    def sending(self, dispatch: Any, number: int, source: Any) -> None:
        at = (self.events.now - START) // 1000, dispatch.box.zone
        self.sent_to[at] = self.sent_to.get(at, 0) + 1
        if dispatch.seq == 0:
            mine = at[0], dispatch.gateway.zone
            self.asked_in[mine] = self.asked_in.get(mine, 0) + 1
        super().sending(dispatch, number, source)


class WatchedFleet(Watched, Fleet):
    """One level."""


class WatchedPlanes(Watched, Planes):
    """Two levels."""


def one(script: str, way: str, seed: int, sizes: tuple[int, int, float, int]) -> dict[str, Any]:
    """One run."""
    told = SCRIPTS[script]
    place = replace(world(*sizes, span=told.span), parent_size=told.parent)
    faults: list[Fault] = parse(told.faults)
    if script == "drawn":
        faults = language.draw(Chance(seed).stream("faults"), place.sizes(), 8 * SECOND, 4)
    if way in ("alone", "oracle"):
        fleet: Any = WatchedFleet(place, seed, faults, POLICIES["module" if way == "alone" else "oracle"])
    else:
        fleet = WatchedPlanes(
            place,
            seed,
            faults,
            troubles=told.troubles,
            leave={"planes": "never", "leaves": "past"}.get(way, way),
        )
    fleet.watch()
    result = fleet.run()

    def worth(begin: float, end: float) -> float:
        could = sum(fleet.could_at.get(at, 0.0) for at in range(int(begin), int(end)))
        earned = sum(fleet.earned_at.get(at, 0.0) for at in range(int(begin), int(end)))
        return earned / could if could else 1.0

    out = {
        "script": script,
        "way": way,
        "seed": seed,
        "worth": result.worth,
        "p99": result.p99,
        "trouble": worth(told.begin, told.end),
        "after": worth(told.end, told.end + 20),
        "fell": result.fell,
        "denied": result.denied,
        "breaches": [str(one) for one in result.breaches[:5]],
        "broken": len(result.breaches),
        "elsewhere": None,
        "into": 0,
        "left": [],
        "changes": 0,
    }
    struck = {int(fault.which) for fault in faults if fault.whom == "zone"}
    others = sorted(took for zone, all_ in fleet.took_in.items() if zone not in struck for took in all_)
    out["others_p99"] = others[len(others) * 99 // 100] / 10 if others else 0.0
    lost = [fault for fault in faults if fault.whom == "zone" and fault.kind in ("silent", "mute", "deaf")]
    if lost:
        out["elsewhere"], out["into"] = gone(fleet, lost[0])
    if way in ("leaves", "across"):
        for plane in fleet.planners:
            decider = plane.planner.locations.decider
            for zone, course in (decider.courses if decider else {}).items():
                mine = [(at - plane.now() + fleet.events.now - START, text) for at, text in course.log]
                out["left"] += [f"{plane.name} {zone} at {at / SECOND:.2f} s: {text}" for at, text in mine]
        # who followed another has the same changes once more
        out["changes"] = max(
            sum(
                text.startswith(LEFT)
                for text in (
                    line.partition(": ")[2] for line in out["left"] if line.startswith(f"{plane.name} ")
                )
            )
            for plane in fleet.planners
        )
    return out


def gone(fleet: Any, fault: Fault) -> tuple[float | None, int]:
    """From a location's loss on: after how many seconds nine tenths of its reqs went elsewhere at once (for
    half a second), and how many dispatches were sent into it while it was lost."""
    zone, begin, end = int(fault.which), fault.at // 1000, fault.end // 1000
    into = sum(fleet.sent_to.get((at, zone), 0) for at in range(begin, end))
    for at in range(begin, end - 5):
        sent = sum(fleet.sent_to.get((at + more, zone), 0) for more in range(5))
        asked = sum(fleet.asked_in.get((at + more, zone), 0) for more in range(5))
        if asked and sent <= 0.1 * asked:
            return (at - begin) / 10, into
    return None, into


HURT = {"lossy": 2, "deaf": 2, "mute": 2, "lag": 1, "break": 1, "clock": 1, "restart": 2, "stop": 2}


def hurt(seed: int) -> list[str]:
    """A small world in which only observers are hurt: gateways by drawn faults, planners by drawn troubles.
    Returns what was decided of any location, and any rule that was broken."""
    place = world(24, 12, 110.0, 4, span=8.0)
    stream = Chance(seed).stream("hurt")
    drawn = language.draw(stream, {"gateway": 12}, 6 * SECOND, 4, dict(HURT))
    fleet = Planes(place, seed, drawn, troubles=troubles(stream, 3, 6 * SECOND, 2), leave="past")
    result = fleet.run()
    said = [
        f"{plane.name} {zone}: {text}"
        for plane in fleet.planners
        if plane.planner.locations.decider
        for zone, course in plane.planner.locations.decider.courses.items()
        for _, text in course.log
    ]
    return [*said, *(str(one) for one in result.breaches)]


def observers(seeds: int, processes: int) -> dict[str, Any]:
    """So many of them."""
    with ProcessPoolExecutor(processes) as pool:
        told = list(pool.map(hurt, range(1, seeds + 1), chunksize=8))
    wrong = {seed: lines for seed, lines in enumerate(told, 1) if lines}
    return {"seeds": seeds, "wrong": len(wrong), "first": dict(list(wrong.items())[:5])}


def mean(rows: list[dict[str, Any]], what: str) -> float:
    values = [row[what] for row in rows if row[what] is not None]
    return statistics.fmean(values) if values else float("nan")


def run(
    script: str, seeds: int, sizes: tuple[int, int, float, int], ways: tuple[str, ...], processes: int
) -> dict[str, Any]:
    """All seeds of one script."""
    with ProcessPoolExecutor(processes) as pool:
        jobs = [pool.submit(one, script, way, seed, sizes) for seed in range(1, seeds + 1) for way in ways]
        rows = [job.result() for job in jobs]
    summary = {}
    for way in ways:
        mine = [row for row in rows if row["way"] == way]
        away = sorted(row["elsewhere"] for row in mine if row["elsewhere"] is not None)
        summary[way] = {
            **{
                what: round(mean(mine, what), 4)
                for what in (
                    "worth",
                    "trouble",
                    "after",
                    "p99",
                    "others_p99",
                    "into",
                    "fell",
                    "denied",
                    "changes",
                )
            },
            "elsewhere": [away[len(away) // 2], away[-1]] if away else None,
            "never": sum(row["elsewhere"] is None for row in mine),
            "broken": sum(row["broken"] for row in mine),
        }
    return {"script": script, "seeds": seeds, "sizes": sizes, "summary": summary, "rows": rows}


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.zones", description=__doc__)
    parser.add_argument("scripts", nargs="+", choices=[*SCRIPTS, "all", "observers"])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--caches", type=int, default=200)
    parser.add_argument("--gateways", type=int, default=50)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    sizes = (given.caches, given.gateways, given.rate, given.zones)
    if "observers" in given.scripts:
        told = observers(given.seeds, given.processes)
        print(json.dumps(told, indent=1))
        return 1 if told["wrong"] else 0
    out = []
    for script in SCRIPTS if "all" in given.scripts else given.scripts:
        report = run(script, given.seeds, sizes, tuple(given.ways.split(",")), given.processes)
        out.append(report)
        print(script)
        for way, told in report["summary"].items():
            print(f"  {way:8}", " ".join(f"{what}={value}" for what, value in told.items()), flush=True)
        for row in report["rows"]:
            for text in row["breaches"]:
                print(f"  {row['way']} seed {row['seed']}: {text}")
    if given.json:
        Path(given.json).write_text(json.dumps(out, indent=1) + "\n")
    return 1 if any(row["broken"] for report in out for row in report["rows"]) else 0


if __name__ == "__main__":
    sys.exit(main())
