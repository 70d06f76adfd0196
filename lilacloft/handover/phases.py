"""Decides the course of an upgrade on the side of the old process: phases, time limits, the way back from
each.

Owns the state of one upgrade at a time; does no I/O and knows no clock but its host's. The order is

    idle - starting - warming - ready - taking - committed - letting_go - gone

and from each up to `committed` the way back is idle, with the old process the gateway as if nothing had
been. From `letting_go` the way back is idle too, but what the new one had taken is lost with it, as with
any process that dies. The one message that decides is `commit` with its answer `taken`: see `lost`.

Times are seconds as floats, by a clock that is never put back.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

IDLE, STARTING, WARMING, READY, TAKING, COMMITTED, LETTING_GO, GONE = (
    "idle",
    "starting",
    "warming",
    "ready",
    "taking",
    "committed",
    "letting_go",
    "gone",
)
ORDER = (IDLE, STARTING, WARMING, READY, TAKING, COMMITTED, LETTING_GO, GONE)
# seconds that each phase may take; settings may name others. Nothing is served from `taking` to `committed`
LIMITS = {STARTING: 10.0, WARMING: 10.0, READY: 2.0, TAKING: 0.3, COMMITTED: 0.3, LETTING_GO: 8.0}
WHOLE, DRAIN = "whole", "drain"  # what becomes of open reqs: they go over, or are finished by the old process
FAREWELL = 1.0  # seconds for the answers of what was given up to get out
SPARE = 32  # descriptors that an upgrade itself needs, on both sides
GROWTH = 1.1  # part of the old process's memory that the new one may come to, before anything of it is freed


class Ways(Protocol):
    """How the phases act. Each call is made at once; what follows from it comes back as an event."""

    def now(self) -> float:
        """Tell the time in seconds."""

    def start(self) -> None:
        """Run the new process; it says `hello`."""

    def warm(self) -> None:
        """Send what may change until the end but need not all be sent there; the new process says `ready`."""

    def take(self, mode: str) -> None:
        """Bring everything to rest, send it, and the new process says `have`."""

    def commit(self) -> None:
        """Tell the new process that it is the gateway; it answers `taken`."""

    def go_on(self, emptied: bool) -> None:
        """Serve again: with all that was at rest, or, emptied, without what had gone over."""

    def let_go(self, mode: str) -> None:
        """Finish what has stayed here."""

    def cut(self) -> None:
        """Give up what is still open here, with its answers, and read nothing more."""

    def end(self) -> None:
        """End this process: another is the gateway, and nothing is owed here."""

    def kill(self) -> None:
        """End the new process surely, and return once it is over; an answer it gave before may still be
        read."""

    def heard(self) -> bool:
        """Did the new process, which is over, answer `commit` with `taken` before?"""

    def dismiss(self, why: str) -> None:
        """Tell the new process that it is not wanted."""

    def report(self, phase: str, why: str, took: float) -> None:
        """A phase has begun, after the last one took so many seconds; for `idle`, why it came to that."""


def room(own: Mapping[str, float], limits: Mapping[str, float]) -> str:
    """Why an upgrade has no room beside what this process holds; empty where there is room. Of both the keys
    `memory_mb` and `sockets`: in the end both processes hold every descriptor once, and the state twice."""
    needs = {"memory_mb": own["memory_mb"] * (1 + GROWTH), "sockets": own["sockets"] * 2 + SPARE}
    for name, need in needs.items():
        if need > limits[name]:
            return f"no room: {need:.0f} {name} are needed, {limits[name]:.0f} allowed"
    return ""


class Leaving:
    """One gateway process that can be replaced."""

    def __init__(self, ways: Ways, limits: Mapping[str, float] | None = None) -> None:
        self.ways, self.limits = ways, {**LIMITS, **(limits or {})}
        self.phase, self.mode, self.wanted = IDLE, WHOLE, WHOLE
        self.since = self.until = 0.0
        self.stopping = False  # SIGTERM came
        self.was_cut = False

    # --- what happens ---

    def asked(self, mode: str, own: Mapping[str, float], limits: Mapping[str, float]) -> str:
        """Somebody asks for an upgrade; tells why not, or nothing where it begins."""
        if self.phase != IDLE:
            return f"another upgrade is {self.phase.replace('_', ' ')}"
        if self.stopping:
            return "this gateway is about to end"
        if mode not in (WHOLE, DRAIN):
            return f"unknown mode {mode!r}: {WHOLE} or {DRAIN} expected"
        lacks = room(own, limits)
        if lacks:
            return lacks
        self.wanted, self.was_cut = mode, False
        self._enter(STARTING)
        self.ways.start()
        return ""

    def hello(self, can_whole: bool, why_not: str = "") -> None:
        """The new process runs, and says whether it can go on with open reqs."""
        if self.phase != STARTING:
            return self.lost(f"hello while {self.phase}")
        self.mode = self.wanted if can_whole else DRAIN
        self._enter(WARMING, "" if can_whole or self.wanted == DRAIN else f"drain: {why_not}")
        return self.ways.warm()

    def ready(self) -> None:
        """It holds what it was sent, and waits for the rest."""
        if self.phase != WARMING:
            return self.lost(f"ready while {self.phase}")
        self._enter(READY)
        return None

    def turn(self) -> None:
        """The module's thread has come to it: from here on nothing is served until it is decided."""
        if self.phase == READY:
            self._enter(TAKING)
            self.ways.take(self.mode)

    def unheld(self, why: str) -> None:
        """Not everything could be brought to rest in time."""
        self.lost(why)

    def have(self) -> None:
        """It has everything."""
        if self.phase != TAKING:
            return self.lost(f"have while {self.phase}")
        self._enter(COMMITTED)
        return self.ways.commit()

    def taken(self) -> None:
        """It is the gateway."""
        if self.phase != COMMITTED:
            return self.lost(f"taken while {self.phase}")
        self._enter(LETTING_GO)
        return self.ways.let_go(self.mode)

    def remains(self, serves: bool, empty: bool) -> None:
        """Does the new one serve by its own word, and is nothing left here? Then this process may end. What
        is left after the phase's limit is given up with its answers, and goes once it has had time for
        those."""
        if self.phase != LETTING_GO or not serves:
            return
        late = self.ways.now() >= self.until
        if empty or (late and self.was_cut):
            self._enter(GONE)
            self.ways.end()
        elif late:
            self.was_cut, self.until = True, self.ways.now() + FAREWELL
            self.ways.cut()

    def lost(self, why: str) -> None:
        """The new process has ended, broken off, refused, or does what nobody asked it.

        Before `commit` was sent it is not the gateway, whatever it holds. After that, its end without `taken`
        says that it read and wrote nothing on what it holds, as it answers first and begins then: all goes on
        here. After `taken` it was the gateway: what it held has gone with it, and this one serves on without.
        """
        if self.phase in (IDLE, GONE):
            return
        phase = self.phase
        self.ways.dismiss(why)
        self.ways.kill()
        if phase == COMMITTED and self.ways.heard():
            phase = LETTING_GO  # it answered before it ended
        self._enter(IDLE, f"{why} while {phase.replace('_', ' ')}")
        if phase in (TAKING, COMMITTED, LETTING_GO):
            self.ways.go_on(emptied=phase == LETTING_GO)

    def stop(self) -> None:
        """SIGTERM. Before the commit the upgrade is called off, and this process ends as it always does;
        after it the new one is the gateway, and is told."""
        self.stopping = True
        if self.phase in (STARTING, WARMING, READY, TAKING):
            self.lost("the gateway was told to stop")

    def tick(self) -> None:
        """Look at the time limit of the phase."""
        if self.phase not in (IDLE, GONE) and self.ways.now() >= self.until:
            self.lost(f"more than {self.limits[self.phase]:g} s")

    def left(self) -> float:
        """Seconds until the phase's limit."""
        return max(0.0, self.until - self.ways.now()) if self.phase not in (IDLE, GONE) else math.inf

    def _enter(self, phase: str, why: str = "") -> None:
        now = self.ways.now()
        took, self.since = now - self.since if self.phase != IDLE else 0.0, now
        self.phase, self.until = phase, now + self.limits.get(phase, math.inf)
        self.ways.report(phase, why, took)


class Coming:
    """The new process: when it may act as the gateway, and what it does when the old one falls silent."""

    def __init__(self) -> None:
        self.holds = self.gateway = self.over = False
        self.why = ""

    def state(self) -> bool:
        """Everything has come, whole: it could go on from here."""
        self.holds = not self.over
        return self.holds

    def commit(self) -> bool:
        """The old one says that this is the gateway. Answered first, before anything is read or written, so
        that no answer means that nothing was touched."""
        self.gateway = self.holds and not self.over
        return self.gateway

    def dismissed(self, why: str) -> None:
        """The old one goes on without this one."""
        if not self.gateway:
            self.over, self.why = True, why

    def broken(self, old_lives: bool) -> bool:
        """The way to the old one has ended with no word; may this one serve? Whoever is dismissed is told or
        killed, so the old one died. With its whole state in hand this one is all that is left of the gateway:
        the listener would be closed else. What was at rest is still at rest, so nothing is done twice."""
        if not self.gateway:
            self.gateway = self.holds and not self.over and not old_lives
            self.over = not self.gateway
            self.why = self.why or ("the old process ended" if not old_lives else "the old process broke off")
        return self.gateway
