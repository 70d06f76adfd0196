"""Owns the state of caches, parents and origins, and decides what each does with a dispatch.

A box answers from a copy, joins a fill that is under way, fills from the source it is told, or passes on what
must not be kept. What it sends is a transfer over its way out and the links behind it, shared max-min
(lilacloft/emulator/links.py). One that started lately can do little and falls over where it is sent too much;
one that is silent takes all and answers nothing. What a gateway may send it is not its business. No I/O;
times in tenths of a millisecond, sizes in KB.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from lilacloft.emulator.around import AroundBox
from lilacloft.emulator.copies import Copies, Place
from lilacloft.emulator.events import TIMER
from lilacloft.emulator.links import Flow, Link

CACHE, PARENT, ORIGIN = 0, 1, 2
# notes of an answer, by their places in the module's interface
HIT, MISS, MISS_ROOT, JOIN, STALE, SOURCE_DENIES, SOURCE_DEAD, NO_COPY, FILL_FULL, ROOT_FAILS = range(1, 11)
ACTIVE, LEAVING, LEFT = 1, 2, 0
AGED = 0.8  # part of its fresh time after which a copy may be renewed
SLOWS = 300  # that a box begins later for each time that it is slower


@dataclass(eq=False, slots=True)
class Dispatch:
    """One sending of a req, as the box sees it."""

    number: int
    gateway: Any
    request: Any
    backend: Any
    seq: int
    box: Box
    place: Place
    group: int
    kbytes: float
    source: Box | None = None
    rank: int = 0
    oldest: int = 0  # the oldest copy that will do was born then
    fresh: int = 0  # one born before is stale
    join: bool = False
    held_only: bool = False
    renew: bool = False
    passes: bool = False  # must not be kept
    write: str = ""  # its effect, if it has one
    sent: int = 0
    open: bool = False  # at the box
    over: bool = False  # at the gateway
    flow: Flow | None = None
    born: int = 0
    note: int = 0
    fill: Fill | None = None


@dataclass(eq=False, slots=True)
class Fill:
    """A box gets a part from its source."""

    box: Box
    place: Place
    source: Box
    group: int
    kbytes: float
    rank: int
    oldest: int
    held_only: bool
    first: Dispatch | None  # whose transfer goes on to its client as it comes; none: nobody waits
    waits: list[Dispatch] = field(default_factory=list)
    below: list[Fill] = field(default_factory=list)  # fills of caches that wait for this one, at a parent
    flow: Flow | None = None
    born: int = 0
    over: bool = False
    rooted: bool = False  # it came from the origin


class Box:
    """A cache, a parent or an origin."""

    def __init__(
        self,
        fleet: AroundBox,
        name: str,
        kind: int,
        zone: int,
        cell: int,
        size: float,
        room: float,
        slots: int,
    ) -> None:
        self.fleet, self.name, self.kind, self.zone, self.cell = fleet, name, kind, zone, cell
        self.size = size  # transfers at full pace that it can send at once
        self.slots = slots  # dispatches that it holds at once; beyond it answers that it is full
        self.out = Link(f"out {name}", size * fleet.pace)
        self.copies = Copies(room)
        self.fills: dict[Place, Fill] = {}
        self.open: dict[Dispatch, None] = {}
        self.status, self.started = ACTIVE, 0
        self.silent = self.dead = False
        self.slow = self.thin = 1.0  # so many times slower to begin, and to send
        self.loss = 0.0  # part of its answers that are late by a repeat on the way
        self.work: deque[tuple[int, float]] = deque()  # sent here lately, in time at full pace
        self.fell = 0
        self.queue: deque[tuple[Any, ...]] = deque()  # an origin's
        self.busy = 0
        self.counts = dict.fromkeys(("do", "hit", "stale", "fill", "join", "miss", "full", "reset"), 0)

    # --- what it can do ---

    def warm(self) -> tuple[float, int, float]:
        return self.fleet.cold_parent if self.kind == PARENT else self.fleet.cold_cache

    def power(self) -> float:
        """The part of its size that it can do now."""
        floor, warm, _ = self.warm()
        age = self.fleet.events.now - self.started
        if self.kind == ORIGIN or not self.started or age >= warm:
            return 1.0
        return floor + (1 - floor) * max(0, age) / warm

    def resize(self) -> None:
        """What it can send has changed."""
        self.fleet.resize(self.out, self.size * self.fleet.pace * self.power() / self.thin)

    def warming(self, since: int) -> None:
        """It grows warm, step by step."""
        if self.started == since and not self.dead:
            self.resize()
            if self.power() < 1.0:
                self.fleet.at(self.fleet.events.now + self.fleet.step, TIMER, self.warming, since)

    def bears(self, work: float) -> bool:
        """It is sent work; False where that is more than it bears, as it is cold."""
        now, fall = self.fleet.events.now, self.fleet.fall
        self.work.append((now, work))
        while self.work and self.work[0][0] <= now - fall:
            self.work.popleft()
        power = self.power()
        if power >= 1.0:
            return True
        load = sum(work for _, work in self.work)
        return load <= self.warm()[2] * power * self.size * fall

    # --- its life ---

    def start(self) -> None:
        """It starts anew, cold."""
        self.dead, self.started = False, self.fleet.events.now
        self.copies.clear()
        self.work.clear()
        self.busy = 0
        self.queue.clear()
        self.warming(self.started)

    def die(self) -> None:
        """It ends: all that is open there is reset."""
        self.dead = True
        for dispatch in list(self.open):
            self._end(dispatch)
            self.counts["reset"] += 1
            self.fleet.answer(dispatch, "reset", 0)
        for fill in list(self.fills.values()):
            self._spoil(fill, SOURCE_DEAD)
        self.fills.clear()

    # --- dispatches ---

    def take(self, dispatch: Dispatch) -> None:
        """One has come."""
        fleet = self.fleet
        if dispatch.over:
            return None  # taken back on its way
        if self.dead:
            dispatch.open = True
            self.open[dispatch] = None
            self._end(dispatch)
            return fleet.answer(dispatch, "unreached", 0)
        fleet.checker.taken(dispatch.number, self.name, fleet.events.now)
        dispatch.open = True
        self.open[dispatch] = None
        self.counts["do"] += 1
        if self.silent:
            return None
        if len(self.open) > self.slots:
            self.counts["full"] += 1
            return self._say(dispatch, "full", 0)
        wait = fleet.begin + int((self.slow - 1) * SLOWS)
        return fleet.at(fleet.events.now + wait, TIMER, self._begin, dispatch)

    def undo(self, dispatch: Dispatch) -> None:
        """The gateway waits for it no more."""
        if dispatch.open:
            self._end(dispatch)
            self.fleet.checker.ended(dispatch.number, "undo", self.fleet.events.now)

    def _end(self, dispatch: Dispatch) -> None:
        dispatch.open = False
        self.open.pop(dispatch, None)
        if dispatch.flow:
            self.fleet.stop(dispatch.flow)
            dispatch.flow = None
        fill = dispatch.fill
        if fill is not None:
            dispatch.fill = None
            if fill.first is dispatch:
                fill.first = None  # what has begun to come is kept all the same
            elif dispatch in fill.waits:
                fill.waits.remove(dispatch)

    def _say(self, dispatch: Dispatch, word: str, note: int) -> None:
        """Its answer goes out."""
        self._end(dispatch)
        self.fleet.checker.ended(dispatch.number, word, self.fleet.events.now)
        self.fleet.answer(dispatch, word, note)

    def _begin(self, dispatch: Dispatch) -> None:
        if not dispatch.open or self.silent or self.dead:
            return
        fleet = self.fleet
        if dispatch.write or dispatch.passes:
            self._pass(dispatch)
            return
        copy = self.copies.get(dispatch.place, dispatch.oldest)
        if copy is not None:
            stale = copy.born < dispatch.fresh
            self.counts["stale" if stale else "hit"] += 1
            dispatch.born = copy.born
            source = dispatch.source or (fleet.origin if self.kind == PARENT else None)
            aged = copy.born < fleet.events.now - AGED * (dispatch.sent - dispatch.fresh)
            if dispatch.renew and dispatch.fresh and aged and source and dispatch.place not in self.fills:
                self._fill(dispatch, source, renews=True)
            self._send(dispatch, STALE if stale else HIT)
            return
        if self.kind == ORIGIN:
            self.serve(dispatch)
            return
        source = dispatch.source or (fleet.origin if self.kind == PARENT else None)
        if source is None or (dispatch.held_only and self.kind == PARENT):
            self.counts["miss"] += 1
            self._say(dispatch, "miss", NO_COPY)
            return
        under = self.fills.get(dispatch.place)
        if under is not None and dispatch.join and under.held_only <= dispatch.held_only:
            self.counts["join"] += 1
            dispatch.fill, dispatch.note = under, JOIN
            under.waits.append(dispatch)
            under.oldest = max(under.oldest, dispatch.oldest)
            return
        self._fill(dispatch, source)

    def _fill(self, dispatch: Dispatch, source: Box, renews: bool = False) -> None:
        """Ask a source for a part."""
        self.counts["fill"] += 1
        oldest = max(dispatch.oldest, dispatch.fresh + 1) if renews else dispatch.oldest
        fill = Fill(
            self,
            dispatch.place,
            source,
            dispatch.group,
            dispatch.kbytes,
            dispatch.rank,
            oldest,
            dispatch.held_only,
            None if renews else dispatch,
        )
        if not renews:
            dispatch.fill = fill
        if dispatch.join or renews:
            self.fills.setdefault(dispatch.place, fill)
        self.fleet.message(self, source, source.asked, fill)
        self.fleet.at(self.fleet.events.now + self.fleet.fill_patience, TIMER, self._spoil, fill, SOURCE_DEAD)

    def _send(self, dispatch: Dispatch, note: int) -> None:
        """Send a copy to the client, through the gateway."""
        dispatch.note = note
        dispatch.flow = self.fleet.transfer((self.out,), dispatch.kbytes, self._sent, dispatch)

    def _sent(self, dispatch: Dispatch) -> None:
        dispatch.flow = None
        if dispatch.open and not (self.silent or self.dead):
            self._say(dispatch, "done", dispatch.note)

    def _pass(self, dispatch: Dispatch) -> None:
        """Pass on what must not be kept."""
        if self.kind == ORIGIN:
            self.serve(dispatch)
        else:
            self.fleet.message(self, self.fleet.origin, self.fleet.origin.serve, dispatch)

    # --- as a source ---

    def asked(self, fill: Fill) -> None:
        """Another box asks for a part."""
        fleet = self.fleet
        if fill.over or self.silent:
            return None
        if self.dead:
            return fleet.message(self, fill.box, fill.box.spoilt, fill, SOURCE_DEAD)
        if self.kind == ORIGIN:
            return self.serve(fill)
        copy = self.copies.get(fill.place, fill.oldest)
        if copy is not None:
            return self.supply(fill, copy.born, False)
        if fill.held_only:
            return fleet.message(self, fill.box, fill.box.spoilt, fill, NO_COPY)
        under = self.fills.get(fill.place)
        if under is not None and under.oldest >= fill.oldest:
            under.below.append(fill)
            return None
        mine = Fill(
            self,
            fill.place,
            fleet.origin,
            fill.group,
            fill.kbytes,
            max(1, fill.rank),
            fill.oldest,
            False,
            None,
            below=[fill],
        )
        self.fills[fill.place] = mine
        self.counts["fill"] += 1
        fleet.at(fleet.events.now + fleet.fill_patience, TIMER, self._spoil, mine, ROOT_FAILS)
        return fleet.message(self, fleet.origin, fleet.origin.asked, mine)

    def supply(self, fill: Fill, born: int, rooted: bool) -> None:
        """Send a part to the box that asked: over the way out here, the link of its location where it comes
        from another, and on to the client that waits, as it comes."""
        if fill.over:
            return
        links = [self.out]
        if fill.box.zone != self.zone:
            links.append(self.fleet.ways_in[fill.box.zone])
        if fill.first is not None and fill.first.open:
            links.append(fill.box.out)
        fill.born, fill.rooted = born, rooted
        fill.flow = self.fleet.transfer(tuple(links), fill.kbytes, fill.box.filled, fill)

    def filled(self, fill: Fill) -> None:
        """A part has come."""
        fill.flow = None
        if fill.over or self.dead:
            return
        fill.over = True
        if self.fills.get(fill.place) is fill:
            del self.fills[fill.place]
        self.copies.put(fill.place, fill.born, fill.rank, fill.kbytes, fill.group)
        for other in fill.below:
            if fill.born >= other.oldest:
                self.supply(other, fill.born, True)
            else:
                self.fleet.message(self, other.box, other.box.spoilt, other, SOURCE_DENIES)
        if fill.first is not None:
            first, fill.first = fill.first, None
            first.fill, first.born = None, fill.born
            if first.open and not self.silent:
                self._say(first, "done", MISS_ROOT if fill.rooted else MISS)
        for one in fill.waits:
            one.fill, one.born = None, fill.born
            if one.open and not self.silent:
                if fill.born >= one.oldest:
                    self._send(one, JOIN)
                else:
                    self._fill(one, fill.source)
        fill.waits = []

    def spoilt(self, fill: Fill, note: int) -> None:
        """The source says that nothing comes."""
        self._spoil(fill, note)

    def _spoil(self, fill: Fill, note: int) -> None:
        if fill.over:
            return
        fill.over = True
        if fill.flow:
            self.fleet.stop(fill.flow)
        if self.fills.get(fill.place) is fill:
            del self.fills[fill.place]
        for other in fill.below:
            self.fleet.message(self, other.box, other.box.spoilt, other, note)
        for one in [fill.first, *fill.waits]:
            if one is not None:
                one.fill = None
                if one.open and not (self.silent or self.dead):
                    self._say(one, "miss" if note == NO_COPY else "error", note)
        fill.first, fill.waits = None, []

    # --- as the origin ---

    def serve(self, what: Fill | Dispatch) -> None:
        """A part, or an effect, is asked of the origin: one after the other at so many hands."""
        if self.silent or self.dead:
            return
        self.queue.append((what,))
        self._hands()

    def _hands(self) -> None:
        while self.queue and self.busy < self.fleet.hands:
            (what,) = self.queue.popleft()
            if isinstance(what, Fill) and what.over:
                continue
            if isinstance(what, Dispatch) and not what.open:
                continue
            self.busy += 1
            took = int(self.fleet.service() * self.slow)
            self.fleet.at(self.fleet.events.now + took, TIMER, self._served, what, self.started)

    def _served(self, what: Fill | Dispatch, life: int) -> None:
        if life != self.started or self.dead:
            return
        self.busy -= 1
        now = self.fleet.events.now
        if not self.silent:
            if isinstance(what, Fill):
                self.supply(what, now, True)
            elif what.open:
                if what.write:
                    self.fleet.effect(what, self)
                what.born = now
                if what.box is self:
                    self._send(what, MISS_ROOT)
                else:
                    self.fleet.message(self, what.box, what.box.passed, what)
        self._hands()

    def passed(self, dispatch: Dispatch) -> None:
        """What was passed on has come back."""
        if dispatch.open and not (self.silent or self.dead):
            self._send(dispatch, MISS_ROOT)
