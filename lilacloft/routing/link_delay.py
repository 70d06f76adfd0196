"""The delay of the link to a backend: how long a message may be on its way, by what its last answers showed.

A backend whose attempt was cancelled does not know while the cancellation is on its way. Two attempts of a
request must not be in flight at once, so the next one waits that long. A link that showed no delay delays
nothing: a backend that hangs or was cut off never says a word, and its requests are to go elsewhere at once.
"""

from __future__ import annotations

from collections import deque

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

ANSWERS_COUNTED = 3  # the last ones; one that came soon shows a fast link
MIN_ANSWERS = 2  # a single one may have been late for any reason
LINK_DELAY_MEMORY: Ticks = 5 * TICKS_PER_SECOND  # how long an answer counts


class LinkDelay:
    """The times that the last answers of one backend took. All times are by one clock."""

    def __init__(self) -> None:
        """Nothing is known yet."""
        self.answers: deque[tuple[Ticks, Ticks]] = deque(maxlen=ANSWERS_COUNTED)  # (when, time it took)

    def record(self, unexplained_time: Ticks, now: Ticks) -> None:
        """Take in an answer: how much longer it took than its work and its transfer explain."""
        self.answers.append((now, max(0, unexplained_time)))

    def expected(self, now: Ticks) -> Ticks:
        """Return the longest time that a message must be expected to be on its way; 0: nothing shows a delay.

        It is the shortest of the last answers' times, in each of which a message went there and one came
        back."""
        recent = [took for at, took in self.answers if now - at < LINK_DELAY_MEMORY]
        return min(recent) if len(recent) >= MIN_ANSWERS else 0
