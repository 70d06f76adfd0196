"""Runs experiments on all cores and resumes interrupted ones. `plan` decides what is run."""

from __future__ import annotations

import multiprocessing
import signal
import time
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import Any

from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.fleet import Fleet
from lilacloft.emulator.planes import PlannedFleet, troubles
from lilacloft.experiment import revisions
from lilacloft.experiment.plan import LEVELS, Experiment, Run
from lilacloft.experiment.results import Results

NAMES = {"requests": "reqs"}  # stored and printed names of result attributes, where they differ
ATTRIBUTES = {name: attribute for attribute, name in NAMES.items()}


def done(run: Run) -> dict[str, Any]:
    """Execute one run and return its values as they are stored."""
    started = time.process_time()
    faults = run.trouble.faults(run.world, run.seed)
    if run.policy in LEVELS:
        drawn = troubles(RandomStreams(run.seed).stream("troubles"), 3, run.world.span, 4)
        fleet: Fleet = PlannedFleet(
            run.world, run.seed, faults, troubles=drawn if run.policy == "planes-troubled" else ()
        )
    else:
        fleet = Fleet(run.world, run.seed, faults, revisions.policy(run.policy))
    result = fleet.run()
    cpu_seconds = time.process_time() - started
    values = {
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
        **values,
        "broken": len(result.breaches),
        "breaches": [str(one) for one in result.breaches[:5]],
        "cpu_us": 1e6 * cpu_seconds / max(1, result.requests),
    }


def _job(job: tuple[str, Run]) -> tuple[str, Run, dict[str, Any]]:
    key, run = job
    return key, run, done(run)


def _ignore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def pool(processes: int | None = None) -> Any:
    """Return a pool of worker processes; only the parent handles interrupts."""
    return multiprocessing.Pool(processes, _ignore_interrupts)


def missing(experiment: Experiment, results: Results) -> list[tuple[str, Run]]:
    """Return the runs without a stored result, with their keys."""
    keyed = {run.key(revisions.code(run.policy)): run for run in experiment.runs()}
    stored = results.has(keyed)
    return [(key, run) for key, run in keyed.items() if key not in stored]


def run(
    experiment: Experiment,
    results: Results,
    seen: Callable[[int, int, float], None],
    processes: int | None = None,
) -> int:
    """Execute the missing runs; return how many were executed. `seen` is called after each with the number
    done, the total and the estimated seconds remaining. An interrupt keeps the finished runs."""
    jobs = missing(experiment, results)
    started, count = time.monotonic(), 0
    if not jobs:
        return 0
    with pool(processes) as workers:
        try:
            for key, one, values in workers.imap_unordered(_job, jobs):
                at = datetime.now(UTC).isoformat(timespec="seconds")
                results.put(
                    key,
                    one.world.name,
                    one.trouble.name,
                    one.policy,
                    one.seed,
                    revisions.code(one.policy),
                    at,
                    values,
                )
                count += 1
                seen(count, len(jobs), (time.monotonic() - started) / count * (len(jobs) - count))
        except KeyboardInterrupt:
            workers.terminate()
    return count


def values(
    experiment: Experiment, results: Results, measure: str
) -> dict[tuple[str, str, str], dict[int, float]]:
    """Return the stored values of a measure by world, faults and policy, and by seed."""
    keyed = {run.key(revisions.code(run.policy)): run for run in experiment.runs()}
    out: dict[tuple[str, str, str], dict[int, float]] = {}
    for key, stored in results.get(keyed).items():
        one = keyed[key]
        out.setdefault((one.world.name, one.trouble.name, one.policy), {})[one.seed] = stored[measure]
    return out


def worth(spots: Iterable[tuple[Any, tuple[Any, ...], str, int]]) -> list[float]:
    """Execute runs given as (world, faults, policy, seed) on all cores; return their worth."""
    with pool() as workers:
        return workers.map(_worth, list(spots))


def _worth(spot: tuple[Any, tuple[Any, ...], str, int]) -> float:
    world, faults, policy, seed = spot
    return Fleet(world, seed, faults, revisions.policy(policy)).run().worth
