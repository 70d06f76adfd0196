"""The margin for this gateway's own lag: how much earlier than it must a gateway that is short of processor
time gives its final answers, and how much older it takes requests to be that it cannot date.

Whatever is due at a time is done that much later by a process that lags: an answer at the deadline itself
would be late. The lag that was seen last is the best guess of the next one.
"""

from __future__ import annotations

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

LAG_MEMORY: Ticks = 5 * TICKS_PER_SECOND  # a lag counts in its span of this length and in the next one
MAX_MARGIN_SHARE = 0.5  # of a request's time: the rest is left to backends


class LagMargin:
    """The longest lag that was seen lately.

    All times are by one clock. One thread records; any thread may ask."""

    def __init__(self) -> None:
        self.span = 0  # number of the span in which a lag was recorded last
        self.longest: Ticks = 0  # in that span
        self.previous_longest: Ticks = 0  # in the span before that

    def record(self, lag: Ticks, now: Ticks) -> None:
        """Take in by how much something was done late."""
        span = now // LAG_MEMORY
        if span != self.span:
            self.previous_longest = self.longest if span == self.span + 1 else 0
            self.longest, self.span = 0, span
        self.longest = max(self.longest, lag)

    def current(self, now: Ticks) -> Ticks:
        """Return the lag that is to be expected."""
        age = now // LAG_MEMORY - self.span
        if age == 0:
            return max(self.longest, self.previous_longest)
        return self.longest if age == 1 else 0

    def answer_by(self, arrived_at: Ticks, deadline: Ticks, lag: Ticks) -> Ticks:
        """Return when a request is to be answered at the latest, so that its client has the answer by its
        deadline. `lag`: what is to be expected."""
        most = int(max(0, deadline - arrived_at) * MAX_MARGIN_SHARE)
        return deadline - min(lag, most)
