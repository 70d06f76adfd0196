"""Why reqs were refused: `python -m rigs.gate WORLD [--faults "..."] [--seeds N] [--json FILE]`.

A plain model of the gate that every dispatch of the decision module passes (`Router._send`): the same
conditions, written out one by one in the order in which the gate asks them, each with a name. A module that
is watched by it tells, for each req it gives up, which conditions refused it on the way, so that a weak world
found by the search is understood by what held its reqs back: the link's limit, a cache's limit, a cold
budget, a suspect, a crowd. The model decides nothing: where it would say otherwise than the gate did, that is
counted as a disagreement, and a test holds it at none. It owns no state of the module; it reads it.
"""

from __future__ import annotations

import argparse
import collections
import json
import sys
from multiprocessing import Pool
from typing import Any

from lilacloft.config.reader import parse
from lilacloft.emulator import faults as language
from lilacloft.emulator.fleet import START, Fleet
from lilacloft.emulator.worlds import SECOND, WORLDS, World
from lilacloft.experiment.plan import Reader
from lilacloft.routing.model import RejectReason
from lilacloft.routing.router import EASED, FAIR, FAVOUR, GENEROUS, TRIES, Router, turn

SENT = "sent"


def side(router: Router, backend: Any) -> str:
    """Which kind of be: cache, parent or origin."""
    return "cache" if backend in router.caches else "parent" if backend in router.parents else "origin"


def reason(router: Router, request: Any, backend: Any, source: Any, held_only: bool = False) -> str:
    """The first condition of the gate that refuses this dispatch, or `SENT`: asked before the gate is."""
    vhost, now = router.vhosts[request.vhost], router.host.now()
    if request.finished or request.in_flight:
        return "open"
    if backend.status != 1 or source.status != 1:
        return "status"
    if request.first_executed_at is not None and vhost.effect != "replayable":
        held = {
            "all": True,
            "zone": backend.zone == request.first_executed_by.zone,
            "cell": backend.cell == request.first_executed_by.cell,
        }
        until = request.first_executed_at + vhost.idempotency_window - router.tick
        if vhost.effect != "uniqued" or not held[vhost.idempotency_scope] or now >= until:
            return "effect"
    touched = (backend,) if backend is source else (backend, source)
    for peer in touched:
        if peer.ejected and (now < peer.retry_at or peer.canary or vhost.effect != "replayable"):
            return f"suspect {side(router, peer)}"
    look = backend is source and backend in router.caches
    fill = not look and (backend is source or not router._held(request, backend))
    way = None if not fill else source.concurrency_limit if held_only else router.link
    favour = min(
        max(vhost.value / request.transfer_time * router.work / (router.value or 1.0), 1 / FAVOUR), FAVOUR
    )
    if (
        request.transfer_time > vhost.large_threshold
        and vhost.large_answered_share < FAIR * vhost.answered_share
    ):
        favour = max(favour, EASED)
    if backend.reported_load > max(1.0, GENEROUS * favour) * turn(request, backend):
        return "crowd"
    if not backend.concurrency_limit.allows(favour, now):
        return f"limit {side(router, backend)}"
    if way and not way.allows(favour, now):
        return "link" if way is router.link else f"limit {side(router, source)}"
    for peer in touched:
        if not router._room(peer, request.kbytes / router.pace or vhost.mean_transfer_time):
            return f"cold {side(router, peer)}"
    return SENT


class Watched(Router):
    """The module as it is, with the model beside its gate; `tally` counts by process, as runs are."""

    tally: collections.Counter[str] = collections.Counter()
    disagreed: collections.Counter[str] = collections.Counter()
    held: dict[int, collections.Counter[str]] = {}  # by the req's id, while it is open
    when: collections.Counter[int] = collections.Counter()  # given up, by the second of the world

    def _send(self, request: Any, backend: Any, source: Any, held_only: bool = False) -> bool:
        said = reason(self, request, backend, source, held_only)
        sent = super()._send(request, backend, source, held_only)
        if sent != (said == SENT):
            self.disagreed[f"model {said}, gate {'sent' if sent else 'refused'}"] += 1
        if not sent:
            self.held.setdefault(id(request), collections.Counter())[said] += 1
        return sent

    def give_up(self, request: Any, why: RejectReason) -> None:
        if not request.finished:
            held = self.held.get(id(request))
            over = (
                request.attempts >= min(TRIES, self.max_dispatches)
                or self.host.now() >= request.deadline - self.tick
            )
            cause = "tries or time" if over else " + ".join(sorted(held)) if held else "no way"
            self.tally[cause] += 1
            self.when[(self.host.now() - START) // SECOND] += 1
        self.held.pop(id(request), None)
        super().give_up(request, why)

    def left(self, request: Any) -> None:
        super().left(request)
        self.held.pop(id(request), None)

    def ended(self, request: Any, *told: Any) -> None:
        super().ended(request, *told)
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
