"""Converts timestamps of other machines to a gateway's own time.

A gateway's time starts with the wall clock at its start and advances with the machine's monotonic clock. It
does not follow later changes of the wall clock: those must not make a purge older, or copies from before the
purge would be taken for newer ones. However, the wall clock may have been stepped before this process
started, and the clock of discovery's machine may be stepped at any time. Timestamps of other machines are
therefore converted on arrival, and where the result is uncertain, a purge is taken to be newer and a cache
to be colder, never the reverse:

- Nothing can arrive before its timestamp. The minimum lag ever observed between the timestamp of a purge and
  its arrival is at least the offset of this gateway's time from discovery's clock, and exceeds it only by the
  delay of the fastest delivery. A timestamp is converted by adding that minimum lag. The minimum lag may rise
  over time, as clocks drift.
- An event that discovery sends had not happened when it sent its previous frame. A purge whose timestamp is
  before that frame, by more than the delivery time, shows that discovery's clock was set back: the purge
  counts as of its arrival, and the lag is learned again from it. A start also counts as of its arrival if its
  timestamp is before that frame by more than the time that the protocol gives discovery to send it
  (`MAX_START_DELAY`).
- The first events on a new connection were delayed by the disconnection: such a purge counts as of its
  arrival, and is no evidence that discovery's clock was set back.
- If no purge has arrived, the starts listed in a configuration are converted relative to each other: the
  latest counts as of now. When a better lag shows that a start was earlier, it is corrected
  (`corrected_starts`).

No I/O. All times and durations are ticks (tenths of a millisecond).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

DRIFT_INTERVAL = 5_000  # ticks in which clocks may drift apart by one tick: 0.2 s in 1,000 s
MAX_DELIVERY_TIME = 5_000  # ticks by which a purge may be older than the previous frame
MAX_START_DELAY = 70_000  # ticks within which discovery reports an event, by the protocol


@dataclass(frozen=True)
class WatchContext:
    """The state of the discovery watch when an event arrived, in the gateway's time."""

    previous_frame_at: int  # arrival of the previous frame, on this or an earlier connection
    is_current: bool  # discovery has sent its whole backlog on this connection


@dataclass
class BackendStart:
    """When a backend started."""

    stamp: int  # by discovery's clock
    local_time: int  # in the gateway's time
    correctable: bool  # it may be corrected when a better lag is known


class ClockOffset:
    """One gateway's knowledge of the clocks of other machines."""

    def __init__(self) -> None:
        self.min_lag: int | None = None  # between a purge's timestamp and its arrival
        self.learned_at = 0
        self.configured_lag: int | None = None  # minimum between a configured start and the time it was read
        self.starts: dict[str, BackendStart] = {}  # by backend

    # --- purges ---

    def purge_time(self, now: int, stamp: int, context: WatchContext | None = None) -> int:
        """Return the time of a purge in the gateway's time, at most `now`. `context`: None if the purge comes
        from a configuration or a store."""
        if context and context.is_current and self._was_set_back(now, stamp, context):
            self._reset_lag(now, now - stamp)
        else:
            self._record_lag(now, now - stamp)
        if context and not context.is_current:
            return now
        return stamp + (self.min_lag or 0)

    def _was_set_back(self, now: int, stamp: int, context: WatchContext) -> bool:
        """Return whether a purge's timestamp is too old for the previous frame, so that discovery's clock
        must have been set back."""
        if self.min_lag is None:
            return False
        return stamp + self._max_lag(now) < context.previous_frame_at - MAX_DELIVERY_TIME

    def _max_lag(self, now: int) -> int:
        """Return the learned lag, plus the possible clock drift since."""
        return (self.min_lag or 0) + -(-max(0, now - self.learned_at) // DRIFT_INTERVAL)

    def _record_lag(self, now: int, lag: int) -> None:
        """Update the minimum lag from an observed lag."""
        if self.min_lag is not None:
            lag = min(lag, self._max_lag(now))
        if lag != self.min_lag:
            self.min_lag, self.learned_at = lag, now

    def _reset_lag(self, now: int, lag: int) -> None:
        """Replace the learned lag after discovery's clock was set back."""
        self.min_lag, self.learned_at = lag, now
        for start in self.starts.values():
            start.correctable = False

    # --- starts ---

    def record_configured_starts(self, now: int, stamps: Iterable[int]) -> None:
        """Record the start timestamps listed in a configuration (0: unknown)."""
        self.configured_lag = min((now - stamp for stamp in stamps if stamp), default=None)

    def start_time(self, now: int, backend: str, stamp: int, context: WatchContext | None = None) -> int:
        """Return when a backend started, in the gateway's time; 0: unknown. A repeated timestamp always
        gives the same result, as a different one would mean another start."""
        if not stamp:
            self.starts.pop(backend, None)
            return 0
        start = self.starts.get(backend)
        if start is None or start.stamp != stamp:
            start = self.starts[backend] = self._convert_start(now, stamp, context)
        return start.local_time

    def _convert_start(self, now: int, stamp: int, context: WatchContext | None) -> BackendStart:
        lag = self.min_lag
        if lag is None and context is None:
            lag = self.configured_lag
        if lag is None:
            return BackendStart(stamp, now, correctable=True)
        local_time = min(now, stamp + lag)
        if context and local_time < context.previous_frame_at - MAX_START_DELAY:
            return BackendStart(stamp, now, correctable=False)
        return BackendStart(stamp, local_time, correctable=True)

    def corrected_starts(self) -> dict[str, int]:
        """Return the starts, by backend, that a better lag shows to be earlier than returned before."""
        if self.min_lag is None:
            return {}
        corrected = {}
        for backend, start in self.starts.items():
            if start.correctable and start.stamp + self.min_lag < start.local_time:
                start.local_time = corrected[backend] = start.stamp + self.min_lag
        return corrected

    def forget(self, backend: str) -> None:
        """Drop a backend that is not listed any more."""
        self.starts.pop(backend, None)

    def restore(
        self, min_lag: int | None, learned_at: int, starts: Mapping[str, tuple[int, int, bool]]
    ) -> None:
        """Restore the state of the previous process. `starts`: by backend, the fields of its
        `BackendStart`."""
        self.min_lag, self.learned_at = min_lag, learned_at
        self.starts = {backend: BackendStart(*fields) for backend, fields in starts.items()}
