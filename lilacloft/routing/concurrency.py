"""Adaptive concurrency limits: how many attempts may be in flight, adjusted by the share of late answers.

Work that could only be late is rejected early instead of queueing at a backend.
"""

from __future__ import annotations

import math

from lilacloft.routing.units import Ticks

# A limit starts at this multiple of the transfers that run at full rate: at half the rate, answers still
# meet the target.
INITIAL_FACTOR = 2.0
CUT_FACTOR = 0.7  # a limit is multiplied by this; 0.5 (half) would overshoot, as answers lag behind the load
TOLERATED_LATE_SHARE = 0.2  # share of late answers that the normal spread of sizes and speeds causes
LATE_WEIGHT = 1 / 8  # weight of one answer in the moving share of late answers


class AdaptiveLimit:
    """A limit on this gateway's attempts in flight to one backend, or through one link.

    Answers in time raise the limit while it is used, late answers cut it. If even one attempt at a time is
    too many, the limit falls below one: attempts are then spaced out, so that many gateways together send
    few.
    """

    def __init__(self, limit: float, minimum: float) -> None:
        """Start at `limit`, which is never cut below `minimum`."""
        self.limit = limit
        self.minimum = minimum
        self.in_flight = 0
        self.late_share = 0.0
        self.next_cut_at: Ticks = 0
        self.last_ended_at: Ticks = 0
        self.last_duration: Ticks = 0
        self.ceiling = math.inf  # set by a plan

    def allows(self, weight: float, now: Ticks) -> bool:
        """Return whether one more attempt may be sent. `weight` widens the limit for valuable requests."""
        limit = min(self.limit, self.ceiling) * weight
        return self.in_flight < limit and (
            limit >= 1 or now >= self.last_ended_at + self.last_duration * (1 / limit - 1)
        )

    def record(self, late: bool, now: Ticks, duration: Ticks, cut_interval: Ticks) -> None:
        """Record an answer. The limit is cut at most once per interval, as all attempts in flight reflect the
        same load."""
        self.late_share += (late - self.late_share) * LATE_WEIGHT
        self.last_ended_at, self.last_duration = now, duration
        if not late:
            if self.in_flight + 1 >= self.limit / 2:
                self.limit += min(self.limit / 2, 1 / self.limit)
        elif self.late_share > TOLERATED_LATE_SHARE and now >= self.next_cut_at:
            self.limit = max(self.minimum, CUT_FACTOR * min(self.limit, self.in_flight + 1))
            self.next_cut_at = now + cut_interval
