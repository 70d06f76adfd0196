"""Why reqs were refused: `python -m rigs.gate WORLD [--faults "..."] [--seeds N] [--json FILE]`.

A plain model of the gate that every attempt passes (`Dispatcher.send_first`): the same conditions,
written out one by one in the order in which the gate asks them, each with a name. A module
that is watched by it tells, for each request it rejects, which conditions refused it on the way, so that a
weak world found by the search is understood by what held its requests back: the link's limit, a cache's
limit, a cold budget, an ejected backend, load. The model decides nothing: where it would say otherwise than
the gate did, that is counted as a disagreement, and a test holds it at none. It owns no state of the module;
it reads it.
"""

from __future__ import annotations

import argparse
import collections
import json
import sys
from collections.abc import Iterable
from multiprocessing import Pool
from typing import Any

from lilacloft.config.reader import parse
from lilacloft.emulator import faults as language
from lilacloft.emulator.fleet import START, Fleet
from lilacloft.emulator.worlds import SECOND, WORLDS, World
from lilacloft.experiment.plan import Reader
from lilacloft.routing.admission import FAIR_LARGE_SHARE, LARGE_BOOST, MAX_PRIORITY
from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.dispatching import Dispatcher
from lilacloft.routing.host import AttemptResult
from lilacloft.routing.model import Backend, RejectReason, Request
from lilacloft.routing.rendezvous import shed_order
from lilacloft.routing.retries import MAX_ATTEMPTS
from lilacloft.routing.router import Router
from lilacloft.routing.routes import Route

SENT = "sent"


def side(router: Router, backend: Backend) -> str:
    """Return which kind of backend it is: cache, parent or origin."""
    pools = router.pools
    return "cache" if backend in pools.caches else "parent" if backend in pools.parents else "origin"


def reason(
    router: Router, request: Request, backend: Backend, source: Backend, cache_only: bool = False
) -> str:
    """Return the first condition of the gate that refuses this attempt, or `SENT`; asked before the gate."""
    vhost, now = router.virtual_hosts[request.vhost], router.host.now()
    settings, averages = router.settings, router.averages
    if request.finished or request.in_flight:
        return "open"
    if backend.status != 1 or source.status != 1:
        return "status"
    if request.first_executed_at is not None and vhost.idempotency != "replayable":
        first = request.first_executed_by
        known = {"all": True, "zone": backend.zone == first.zone, "cell": backend.cell == first.cell}
        until = request.first_executed_at + vhost.idempotency_window - settings.tick
        if vhost.idempotency != "uniqued" or not known[vhost.idempotency_scope] or now >= until:
            return "effect"
    touched = (backend,) if backend is source else (backend, source)
    for peer in touched:
        if peer.ejected and (now < peer.retry_at or peer.canary or vhost.idempotency != "replayable"):
            return f"suspect {side(router, peer)}"
    look = backend is source and backend in router.pools.caches
    fill = not look and (backend is source or not router.freshness.likely_cached(request, backend, now))
    limit = None if not fill else source.concurrency_limit if cache_only else router.link_limit
    value = vhost.value / request.transfer_time * averages.transfer_time / (averages.value or 1.0)
    weight = min(max(value, 1 / MAX_PRIORITY), MAX_PRIORITY)
    if (
        request.transfer_time > vhost.large_threshold
        and vhost.large_answered_share < FAIR_LARGE_SHARE * vhost.answered_share
    ):
        weight = max(weight, LARGE_BOOST)
    if backend.reported_load > max(1.0, INITIAL_FACTOR * weight) * shed_order(request, backend):
        return "crowd"
    if not backend.concurrency_limit.allows(weight, now):
        return f"limit {side(router, backend)}"
    if limit and not limit.allows(weight, now):
        return "link" if limit is router.link_limit else f"limit {side(router, source)}"
    work = request.kbytes / settings.transfer_rate or vhost.mean_transfer_time
    for peer in touched:
        if not router.slow_start.allows(peer, work, now):
            return f"cold {side(router, peer)}"
    return SENT


class WatchedDispatcher(Dispatcher):
    """The gate as it is, with the model asked before it."""

    router: Watched

    def send_first(self, request: Request, routes: Iterable[Route], cache_only: bool = False) -> bool:
        routes, router = list(routes), self.router
        expected = self._expected(request, routes, cache_only)
        sent = super().send_first(request, routes, cache_only)
        found = (request.backend, request.source) if sent else None
        if found != expected:
            said = "sent" if expected else "refused"
            router.disagreed[f"model {said}, gate {'sent' if sent else 'refused'}"] += 1
        return sent

    def _expected(
        self, request: Request, routes: Iterable[Route], cache_only: bool
    ) -> tuple[Backend, Backend] | None:
        """Return the attempt that the model sends, and note why it refuses those before it."""
        for backend, sources in routes:
            for source in sources:
                said = reason(self.router, request, backend, source, cache_only)
                if said == SENT:
                    return backend, source
                self.router.held.setdefault(id(request), collections.Counter())[said] += 1
        return None


