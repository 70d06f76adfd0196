"""The planner's part in leasing quota: it requests unused shares from gateways and lends them to others.

Quota is not part of plans: planners that are not the leader lend shares as well, as the ledgers ensure that
no share is used by two parties, even if the planners disagree.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from lilacloft.control.fleet_state import Backends, Gateways, GatewayState
from lilacloft.control.messages import QuotaLease, QuotaRequest
from lilacloft.control.quota import MAX_LEASE, MIN_SHARE, LeaseTerms, QuotaLedger, max_min_fair
from lilacloft.routing.units import Ticks

REQUESTED_SHARE = 0.8  # of a gateway's unused share


class QuotaBroker:
    """The quota ledgers of one planner, by cold backend."""

    def __init__(self, window: Ticks, gateways: Gateways) -> None:
        """`gateways`: owned and updated by the planner."""
        self.window, self.gateways = window, gateways
        self.backends: Backends = {}
        self.ledgers: dict[str, QuotaLedger] = {}
        self.last_request = 0
        self.lent = self.borrowed = 0

    def update_backends(self, backends: Backends) -> None:
        """Update the backend list, and drop the ledgers of backends that are no longer cold."""
        self.backends = backends
        for name in [name for name in self.ledgers if not self._is_cold(name)]:
            del self.ledgers[name]

    def _is_cold(self, name: str) -> bool:
        return name in self.backends and self.backends[name].is_cold

    def lend(self, request: QuotaRequest, now: Ticks) -> QuotaLease:
        """Answer a gateway's request with a max-min fair part of the lendable share."""
        ledger = self.ledgers.get(request.backend)
        if ledger is None or request.share <= MIN_SHARE:
            return QuotaLease(request.number, request.backend)
        lendable = ledger.lendable(now, request.duration)
        demands = {name: self._demand(gateway, request.backend) for name, gateway in self.gateways.items()}
        demands[""] = request.share
        share = max_min_fair(demands, lendable)[""]
        terms = ledger.lend(now, share, min(request.duration, MAX_LEASE))
        if terms is None:
            return QuotaLease(request.number, request.backend)
        self.lent += 1
        return QuotaLease(request.number, request.backend, terms.share, terms.delay, terms.duration)

    @staticmethod
    def _demand(gateway: GatewayState, backend: str) -> float:
        return sum(request.share for request in gateway.report.quota_requests if request.backend == backend)

    def requests_to(self, gateway: GatewayState, now: Ticks) -> Iterator[QuotaRequest]:
        """Return requests to a gateway for most of its unused shares, where other gateways need them."""
        expired = [
            number for number, (_, sent_at) in gateway.pending_requests.items() if now - sent_at > MAX_LEASE
        ]
        for number in expired:
            del gateway.pending_requests[number]
        pending = {request.backend for request, _ in gateway.pending_requests.values()}
        for backend, (usable, used) in sorted(gateway.report.cold_shares.items()):
            if not self._is_cold(backend) or backend in pending:
                continue
            demand = sum(self._demands_of_others(gateway, backend))
            unused = REQUESTED_SHARE * max(0.0, usable - used)
            ledger = self.ledgers.setdefault(backend, QuotaLedger(0.0, self.window))
            if unused > MIN_SHARE and demand > ledger.lendable(now, MAX_LEASE):
                self.last_request += 1
                request = QuotaRequest(self.last_request, backend, min(unused, demand), MAX_LEASE)
                gateway.pending_requests[request.number] = (request, now)
                yield request

    def _demands_of_others(self, gateway: GatewayState, backend: str) -> Iterable[float]:
        return (
            request.share
            for other in self.gateways.values()
            if other is not gateway
            for request in other.report.quota_requests
            if request.backend == backend
        )

    def record_lease(self, gateway: GatewayState, lease: QuotaLease, now: Ticks) -> None:
        """Add a share that a gateway has lent to this planner; a lease that was not requested is ignored."""
        request, sent_at = gateway.pending_requests.pop(lease.number, (None, 0))
        if request is None or request.backend != lease.backend or lease.share <= MIN_SHARE:
            return
        if lease.backend not in self.ledgers:
            return
        terms = LeaseTerms(min(lease.share, request.share), lease.delay, lease.duration)
        if self.ledgers[lease.backend].borrow(terms, sent_at, now):
            self.borrowed += 1
