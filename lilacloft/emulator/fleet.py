"""Puts a world together and runs it: gateways, boxes, clients, change log, faults; owns its state.

Everything that one part says to another passes here, so that a fault on the way strikes it here: messages
that come late by a repeat, a side that does not hear or is not heard, a location that is cut off. The checker
is told of everything from the outside. The same world, faults and seed give the same run to the last event,
in any process. No I/O.
"""

from __future__ import annotations

import hashlib
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lilacloft.emulator.boxes import ACTIVE, CACHE, LEAVING, ORIGIN, PARENT, Box, Dispatch
from lilacloft.emulator.chance import Chance
from lilacloft.emulator.clients import Ask, Clients
from lilacloft.emulator.events import CHECK, CLIENT, FAULT, LOG, NET, TIMER, Events
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.gateway import Gateway, Policy, asked
from lilacloft.emulator.links import Flow, Link, Net
from lilacloft.emulator.rules import Breach, Checker
from lilacloft.emulator.worlds import SECOND, World
from lilacloft.routing.model import Idempotency
from lilacloft.routing.rendezvous import hash_order

START = 1_000 * SECOND  # no world begins at 0, which means "never" in places
SLACK = 200  # by which an answer may be late on its way to the client
BEARS = 1.25  # what a cold box really bears, over what the rule allows: sendings bunch up on the way
DOWN = 3000  # span from a box's end to its new start
REPEAT = (2000, 6000)  # after which what was lost on the way comes by its repeat


@dataclass
class Result:
    """What came of a run."""

    world: str
    seed: int
    asked: int = 0  # intents: repeats of one count with it
    done: int = 0
    denied: int = 0  # answers; of an intent several may be
    aborted: int = 0
    left: int = 0
    worth: float = 0.0  # earned, of what all intents together could have been worth
    hits: float = 0.0  # part of reads answered from a copy
    dispatches: float = 0.0  # per req
    fetched: float = 0.0  # KB from the origin for each KB served
    stale: float = 0.0
    p50: float = 0.0  # ms, of what was done, from the first asking on
    p99: float = 0.0
    fell: int = 0
    wasted: int = 0  # answers that nobody waited for
    believes: int = 0
    events: int = 0
    requests: int = 0
    breaches: list[Breach] = field(default_factory=list)
    mark: str = ""  # of all that was answered, in order: the same for the same run


