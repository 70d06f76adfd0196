"""Estimates what timestamps of other machines mean in a gateway's own time.

A gateway's time goes on with the machine's monotonic clock from what the wall clock said at its start. It
never follows the wall clock when that is set: a purge must not grow older because of it, else copies from
before it would pass for newer. But the wall clock may have been stepped before this process began, and
that of discovery's machine may be stepped at any time. So timestamps of others are translated when they
arrive, and every doubt makes a purge newer and a cache colder, never the other way:

- Nothing can arrive before it was stamped. The least lag ever seen between a purge's timestamp and its
  arrival is no less than what our time is ahead of discovery's clock, and more than that only by the
  fastest delivery. A timestamp means itself plus that least lag. The least lag may rise with time, as
  clocks drift.
- What discovery sends next was not in it at the last frame. A purge that claims to be older than that
  frame, by more than delivery takes, shows that discovery's clock was put back: it counts as of its
  arrival, and the lag is learned anew from it. So does a start that claims to be older by more than the
  protocol gives discovery to send it (`MAX_START_DELAY`).
- What discovery sends first on a connection was held back by the break: such a purge counts as of its
  arrival, and says nothing against discovery's clock.
- Where no purge has arrived, starts that a configuration lists are placed by themselves: the latest counts
  as of now. A start that a better lag shows to be earlier is corrected (`corrected_starts`).

No I/O. All times and durations are ticks (tenths of a millisecond).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

DRIFT_INTERVAL = 5_000  # ticks in which clocks may drift apart by one tick: 0.2 s in 1,000 s
MAX_DELIVERY_TIME = 5_000  # ticks by which a purge may be older than the frame before it
MAX_START_DELAY = 70_000  # ticks within which discovery sends what has happened, by the protocol


@dataclass(frozen=True)
class WatchContext:
    """The state of the discovery watch when an event arrived; the time is the gateway's."""

    previous_frame_at: int  # when the frame before this one came, on whichever connection
    is_current: bool  # discovery has sent all that it held back, on this connection


@dataclass
class BackendStart:
    """When a backend started."""

    stamp: int  # by discovery's clock
    local_time: int  # in the gateway's time
    correctable: bool  # it rests on the lag as it was known, and on nothing worse


class ClockOffset:
    """What one gateway knows of the clocks of others."""

    def __init__(self) -> None:
        self.min_lag: int | None = None  # between a purge's timestamp and its arrival
        self.learned_at = 0
        self.configured_lag: int | None = None  # the least between a configured start and our own
        self.starts: dict[str, BackendStart] = {}  # by backend

    # --- purges ---

    def purge_time(self, now: int, stamp: int, context: WatchContext | None = None) -> int:
        """Return when a purge was, in our time; now at the latest. `context`: none where a configuration or a
        store tells of it."""
        if context and context.is_current and self._contradicts(now, stamp, context):
            self._learn_anew(now, now - stamp)
        else:
            self._learn(now, now - stamp)
        if context and not context.is_current:
            return now
        return stamp + (self.min_lag or 0)

    def _contradicts(self, now: int, stamp: int, context: WatchContext) -> bool:
        """Return whether a purge claims to be older than the frame before it."""
        if self.min_lag is None:
            return False
        return stamp + self._max_lag(now) < context.previous_frame_at - MAX_DELIVERY_TIME

    def _max_lag(self, now: int) -> int:
        """Return the lag that was learned, with what clocks may have drifted apart since."""
        return (self.min_lag or 0) + -(-max(0, now - self.learned_at) // DRIFT_INTERVAL)

    def _learn(self, now: int, lag: int) -> None:
        """Take in a lag that was seen."""
        if self.min_lag is not None:
            lag = min(lag, self._max_lag(now))
        if lag != self.min_lag:
            self.min_lag, self.learned_at = lag, now

    def _learn_anew(self, now: int, lag: int) -> None:
        """Discovery's clock was put back: what was learned of it holds no more."""
        self.min_lag, self.learned_at = lag, now
        for start in self.starts.values():
            start.correctable = False

    # --- starts ---

    def record_configured_starts(self, now: int, stamps: Iterable[int]) -> None:
        """Take in the starts that a configuration lists (0: not known)."""
        self.configured_lag = min((now - stamp for stamp in stamps if stamp), default=None)

    def start_time(self, now: int, backend: str, stamp: int, context: WatchContext | None = None) -> int:
        """Return when a backend started, in our time; 0: not known. It is the same for the same timestamp,
        however
        often that arrives, as another time would mean another start."""
        if not stamp:
            self.starts.pop(backend, None)
            return 0
        start = self.starts.get(backend)
        if start is None or start.stamp != stamp:
            start = self.starts[backend] = self._place_start(now, stamp, context)
        return start.local_time

    def _place_start(self, now: int, stamp: int, context: WatchContext | None) -> BackendStart:
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
        """Return the starts, by backend, that are earlier than returned before: the lag is known better."""
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
        """Go on with what the process before knew. `starts`: by backend the fields of its `BackendStart`."""
        self.min_lag, self.learned_at = min_lag, learned_at
        self.starts = {backend: BackendStart(*fields) for backend, fields in starts.items()}
