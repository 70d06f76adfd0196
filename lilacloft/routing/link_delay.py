"""The delay of the link to a backend: how long a message may be in transit, estimated from recent answers.

A backend does not know of a cancellation that is still in transit. As two attempts of a request must not be
in flight at once, the next attempt waits for the link delay. Without a measured delay it does not wait: a
backend that hangs or is unreachable never answers, and its requests should go elsewhere at once.
"""

from __future__ import annotations

from collections import deque

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

ANSWERS_COUNTED = 3  # most recent answers considered; a single quick one shows a fast link
MIN_ANSWERS = 2  # a single answer may have been late for any reason
LINK_DELAY_MEMORY: Ticks = 5 * TICKS_PER_SECOND  # how long an answer counts


class LinkDelay:
    """The durations of the last answers of one backend. All times are by one clock."""

    def __init__(self) -> None:
        """Start without any answer."""
        self.answers: deque[tuple[Ticks, Ticks]] = deque(maxlen=ANSWERS_COUNTED)  # (time, duration)

    def record(self, unexplained_time: Ticks, now: Ticks) -> None:
        """Record an answer: how much longer it took than its work and its transfer explain."""
        self.answers.append((now, max(0, unexplained_time)))

    def expected(self, now: Ticks) -> Ticks:
        """Return the longest time that a message is expected to be in transit; 0: no delay is known.

        This is the shortest duration of the recent answers, as each of them includes one message in each
        direction."""
        recent = [duration for at, duration in self.answers if now - at < LINK_DELAY_MEMORY]
        return min(recent) if len(recent) >= MIN_ANSWERS else 0