class Fleet:
    """One world, running."""

    def __init__(
        self, world: World, seed: int, faults: Iterable[Fault] = (), policy: Policy | None = None
    ) -> None:
        from lilacloft.routing.router import Router

        self.world, self.seed = world, seed
        self.events, self.net, self.chance = Events(START), Net(), Chance(seed)
        self.pace = world.pace / SECOND
        self.cold_cache, self.cold_parent, self.fall = world.cold_cache, world.cold_parent, world.fall
        self.begin, self.fill_patience, self.hands = world.begin, world.fill_patience, world.hands
        self.step = max(100, world.cold_cache[1] // 60)
        self.checker = Checker(world.drain_grace, SLACK)
        self.clients = Clients(self.chance, world.habits, [one.effect for one in world.vhosts])
        self.sends = self.wasted = self.believes = self.numbers = 0
        self.armed: tuple[int, ...] = ()
        self.asked_at: dict[int, int] = {}
        self.due: dict[int, int] = {}
        self.apart: set[int] = set()  # locations that are cut off
        self.rule_work: dict[str, deque[tuple[int, float]]] = {}
        self.hash = hashlib.blake2b(digest_size=12)
        self.took: list[int] = []
        self.result = Result(world.name, seed)
        self.could = self.earned = self.read = self.from_copy = self.from_stale = self.origin_kb = 0.0
        self.served_kb = 0.0
        self.rush = 1.0
        self.hot: list[tuple[str, float]] = []
        self._boxes()
        self.log: list[tuple[Any, ...]] = []
        self.purges: list[tuple[str, int, int]] = []
        self.gateways = [
            self._gateway(number, policy or Router) for number in range(world.zones * world.gateways)
        ]
        # of each gateway: how much was told, not before when, how late, is it broken off?
        self.log_at = {gateway.name: [0, 0, 0, 0] for gateway in self.gateways}
        self._first()
        for fault in faults:
            self.events.at(START + fault.at, FAULT, self.strike, fault)
        self._arrive(self.clients.after(0))

    def _gateway(self, number: int, policy: Policy) -> Any:
        return Gateway(self, number, number // self.world.gateways, policy)

    def _boxes(self) -> None:
        world = self.world
        self.boxes: list[Box] = []
        self.ways_in = [Link(f"in {zone}", world.way_in / SECOND) for zone in range(world.zones)]
        for zone in range(world.zones):
            for number in range(world.caches):
                self.boxes.append(
                    Box(
                        self,
                        f"c{zone}-{number}",
                        CACHE,
                        zone,
                        number % world.cells,
                        world.cache_size,
                        world.cache_room,
                        world.slots,
                    )
                )
        self.caches = list(self.boxes)
        self.parents = [
            Box(
                self,
                f"p{number}",
                PARENT,
                -1 - number % world.hubs,
                0,
                world.parent_size,
                world.parent_room,
                4 * world.slots,
            )
            for number in range(world.parents)
        ]
        self.origin = Box(self, "origin", ORIGIN, -1, 0, world.origin_size, 1e12, 1 << 30)
        self.boxes += [*self.parents, self.origin]

    def _first(self) -> None:
        """Boxes begin with what is asked most, at the homes that hash order gives; as after a long time."""
        if not self.world.warm:
            return
        by_name = {box.name: box for box in self.boxes}
        for zone in range(self.world.zones):
            router = next(one.router for one in self.gateways if one.zone == zone)
            for key in self.clients.ranked[: 40 * self.world.caches]:
                for part in range(self.world.habits.parts):
                    size, group = self.clients.size(key, part), self.clients.group(key)
                    homes = self._homes(router, router.pools.caches, f"{key} {part}")
                    parents = self._homes(router, router.pools.parents, f"{key} {part}")
                    for name in homes[:1] + parents[:1]:
                        # of some age, else all would grow old together
                        born = START - 1 - zlib.crc32(key.encode()) % (8 * SECOND)
                        by_name[name].copies.put((key, part), born, 1, size, group)

    @staticmethod
    def _homes(router: Any, pool: list[Any], key: str) -> list[str]:
        order = getattr(router, "home_order", hash_order)
        return [backend.name for backend in order(pool, key)]

    # --- time ---

    def at(self, when: int, rank: int, what: Callable[..., None], *told: Any) -> None:
        self.events.at(when, rank, what, *told)

    def run(self) -> Result:
        """To the end: clients come for the world's span, and all is answered."""
        longest = max(one.timeout for one in self.world.vhosts)
        self.events.run(START + self.world.span)
        self.closed = True
        self.events.run(START + self.world.span + longest + SLACK + SECOND)
        return self._sum()

    closed = False

    # --- links ---

    def transfer(self, links: tuple[Link, ...], kbytes: float, done: Callable[..., None], told: Any) -> Flow:
        """Something is sent; `done` is called with `told` once it has come."""
        if links and links[0] is self.origin.out:
            self.origin_kb += kbytes
        flow = self.net.start(self.events.now, links, self.pace, kbytes, (done, told))
        self._arm()
        return flow

    def stop(self, flow: Flow) -> None:
        self.net.end(self.events.now, flow)
        self._arm()

    def resize(self, link: Link, capacity: float) -> None:
        self.net.resize(self.events.now, link, capacity)
        self._arm()

    def _arm(self) -> None:
        when = self.net.next()
        if when is not None and (not self.armed or when < self.armed[0]):
            self.armed = (when,)
            self.events.at(when, NET, self._moved, when)

    def _moved(self, when: int) -> None:
        if self.armed != (when,):
            return  # an earlier one was armed since
        self.armed = ()
        while (flow := self.net.take(self.events.now)) is not None:
            done, told = flow.told
            done(told)
        self._arm()

    # --- messages ---

    def hop(self, one: Any, other: Any) -> int:
        """How long a message takes from a gateway or a box to another."""
        near = one.zone == other.zone
        stream = self.chance.stream("hops")
        out = stream.expo(0.2 * (self.world.hop if near else self.world.far)) + (
            self.world.hop if near else self.world.far
        )
        loss = max(one.loss, other.loss)
        if loss and stream.random() < loss:
            out += stream.between(*REPEAT)
        return max(1, int(out))

    def cut(self, one: Any, other: Any) -> bool:
        """Does what one sends not come to the other?"""
        if getattr(one, "mute", False) or getattr(other, "deaf", False):
            return True
        return one.zone != other.zone and bool(self.apart & {one.zone, other.zone})

    def message(self, one: Box, other: Box, what: Callable[..., None], *told: Any) -> None:
        """A box says something to another."""
        if not self.cut(one, other):
            self.events.at(self.events.now + self.hop(one, other), NET, what, *told)

    def sending(self, dispatch: Dispatch, number: int, source: Any) -> None:
        """A gateway sends a req to a box."""
        gateway, box, now = dispatch.gateway, dispatch.box, self.events.now
        self.checker.sent(
            dispatch.number,
            number,
            gateway.name,
            box.name,
            box.zone,
            box.cell,
            source.name if source else "",
            now,
        )
        work = dispatch.kbytes / self.pace
        for one in dict.fromkeys((box, dispatch.source or box)):
            if one.kind != ORIGIN and one.started and gateway.knows.get(one.name) == one.started:
                self._told_work(one, work, now)
        if not self.cut(gateway, box):
            self.events.at(now + self.hop(gateway, box), NET, self._comes, dispatch, work)

    def _told_work(self, box: Box, work: float, now: int) -> None:
        """Rule 4, as the settings have it: what all that know that a box is cold send it in each span."""
        power = box.power()
        if power >= 1.0:
            return
        sent = self.rule_work.setdefault(box.name, deque())
        sent.append((now, work))
        while sent[0][0] <= now - self.fall:
            sent.popleft()
        load, most = sum(one for _, one in sent), box.warm()[2] * power * box.size * self.fall
        if load > most:
            self.checker.fell(box.name, load, most, now)

    def _comes(self, dispatch: Dispatch, work: float) -> None:
        for one in dict.fromkeys((dispatch.box, dispatch.source or dispatch.box)):
            if not (one.dead or one.bears(work / BEARS)):
                self.result.fell += 1
                self._cold(one)
        dispatch.box.take(dispatch)

    def undo(self, dispatch: Dispatch) -> int:
        """A gateway takes a dispatch back; returns when that is sure. It ends the connection where nothing
        comes through, which a box learns of in the end whatever is cut."""
        sure = self.events.now + self.hop(dispatch.gateway, dispatch.box)
        self.events.at(sure, NET, dispatch.box.undo, dispatch)
        return sure

    def answer(self, dispatch: Dispatch, word: str, note: int) -> None:
        """A box answers a gateway, or its connection ends."""
        box, gateway = dispatch.box, dispatch.gateway
        if word == "reset":
            self.checker.ended(dispatch.number, word, self.events.now)
        if self.cut(box, gateway):
            return
        load = [float(len(box.open)), min(1.0, box.out.used() / max(box.out.capacity, 1e-9))]
        self.events.at(
            self.events.now + self.hop(box, gateway),
            NET,
            gateway.ended,
            dispatch,
            word,
            note,
            load if word == "done" else [],
        )

    def check(self, gateway: Gateway, backend: Any, box: Box, life: int) -> None:
        """A health check, answered by the box's load; or not at all."""
        now = self.events.now
        there = now + self.hop(gateway, box)
        back = there + self.hop(box, gateway)
        patience = now + SECOND
        if box.dead:
            self.events.at(back, NET, gateway.checked, backend, back - now, "unreached", [], life)
        elif box.silent or self.cut(gateway, box) or self.cut(box, gateway) or back > patience:
            self.events.at(patience, TIMER, gateway.checked, backend, SECOND, "timeout", [], life)
        else:
            load = [float(len(box.open)), min(1.0, box.out.used() / max(box.out.capacity, 1e-9))]
            self.events.at(back, NET, gateway.checked, backend, back - now, "done", load, life)

    def service(self) -> int:
        """What the origin takes for one part or effect."""
        return max(1, int(self.chance.stream("origin").heavy(self.world.service, self.world.tail)))

    def effect(self, dispatch: Dispatch, origin: Box) -> None:
        """A write has come to the origin. A keyed one has its effect once, however often it comes."""
        if (
            dispatch.gateway.router.virtual_hosts[dispatch.request.vhost].idempotency is Idempotency.KEYED
            and dispatch.write in self.checker.effects
        ):
            return
        self.checker.effect(dispatch.write, origin.name, self.events.now)

    # --- clients ---

    def _arrive(self, after: int) -> None:
        self.events.at(START + after, CLIENT, self._comes_in)

    def _comes_in(self) -> None:
        now = self.events.now - START
        if now >= self.world.span:
            return
        ask = self.clients.ask(now)
        for key, share in self.hot:
            if ask.part == 0 and self.chance.stream("hot").random() < share:
                ask.key, ask.group = key, self.clients.group(key)
                ask.kbytes = self.clients.size(key, 0)
        ask.first = self.events.now
        self.could += self.world.vhosts[ask.vhost].value
        self.result.asked += 1
        self.ask(ask)
        gap = self.clients.after(now) - now
        self._arrive(now + max(1, int(gap / self.rush)) if self.rush != 1.0 else now + gap)

    def ask(self, ask: Ask, gateway: Gateway | None = None) -> None:
        """A client asks some gateway; a session stays with one."""
        if self.closed:
            return
        stream = self.chance.stream("doors")
        gateway = gateway or self.gateways[stream.below(len(self.gateways))]
        self.numbers += 1
        number, now = self.numbers, self.events.now
        vhost = self.world.vhosts[ask.vhost]
        until = now + vhost.timeout
        self.asked_at[number] = now
        self.checker.asked(number, asked(number, ask, vhost, until))
        self.result.requests += 1
        self.due[number] = until + SLACK
        self.events.at(until + SLACK + 1, CHECK, self._due, number)
        gateway.arrived(number, ask)

    def _due(self, number: int) -> None:
        if self.due.get(number, 0) > self.events.now - 1:
            self.events.at(self.due[number] + 1, CHECK, self._due, number)
            return
        self.checker.due(number, self.events.now)
        self._done_with(number)

    def _done_with(self, number: int) -> None:
        self.due.pop(number, None)
        self.asked_at.pop(number, None)

    def excuse(self, number: int, until: int) -> None:
        """Its gateway does nothing until then: nobody can answer it before."""
        told = self.checker.requests[number]
        told.until = max(told.until, until + SLACK)
        self.due[number] = max(self.due.get(number, 0), told.until + SLACK)

    def gone(self, number: int) -> None:
        """A client has gone, or lost its gateway."""
        self.checker.leaves(number)
        self.result.left += 1

    def final(
        self, gateway: Gateway, number: int, ask: Ask, word: str, after: int, dispatch: Dispatch | None
    ) -> None:
        """A final answer is on its way to its client."""
        now = self.events.now
        self.checker.answered(number, word, now)
        vhost = self.world.vhosts[ask.vhost]
        self.hash.update(f"{now} {number} {word} {dispatch.note if dispatch else 0};".encode())
        if word == "done":
            self.result.done += 1
            self.checker.served(dispatch.number, dispatch.born, now)
            took = now - ask.first
            self.took.append(took)
            self.earned += vhost.worth(took, dispatch.kbytes / self.pace)
            self.served_kb += dispatch.kbytes
            if vhost.effect == "replayable" and not vhost.passes:
                self.read += 1
                self.from_copy += dispatch.note in (1, 5)
                self.from_stale += dispatch.note == 5
        elif word == "denied":
            self.result.denied += 1
        else:
            self.result.aborted += 1
        then = self.clients.next(ask, word, after)
        if then is not None:
            gap, again = then
            if word == "done":
                again.first = now + gap
                if now + gap - START < self.world.span:
                    self.could += vhost.value
                    self.result.asked += 1
                else:
                    return
            self.events.at(now + gap, CLIENT, self.ask, again, gateway if word == "done" else None)

    # --- the change log ---

    def rows(self, zone: int) -> list[Box]:
        """The list as a gateway of a location gets it."""
        return [box for box in self.boxes if self.tells(box, zone) and box.status]

    def tells(self, box: Box, zone: int) -> bool:
        """Do a location's gateways hear of a box?"""
        return box.zone == zone or box.zone < 0

    def tell(self, *event: Any) -> None:
        """The change log has an event: of boxes, or a purge."""
        self.log.append(event)
        for gateway in self.gateways:
            self._deliver(gateway)

    def _deliver(self, gateway: Gateway) -> None:
        place = self.log_at[gateway.name]
        if place[3]:
            return
        low, high = self.world.told
        while place[0] < len(self.log):
            event = self.log[place[0]]
            place[0] += 1
            delay = int(self.chance.stream(f"log {gateway.name}").between(low, high)) + place[2]
            place[1] = max(place[1], self.events.now + delay)
            self.events.at(place[1], LOG, self._told, gateway, event)

    def _told(self, gateway: Gateway, event: tuple[Any, ...]) -> None:
        if gateway.held(LOG, self._told, gateway, event):
            return
        if event[0] == "boxes":
            rows = []
            for box, status, started in event[1]:
                if self.tells(box, gateway.zone):
                    rows.append(_Row(box, status, started))
            if rows:
                gateway.told(rows)
        else:
            gateway.purged(*event[1:])

    def _state(self, box: Box) -> None:
        self.tell("boxes", [(box, box.status, box.started)])

    # --- faults ---

    def struck(self, fault: Fault) -> list[Any]:
        """Whom a fault strikes; nobody where this world has no such one."""
        number = int(fault.which) if fault.which.isdigit() else 0
        if fault.kind in ("unlogged", "lone") and fault.whom == "zone":
            return [one for one in self.gateways if one.zone == number]
        if fault.whom == "cache":
            return self.caches[number : number + 1]
        if fault.whom == "parent":
            return self.parents[number : number + 1]
        if fault.whom == "gateway":
            return self.gateways[number : number + 1]
        if fault.whom == "origin":
            return [self.origin]
        if fault.whom == "shelf":
            return [box for box in self.caches if box.cell == number]
        if fault.whom == "zone":
            return [box for box in self.caches if box.zone == number]
        if fault.whom == "hub":
            return [box for box in self.parents if box.zone == -1 - number]
        if fault.whom == "version":
            return [
                box
                for place, box in enumerate([*self.caches, *self.parents])
                if number and place % (number + 1) == 0
            ]
        return []

    def strike(self, fault: Fault) -> None:
        """A fault begins."""
        now, end = self.events.now, self.events.now + fault.span
        whom = self.struck(fault)
        kind = fault.kind
        if kind in ("silent", "deaf", "mute"):
            for one in whom:
                setattr(one, kind, True)
                self.events.at(end, FAULT, setattr, one, kind, False)
        elif kind == "lossy":
            for one in whom:
                one.loss = fault.hard
                self.events.at(end, FAULT, setattr, one, "loss", 0.0)
        elif kind in ("slow", "thin"):
            for box in whom:
                self._weigh(box, kind, fault.hard)
                self.events.at(end, FAULT, self._weigh, box, kind, 1.0)
        elif kind == "apart":
            self.apart.add(int(fault.which))
            self.events.at(end, FAULT, self.apart.discard, int(fault.which))
        elif kind in ("cold", "down"):
            for box in whom:
                self._cold(box, max(DOWN, fault.span))
        elif kind == "drain":
            for box in whom:
                if box.status == ACTIVE:
                    box.status = LEAVING
                    self._state(box)
                    self.events.at(end, FAULT, self._back, box)
        elif kind in ("lag", "break", "unlogged"):
            for gateway in whom or self.gateways:
                self._log_way(gateway, kind, int(fault.hard * SECOND) or 1)
                self.events.at(end, FAULT, self._log_way, gateway, kind, 0)
        elif kind == "clock":
            for gateway in whom:
                gateway.clock(int(fault.hard * SECOND), fault.at == 0)
                self.events.at(end, FAULT, gateway.clock, 0)
        elif kind == "restart":
            for gateway in whom:
                gateway.restart()
                for what in self._held_purges():
                    gateway.purged(*what)
        elif kind == "stop":
            for gateway in whom:
                gateway.freeze(end)
        elif kind == "purge":
            for nth in range(int(fault.hard)):
                self.events.at(now + nth * 1000, FAULT, self.purge, fault.whom, fault.which)
        elif kind == "hot":
            self.hot.append((fault.which, fault.hard))
            self.events.at(end, FAULT, self.hot.remove, (fault.which, fault.hard))
        elif kind == "rush":
            self.rush = fault.hard
            self.events.at(end, FAULT, setattr, self, "rush", 1.0)

    def _weigh(self, box: Box, kind: str, hard: float) -> None:
        setattr(box, kind, hard)
        box.resize()

    def _cold(self, box: Box, after: int = DOWN) -> None:
        """A box dies, and starts anew a while later."""
        if not box.dead:
            box.die()
            self.events.at(self.events.now + after, FAULT, self._born, box)

    def _born(self, box: Box) -> None:
        if box.dead:
            box.start()
            self._state(box)

    def _back(self, box: Box) -> None:
        """A box that left is back, and cold."""
        if box.status == LEAVING:
            box.status = ACTIVE
            if not box.dead:
                box.die()
                box.start()
            self._state(box)

    def _log_way(self, gateway: Gateway, kind: str, hard: int) -> None:
        place = self.log_at[gateway.name]
        if kind == "lag":
            place[2] = hard
        else:
            place[3] = hard
            self._deliver(gateway)

    def purge(self, whom: str, which: str) -> None:
        """An object, or a group, is purged."""
        now = self.events.now
        key, group = (which, 0) if whom == "object" else ("", int(which))
        self.purges.append((key, group, now))
        self.tell("purge", key, group, now)
        self.events.at(now + self.world.drops, FAULT, self._drop, key, group, now)

    def _held_purges(self) -> list[tuple[str, int, int]]:
        """What a gateway that starts anew is told by its configuration."""
        return [what for what in self.purges if self.events.now - what[2] <= self.world.drops + SECOND]

    def _drop(self, key: str, group: int, at: int) -> None:
        for box in self.boxes:
            box.copies.purge(key, group, at)

    # --- the end ---

    def _sum(self) -> Result:
        out = self.result
        out.worth = self.earned / self.could if self.could else 1.0
        out.hits = self.from_copy / self.read if self.read else 0.0
        out.stale = self.from_stale / self.read if self.read else 0.0
        out.dispatches = self.sends / max(1, out.requests)
        out.fetched = self.origin_kb / self.served_kb if self.served_kb else 0.0
        took = sorted(self.took)
        if took:
            out.p50, out.p99 = took[len(took) // 2] / 10, took[min(len(took) - 1, len(took) * 99 // 100)] / 10
        out.wasted, out.believes, out.events = self.wasted, self.believes, self.events.done
        out.breaches = self.checker.breaches
        out.mark = self.hash.hexdigest()
        return out


class _Row:
    """A box as the change log told of it."""

    __slots__ = ("name", "zone", "kind", "cell", "status", "size", "started", "box")

    def __init__(self, box: Box, status: int, started: int) -> None:
        self.name, self.zone, self.kind, self.cell = box.name, box.zone, box.kind, box.cell
        self.size = box.size
        self.status, self.started, self.box = status, started, box


def run(world: World, seed: int, faults: Iterable[Fault] = (), policy: Policy | None = None) -> Result:
    """One run."""
    return Fleet(world, seed, faults, policy).run()
