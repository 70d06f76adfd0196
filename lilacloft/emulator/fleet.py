"""Assembles and runs an emulation: gateways, servers, clients, change log and faults.

All messages between components pass through the fleet, which applies network faults to them: retransmission
delays, one-way loss, partitioned locations. It also reports every event to the invariant checker. The same
world, faults and seed reproduce a run event by event, in any process. No I/O.
"""

from __future__ import annotations

import hashlib
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lilacloft.emulator.boxes import ACTIVE, CACHE, LEAVING, ORIGIN, PARENT, Dispatch, EmulatedServer
from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.clients import Ask, Clients
from lilacloft.emulator.events import CHECK, CLIENT, FAULT, LOG, NET, TIMER, Events
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.gateway import Gateway, Policy, asked
from lilacloft.emulator.links import Flow, Link, Network
from lilacloft.emulator.rules import Breach, Checker
from lilacloft.emulator.worlds import SECOND, World
from lilacloft.routing.model import Idempotency
from lilacloft.routing.rendezvous import hash_order

START = 1_000 * SECOND  # runs do not start at time 0, which means "never" in some fields
SLACK = 200  # delivery delay to the client that is allowed after a deadline
COLD_TOLERANCE = 1.25  # actual over permitted load limit of a cold server, as dispatches bunch up in transit
RESTART_TIME = 3000  # time from a crash to the restart
RETRANSMISSION = (2000, 6000)  # range of the delay until a lost message arrives by retransmission


@dataclass
class Result:
    """Result of a run."""

    world: str
    seed: int
    asked: int = 0  # client requests, with the retries of one counted as one
    done: int = 0
    denied: int = 0  # answers; a request that is retried may have several
    aborted: int = 0
    left: int = 0
    worth: float = 0.0  # value of the answers as a fraction of the value of all requests
    hits: float = 0.0  # fraction of reads answered from a copy
    dispatches: float = 0.0  # per request
    fetched: float = 0.0  # KB from the origin per KB served
    stale: float = 0.0
    p50: float = 0.0  # ms from the first attempt of the client, of successful answers
    p99: float = 0.0
    fell: int = 0
    wasted: int = 0  # answers for which no client waited
    believes: int = 0
    events: int = 0
    requests: int = 0
    breaches: list[Breach] = field(default_factory=list)
    mark: str = ""  # digest of all answers in order; equal for equal runs


