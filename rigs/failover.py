"""Emulates the loss and return of a location: `python -m rigs.failover silent-cold --seeds 8 [--json FILE]`.

Each seed gives the same scenario, clients and faults to several policies: `alone` (each gateway decides by
itself), `planes` (planners without failover of locations, as in an earlier version), `leaves` (locations fail
over past their caches, and fail back), `across` (they fail over to the caches of other locations), `oracle`
(knows the state of the scenario). The report has the score over all, during the faults and in the 20 s after
them; the time from a location's loss until nine tenths of its requests went elsewhere; the attempts sent into
it; which locations failed over and how often; and the rules that were broken.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass, replace
from pathlib import Path
from typing import Any

from lilacloft.emulator import faults as language
from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.faults import Fault, parse
from lilacloft.emulator.fleet import START, Fleet
from lilacloft.emulator.planes import PlannedFleet, PlannerFault, troubles
from lilacloft.emulator.policies import POLICIES
from lilacloft.emulator.worlds import READS, SECOND, World
from lilacloft.failover.failover_state import FailoverPhase

POLICY_NAMES = ("alone", "planes", "leaves", "across", "oracle")


@dataclass(frozen=True)
class Script:
    """Faults of the fleet and of planners, and the time span in seconds in which the faults act."""

    faults: str
    troubles: tuple[PlannerFault, ...] = ()
    begin: float = 4.0
    end: float = 9.0
    span: float = 30.0
    parent: float = 16.0  # concurrent transfers that one parent can send


def alternating(seconds: float, length: float) -> str:
    """Return the faults of a location that alternately answers and does not."""
    faults, at = [], 4.0
    while at + length < seconds:
        faults.append(f"(at {at:g}s (silent (zone 1)) (for {length:g}s))")
        at += 2 * length
    return " ".join(faults)


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
    "turns": Script(alternating(60.0, 3.0), end=60.0, span=80.0),
    "turns-long": Script(alternating(600.0, 3.0), end=600.0, span=620.0),
    "half": Script(f"{SILENT} (at 8.9s (cold (version 1)))"),  # every second cache is empty at the return
    "issuer": Script(f"{SILENT} (at 8.9s (cold (zone 1)))", (PlannerFault("kill", 0, 45_000, 120_000),)),
    "issuer-back": Script(f"{SILENT} (at 8.9s (cold (zone 1)))", (PlannerFault("kill", 0, 115_000, 60_000),)),
    "nobody": Script(
        f"{SILENT} (at 8.9s (cold (zone 1)))",
        tuple(PlannerFault("kill", number, 60_000, 400_000) for number in range(3)),
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
    "drawn": Script("", begin=0.0, end=10.0, span=16.0),  # four random faults of any kind
    "tight": Script(f"{SILENT} (at 8.9s (cold (zone 1)))", parent=0.4),
}


@dataclass(frozen=True)
class WorldSize:
    """The size of a scenario."""

    caches: int = 200
    gateways: int = 50
    rate: float = 600.0  # requests per second
    zones: int = 4


def build_world(size: WorldSize, span: float = 30.0) -> World:
    """Return a large scenario: locations of equal size, and parents in two hubs that can serve for a lost
    location. `span`: in seconds."""
    return World(
        "site",
        zones=size.zones,
        caches=size.caches // size.zones,
        gateways=max(1, size.gateways // size.zones),
        parents=8,
        hubs=2,
        cells=4,
        span=int(span * SECOND),
        habits=replace(READS, rate=size.rate, objects=10 * size.caches, drift=0.2),
    )


class FleetObserver:
    """Counts the requests and answers of clients by second and location of the gateway, and the dispatches to
    backends."""

    def watch(self) -> None:
        self.could_at: dict[int, float] = {}
        self.earned_at: dict[int, float] = {}
        self.sent_to: dict[tuple[int, int], int] = {}  # dispatches, by tenth of a second and location
        self.asked_in: dict[tuple[int, int], int] = {}  # requests of its gateways
        self.took_in: dict[int, list[int]] = {}  # durations of answered requests, by location

    def served_share(self, begin: float, end: float) -> float:
        """Return the served share of the requested value between two times in seconds."""
        seconds = range(int(begin), int(end))
        could = sum(self.could_at.get(at, 0.0) for at in seconds)
        earned = sum(self.earned_at.get(at, 0.0) for at in seconds)
        return earned / could if could else 1.0

    def _client_arrives(self) -> None:
        before = self.could
        super()._client_arrives()
        at = (self.events.now - START) // SECOND
        self.could_at[at] = self.could_at.get(at, 0.0) + self.could - before

    def final(self, gateway: Any, number: int, ask: Any, word: str, after: int, dispatch: Any) -> None:
        # the duration counts from when this client retry was sent, not from the first request (`ask.first`)
        before, asked = self.earned, self.asked_at.get(number, ask.first)
        super().final(gateway, number, ask, word, after, dispatch)
        at = (ask.first - START) // SECOND
        self.earned_at[at] = self.earned_at.get(at, 0.0) + self.earned - before
        if word == "done":
            self.took_in.setdefault(gateway.zone, []).append(self.events.now - asked)

    def sending(self, dispatch: Any, number: int, source: Any) -> None:
        at = (self.events.now - START) // 1000, dispatch.box.zone
        self.sent_to[at] = self.sent_to.get(at, 0) + 1
        if dispatch.seq == 0:
            own = at[0], dispatch.gateway.zone
            self.asked_in[own] = self.asked_in.get(own, 0) + 1
        super().sending(dispatch, number, source)


class ObservedFleet(FleetObserver, Fleet):
    """A fleet without planners, observed."""


class ObservedPlanes(FleetObserver, PlannedFleet):
    """A fleet with planners, observed."""


def run_world(script_name: str, way: str, seed: int, size: WorldSize) -> dict[str, Any]:
    """Run one scenario under one policy; return its row of the report."""
    script = SCRIPTS[script_name]
    world = replace(build_world(size, script.span), parent_size=script.parent)
    faults: list[Fault] = parse(script.faults)
    if script_name == "drawn":
        faults = language.draw(RandomStreams(seed).stream("faults"), world.sizes(), 8 * SECOND, 4)
    fleet = _fleet(world, way, seed, faults, script.troubles)
    fleet.watch()
    result = fleet.run()
    row = {
        "script": script_name,
        "way": way,
        "seed": seed,
        "worth": result.worth,
        "p99": result.p99,
        "trouble": fleet.served_share(script.begin, script.end),
        "after": fleet.served_share(script.end, script.end + 20),
        "fell": result.fell,
        "denied": result.denied,
        "breaches": [str(breach) for breach in result.breaches[:5]],
        "broken": len(result.breaches),
        "elsewhere": None,
        "into": 0,
        "left": [],
        "changes": 0,
    }
    row["others_p99"] = _p99_elsewhere(fleet, faults)
    lost = [fault for fault in faults if fault.whom == "zone" and fault.kind in ("silent", "mute", "deaf")]
    if lost:
        row["elsewhere"], row["into"] = time_to_failover(fleet, lost[0])
    if way in ("leaves", "across"):
        row["left"] = _history(fleet)
        row["changes"] = _count_failovers(fleet, row["left"])
    return row


def _fleet(
    world: World, way: str, seed: int, faults: list[Fault], planner_troubles: tuple[PlannerFault, ...]
) -> Any:
    """Return the fleet with a policy."""
    if way in ("alone", "oracle"):
        return ObservedFleet(world, seed, faults, POLICIES["module" if way == "alone" else "oracle"])
    leave = {"planes": "never", "leaves": "past"}.get(way, way)
    return ObservedPlanes(world, seed, faults, troubles=planner_troubles, leave=leave)


def _p99_elsewhere(fleet: Any, faults: list[Fault]) -> float:
    """Return the 99th percentile of the answer times in the locations without a fault, in milliseconds."""
    faulty_zones = {int(fault.which) for fault in faults if fault.whom == "zone"}
    times = sorted(
        duration for zone, all_ in fleet.took_in.items() if zone not in faulty_zones for duration in all_
    )
    return times[len(times) * 99 // 100] / 10 if times else 0.0


def _history(fleet: Any) -> list[str]:
    """Return the planners' decisions on locations, with times on the fleet's clock."""
    lines = []
    for plane in fleet.planners:
        zones = plane.planner.locations.failover_controller
        for zone, state in (zones.states if zones else {}).items():
            offset = fleet.events.now - START - plane.now()
            lines += [
                f"{plane.name} {zone} at {(at + offset) / SECOND:.2f} s: {text}" for at, text in state.history
            ]
    return lines


def _count_failovers(fleet: Any, history: list[str]) -> int:
    """Return how often a location failed over. A standby planner repeats the active one's changes, so this
    is the maximum over the planners."""
    return max(
        sum(
            line.startswith(f"{plane.name} ")
            and line.partition(": ")[2].startswith(FailoverPhase.FAILED_OVER)
            for line in history
        )
        for plane in fleet.planners
    )


def time_to_failover(fleet: Any, fault: Fault) -> tuple[float | None, int]:
    """Return the seconds from a location's loss until nine tenths of its requests went elsewhere for half a
    second (None if never), and the number of attempts that were sent into it while it was lost."""
    zone, begin, end = int(fault.which), fault.at // 1000, fault.end // 1000
    into = sum(fleet.sent_to.get((at, zone), 0) for at in range(begin, end))
    for at in range(begin, end - 5):
        sent = sum(fleet.sent_to.get((at + more, zone), 0) for more in range(5))
        asked = sum(fleet.asked_in.get((at + more, zone), 0) for more in range(5))
        if asked and sent <= 0.1 * asked:
            return (at - begin) / 10, into
    return None, into


OBSERVER_FAULTS = {
    "lossy": 2,
    "deaf": 2,
    "mute": 2,
    "lag": 1,
    "break": 1,
    "clock": 1,
    "restart": 2,
    "stop": 2,
}


OBSERVERS_SIZE = WorldSize(24, 12, 110.0, 4)


def run_with_faulty_observers(seed: int) -> list[str]:
    """Run a small scenario with random faults of gateways and planners only. Return all decisions on
    locations and all breaches of rules; none are expected."""
    world = build_world(OBSERVERS_SIZE, span=8.0)
    stream = RandomStreams(seed).stream("hurt")
    faults = language.draw(stream, {"gateway": 12}, 6 * SECOND, 4, dict(OBSERVER_FAULTS))
    fleet = PlannedFleet(world, seed, faults, troubles=troubles(stream, 3, 6 * SECOND, 2), leave="past")
    result = fleet.run()
    decided = [
        f"{plane.name} {zone}: {text}"
        for plane in fleet.planners
        if plane.planner.locations.failover_controller
        for zone, state in plane.planner.locations.failover_controller.states.items()
        for _, text in state.history
    ]
    return [*decided, *(str(breach) for breach in result.breaches)]


def run_observers(seeds: int, processes: int) -> dict[str, Any]:
    """Run scenarios with faulty observers, seeds 1 to `seeds`; the report counts those with any decision
    or breach."""
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(run_with_faulty_observers, range(1, seeds + 1), chunksize=8))
    wrong = {seed: lines for seed, lines in enumerate(results, 1) if lines}
    return {"seeds": seeds, "wrong": len(wrong), "first": dict(list(wrong.items())[:5])}


MEANS = ("worth", "trouble", "after", "p99", "others_p99", "into", "fell", "denied", "changes")


def _mean(rows: list[dict[str, Any]], column: str) -> float:
    values = [row[column] for row in rows if row[column] is not None]
    return statistics.fmean(values) if values else float("nan")


def _summary(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the means of the rows of one policy."""
    times = sorted(row["elsewhere"] for row in rows if row["elsewhere"] is not None)
    return {
        **{column: round(_mean(rows, column), 4) for column in MEANS},
        "elsewhere": [times[len(times) // 2], times[-1]] if times else None,
        "never": sum(row["elsewhere"] is None for row in rows),
        "broken": sum(row["broken"] for row in rows),
    }


def run_script(
    script: str, seeds: int, size: WorldSize, ways: tuple[str, ...], processes: int
) -> dict[str, Any]:
    """Run all seeds of one script under all policies."""
    with ProcessPoolExecutor(processes) as pool:
        jobs = [
            pool.submit(run_world, script, way, seed, size) for seed in range(1, seeds + 1) for way in ways
        ]
        rows = [job.result() for job in jobs]
    summary = {way: _summary([row for row in rows if row["way"] == way]) for way in ways}
    return {"script": script, "seeds": seeds, "sizes": astuple(size), "summary": summary, "rows": rows}


def _print_report(report: dict[str, Any]) -> None:
    print(report["script"])
    for way, summary in report["summary"].items():
        print(f"  {way:8}", " ".join(f"{name}={value}" for name, value in summary.items()), flush=True)
    for row in report["rows"]:
        for text in row["breaches"]:
            print(f"  {row['way']} seed {row['seed']}: {text}")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m rigs.failover", description=__doc__)
    parser.add_argument("scripts", nargs="+", choices=[*SCRIPTS, "all", "observers"])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--caches", type=int, default=200)
    parser.add_argument("--gateways", type=int, default=50)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--ways", default=",".join(POLICY_NAMES))
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--json", metavar="FILE")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the scripts of the command line; return 1 if any rule was broken."""
    args = _parser().parse_args(argv)
    size = WorldSize(args.caches, args.gateways, args.rate, args.zones)
    if "observers" in args.scripts:
        findings = run_observers(args.seeds, args.processes)
        print(json.dumps(findings, indent=1))
        return 1 if findings["wrong"] else 0
    reports = []
    for script in SCRIPTS if "all" in args.scripts else args.scripts:
        reports.append(run_script(script, args.seeds, size, tuple(args.ways.split(",")), args.processes))
        _print_report(reports[-1])
    if args.json:
        Path(args.json).write_text(json.dumps(reports, indent=1) + "\n")
    return 1 if any(row["broken"] for report in reports for row in report["rows"]) else 0


if __name__ == "__main__":
    sys.exit(main())
