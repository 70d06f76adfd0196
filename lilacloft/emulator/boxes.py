"""Model of the emulated servers: caches, parents and origins, and how they handle dispatches.

A server answers from a copy, joins a fill in progress, fills from the source named in the dispatch, or
forwards what must not be cached. Each response is a transfer over its egress and the links behind it, shared
max-min (lilacloft/emulator/links.py). A server that started recently (cold) has reduced capacity and crashes
when it is sent too much; a silent one accepts everything and answers nothing. It does not check what gateways
may send it. No I/O; times in tenths of a millisecond, sizes in KB.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from lilacloft.emulator.copies import Copies, Place
from lilacloft.emulator.environment import ServerEnvironment
from lilacloft.emulator.events import TIMER
from lilacloft.emulator.links import Flow, Link

CACHE, PARENT, ORIGIN = 0, 1, 2
# notes of an answer: their numbers in the decision module's interface
HIT, MISS, MISS_ROOT, JOIN, STALE, SOURCE_DENIES, SOURCE_DEAD, NO_COPY, FILL_FULL, ROOT_FAILS = range(1, 11)
ACTIVE, LEAVING, LEFT = 1, 2, 0
AGED = 0.8  # fraction of its freshness lifetime after which a copy may be revalidated
SLOWS = 300  # added processing delay per unit of slowdown


@dataclass(eq=False, slots=True)
class Dispatch:
    """One attempt of a request, as its server sees it."""

    number: int
    gateway: Any
    request: Any
    backend: Any
    seq: int
    box: EmulatedServer
    place: Place
    group: int
    kbytes: float
    source: EmulatedServer | None = None
    rank: int = 0
    oldest: int = 0  # copies born before are not acceptable
    fresh: int = 0  # copies born before are stale
    join: bool = False
    cache_only: bool = False
    renew: bool = False
    passes: bool = False  # must not be cached
    write: str = ""  # idempotency key of its effect, if it has one
    sent: int = 0
    open: bool = False  # at the server
    over: bool = False  # at the gateway
    flow: Flow | None = None
    born: int = 0
    note: int = 0
    fill: Fill | None = None


@dataclass(eq=False, slots=True)
class Fill:
    """A transfer of a part from a source into a server's cache."""

    box: EmulatedServer
    place: Place
    source: EmulatedServer
    group: int
    kbytes: float
    rank: int
    oldest: int
    cache_only: bool
    first: Dispatch | None  # streamed to its client as the fill arrives; None: no request waits
    waiting: list[Dispatch] = field(default_factory=list)
    waiting_fills: list[Fill] = field(
        default_factory=list
    )  # at a parent: fills of caches that wait for this one
    flow: Flow | None = None
    born: int = 0
    over: bool = False
    from_origin: bool = False  # fetched from the origin


