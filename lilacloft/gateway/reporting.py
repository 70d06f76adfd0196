"""Logs a gateway's counters, open requests, resources in use and violated invariants.

Tools read the logged keys; they must not change.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import asdict, fields

from lilacloft.gateway.clock import monotonic_ticks
from lilacloft.gateway.context import GatewayContext
from lilacloft.invariants import Invariant
from lilacloft.log import logger
from lilacloft.net.attempt import Attempt
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.net.processor_wait import processor_wait
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

MAX_INSPECTED = 64  # open requests logged at once


class Reporter:
    """Logs the state of one gateway."""

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.last_violation_at: Ticks = 0  # when a violation was last logged, by the monotonic clock

    def report(self) -> None:
        """Log all counters that are not 0."""
        for name, counts in self._counts():
            counted = " ".join(f"{key.lower()}={count}" for key, count in counts.items() if count)
            logger.info("{}: {}", name, counted)

    def _counts(self) -> Iterator[tuple[str, Mapping[str, int]]]:
        gateway, counters = self.gateway, self.gateway.counters
        yield "answers", counters.answers
        yield "front", gateway.downstream.counts
        yield "back", gateway.upstream.counts
        yield "ends", counters.ends
        yield "refused", counters.rejects
        yield "retried after", counters.retries
        yield "closed clients", dict(gateway.downstream.closes)
        yield "closed caches", dict(gateway.upstream.closes)
        yield "violations", gateway.invariants.violations()
        yield "log", self._discovery_counts()
        yield "held", self.open_resources()
        yield "request memory", gateway.downstream.request_ledger.summary()
        yield "answer memory", gateway.upstream.reply_backlog.summary()
        for kind in fields(GatewayLags):
            yield f"lag of {kind.name}", getattr(gateway.lags, kind.name).summary()
        yield "waited for a processor", asdict(processor_wait())

    def _discovery_counts(self) -> dict[str, int]:
        """Return the change log's counters; `unread_s`: for how many seconds it has not been read to its end,
        which limits the ages of copies."""
        gateway = self.gateway
        watch, unread_since = gateway.discovery_watch, gateway.router.freshness.catch_up.unread_since
        unread = 0 if unread_since is None else gateway.clock.time - unread_since
        return {
            "connects": watch.connects,
            "events": watch.events,
            "unread_s": -(-unread // TICKS_PER_SECOND),
        }

    def inspect(self) -> None:
        """Log the counters and the trace of open requests, after SIGUSR1."""
        self.report()
        gateway = self.gateway
        for client_request in list(gateway.open_requests.values())[:MAX_INSPECTED]:
            remaining = (client_request.request.deadline - gateway.clock.time) / TICKS_PER_SECOND
            logger.info(
                "open: {} with {:.3f} s left: {}",
                client_request.name,
                remaining,
                self._trail(client_request.name),
            )

    def _trail(self, name: str) -> str:
        return "; ".join(str(step) for step in self.gateway.trace.steps_of(name))

    def report_violation(self, invariant: Invariant, name: str, detail: str) -> None:
        """Log that an invariant is violated, or was about to be, with the request's trace; at most once per
        second. Any thread may call this."""
        now = monotonic_ticks()
        if now < self.last_violation_at + TICKS_PER_SECOND:
            return
        self.last_violation_at = now
        trail = self._trail(name) or "no trace"
        logger.error("invariant: {}: {} {}; {}", invariant.value, name, detail, trail)

    def open_resources(self) -> dict[str, int]:
        """Return the numbers of resources in use. Once no request is outstanding, all are 0 except client
        connections and health checks."""
        gateway, backends = self.gateway, self.gateway.router.pools.backends
        in_flight = self._in_flight()
        limits = [backend.concurrency_limit for backend in backends if backend.concurrency_limit]
        return {
            "calls": len(gateway.open_requests),
            "names": len(gateway.downstream.requests_by_name),
            "clients": len(gateway.downstream.clients),
            "parting": len(gateway.downstream.draining),
            "unwritten": sum(client.unsent_bytes() for client in list(gateway.downstream.clients)),
            "request_bytes": gateway.downstream.request_ledger.reserved,
            "answer_bytes": gateway.upstream.reply_backlog.size + gateway.upstream.reply_backlog.unsent,
            "stale_ids": self._stale_ids(),
            "out": sum(attempt.client_request is not None for attempt in in_flight),
            "checks": sum(attempt.client_request is None for attempt in in_flight),
            "reqs": sum(len(backend.requests) for backend in backends),
            "trials": sum(backend.canary is not None for backend in backends),
            "limits": gateway.router.link_limit.in_flight + sum(limit.in_flight for limit in limits),
        }

    def _stale_ids(self) -> int:
        """Return how many ids are in progress of which no request is open."""
        open_names = {client_request.name for client_request in self.gateway.open_requests.values()}
        return len(self.gateway.executed_requests.in_progress.keys() - open_names)

    def _in_flight(self) -> list[Attempt]:
        """Return the attempts and health checks in flight on connections."""
        connections = [
            connection for pool in self.gateway.upstream.pools.values() for connection in pool.connections
        ]
        return [attempt for connection in connections for attempt in connection.in_flight.values()]
