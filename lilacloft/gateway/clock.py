"""The gateway's own time, and detection of pauses in which its process did not run.

The time is the Unix time of the gateway's start, advanced by the monotonic clock: steps of the system's wall
clock do not affect it. All times and spans are `Ticks`. Only the event loop's thread advances the clock; any
thread may query pauses.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.routing.units import Ticks

TICKS_PER_MILLISECOND = 10
PAUSE_THRESHOLD: Ticks = 1_000  # a longer gap between two updates is taken as a pause of the process
PAUSE_AFTERMATH: Ticks = 10_000  # span after a pause within which data received during it may still be unread


def monotonic_ticks() -> Ticks:
    """Return the monotonic clock's current time."""
    return time.monotonic_ns() // NS_PER_TICK


class Pause(NamedTuple):
    """A span, by the monotonic clock, in which this process did not run: it was stopped, or got no CPU."""

    started: Ticks  # the last update before it
    ended: Ticks


class GatewayClock:
    """The clock of one gateway."""

    def __init__(self, unix_clock: Callable[[], int] = time.time_ns) -> None:
        """`unix_clock`: returns the Unix time in nanoseconds; called once."""
        self.time: Ticks = unix_clock() // NS_PER_TICK
        self.monotonic_time: Ticks = time.monotonic_ns() // NS_PER_TICK  # of the last update
        self.last_pause: Pause | None = None

    def update(self) -> None:
        """Advance the time to now, and record a pause if the last update is too long ago."""
        now = time.monotonic_ns() // NS_PER_TICK
        if now - self.monotonic_time > PAUSE_THRESHOLD:
            self.record_pause(self.monotonic_time)
        self.time += now - self.monotonic_time
        self.monotonic_time = now

    def resume(self, gateway_time: Ticks, monotonic_time: Ticks) -> None:
        """Continue the time of another process, which was `gateway_time` at `monotonic_time`."""
        self.time, self.monotonic_time = gateway_time, monotonic_time
        self.update()

    def to_monotonic(self, at: Ticks) -> Ticks:
        """Convert a gateway time to the monotonic clock; 0, which means none, stays 0."""
        return at and at - self.time + self.monotonic_time

    def paused_since(self) -> Ticks | None:
        """Return the start, by the monotonic clock, of a pause that lasted until just now, or may have; None
        if there was none. A reading thread may run before the event loop has updated the clock."""
        now, updated, pause = monotonic_ticks(), self.monotonic_time, self.last_pause
        is_paused = now - updated > PAUSE_THRESHOLD
        if pause and (updated if is_paused else now) - pause.ended <= PAUSE_AFTERMATH:
            # consecutive pauses: data received during the first may be unread
            return min(updated, pause.started)
        return updated if is_paused else None

    def record_pause(self, started: Ticks) -> None:
        """Record a pause from `started`, by the monotonic clock, until now: what clients sent meanwhile is
        read only now, as this process was paused, or another process, or none, served as the gateway.
        Consecutive pauses count as one."""
        now, previous = monotonic_ticks(), self.last_pause
        if previous and started - previous.ended <= PAUSE_AFTERMATH:
            started = min(started, previous.started)
        self.last_pause = Pause(started, now)