class EmulatedServer:
    """A cache, a parent or an origin."""

    def __init__(
        self,
        fleet: ServerEnvironment,
        name: str,
        kind: int,
        zone: int,
        cell: int,
        size: float,
        room: float,
        slots: int,
    ) -> None:
        self.fleet, self.name, self.kind, self.zone, self.cell = fleet, name, kind, zone, cell
        self.size = size  # concurrent full-rate transfers that its egress carries
        self.slots = slots  # concurrent dispatches; beyond these it answers `full`
        self.out = Link(f"out {name}", size * fleet.pace)
        self.copies = Copies(room)
        self.fills: dict[Place, Fill] = {}
        self.open: dict[Dispatch, None] = {}
        self.status, self.started = ACTIVE, 0
        self.silent = self.dead = False
        self.slow = self.thin = 1.0  # factors: processing delay, loss of egress capacity
        self.loss = 0.0  # fraction of messages that are lost and arrive after a retransmission
        self.work: deque[tuple[int, float]] = (
            deque()
        )  # recently received work: (time, full-rate transfer time)
        self.fell = 0
        self.queue: deque[tuple[Any, ...]] = deque()  # waiting at the origin
        self.busy = 0
        self.counts = dict.fromkeys(("do", "hit", "stale", "fill", "join", "miss", "full", "reset"), 0)

    # --- capacity ---

    def warm(self) -> tuple[float, int, float]:
        return self.fleet.cold_parent if self.kind == PARENT else self.fleet.cold_cache

    def capacity_fraction(self) -> float:
        """Return the fraction of its full capacity that it has now."""
        floor, warm, _ = self.warm()
        age = self.fleet.events.now - self.started
        if self.kind == ORIGIN or not self.started or age >= warm:
            return 1.0
        return floor + (1 - floor) * max(0, age) / warm

    def resize(self) -> None:
        """Apply its present capacity to its egress link."""
        self.fleet.resize(self.out, self.size * self.fleet.pace * self.capacity_fraction() / self.thin)

    def continue_warm_up(self, since: int) -> None:
        """Raise the capacity in steps until warm-up ends."""
        if self.started == since and not self.dead:
            self.resize()
            if self.capacity_fraction() < 1.0:
                self.fleet.at(self.fleet.events.now + self.fleet.step, TIMER, self.continue_warm_up, since)

    def withstands(self, work: float) -> bool:
        """Record received work; return False if it exceeds what a cold server withstands."""
        now, fall = self.fleet.events.now, self.fleet.fall
        self.work.append((now, work))
        while self.work and self.work[0][0] <= now - fall:
            self.work.popleft()
        capacity_fraction = self.capacity_fraction()
        if capacity_fraction >= 1.0:
            return True
        load = sum(work for _, work in self.work)
        return load <= self.warm()[2] * capacity_fraction * self.size * fall

    # --- lifecycle ---

    def start(self) -> None:
        """Restart with an empty cache and cold capacity."""
        self.dead, self.started = False, self.fleet.events.now
        self.copies.clear()
        self.work.clear()
        self.busy = 0
        self.queue.clear()
        self.continue_warm_up(self.started)

    def die(self) -> None:
        """Crash: reset all open dispatches and fail all fills."""
        self.dead = True
        for dispatch in list(self.open):
            self._end(dispatch)
            self.counts["reset"] += 1
            self.fleet.answer(dispatch, "reset", 0)
        for fill in list(self.fills.values()):
            self._fail_fill(fill, SOURCE_DEAD)
        self.fills.clear()

    # --- dispatches ---

    def take(self, dispatch: Dispatch) -> None:
        """Accept a dispatch."""
        fleet = self.fleet
        if dispatch.over:
            return None  # cancelled in transit
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
        """Cancel a dispatch at the gateway's request."""
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
                fill.first = None  # the fill in progress goes on and is cached
            elif dispatch in fill.waiting:
                fill.waiting.remove(dispatch)

    def _say(self, dispatch: Dispatch, word: str, note: int) -> None:
        """End a dispatch with an answer."""
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
        if source is None or (dispatch.cache_only and self.kind == PARENT):
            self.counts["miss"] += 1
            self._say(dispatch, "miss", NO_COPY)
            return
        in_progress = self.fills.get(dispatch.place)
        if in_progress is not None and dispatch.join and in_progress.cache_only <= dispatch.cache_only:
            self.counts["join"] += 1
            dispatch.fill, dispatch.note = in_progress, JOIN
            in_progress.waiting.append(dispatch)
            in_progress.oldest = max(in_progress.oldest, dispatch.oldest)
            return
        self._fill(dispatch, source)

    def _fill(self, dispatch: Dispatch, source: EmulatedServer, renews: bool = False) -> None:
        """Start a fill, or a revalidation in the background."""
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
            dispatch.cache_only,
            None if renews else dispatch,
        )
        if not renews:
            dispatch.fill = fill
        if dispatch.join or renews:
            self.fills.setdefault(dispatch.place, fill)
        self.fleet.message(self, source, source.asked, fill)
        self.fleet.at(
            self.fleet.events.now + self.fleet.fill_patience, TIMER, self._fail_fill, fill, SOURCE_DEAD
        )

    def _send(self, dispatch: Dispatch, note: int) -> None:
        """Send a copy to the client through the gateway."""
        dispatch.note = note
        dispatch.flow = self.fleet.transfer((self.out,), dispatch.kbytes, self._sent, dispatch)

    def _sent(self, dispatch: Dispatch) -> None:
        dispatch.flow = None
        if dispatch.open and not (self.silent or self.dead):
            self._say(dispatch, "done", dispatch.note)

    def _pass(self, dispatch: Dispatch) -> None:
        """Forward what must not be cached to the origin."""
        if self.kind == ORIGIN:
            self.serve(dispatch)
        else:
            self.fleet.message(self, self.fleet.origin, self.fleet.origin.serve, dispatch)

    # --- as a source ---

    def asked(self, fill: Fill) -> None:
        """Handle a fill request from another server."""
        fleet = self.fleet
        if fill.over or self.silent:
            return None
        if self.dead:
            return fleet.message(self, fill.box, fill.box.fill_failed, fill, SOURCE_DEAD)
        if self.kind == ORIGIN:
            return self.serve(fill)
        copy = self.copies.get(fill.place, fill.oldest)
        if copy is not None:
            return self.send_part(fill, copy.born, False)
        if fill.cache_only:
            return fleet.message(self, fill.box, fill.box.fill_failed, fill, NO_COPY)
        in_progress = self.fills.get(fill.place)
        if in_progress is not None and in_progress.oldest >= fill.oldest:
            in_progress.waiting_fills.append(fill)
            return None
        own_fill = Fill(
            self,
            fill.place,
            fleet.origin,
            fill.group,
            fill.kbytes,
            max(1, fill.rank),
            fill.oldest,
            False,
            None,
            waiting_fills=[fill],
        )
        self.fills[fill.place] = own_fill
        self.counts["fill"] += 1
        fleet.at(fleet.events.now + fleet.fill_patience, TIMER, self._fail_fill, own_fill, ROOT_FAILS)
        return fleet.message(self, fleet.origin, fleet.origin.asked, own_fill)

    def send_part(self, fill: Fill, born: int, from_origin: bool) -> None:
        """Send a part to the requesting server: over this server's egress, the ingress link of the other's
        location if it differs, and the other's egress if a client waits for the streamed response."""
        if fill.over:
            return
        links = [self.out]
        if fill.box.zone != self.zone:
            links.append(self.fleet.ingress_links[fill.box.zone])
        if fill.first is not None and fill.first.open:
            links.append(fill.box.out)
        fill.born, fill.from_origin = born, from_origin
        fill.flow = self.fleet.transfer(tuple(links), fill.kbytes, fill.box.filled, fill)

    def filled(self, fill: Fill) -> None:
        """Complete a fill: store the copy and answer the dispatches that wait for it."""
        fill.flow = None
        if fill.over or self.dead:
            return
        fill.over = True
        if self.fills.get(fill.place) is fill:
            del self.fills[fill.place]
        self.copies.put(fill.place, fill.born, fill.rank, fill.kbytes, fill.group)
        for other in fill.waiting_fills:
            if fill.born >= other.oldest:
                self.send_part(other, fill.born, True)
            else:
                self.fleet.message(self, other.box, other.box.fill_failed, other, SOURCE_DENIES)
        if fill.first is not None:
            first, fill.first = fill.first, None
            first.fill, first.born = None, fill.born
            if first.open and not self.silent:
                self._say(first, "done", MISS_ROOT if fill.from_origin else MISS)
        for one in fill.waiting:
            one.fill, one.born = None, fill.born
            if one.open and not self.silent:
                if fill.born >= one.oldest:
                    self._send(one, JOIN)
                else:
                    self._fill(one, fill.source)
        fill.waiting = []

    def fill_failed(self, fill: Fill, note: int) -> None:
        """Handle the source's message that a fill failed."""
        self._fail_fill(fill, note)

    def _fail_fill(self, fill: Fill, note: int) -> None:
        if fill.over:
            return
        fill.over = True
        if fill.flow:
            self.fleet.stop(fill.flow)
        if self.fills.get(fill.place) is fill:
            del self.fills[fill.place]
        for other in fill.waiting_fills:
            self.fleet.message(self, other.box, other.box.fill_failed, other, note)
        for one in [fill.first, *fill.waiting]:
            if one is not None:
                one.fill = None
                if one.open and not (self.silent or self.dead):
                    self._say(one, "miss" if note == NO_COPY else "error", note)
        fill.first, fill.waiting = None, []

    # --- as the origin ---

    def serve(self, job: Fill | Dispatch) -> None:
        """Queue a part or a write at the origin, which processes a fixed number concurrently."""
        if self.silent or self.dead:
            return
        self.queue.append((job,))
        self._start_jobs()

    def _start_jobs(self) -> None:
        while self.queue and self.busy < self.fleet.hands:
            (job,) = self.queue.popleft()
            if isinstance(job, Fill) and job.over:
                continue
            if isinstance(job, Dispatch) and not job.open:
                continue
            self.busy += 1
            took = int(self.fleet.service() * self.slow)
            self.fleet.at(self.fleet.events.now + took, TIMER, self._served, job, self.started)

    def _served(self, job: Fill | Dispatch, life: int) -> None:
        if life != self.started or self.dead:
            return
        self.busy -= 1
        now = self.fleet.events.now
        if not self.silent:
            if isinstance(job, Fill):
                self.send_part(job, now, True)
            elif job.open:
                if job.write:
                    self.fleet.effect(job, self)
                job.born = now
                if job.box is self:
                    self._send(job, MISS_ROOT)
                else:
                    self.fleet.message(self, job.box, job.box.origin_answered, job)
        self._start_jobs()

    def origin_answered(self, dispatch: Dispatch) -> None:
        """Send the origin's answer to a forwarded dispatch."""
        if dispatch.open and not (self.silent or self.dead):
            self._send(dispatch, MISS_ROOT)
