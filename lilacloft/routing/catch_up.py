"""Catch-up: the maximum age of a copy while the change log may hold purges that have not been read yet.

A purge takes effect for a gateway once it is in the change log. A gateway that starts, follows the log at
another address, has lost its connection, or reconnects to a log that had refused connections, does not know
the purges since then until it has read the log to its end. Until then it accepts only copies younger than
the grace period within which a purge must be applied: unread purges need not apply to those.

The limit costs fills, so it is lifted: at once when a heartbeat shows that the log was read to its end, or
when a connection to the log is refused or times out, as the log cannot be read then;
`MAX_LIMITED_TIME_AFTER_ANSWER` after the log has answered, by which time a silent connection has been
closed; otherwise after `MAX_LIMITED_TIME`. An established connection does not count as an answer, as the
operating system also accepts it for a log that is stalled.
"""

from __future__ import annotations

from enum import Enum, auto

from lilacloft.routing.units import Ticks

MAX_LIMITED_TIME: Ticks = 30_000
MAX_LIMITED_TIME_AFTER_ANSWER: Ticks = (
    22_000  # after the log's answer; a silent connection is closed within this time
)
GRACE_SHARE = 0.5  # of the grace period; the rest covers the delay to the cache and clock differences
MIN_AGE: Ticks = 1  # 0 would mean any age


class LogProgress(Enum):
    """How far the change log has been read."""

    BEGUN = auto()  # nothing read since the start, or since the address changed
    INTERRUPTED = auto()  # nothing new read since the connection ended or was made again
    SETTLED = auto()  # something new was read since then, or the log cannot be read now


class CatchUp:
    """Tracks how far one gateway has read the change log."""

    def __init__(self, purge_grace: Ticks) -> None:
        """Start with nothing unread. `purge_grace`: the time within which a purge must be applied."""
        self.max_age_unread = max(MIN_AGE, int(purge_grace * GRACE_SHARE))
        self.progress = LogProgress.SETTLED
        self.limited_until: Ticks = 0

    def begin(self, now: Ticks) -> None:
        """Start reading the log: at the start of the gateway, or at another address."""
        self.progress = LogProgress.BEGUN
        self.limited_until = now + MAX_LIMITED_TIME

    def connected(self, now: Ticks) -> None:
        """Handle a new connection to the log. The backlog follows once the log answers."""
        self._interrupt(now)

    def disconnected(self, now: Ticks) -> None:
        """Handle the end of the connection to the log: later events are not read."""
        self._interrupt(now)

    def repeated(self, now: Ticks) -> None:
        """Handle an event that was read before; the backlog follows. As nothing new was read, another
        interruption does not extend the limit."""
        self._shorten(now + MAX_LIMITED_TIME_AFTER_ANSWER)

    def answered(self, now: Ticks) -> None:
        """Handle the first new event on a connection; the rest of the backlog follows."""
        self.progress = LogProgress.SETTLED
        self._shorten(now + MAX_LIMITED_TIME_AFTER_ANSWER)

    def end(self) -> None:
        """Lift the limit: the log was read to its end, or cannot be read now."""
        self.progress = LogProgress.SETTLED
        self.limited_until = 0

    def max_age(self, now: Ticks) -> Ticks:
        """Return the maximum age of a copy that no unread purge can apply to; 0: no limit."""
        return self.max_age_unread if now < self.limited_until else 0

    def _interrupt(self, now: Ticks) -> None:
        """Limit ages. The limit is not extended if nothing new was read since the last interruption:
        otherwise a silent log would cause every cache to be refilled for as long as it is silent."""
        if self.progress is LogProgress.SETTLED:
            self.progress = LogProgress.INTERRUPTED
            self.limited_until = now + MAX_LIMITED_TIME

    def _shorten(self, limited_until: Ticks) -> None:
        self.limited_until = min(self.limited_until, limited_until)
