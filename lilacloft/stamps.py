"""Decides what a moment that others have stamped means in a gateway's own time; owns what is known of their
clocks.

A gateway's time goes on with the machine's steady clock from what the system's clock said at its start. It
never follows that clock when it is set: a purge must not grow old because somebody turned the clock, else
copies from before it would pass for younger. But the clock may have been stepped before this process began,
and that of the change log's machine may be stepped at any time. So stamps of others are translated when they
are heard, and every doubt makes a purge younger and a cache colder, never the other way:

- Nothing can have been told before it was stamped. The least lag ever seen between a purge's stamp and its
  hearing is no less than what our time is ahead of the log's clock, and more than that by the fastest telling
  only. A moment stamped there is its stamp and that least lag. The least lag may rise with time, as clocks
  drift.
- What the log tells next was not in it when it was last heard from. A purge that claims to be older than
  that, by more than what telling takes, says that the log's clock was put back: it counts as of when it is
  heard, and the lag is learned anew from it. So does a start that claims to be older by more than the
  protocol gives the log to tell (`TOLD_LATEST`).
- What the log sends first on a connection was held back by the break: such a purge counts as of when it is
  heard, and says nothing against the log's clock.
- Where no purge was heard, starts that a configuration lists are told apart by themselves: the latest counts
  as of now. A start that a better lag shows to be earlier is corrected (`revised`).

No I/O; whole tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

DRIFT = 5_000  # a clock may run apart by one tenth of a millisecond in so many: 0.2 s in 1,000
TELLING = 5_000  # span by which a purge may be older than the frame before it: telling takes less
TOLD_LATEST = 70_000  # span within which the log tells what has happened, by the protocol


@dataclass(frozen=True)
class Hearing:
    """How the change log was heard of when it told an event; the times are the gateway's."""

    before: int  # when the frame before this one came, on whichever connection
    current: bool  # has it told all that it held back, on this connection?


@dataclass
class Start:
    """A backend's start."""

    stamp: int
    meant: int  # in our time
    revisable: bool  # does it rest on the lag as it was known, and on nothing worse?


class Stamps:
    """What one gateway knows of others' clocks."""

    def __init__(self) -> None:
        self.lag: int | None = None  # the least between a purge's stamp and its hearing
        self.at = 0  # when it was
        self.configured_lag: int | None = None  # the least between a listed start and our own
        self.starts: dict[str, Start] = {}  # by backend

    # --- purges ---

    def purge(self, now: int, stamp: int, hearing: Hearing | None = None) -> int:
        """When a purge was, in our time; now at the latest. `hearing`: none where a configuration or a store
        tells of it."""
        if hearing and hearing.current and self._contradicts(now, stamp, hearing):
            self._learn_anew(now, now - stamp)
        else:
            self._learn(now, now - stamp)
        if hearing and not hearing.current:
            return now
        return stamp + (self.lag or 0)

    def _contradicts(self, now: int, stamp: int, hearing: Hearing) -> bool:
        """Does it claim to be older than the frame before it?"""
        return self.lag is not None and stamp + self._most(now) < hearing.before - TELLING

    def _most(self, now: int) -> int:
        """The lag that was learned, with what clocks may have run apart since."""
        return (self.lag or 0) + -(-max(0, now - self.at) // DRIFT)

    def _learn(self, now: int, lag: int) -> None:
        """Take in a lag that was seen."""
        if self.lag is not None:
            lag = min(lag, self._most(now))
        if lag != self.lag:
            self.lag, self.at = lag, now

    def _learn_anew(self, now: int, lag: int) -> None:
        """The log's clock was put back: what was learned of it holds no more."""
        self.lag, self.at = lag, now
        for start in self.starts.values():
            start.revisable = False

    # --- starts ---

    def configured(self, now: int, stamps: Iterable[int]) -> None:
        """A configuration lists backends that started at some stamps (0: none told)."""
        self.configured_lag = min((now - stamp for stamp in stamps if stamp), default=None)

    def start(self, now: int, backend: str, stamp: int, hearing: Hearing | None = None) -> int:
        """When a backend started, in our time; the same for the same stamp, however often it is told, as
        another time would mean another life."""
        if not stamp:
            self.starts.pop(backend, None)
            return 0
        told = self.starts.get(backend)
        if told is None or told.stamp != stamp:
            told = self.starts[backend] = self._started(now, stamp, hearing)
        return told.meant

    def _started(self, now: int, stamp: int, hearing: Hearing | None) -> Start:
        lag = self.lag if self.lag is not None else None if hearing else self.configured_lag
        if lag is None:
            return Start(stamp, now, revisable=True)
        meant = min(now, stamp + lag)
        if hearing and meant < hearing.before - TOLD_LATEST:
            return Start(stamp, now, revisable=False)
        return Start(stamp, meant, revisable=True)

    def revised(self) -> dict[str, int]:
        """Starts that are earlier than was told, as the lag is known better by now; by backend."""
        if self.lag is None:
            return {}
        found = {}
        for backend, start in self.starts.items():
            if start.revisable and start.stamp + self.lag < start.meant:
                start.meant = found[backend] = start.stamp + self.lag
        return found

    def forget(self, backend: str) -> None:
        """A backend is listed no more."""
        self.starts.pop(backend, None)

    def take(self, lag: int | None, at: int, starts: Mapping[str, tuple[int, int, bool]]) -> None:
        """Go on with what the process before knew: the lag and when it was learned; starts by backend, each
        with its stamp, what it means, and whether it may be corrected."""
        self.lag, self.at = lag, at
        self.starts = {backend: Start(*told) for backend, told in starts.items()}
