"""Catch-up: how old a copy may be while the change log may hold purges that were not read yet.

A purge counts as told once it is in the change log. A gateway that starts, follows the log at another
address, has lost its connection, or finds the log back after it had refused one, cannot know of the purges
told since, before it has read the log to its end. Until then it accepts only copies that are younger than
the grace within which a purge must be heeded: no purge counts against those yet.

That costs fills, so it has an end: at once where the log has shown its end by a heartbeat, or where a
connection to it is refused or not made in time, as it cannot be read then; `MAX_UNTOLD_TIME` after the log
has answered, by which time a connection that stays silent was given up; otherwise after `MAX_LIMITED_TIME`. A
connection that was made is no answer, as the operating system accepts it also for a log that stands still.
"""

from __future__ import annotations

from enum import Enum, auto

from lilacloft.routing.units import Ticks

MAX_LIMITED_TIME: Ticks = 30_000
MAX_UNTOLD_TIME: Ticks = 22_000  # from the log's answer; a silent connection is followed no longer than that
GRACE_SHARE = 0.5  # of the grace; the rest is for the way to the cache, and for clocks that differ
MIN_AGE: Ticks = 1  # 0 would mean any age


class LogProgress(Enum):
    """What is known of the change log."""

    BEGUN = auto()  # nothing was read since the start, or at this address
    INTERRUPTED = auto()  # nothing was read since its connection ended, or since it is back
    SETTLED = auto()  # it has told something new since then, or cannot be read now


class CatchUp:
    """How far one gateway has come in reading the change log."""

    def __init__(self, purge_grace: Ticks) -> None:
        """Start with nothing unread. `purge_grace`: within which a purge must be heeded."""
        self.max_age_unread = max(MIN_AGE, int(purge_grace * GRACE_SHARE))
        self.progress = LogProgress.SETTLED
        self.limited_until: Ticks = 0

    def begin(self, now: Ticks) -> None:
        """The log is read from now on: the gateway starts, or follows the log at another address."""
        self.progress = LogProgress.BEGUN
        self.limited_until = now + MAX_LIMITED_TIME

    def connected(self, now: Ticks) -> None:
        """A connection to the log was made: what has waited there comes once the log answers."""
        self._interrupt(now)

    def disconnected(self, now: Ticks) -> None:
        """The connection to the log has ended: what it tells from now on is not read."""
        self._interrupt(now)

    def repeated(self, now: Ticks) -> None:
        """The log has sent its last event again: what has waited there comes now. It has told nothing new, so
        another interruption wins no new time."""
        self._shorten(now + MAX_UNTOLD_TIME)

    def answered(self, now: Ticks) -> None:
        """The log has told something new on its new connection: what else has waited there comes now."""
        self.progress = LogProgress.SETTLED
        self._shorten(now + MAX_UNTOLD_TIME)

    def end(self) -> None:
        """The log was read to its end, or cannot be read now."""
        self.progress = LogProgress.SETTLED
        self.limited_until = 0

    def max_age(self, now: Ticks) -> Ticks:
        """Return the age of the oldest copy that no unread purge counts against; 0: any."""
        return self.max_age_unread if now < self.limited_until else 0

    def _interrupt(self, now: Ticks) -> None:
        """Limit ages. A log that has told nothing since the last interruption wins no new time: a silent
        one would else have every cache filled anew for as long as it is silent."""
        if self.progress is LogProgress.SETTLED:
            self.progress = LogProgress.INTERRUPTED
            self.limited_until = now + MAX_LIMITED_TIME

    def _shorten(self, limited_until: Ticks) -> None:
        self.limited_until = min(self.limited_until, limited_until)