class Watched(Router):
    """The module as it is, with the model beside its gate; `tally` counts by process, as runs are."""

    tally: collections.Counter[str] = collections.Counter()
    disagreed: collections.Counter[str] = collections.Counter()
    held: dict[int, collections.Counter[str]] = {}  # by the request's id, while it is open
    when: collections.Counter[int] = collections.Counter()  # given up, by the second of the world

    def __init__(self, host: Any, settings: Any) -> None:
        super().__init__(host, settings)
        self.dispatcher = WatchedDispatcher(self.rules)
        self.dispatcher.router = self

    def reject(self, request: Request, why: RejectReason) -> None:
        if not request.finished:
            held = self.held.get(id(request))
            over = (
                request.attempts >= min(MAX_ATTEMPTS, self.settings.max_attempts)
                or self.host.now() >= request.deadline - self.settings.tick
            )
            cause = "tries or time" if over else " + ".join(sorted(held)) if held else "no way"
            self.tally[cause] += 1
            self.when[(self.host.now() - START) // SECOND] += 1
        self.held.pop(id(request), None)
        super().reject(request, why)

    def client_disconnected(self, request: Request) -> None:
        super().client_disconnected(request)
        self.held.pop(id(request), None)

    def attempt_ended(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        super().attempt_ended(request, backend, result)
        if request.finished:
            self.held.pop(id(request), None)


def watched(told: tuple[World, tuple[Any, ...], int]) -> dict[str, Any]:
    """One run with the model beside the gate: what was refused by which conditions, and disagreements."""
    world, faults, seed = told
    Watched.tally, Watched.disagreed, Watched.held = collections.Counter(), collections.Counter(), {}
    Watched.when = collections.Counter()
    result = Fleet(world, seed, faults, Watched).run()
    return {
        "seed": seed,
        "worth": result.worth,
        "denied": result.denied,
        "aborted": result.aborted,
        "refused": dict(Watched.tally),
        "disagreed": dict(Watched.disagreed),
        "by_second": [Watched.when[second] for second in range(world.span // SECOND + 1)],
    }


def world(name: str, seconds: float, changes: list[str]) -> World:
    """A named world, for so long, with fields changed as NAME=VALUE, read as an experiment's file reads
    `(NAME VALUE)` (spans with their unit)."""
    found = WORLDS[name].lasting(seconds)
    for change in changes:
        field, _, value = change.partition("=")
        reader = Reader()
        found = reader.changed(found, *parse(f"({field} {value})", "argv")[0].items) or found
        if reader.wrong:
            raise SystemExit(f"rigs.gate: {change}: {reader.wrong[0][1]}")
    return found


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.gate", description=__doc__)
    parser.add_argument("world", choices=sorted(WORLDS))
    parser.add_argument("changes", nargs="*", help="fields of the world changed, as NAME=VALUE")
    parser.add_argument("--faults", default="")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args(argv)
    try:
        faults = tuple(language.parse(told.faults))
    except language.FaultError as error:
        parser.error(str(error))
    chosen = world(told.world, told.seconds, told.changes)
    with Pool() as pool:
        seeds = range(told.seed, told.seed + told.seeds)
        runs = pool.map(watched, [(chosen, faults, seed) for seed in seeds])
    refused: collections.Counter[str] = collections.Counter()
    disagreed: collections.Counter[str] = collections.Counter()
    for one in runs:
        refused.update(one["refused"])
        disagreed.update(one["disagreed"])
    count = len(runs)
    print(
        f"{told.world}, {count} seeds: worth {sum(one['worth'] for one in runs) / count:.3f}, "
        f"given up a seed {sum(refused.values()) / count:.1f}"
    )
    for cause, many in refused.most_common(12):
        print(f"  {many / count:8.1f}  {cause}")
    seconds = zip(*(one["by_second"] for one in runs))
    print("  given up by second of the world: " + " ".join(f"{sum(many) / count:.0f}" for many in seconds))
    print(
        f"model and gate disagreed {sum(disagreed.values())} times"
        + (": " + ", ".join(f"{k} {v}" for k, v in disagreed.most_common(3)) if disagreed else "")
    )
    if told.json:
        with open(told.json, "w") as out:
            kept = {"world": told.world, "changes": told.changes, "faults": told.faults, "runs": runs}
            json.dump(kept, out, indent=1)
    return 1 if disagreed else 0


if __name__ == "__main__":
    sys.exit(main())
