"""Counts why requests were rejected: `python -m rigs.gate WORLD [--faults "..."] [--seeds N] [--json FILE]`.

A reference model of the admission check that every attempt passes (`Dispatcher.send_first`): the same
conditions, one by one in the order of the real check, each with a name. For each request that the observed
routing module rejects, the model records which conditions refused its attempts: the link's limit, a cache's
limit, a slow-start budget, an ejected backend, load. That explains low scores of emulated scenarios.
The model only reads the module's state and decides nothing. Where it differs from the real check, that counts
as a disagreement; a test expects none.
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


def backend_kind(router: Router, backend: Backend) -> str:
    """Return the kind of a backend: cache, parent or origin."""
    pools = router.pools
    return "cache" if backend in pools.caches else "parent" if backend in pools.parents else "origin"


def refusal_reason(
    router: Router, request: Request, backend: Backend, source: Backend, cache_only: bool = False
) -> str:
    """Return the first condition that refuses this attempt, or `SENT`; called before the real check."""
    vhost, now = router.virtual_hosts[request.vhost], router.host.now()
    settings, averages = router.settings, router.averages
    if request.finished or request.in_flight:
        return "open"
    if backend.status != 1 or source.status != 1:
        return "status"
    if request.first_executed_at is not None and vhost.idempotency != "replayable":
        first = request.first_executed_by
        in_scope = {"all": True, "zone": backend.zone == first.zone, "cell": backend.cell == first.cell}
        until = request.first_executed_at + vhost.idempotency_window - settings.tick
        if vhost.idempotency != "uniqued" or not in_scope[vhost.idempotency_scope] or now >= until:
            return "effect"
    used_backends = (backend,) if backend is source else (backend, source)
    for peer in used_backends:
        if peer.ejected and (now < peer.retry_at or peer.canary or vhost.idempotency != "replayable"):
            return f"suspect {backend_kind(router, peer)}"
    is_lookup = backend is source and backend in router.pools.caches
    is_fill = not is_lookup and (
        backend is source or not router.freshness.likely_cached(request, backend, now)
    )
    limit = None if not is_fill else source.concurrency_limit if cache_only else router.link_limit
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
        return f"limit {backend_kind(router, backend)}"
    if limit and not limit.allows(weight, now):
        return "link" if limit is router.link_limit else f"limit {backend_kind(router, source)}"
    work = request.kbytes / settings.transfer_rate or vhost.mean_transfer_time
    for peer in used_backends:
        if not router.slow_start.allows(peer, work, now):
            return f"cold {backend_kind(router, peer)}"
    return SENT


class ObservedDispatcher(Dispatcher):
    """The real admission check; the model is evaluated before each call."""

    router: ObservedRouter

    def send_first(self, request: Request, routes: Iterable[Route], cache_only: bool = False) -> bool:
        routes, router = list(routes), self.router
        expected = self._expected_attempt(request, routes, cache_only)
        sent = super().send_first(request, routes, cache_only)
        actual = (request.backend, request.source) if sent else None
        if actual != expected:
            verdict = "sent" if expected else "refused"
            router.disagreed[f"model {verdict}, gate {'sent' if sent else 'refused'}"] += 1
        return sent

    def _expected_attempt(
        self, request: Request, routes: Iterable[Route], cache_only: bool
    ) -> tuple[Backend, Backend] | None:
        """Return the attempt that the model would send, and record why it refuses the earlier ones."""
        for backend, sources in routes:
            for source in sources:
                condition = refusal_reason(self.router, request, backend, source, cache_only)
                if condition == SENT:
                    return backend, source
                self.router.refusals.setdefault(id(request), collections.Counter())[condition] += 1
        return None


class ObservedRouter(Router):
    """The routing module with the model beside its admission check. The counters belong to the class: each
    process makes one run at a time."""

    rejections: collections.Counter[str] = collections.Counter()
    disagreed: collections.Counter[str] = collections.Counter()
    refusals: dict[int, collections.Counter[str]] = {}  # by id of the unfinished request, by condition
    rejections_by_second: collections.Counter[int] = collections.Counter()  # seconds of emulated time

    def __init__(self, host: Any, settings: Any) -> None:
        super().__init__(host, settings)
        self.dispatcher = ObservedDispatcher(self.rules)
        self.dispatcher.router = self

    def reject(self, request: Request, why: RejectReason) -> None:
        if not request.finished:
            refused_by = self.refusals.get(id(request))
            exhausted = (
                request.attempts >= min(MAX_ATTEMPTS, self.settings.max_attempts)
                or self.host.now() >= request.deadline - self.settings.tick
            )
            cause = (
                "tries or time" if exhausted else " + ".join(sorted(refused_by)) if refused_by else "no way"
            )
            self.rejections[cause] += 1
            self.rejections_by_second[(self.host.now() - START) // SECOND] += 1
        self.refusals.pop(id(request), None)
        super().reject(request, why)

    def client_disconnected(self, request: Request) -> None:
        super().client_disconnected(request)
        self.refusals.pop(id(request), None)

    def attempt_ended(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        super().attempt_ended(request, backend, result)
        if request.finished:
            self.refusals.pop(id(request), None)


def observed_run(arguments: tuple[World, tuple[Any, ...], int]) -> dict[str, Any]:
    """Run a scenario with the model beside the admission check; return refusals by condition and
    disagreements."""
    world, faults, seed = arguments
    ObservedRouter.rejections, ObservedRouter.disagreed, ObservedRouter.refusals = (
        collections.Counter(),
        collections.Counter(),
        {},
    )
    ObservedRouter.rejections_by_second = collections.Counter()
    result = Fleet(world, seed, faults, ObservedRouter).run()
    return {
        "seed": seed,
        "worth": result.worth,
        "denied": result.denied,
        "aborted": result.aborted,
        "refused": dict(ObservedRouter.rejections),
        "disagreed": dict(ObservedRouter.disagreed),
        "by_second": [
            ObservedRouter.rejections_by_second[second] for second in range(world.span // SECOND + 1)
        ],
    }


def world(name: str, seconds: float, changes: list[str]) -> World:
    """Return a named scenario of that duration, with fields changed by NAME=VALUE. Values are read as
    `(NAME VALUE)` in an experiment's file, so durations have a unit."""
    found = WORLDS[name].lasting(seconds)
    for change in changes:
        field, _, value = change.partition("=")
        reader = Reader()
        found = reader.changed(found, *parse(f"({field} {value})", "argv")[0].items) or found
        if reader.errors:
            raise SystemExit(f"rigs.gate: {change}: {reader.errors[0][1]}")
    return found


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.gate", description=__doc__)
    parser.add_argument("world", choices=sorted(WORLDS))
    parser.add_argument("changes", nargs="*", help="fields of the scenario to change, as NAME=VALUE")
    parser.add_argument("--faults", default="")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    try:
        faults = tuple(language.parse(args.faults))
    except language.FaultError as error:
        parser.error(str(error))
    chosen = world(args.world, args.seconds, args.changes)
    with Pool() as pool:
        seeds = range(args.seed, args.seed + args.seeds)
        runs = pool.map(observed_run, [(chosen, faults, seed) for seed in seeds])
    refused: collections.Counter[str] = collections.Counter()
    disagreed: collections.Counter[str] = collections.Counter()
    for run in runs:
        refused.update(run["refused"])
        disagreed.update(run["disagreed"])
    count = len(runs)
    print(
        f"{args.world}, {count} seeds: worth {sum(run['worth'] for run in runs) / count:.3f}, "
        f"rejected per seed {sum(refused.values()) / count:.1f}"
    )
    for cause, many in refused.most_common(12):
        print(f"  {many / count:8.1f}  {cause}")
    seconds = zip(*(run["by_second"] for run in runs))
    print(
        "  rejected by second of emulated time: " + " ".join(f"{sum(many) / count:.0f}" for many in seconds)
    )
    print(
        f"model and gate disagreed {sum(disagreed.values())} times"
        + (
            ": " + ", ".join(f"{text} {times}" for text, times in disagreed.most_common(3))
            if disagreed
            else ""
        )
    )
    if args.json:
        with open(args.json, "w") as out:
            report = {"world": args.world, "changes": args.changes, "faults": args.faults, "runs": runs}
            json.dump(report, out, indent=1)
    return 1 if disagreed else 0


if __name__ == "__main__":
    sys.exit(main())
