"""A gateway's part in leasing quota: it lends unused shares to planners, and requests shares where it needs
more."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass

from lilacloft.control.messages import QuotaLease, QuotaRequest
from lilacloft.control.quota import MAX_LEASE, MIN_SHARE, LeaseTerms, QuotaLedger
from lilacloft.routing.units import Ticks

REQUEST_TIMEOUT: Ticks = 20_000  # after which a request may be repeated, possibly to another planner
HIGH_USE = 0.7  # of a share; from this use on more is requested


@dataclass(frozen=True)
class PendingRequest:
    """An unanswered request."""

    request: QuotaRequest
    sent_at: Ticks


class QuotaClient:
    """One gateway's quota ledgers, by cold backend."""

    def __init__(self, own_share: float, window: Ticks, usable_from: Ticks) -> None:
        """`own_share`: this gateway's share of each budget; `usable_from`: the time when all leases of an
        earlier process have certainly expired."""
        self.own_share, self.window, self.usable_from = own_share, window, usable_from
        self.ledgers: dict[str, QuotaLedger] = {}
        self.used: dict[str, float] = {}  # fraction of the usable share that is in use
        self.pending: dict[int, PendingRequest] = {}
        self.last_request = 0

    def update_cold(self, cold: Collection[str], now: Ticks) -> None:
        """Update the set of cold backends. The ledger of a warm backend is kept while shares are lent: the
        backend may restart and be cold again before these return."""
        for backend in sorted(set(cold) - self.ledgers.keys()):
            self.ledgers[backend] = QuotaLedger(self.own_share, self.window, self.usable_from)
        for backend in [backend for backend in self.ledgers if backend not in cold]:
            if self.ledgers[backend].is_settled(now):
                del self.ledgers[backend]

    def update_used(self, used: Mapping[str, float]) -> None:
        """Update the fraction of the usable share that is in use, by backend."""
        self.used = dict(used)

    def cold_shares(self, now: Ticks) -> dict[str, tuple[float, float]]:
        """Return, by backend, the share of its slow-start budget that this gateway may use, and the
        share that is in use."""
        shares = {}
        for backend, ledger in sorted(self.ledgers.items()):
            usable = ledger.usable(now)
            shares[backend] = usable, usable * self.used.get(backend, 0.0)
        return shares

    def budget_factors(self, now: Ticks) -> dict[str, float]:
        """Return the usable share as a multiple of the gateway's own share, by backend."""
        if not self.own_share:
            return {}
        return {
            backend: ledger.usable(now) / self.own_share for backend, ledger in sorted(self.ledgers.items())
        }

    def remove_timed_out(self, now: Ticks) -> None:
        """Drop requests that were not answered in time."""
        timed_out = [
            number for number, entry in self.pending.items() if now - entry.sent_at > REQUEST_TIMEOUT
        ]
        for number in timed_out:
            del self.pending[number]

    def new_requests(self, now: Ticks) -> Iterator[QuotaRequest]:
        """Return requests for the budgets of which this gateway uses most of its share."""
        pending = {entry.request.backend for entry in self.pending.values()}
        for backend, ledger in sorted(self.ledgers.items()):
            if backend not in pending and self.used.get(backend, 0.0) >= HIGH_USE:
                self.last_request += 1
                share = max(self.own_share, ledger.usable(now))
                request = QuotaRequest(self.last_request, backend, share, MAX_LEASE)
                self.pending[request.number] = PendingRequest(request, now)
                yield request

    def lend(self, request: QuotaRequest, now: Ticks) -> QuotaLease:
        """Answer a planner's request out of the unused share."""
        refusal = QuotaLease(request.number, request.backend)
        ledger = self.ledgers.get(request.backend)
        if ledger is None:
            return refusal
        unused = max(0.0, ledger.usable(now) * (1 - self.used.get(request.backend, 0.0)))
        if unused <= MIN_SHARE:
            return refusal
        terms = ledger.lend(now, min(request.share, unused), min(request.duration, MAX_LEASE))
        if terms is None:
            return refusal
        return QuotaLease(request.number, request.backend, terms.share, terms.delay, terms.duration)

    def record_lease(self, lease: QuotaLease, requested_at: Ticks, now: Ticks) -> None:
        """Add a share that a planner has lent; a lease that was not requested is ignored. `requested_at`:
        when the report was sent that the planner answers."""
        pending, ledger = self.pending.pop(lease.number, None), self.ledgers.get(lease.backend)
        if pending is None or ledger is None:
            return
        if pending.request.backend != lease.backend or lease.share <= MIN_SHARE:
            return
        terms = LeaseTerms(lease.share, lease.delay, lease.duration)
        ledger.borrow(terms, min(pending.sent_at, requested_at), now)
