"""Logs a gateway's counters, open requests, resources in use and violated invariants.

The keys that are logged are read by tools and stay as they are.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import asdict, fields

from loguru import logger

from lilacloft.gateway.clock import monotonic_ticks
from lilacloft.gateway.context import GatewayContext
from lilacloft.invariants import Promise
from lilacloft.net.attempt import Attempt
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.net.processor_wait import processor_wait
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

MAX_INSPECTED = 64  # open requests that are logged at once


class Reporter:
    """Logs the state of one gateway."""

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.last_violation_at: Ticks = 0  # when one was last logged, by the monotonic clock

    def report(self) -> None:
        """Log the counters that are not 0."""
        for name, counts in self._counts():
            counted = " ".join(f"{key.lower()}={count}" for key, count in counts.items() if count)
            logger.info("{}: {}", name, counted)

    def _counts(self) -> Iterator[tuple[str, Mapping[str, int]]]:
        gateway, counters = self.gateway, self.gateway.counters
        yield "answers", counters.answers
        yield "front", gateway.front.counts
        yield "back", gateway.back.counts
        yield "ends", counters.ends
        yield "refused", counters.rejects
        yield "retried after", counters.retries
        yield "closed clients", dict(gateway.front.closes)
        yield "closed caches", dict(gateway.back.closes)
        yield "violations", gateway.invariants.violations()
        yield "log", {"connects": gateway.feed.connects, "events": gateway.feed.events}
        yield "held", self.open_resources()
        for kind in fields(GatewayLags):
            yield f"lag of {kind.name}", getattr(gateway.lags, kind.name).summary()
        yield "waited for a processor", asdict(processor_wait())

    def inspect(self) -> None:
        """Log the counters, and what has become of the open requests. SIGUSR1 came."""
        self.report()
        gateway = self.gateway
        for call in list(gateway.open_requests.values())[:MAX_INSPECTED]:
            remaining = (call.request.deadline - gateway.clock.time) / TICKS_PER_SECOND
            logger.info("open: {} with {:.3f} s left: {}", call.name, remaining, self._trail(call.name))

    def _trail(self, name: str) -> str:
        return "; ".join(str(step) for step in self.gateway.trace.trail(name))

    def report_violation(self, promise: Promise, name: str, detail: str) -> None:
        """Log that an invariant is violated, or was about to be, with the request's trail; at most once a
        second. Any thread may call this."""
        now = monotonic_ticks()
        if now < self.last_violation_at + TICKS_PER_SECOND:
            return
        self.last_violation_at = now
        trail = self._trail(name) or "no trail"
        logger.error("invariant: {}: {} {}; {}", promise.value, name, detail, trail)

    def open_resources(self) -> dict[str, int]:
        """Return what is open, counted or held just now: all 0, but for clients' connections and checks, once
        nothing is owed any more."""
        gateway, backends = self.gateway, self.gateway.router.pools.backends
        in_flight = self._in_flight()
        limits = [backend.concurrency_limit for backend in backends if backend.concurrency_limit]
        return {
            "calls": len(gateway.open_requests),
            "names": len(gateway.front.requests_by_name),
            "clients": len(gateway.front.clients),
            "parting": len(gateway.front.draining),
            "unwritten": sum(client.unsent_bytes() for client in list(gateway.front.clients)),
            "out": sum(sent.call is not None for sent in in_flight),
            "checks": sum(sent.call is None for sent in in_flight),
            "reqs": sum(len(backend.requests) for backend in backends),
            "trials": sum(backend.canary is not None for backend in backends),
            "limits": gateway.router.link_limit.in_flight + sum(limit.in_flight for limit in limits),
        }

    def _in_flight(self) -> list[Attempt]:
        """Return the attempts and health checks that are out on connections."""
        lines = [line for pool in self.gateway.back.pools.values() for line in pool.connections]
        return [sent for line in lines for sent in line.in_flight.values()]