class Fleet:
    """A running emulation."""

    def __init__(
        self, world: World, seed: int, faults: Iterable[Fault] = (), policy: Policy | None = None
    ) -> None:
        from lilacloft.routing.router import Router

        self.world, self.seed = world, seed
        self.events, self.net, self.chance = Events(START), Network(), RandomStreams(seed)
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
        self.apart: set[int] = set()  # partitioned locations
        self.cold_work: dict[str, deque[tuple[int, float]]] = {}
        self.hash = hashlib.blake2b(digest_size=12)
        self.took: list[int] = []
        self.result = Result(world.name, seed)
        self.could = self.earned = self.read = self.cached_reads = self.stale_reads = self.origin_kb = 0.0
        self.served_kb = 0.0
        self.rush = 1.0
        self.hot: list[tuple[str, float]] = []
        self._make_servers()
        self.log: list[tuple[Any, ...]] = []
        self.purges: list[tuple[str, int, int]] = []
        self.gateways = [
            self._make_gateway(number, policy or Router) for number in range(world.zones * world.gateways)
        ]
        # by gateway: events delivered, earliest next delivery, added delay, whether the watch is broken
        self.log_at = {gateway.name: [0, 0, 0, 0] for gateway in self.gateways}
        self._warm_caches()
        for fault in faults:
            self.events.at(START + fault.at, FAULT, self.apply_fault, fault)
        self._schedule_arrival(self.clients.after(0))

    def _make_gateway(self, number: int, policy: Policy) -> Any:
        return Gateway(self, number, number // self.world.gateways, policy)

    def _make_servers(self) -> None:
        world = self.world
        self.boxes: list[EmulatedServer] = []
        self.ingress_links = [Link(f"in {zone}", world.way_in / SECOND) for zone in range(world.zones)]
        for zone in range(world.zones):
            for number in range(world.caches):
                self.boxes.append(
                    EmulatedServer(
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
            EmulatedServer(
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
        self.origin = EmulatedServer(self, "origin", ORIGIN, -1, 0, world.origin_size, 1e12, 1 << 30)
        self.boxes += [*self.parents, self.origin]

    def _warm_caches(self) -> None:
        """Fill caches with the most popular objects at their homes by hash order, as after a long run."""
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
                        # with different ages, or all would become stale together
                        born = START - 1 - zlib.crc32(key.encode()) % (8 * SECOND)
                        by_name[name].copies.put((key, part), born, 1, size, group)

    @staticmethod
    def _homes(router: Any, pool: list[Any], key: str) -> list[str]:
        order = getattr(router, "home_order", hash_order)
        return [backend.name for backend in order(pool, key)]

    # --- time ---

    def at(self, when: int, rank: int, callback: Callable[..., None], *args: Any) -> None:
        self.events.at(when, rank, callback, *args)

    def run(self) -> Result:
        """Run to the end: clients arrive during the world's span, then open requests complete."""
        longest = max(one.timeout for one in self.world.vhosts)
        self.events.run(START + self.world.span)
        self.closed = True
        self.events.run(START + self.world.span + longest + SLACK + SECOND)
        return self._summarize()

    closed = False

    # --- links ---

    def transfer(
        self, links: tuple[Link, ...], kbytes: float, done: Callable[..., None], context: Any
    ) -> Flow:
        """Start a transfer; `done` is called with `context` on completion."""
        if links and links[0] is self.origin.out:
            self.origin_kb += kbytes
        flow = self.net.start(self.events.now, links, self.pace, kbytes, (done, context))
        self._schedule_completion()
        return flow

    def stop(self, flow: Flow) -> None:
        self.net.end(self.events.now, flow)
        self._schedule_completion()

    def resize(self, link: Link, capacity: float) -> None:
        self.net.resize(self.events.now, link, capacity)
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        when = self.net.next()
        if when is not None and (not self.armed or when < self.armed[0]):
            self.armed = (when,)
            self.events.at(when, NET, self._transfers_done, when)

    def _transfers_done(self, when: int) -> None:
        if self.armed != (when,):
            return  # superseded by an earlier completion
        self.armed = ()
        while (flow := self.net.take(self.events.now)) is not None:
            done, context = flow.context
            done(context)
        self._schedule_completion()

    # --- messages ---

    def hop(self, sender: Any, receiver: Any) -> int:
        """Draw the one-way delay of a message between gateways and servers."""
        is_local = sender.zone == receiver.zone
        stream = self.chance.stream("hops")
        delay = stream.expo(0.2 * (self.world.hop if is_local else self.world.far)) + (
            self.world.hop if is_local else self.world.far
        )
        loss = max(sender.loss, receiver.loss)
        if loss and stream.random() < loss:
            delay += stream.between(*RETRANSMISSION)
        return max(1, int(delay))

    def cut(self, sender: Any, receiver: Any) -> bool:
        """Return whether messages in this direction are lost."""
        if getattr(sender, "mute", False) or getattr(receiver, "deaf", False):
            return True
        return sender.zone != receiver.zone and bool(self.apart & {sender.zone, receiver.zone})

    def message(
        self, sender: EmulatedServer, receiver: EmulatedServer, callback: Callable[..., None], *args: Any
    ) -> None:
        """Send a message from one server to another."""
        if not self.cut(sender, receiver):
            self.events.at(self.events.now + self.hop(sender, receiver), NET, callback, *args)

    def sending(self, dispatch: Dispatch, number: int, source: Any) -> None:
        """Send a dispatch from a gateway to its server."""
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
            if one.kind != ORIGIN and one.started and gateway.known_starts.get(one.name) == one.started:
                self._check_cold_load(one, work, now)
        if not self.cut(gateway, box):
            self.events.at(now + self.hop(gateway, box), NET, self._dispatch_arrives, dispatch, work)

    def _check_cold_load(self, box: EmulatedServer, work: float, now: int) -> None:
        """Check rule 4: the recent work sent to a cold server by all gateways that know it is cold."""
        capacity_fraction = box.capacity_fraction()
        if capacity_fraction >= 1.0:
            return
        sent = self.cold_work.setdefault(box.name, deque())
        sent.append((now, work))
        while sent[0][0] <= now - self.fall:
            sent.popleft()
        load, most = sum(one for _, one in sent), box.warm()[2] * capacity_fraction * box.size * self.fall
        if load > most:
            self.checker.fell(box.name, load, most, now)

    def _dispatch_arrives(self, dispatch: Dispatch, work: float) -> None:
        for one in dict.fromkeys((dispatch.box, dispatch.source or dispatch.box)):
            if not (one.dead or one.withstands(work / COLD_TOLERANCE)):
                self.result.fell += 1
                self._crash(one)
        dispatch.box.take(dispatch)

    def undo(self, dispatch: Dispatch) -> int:
        """Cancel a dispatch; return when the cancellation reaches the server. It arrives even in a partition:
        the gateway then closes the connection, which the server always detects in the end."""
        sure = self.events.now + self.hop(dispatch.gateway, dispatch.box)
        self.events.at(sure, NET, dispatch.box.undo, dispatch)
        return sure

    def answer(self, dispatch: Dispatch, word: str, note: int) -> None:
        """Send a server's answer to a gateway, or close the connection."""
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

    def check(self, gateway: Gateway, backend: Any, box: EmulatedServer, life: int) -> None:
        """Run a health check, answered with the server's load or not at all."""
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
        """Draw the origin's processing time for one part or write."""
        return max(1, int(self.chance.stream("origin").heavy(self.world.service, self.world.tail)))

    def effect(self, dispatch: Dispatch, origin: EmulatedServer) -> None:
        """Apply a write at the origin. A write with an idempotency key takes effect only once."""
        if (
            dispatch.gateway.router.virtual_hosts[dispatch.request.vhost].idempotency is Idempotency.KEYED
            and dispatch.write in self.checker.effects
        ):
            return
        self.checker.effect(dispatch.write, origin.name, self.events.now)

    # --- clients ---

    def _schedule_arrival(self, after: int) -> None:
        self.events.at(START + after, CLIENT, self._client_arrives)

    def _client_arrives(self) -> None:
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
        self._schedule_arrival(now + max(1, int(gap / self.rush)) if self.rush != 1.0 else now + gap)

    def ask(self, ask: Ask, gateway: Gateway | None = None) -> None:
        """Send a client request to a random gateway; a session stays with one gateway."""
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
        self.events.at(until + SLACK + 1, CHECK, self._deadline, number)
        gateway.arrived(number, ask)

    def _deadline(self, number: int) -> None:
        if self.due.get(number, 0) > self.events.now - 1:
            self.events.at(self.due[number] + 1, CHECK, self._deadline, number)
            return
        self.checker.due(number, self.events.now)
        self._forget_request(number)

    def _forget_request(self, number: int) -> None:
        self.due.pop(number, None)
        self.asked_at.pop(number, None)

    def extend_deadline(self, number: int, until: int) -> None:
        """Extend the deadline of a request whose gateway is paused until a time."""
        told = self.checker.requests[number]
        told.until = max(told.until, until + SLACK)
        self.due[number] = max(self.due.get(number, 0), told.until + SLACK)

    def gone(self, number: int) -> None:
        """Record that a client disconnected, or that its gateway stopped."""
        self.checker.leaves(number)
        self.result.left += 1

    def final(
        self, gateway: Gateway, number: int, ask: Ask, word: str, after: int, dispatch: Dispatch | None
    ) -> None:
        """Deliver a final answer to its client."""
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
                self.cached_reads += dispatch.note in (1, 5)
                self.stale_reads += dispatch.note == 5
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

    def rows(self, zone: int) -> list[EmulatedServer]:
        """Return the endpoint list for the gateways of a location."""
        return [box for box in self.boxes if self.tells(box, zone) and box.status]

    def tells(self, box: EmulatedServer, zone: int) -> bool:
        """Return whether a server is listed to the gateways of a location."""
        return box.zone == zone or box.zone < 0

    def tell(self, *event: Any) -> None:
        """Append an event to the change log: server states or a purge."""
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
            self.events.at(place[1], LOG, self._deliver_event, gateway, event)

    def _deliver_event(self, gateway: Gateway, event: tuple[Any, ...]) -> None:
        if gateway.held(LOG, self._deliver_event, gateway, event):
            return
        if event[0] == "boxes":
            rows = []
            for box, status, started in event[1]:
                if self.tells(box, gateway.zone):
                    rows.append(_ListedServer(box, status, started))
            if rows:
                gateway.told(rows)
        else:
            gateway.purged(*event[1:])

    def _announce(self, box: EmulatedServer) -> None:
        self.tell("boxes", [(box, box.status, box.started)])

    # --- faults ---

    def struck(self, fault: Fault) -> list[Any]:
        """Return the targets of a fault; none if this world does not have them."""
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

    def apply_fault(self, fault: Fault) -> None:
        """Apply a fault."""
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
                self._set_factor(box, kind, fault.hard)
                self.events.at(end, FAULT, self._set_factor, box, kind, 1.0)
        elif kind == "apart":
            self.apart.add(int(fault.which))
            self.events.at(end, FAULT, self.apart.discard, int(fault.which))
        elif kind in ("cold", "down"):
            for box in whom:
                self._crash(box, max(RESTART_TIME, fault.span))
        elif kind == "drain":
            for box in whom:
                if box.status == ACTIVE:
                    box.status = LEAVING
                    self._announce(box)
                    self.events.at(end, FAULT, self._undrain, box)
        elif kind in ("lag", "break", "unlogged"):
            for gateway in whom or self.gateways:
                self._set_log_fault(gateway, kind, int(fault.hard * SECOND) or 1)
                self.events.at(end, FAULT, self._set_log_fault, gateway, kind, 0)
        elif kind == "clock":
            for gateway in whom:
                gateway.clock(int(fault.hard * SECOND), fault.at == 0)
                self.events.at(end, FAULT, gateway.clock, 0)
        elif kind == "restart":
            for gateway in whom:
                gateway.restart()
                for what in self._recent_purges():
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

    def _set_factor(self, box: EmulatedServer, kind: str, hard: float) -> None:
        setattr(box, kind, hard)
        box.resize()

    def _crash(self, box: EmulatedServer, after: int = RESTART_TIME) -> None:
        """Crash a server; it restarts a while later."""
        if not box.dead:
            box.die()
            self.events.at(self.events.now + after, FAULT, self._restart, box)

    def _restart(self, box: EmulatedServer) -> None:
        if box.dead:
            box.start()
            self._announce(box)

    def _undrain(self, box: EmulatedServer) -> None:
        """Return a drained server to service, cold."""
        if box.status == LEAVING:
            box.status = ACTIVE
            if not box.dead:
                box.die()
                box.start()
            self._announce(box)

    def _set_log_fault(self, gateway: Gateway, kind: str, hard: int) -> None:
        place = self.log_at[gateway.name]
        if kind == "lag":
            place[2] = hard
        else:
            place[3] = hard
            self._deliver(gateway)

    def purge(self, whom: str, which: str) -> None:
        """Purge an object or a purge group."""
        now = self.events.now
        key, group = (which, 0) if whom == "object" else ("", int(which))
        self.purges.append((key, group, now))
        self.tell("purge", key, group, now)
        self.events.at(now + self.world.drops, FAULT, self._drop_copies, key, group, now)

    def _recent_purges(self) -> list[tuple[str, int, int]]:
        """Return the recent purges that a restarted gateway gets from its configuration."""
        return [what for what in self.purges if self.events.now - what[2] <= self.world.drops + SECOND]

    def _drop_copies(self, key: str, group: int, at: int) -> None:
        for box in self.boxes:
            box.copies.purge(key, group, at)

    # --- results ---

    def _summarize(self) -> Result:
        out = self.result
        out.worth = self.earned / self.could if self.could else 1.0
        out.hits = self.cached_reads / self.read if self.read else 0.0
        out.stale = self.stale_reads / self.read if self.read else 0.0
        out.dispatches = self.sends / max(1, out.requests)
        out.fetched = self.origin_kb / self.served_kb if self.served_kb else 0.0
        took = sorted(self.took)
        if took:
            out.p50, out.p99 = took[len(took) // 2] / 10, took[min(len(took) - 1, len(took) * 99 // 100)] / 10
        out.wasted, out.believes, out.events = self.wasted, self.believes, self.events.done
        out.breaches = self.checker.breaches
        out.mark = self.hash.hexdigest()
        return out


class _ListedServer:
    """Server state in a change log event."""

    __slots__ = ("name", "zone", "kind", "cell", "status", "size", "started", "box")

    def __init__(self, box: EmulatedServer, status: int, started: int) -> None:
        self.name, self.zone, self.kind, self.cell = box.name, box.zone, box.kind, box.cell
        self.size = box.size
        self.status, self.started, self.box = status, started, box


def run(world: World, seed: int, faults: Iterable[Fault] = (), policy: Policy | None = None) -> Result:
    """Run one emulation."""
    return Fleet(world, seed, faults, policy).run()
