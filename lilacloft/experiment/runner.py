"""Runs experiments on all cores, and goes on where one was stopped. It decides nothing of what is run."""

from __future__ import annotations

import multiprocessing
import signal
import time
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import Any

from lilacloft.emulator.chance import Chance
from lilacloft.emulator.fleet import Fleet
from lilacloft.emulator.planes import Planes, troubles
from lilacloft.experiment import revisions
from lilacloft.experiment.plan import LEVELS, Experiment, Run
from lilacloft.experiment.results import Results

NAMES = {"requests": "reqs"}  # under which a result's attributes are kept and printed, where they differ
ATTRIBUTES = {name: attribute for attribute, name in NAMES.items()}


def done(run: Run) -> dict[str, Any]:
    """One run, as it is kept."""
    began = time.process_time()
    faults = run.trouble.faults(run.world, run.seed)
    if run.policy in LEVELS:
        drawn = troubles(Chance(run.seed).stream("troubles"), 3, run.world.span, 4)
        fleet: Fleet = Planes(
            run.world, run.seed, faults, troubles=drawn if run.policy == "planes-troubled" else ()
        )
    else:
        fleet = Fleet(run.world, run.seed, faults, revisions.policy(run.policy))
    result = fleet.run()
    took = time.process_time() - began
    told = {
        name: getattr(result, ATTRIBUTES.get(name, name))
        for name in (
            "asked",
            "done",
            "denied",
            "aborted",
            "left",
            "worth",
            "hits",
            "dispatches",
            "fetched",
            "stale",
            "p50",
            "p99",
            "fell",
            "wasted",
            "believes",
            "events",
            "reqs",
            "mark",
        )
    }
    return {
        **told,
        "broken": len(result.breaches),
        "breaches": [str(one) for one in result.breaches[:5]],
        "cpu_us": 1e6 * took / max(1, result.requests),
    }


def _job(told: tuple[str, Run]) -> tuple[str, Run, dict[str, Any]]:
    key, run = told
    return key, run, done(run)


def _quiet() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def pool(processes: int | None = None) -> Any:
    """Processes on all cores; an interrupt reaches only the one that has them."""
    return multiprocessing.Pool(processes, _quiet)


def missing(experiment: Experiment, results: Results) -> list[tuple[str, Run]]:
    """The runs that are not there yet, by their keys."""
    keyed = {run.key(revisions.code(run.policy)): run for run in experiment.runs()}
    there = results.has(keyed)
    return [(key, run) for key, run in keyed.items() if key not in there]


def run(
    experiment: Experiment,
    results: Results,
    seen: Callable[[int, int, float], None],
    processes: int | None = None,
) -> int:
    """Do what is missing; returns how many were done. `seen` is told of each: how many of how many, and the
    seconds that are likely left. Interrupted it keeps what is done."""
    jobs = missing(experiment, results)
    began, count = time.monotonic(), 0
    if not jobs:
        return 0
    with pool(processes) as workers:
        try:
            for key, one, told in workers.imap_unordered(_job, jobs):
                at = datetime.now(UTC).isoformat(timespec="seconds")
                results.put(
                    key,
                    one.world.name,
                    one.trouble.name,
                    one.policy,
                    one.seed,
                    revisions.code(one.policy),
                    at,
                    told,
                )
                count += 1
                seen(count, len(jobs), (time.monotonic() - began) / count * (len(jobs) - count))
        except KeyboardInterrupt:
            workers.terminate()
    return count


def values(
    experiment: Experiment, results: Results, measure: str
) -> dict[tuple[str, str, str], dict[int, float]]:
    """What is there of a measure: by world, trouble and policy, by seed."""
    keyed = {run.key(revisions.code(run.policy)): run for run in experiment.runs()}
    out: dict[tuple[str, str, str], dict[int, float]] = {}
    for key, told in results.get(keyed).items():
        one = keyed[key]
        out.setdefault((one.world.name, one.trouble.name, one.policy), {})[one.seed] = told[measure]
    return out


def worth(spots: Iterable[tuple[Any, tuple[Any, ...], str, int]]) -> list[float]:
    """The worth of some runs, on all cores: world, faults, policy, seed."""
    with pool() as workers:
        return workers.map(_worth, list(spots))


def _worth(told: tuple[Any, tuple[Any, ...], str, int]) -> float:
    world, faults, policy, seed = told
    return Fleet(world, seed, faults, revisions.policy(policy)).run().worth
