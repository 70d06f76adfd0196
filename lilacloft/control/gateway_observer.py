"""Decides what a forwarder sees through its decision module, and has the module keep what a plan sets; owns
the counts in between.

The same for a gateway on sockets and one in the emulator: whoever holds it tells what ended, asks for a look
each quarter of a second, and carries messages. No I/O; `time` is the module's, `steady` the forwarder's own
clock, both in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from lilacloft.control.follower import EVERY, Effect, Follower
from lilacloft.routing.fleet_plan import PlanUpdate
from lilacloft.routing.router import Router

SECOND = 10_000
WAITS = 0.5  # part of its aim that a dispatch may be out before it counts as not answered; a likely fill
# may be out for all of it, as its source may be slow
MEAN = 1 / 4  # weight of one look in what reqs and fills are a second
ANSWERED = ("done", "miss", "full", "error")
FAILED = ("timeout", "reset", "unreached")
FILLED = (2, 3)  # notes of answers that were filled for this req


class Watch:
    """One forwarder's."""

    def __init__(self, router: Router, vhosts: Sequence[str], follower: Follower) -> None:
        self.router, self.vhosts, self.follower = router, list(vhosts), follower
        self.fills: dict[str, float] = {}  # KB since the last look, by vhost
        self.past, self.mean = 0.0, 0.0  # KB of those that went past the caches; of a mean answer

    def ended(
        self,
        backend: Any,
        vhost: int,
        outcome: str,
        took: int,
        work: float,
        note: int,
        kbytes: float,
        source: Any,
    ) -> None:
        """A dispatch at one of the module's bes is over, so long after it was sent; `source`: the be that was
        to fill it, itself where nobody was."""
        mine = self.router.virtual_hosts[vhost]
        how = (
            ("late" if took > mine.latency_objective(work) else "well")
            if outcome in ANSWERED
            else "failed"
            if outcome in FAILED
            else ""
        )
        if how:
            self.follower.ended(backend.name, how)
        direct = self.router.pools.is_parent(backend) or self.router.pools.is_origin(backend)
        keeper = self.follower.keeper
        if keeper and outcome == "cancelled" and took > mine.latency_objective(work):
            how = "failed"  # of a trial that was called back: it was given more than its time
        if how and keeper and not self.router.pools.is_origin(backend):
            keeper.ended(
                backend.zone,
                how,
                outcome == "done" and note not in FILLED,
                self.follower.now,
                self.router.host.now(),
            )
        if outcome == "done":
            self.mean += ((kbytes or 1.0) - self.mean) * (1 / 16 if self.mean else 1)
            if source is not backend and note in FILLED and how == "well":
                self.follower.filled(source.name)
            if direct:
                self.past += max(1.0, kbytes)
        if outcome == "done" and (note in FILLED or direct):
            name, kbytes = self.vhosts[vhost], max(1.0, kbytes)
            self.fills[name] = self.fills.get(name, 0.0) + kbytes
            self.follower.worth[name] = mine.value / kbytes

    def listed(self, names: Iterable[str], number: int, time: int, steady: int) -> None:
        """The change log has told of bes, as of a number."""
        router = self.router
        cold = [
            backend.name
            for backend in router.pools.caches
            if backend.started and time - backend.started < router.settings.cache_slow_start.duration + SECOND
        ]
        self.follower.list(names, number, cold, steady)

    def look(self, requests: int, number: int, time: int, steady: int) -> None:
        """What the module has now, and so many reqs since the last look, goes to the follower."""
        router, follower = self.router, self.follower
        follower.now = steady
        follower.requests += (requests * SECOND / EVERY - follower.requests) * MEAN
        for name in sorted(follower.fills.keys() | self.fills.keys()):
            before = follower.fills.get(name, 0.0)
            follower.fills[name] = before + (self.fills.get(name, 0.0) * SECOND / EVERY - before) * MEAN
        follower.past += (self.past * SECOND / EVERY - follower.past) * MEAN
        follower.asked_kb = follower.requests * self.mean
        self.past = 0.0
        self.fills.clear()
        for backend in router.pools.backends:
            # what the origin answers tells a bad path of one's own from a location that fails
            if not router.pools.is_origin(backend) or follower.keeper:
                waits, unfilled = self._waits(backend, time)
                follower.state(
                    backend.name,
                    len(backend.requests),
                    backend.ejected and backend.name not in router.plan.ejections,
                    backend.concurrency_limit.limit if backend.concurrency_limit else 0.0,
                    waits,
                    time - backend.last_answer_at + 1 if backend.last_answer_at else 0,
                    unfilled,
                )
        self.listed((), number, time, steady)
        follower.uses(
            {
                backend.name: router.slow_start.used_share(backend, time)
                for backend in router.pools.caches
                if backend.name in follower.ledgers
            }
        )

    def _waits(self, backend: Any, time: int) -> tuple[int, int]:
        """How many dispatches are out at a be that it should have answered, with nothing heard from it since;
        and of how many that others should have answered it is the source, while those answer others."""
        waits = unfilled = 0
        for request in backend.requests:
            long = self.router.virtual_hosts[request.vhost].latency_objective(request.transfer_time) * (
                2 * WAITS if request.expects_fill else WAITS
            )
            if time - request.sent_at <= long:
                continue
            if request.backend is backend:
                waits += backend.last_answer_at < request.sent_at
            elif request.expects_fill and request.backend.last_answer_at >= request.sent_at:
                unfilled += 1
        return waits, unfilled

    def act(self, time: int, steady: int) -> Effect:
        """Have the module keep what holds now, in its own time; returns it."""
        effect = self.follower.effect(steady)
        out = {backend: until + time - steady if until else 0 for backend, until in effect.out.items()}
        self.router.plan_changed(PlanUpdate(out, effect.ways, effect.link, dict(effect.shares), effect.left))
        return effect
