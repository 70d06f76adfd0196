"""The quota ledger: the shares of a cold backend's start budget that a party may use, and those it has lent.

The start budget bounds what all gateways together send to a cold backend in any window. Without a planner
each of N gateways uses its own share, 1/N, which needs no coordination. A gateway leases shares that it does
not need to a planner, which leases them to another gateway. No share is used by two parties within one
window, for any number of planners, any views they have and any loss of messages, as each party lends only
what it has:

- A lender stops using a share when it answers, and uses it again only once the lease has certainly expired.
- A borrower counts the duration from before it sent its request, so that no two clocks are compared.
- A borrower starts using a share one window after the lender stopped, and a lender resumes one window after
  the lease expires: until then requests sent by the other party still count.

Clocks are assumed to run at the same rate, within `MAX_CLOCK_DRIFT`. The module does no I/O; times
are `Ticks` of each party's own monotonic clock; shares are fractions of the whole budget, from 0 to 1.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.routing.units import Ticks

MAX_CLOCK_DRIFT = 0.001  # fraction by which one clock may run faster than another
MIN_SHARE = 1e-9  # smaller shares are treated as zero
MAX_LEASE: Ticks = 50_000  # longest duration of a lease
NEVER: Ticks = 1 << 62


@dataclass
class ShareEntry:
    """One share in a ledger with its period of validity, and the leases granted out of it."""

    share: float
    usable_from: Ticks
    expires_at: Ticks
    lent: list[tuple[float, Ticks]] = field(default_factory=list)  # share and return time of each lease

    def usable(self, now: Ticks) -> float:
        """Return the share that may be used now."""
        if not self.usable_from <= now < self.expires_at:
            return 0.0
        return self.lendable(now)

    def lendable(self, now: Ticks) -> float:
        """Return the part that is not lent, whether it is usable yet or not."""
        self.lent = [(share, returns_at) for share, returns_at in self.lent if returns_at > now]
        return max(0.0, self.share - sum(share for share, _ in self.lent))

    def remaining(self, now: Ticks) -> Ticks:
        """Return the time until the share expires; `NEVER` for a permanent share."""
        return self.expires_at - now if self.expires_at < NEVER else NEVER


@dataclass(frozen=True)
class LeaseTerms:
    """A lender's answer: a share, usable `delay` after the answer arrives, until `duration` after the request
    was sent."""

    share: float
    delay: Ticks
    duration: Ticks


class QuotaLedger:
    """The shares of one budget that one party holds."""

    def __init__(self, own_share: float, window: Ticks, usable_from: Ticks = 0) -> None:
        """`own_share`: this party's permanent share, usable from `usable_from` on: a restarted process does
        not know what the previous one had lent, and waits until all of it has certainly returned. `window`:
        the period to which the budget applies."""
        self.window, self.own_share = window, own_share
        self.entries = [ShareEntry(own_share, usable_from, NEVER)] if own_share > 0 else []

    def usable(self, now: Ticks) -> float:
        """Return the share that may be used now."""
        self._remove_expired(now)
        return sum(entry.usable(now) for entry in self.entries)

    def lendable(self, now: Ticks, duration: Ticks) -> float:
        """Return the share that could be lent for a duration."""
        self._remove_expired(now)
        required = min(duration, 4 * self.window)
        return sum(entry.lendable(now) for entry in self.entries if entry.remaining(now) >= required)

    def lend(self, now: Ticks, share: float, duration: Ticks) -> LeaseTerms | None:
        """Lend at most a share for at most a duration, out of the entry with the most time left; return None
        if nothing can be lent. The share is given up at once, whether the answer arrives or not."""
        self._remove_expired(now)
        entries = [
            entry
            for entry in self.entries
            if entry.lendable(now) > MIN_SHARE and entry.remaining(now) > 2 * self.window
        ]
        if not entries or share <= MIN_SHARE or duration <= 2 * self.window:
            return None
        entry = max(
            entries,
            key=lambda candidate: (min(candidate.expires_at, now + duration), candidate.lendable(now)),
        )
        lent = min(share, entry.lendable(now))
        lease_duration = min(duration, entry.remaining(now))
        # the share goes out of use now and may be used by the borrower one window after the answer arrives;
        # if it is not usable here yet, the remaining time is added to the delay
        delay = self.window + max(0, entry.usable_from - now)
        if lease_duration <= delay:
            return None
        returns_at = now + longest(lease_duration) + self.window
        entry.lent.append((lent, returns_at))
        return LeaseTerms(lent, delay, lease_duration)

    def borrow(self, terms: LeaseTerms, requested_at: Ticks, received_at: Ticks) -> bool:
        """Add a share that was lent to this party; return False if no usable time is left of the lease."""
        usable_from = received_at + longest(terms.delay)
        expires_at = requested_at + shortest(terms.duration)
        if expires_at <= usable_from or terms.share <= MIN_SHARE:
            return False
        self.entries.append(ShareEntry(terms.share, usable_from, expires_at))
        return True

    def is_settled(self, now: Ticks) -> bool:
        """Return whether no share is lent or borrowed."""
        self._remove_expired(now)
        return all(entry.expires_at == NEVER and entry.lendable(now) == entry.share for entry in self.entries)

    def next_expiry(self, now: Ticks) -> Ticks:
        """Return when the first borrowed share expires; `NEVER` if none is borrowed."""
        self._remove_expired(now)
        return min((entry.expires_at for entry in self.entries), default=NEVER)

    def _remove_expired(self, now: Ticks) -> None:
        self.entries = [entry for entry in self.entries if entry.expires_at > now]


def longest(duration: Ticks) -> Ticks:
    """Return the longest time that another clock's duration may take by this clock."""
    return duration + int(duration * MAX_CLOCK_DRIFT) + 1


def shortest(duration: Ticks) -> Ticks:
    """Return the shortest time that another clock's duration may take by this clock."""
    return duration - int(duration * MAX_CLOCK_DRIFT) - 1


def max_min_fair(demands: Mapping[str, float], supply: float) -> dict[str, float]:
    """Divide a supply by max-min fairness: small demands are met, the rest is divided evenly. The computation
    follows the order of names, so that all parties get equal results from equal input."""
    result = dict.fromkeys(demands, 0.0)
    pending = sorted(name for name in demands if demands[name] > MIN_SHARE)
    remaining = supply
    while pending and remaining > MIN_SHARE:
        even = remaining / len(pending)
        satisfied = [name for name in pending if demands[name] <= even]
        for name in satisfied or pending:
            result[name] = demands[name] if satisfied else even
            remaining -= result[name]
        pending = [name for name in pending if name not in satisfied] if satisfied else []
    return result
