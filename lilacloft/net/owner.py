"""Owns the decision module: the one thread that calls it, its queue, clock and timers, and all final answers.

Whatever the sockets' threads see comes through the queue; the module acts through this Host. It must never
wait on a peer, never report to the module from inside one of its calls, never answer a req twice, and decide
nothing.
"""

from __future__ import annotations

import heapq
import queue
import socket
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple

from loguru import logger

from lilacloft import needed
from lilacloft.invariants import Effect, History, Invariants, Promise
from lilacloft.net.back import Back, Sent
from lilacloft.net.budgets import budgets, descriptor_limit
from lilacloft.net.conn import OUTCOMES, Conn, End
from lilacloft.net.feed import Entry, Event, Feed, Heard, known
from lilacloft.net.front import Call, Client, Front
from lilacloft.net.resp import encode, listed
from lilacloft.net.trace import Trace
from lilacloft.routing.host import AttemptResult, Dispatch, Endpoint, HealthChange, Timer
from lilacloft.routing.model import Backend, RejectReason, Request
from lilacloft.routing.router import Router
from lilacloft.settings import NS, TENTHS, settings
from lilacloft.stamps import Hearing, Stamps

COMING = 0.7  # seconds after SIGTERM in which clients may still come, as the protocol has it
QUIET = 0.2  # and between two of their reqs then
FAREWELL = 0.3  # seconds left to clients to close their halves, once ours are
LAST = 3.0  # seconds after those in which the process may be killed at the earliest, if it is not done before
HEARTBEAT = 500  # span between two turns of the owner at the most
STANDS_STILL = 1_000  # span without one that says that the process did not run
AFTERMATH = 10_000  # span after it in which what is read may have come meanwhile
WRITE_AGAIN = 100  # span after which a thread that could not be had is asked for again
INSPECTED = 64  # open requests that are told of at once
EVERY = 0.5  # seconds between two looks at what stands still, at most: ends are owed in a few of them


class Standstill(NamedTuple):
    """A span in which this process did not run: it was stopped, or starved; by the steady clock."""

    begun: int  # its last turn before it
    over: int


class Phase(Enum):
    """Where a process is in its life; forwards only, by `Owner._to`. docs/gateway.md says who owes what."""

    STARTING = auto()  # bound, and nobody let in yet
    SERVING = auto()
    DRAINING = auto()  # told to end: clients may still come, and are answered
    PARTING = auto()  # nobody comes and nothing is owed: the door is shut, our halves are closed
    ENDED = auto()  # nothing is left here, or all of it has gone over to another process


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Owner:
    """The Host of one gateway."""

    def __init__(
        self,
        config: dict[str, Any],
        clock: Callable[[], int] = time.time_ns,
        sock: socket.socket | None = None,
        follows: bool = False,
    ) -> None:
        """Bound to its address, or with a socket that is; where it follows another process, that tells it of
        the list and the purges."""
        self.stood: Standstill | None = None  # the last time in which it got no processor
        self.clock, self.time, self.steady = clock, clock() // NS, time.monotonic_ns() // NS
        self.stamps = Stamps()
        self.queue: queue.SimpleQueue[tuple[Any, ...]] = queue.SimpleQueue()
        self.post = lambda *event: self.queue.put(event)
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.timed = 0
        self.after: deque[tuple[Any, ...]] = deque()  # reports that a call of the module has led to
        self.calls: dict[Request, Call] = {}
        self.backends: dict[str, Backend] = {}
        self.phase = Phase.STARTING
        self.ending = self.by = 0  # when SIGTERM came, and by when all must be answered then
        self.shut = 0  # when the door was shut
        self.arrival = 0  # when the last req came
        self.guard: Any = None  # what keeps effects over a crash, if anything does
        self.recorder: Any = None  # what writes down what happens, if anything does
        self.agent: Any = None  # what talks to planners, if there are any
        self.upgrade: Any = None  # what replaces this process, if it may be replaced
        self.lags = False  # timers were late at the last turn
        self.counts = dict.fromkeys(("done", "denied", "aborted", "left", "faults"), 0)
        self.refused = {why.name: 0 for why in RejectReason}
        self.retried = dict.fromkeys(sorted(set(OUTCOMES.values())), 0)  # by the outcome before
        self.trace = Trace()
        self.violation = 0  # when one was last told
        self.fault = 0  # when one was last told
        self.ends = dict.fromkeys((end.name for end in End), 0)
        needed.config(config)
        self.listen = config["listen"]
        self.config = settings(needed.told(config["settings"]))
        self.vhosts = self.config["vhosts"]
        self.slack, self.grain = self.config["rules"]["answer_slack"], self.config["granularity"]
        self.longest = max(vhost["client_timeout"] for vhost in self.vhosts)
        self.allowed = config["limits"]
        self.given = {name: config[name] for name in ("listen", "settings")}  # what a reload cannot change
        self.known = last = config["known"]["seq"]
        events = list(known(config["known"]["results"], self.config["zones"], self.config["kinds"]))
        descriptors = descriptor_limit()
        if descriptors < self.allowed["sockets"]:
            logger.warning(
                "the system allows {} descriptors, the configuration {}: the lower holds",
                descriptors,
                self.allowed["sockets"],
            )
        self.budgets = budgets(self.allowed, descriptors)
        self.back = Back(self.post, self.now, self.back_ended, self.parted, self.config, self.budgets.caches)
        self.invariants = self.back.invariants = Invariants(self.config, self._violated)
        self.effects = [
            Effect(vhost["effect"], vhost.get("repeat_group", "cell"), vhost.get("repeat_window", 0))
            for vhost in self.vhosts
        ]
        self.back.write_soon = self.write_soon
        self.every = min(self.back.patience, int(EVERY * TENTHS))  # theirs may be long
        self.front = Front(
            self.post, self, address(self.listen), self.vhosts, self.budgets.clients, self.largest(), sock
        )
        self.feed = Feed(address(config["changelog"]), last, self._heard, config.get("name", ""))
        self._tick()
        self.router = Router(self, self.config)
        if not follows:
            self._configured([event for _, event in events])

    def _configured(self, events: list[Event]) -> None:
        """What the configuration has of the change log: purges first, as they tell how its clock stands."""
        listed = [entry for what, told in events if what != "purge" for entry in told]
        self.stamps.configured(self.time, (started * 10 for *_, started in listed))
        for event in sorted(events, key=lambda event: event[0] != "purge"):
            self.told(event, "cached" if event[0] == "full" else None)

    def largest(self) -> float:
        """KB that can be sent at full pace in the longest client timeout."""
        return self.config["family"]["pace_kb_per_s"] / TENTHS * self.longest

    # --- the process's life ---

    def _to(self, phase: Phase) -> None:
        """The one place where the phase changes. Never backwards."""
        if phase.value > self.phase.value:
            self.phase = phase

    @property
    def gone(self) -> bool:
        """Is another process this gateway now, or nothing left here?"""
        return self.phase is Phase.ENDED

    @gone.setter
    def gone(self, _: bool) -> None:
        self._to(Phase.ENDED)

    # --- the loop ---

    def _tick(self) -> None:
        """Take the time: Unix time as of our start, which goes on with the machine's steady clock, whatever
        becomes of the system's (lilacloft/stamps.py)."""
        steady = time.monotonic_ns() // NS
        if steady - self.steady > STANDS_STILL:
            self.comes_late(self.steady)
        self.time += steady - self.steady
        self.steady = steady

    def stood_still(self) -> int | None:
        """Since when, by the steady clock, this process has stood still until just now, or may have; None
        where it has not. Any thread may ask: its own turn may come before the owner's."""
        now, begun, stood = time.monotonic_ns() // NS, self.steady, self.stood
        still = now - begun > STANDS_STILL
        if stood and (begun if still else now) - stood.over <= AFTERMATH:
            return min(begun, stood.begun)  # one span follows another: what came in the first may be unread
        return begun if still else None

    def comes_late(self, begun: int) -> None:
        """What clients have sent since a time by the steady clock is read only now: this process stood still,
        or another was this gateway, or none. Where one such span follows another, what came in the first may
        still be unread."""
        now, before = time.monotonic_ns() // NS, self.stood
        if before and begun - before.over <= AFTERMATH:
            begun = min(begun, before.begun)
        self.stood = Standstill(begun, now)

    def run(self) -> None:
        """Serve until told to end and nothing is owed any more."""
        self._to(Phase.SERVING)
        self.front.start()
        logger.info("serving on {} with {} bes listed", self.listen, len(self.backends))
        self.feed.start()
        self.sweep()
        self._beat()
        while not self._over():
            while self.timers[0][2] == self._time_up and self.timers[0][3][0].conn is None:
                heapq.heappop(self.timers)  # what is over wakes nobody
            self._tick()
            event = self._next(max(0, self.timers[0][0] - self.time) / TENTHS)
            self._tick()
            began = self.steady
            late = self.time - self.timers[0][0]
            lags, self.lags = self.lags, late > self.slack
            if self.lags:
                self.router.loop_lagged(late)
            if self.lags and not lags:
                # the process was stopped, or starved: answers may lie unread, and no cache is to blame. Once
                # only: where it lags turn after turn it has more to do than it can, and must not sleep
                time.sleep(self.slack / TENTHS)
                event = event or self._next(0.0)
            self._take_in(event)  # what has happened comes before what is due,
            self._take_in(self._next(0.0))  # also what has happened meanwhile
            self._tick()
            while self.timers and self.timers[0][0] <= self.time:
                _, _, what, told = heapq.heappop(self.timers)
                self._do(what, told)
            # one turn in each tick of the settings: under load one takes in several events, where waking
            # for each would cost more than all else that a req costs
            rest = began + self.grain - time.monotonic_ns() // NS
            if rest > 0:
                time.sleep(rest / TENTHS)

    def _take_in(self, event: tuple[Any, ...] | None) -> None:
        """This event and those that wait behind it now."""
        more = self.queue.qsize()
        while event is not None:
            self._tick()
            self._do(event[0], event[1:])
            event, more = self._next(0.0) if more > 0 else None, more - 1

    def _do(self, what: Callable[..., None], told: tuple[Any, ...]) -> None:
        """One thing that has happened or is due, and what the module's calls lead to. A fault of ours in one
        must not end all others: it is counted, and told with its trace, once a second at most."""
        try:
            what(*told)
            while self.after:
                what, *more = self.after.popleft()
                what(*more)
        except Exception:
            self.counts["faults"] += 1
            if self.time >= self.fault + TENTHS:
                self.fault = self.time
                logger.exception("the module's thread failed in one event")

    def _next(self, wait: float) -> tuple[Any, ...] | None:
        try:
            return self.queue.get(timeout=wait)
        except queue.Empty:
            return None

    def _over(self) -> bool:
        """Told to end, nobody comes any more, and nothing is owed? Then clients are told our end first, and
        left a moment to close as well: what they sent across it they send again elsewhere, and the answers
        that are on their way yet arrive."""
        if self.phase in (Phase.DRAINING, Phase.PARTING):
            # what a reader has taken may not have come to `calls` yet
            busy = self.calls or any(client.open or client.waits() for client in list(self.front.clients))
            come = self.time >= max(self.ending + COMING * TENTHS, self.arrival + QUIET * TENTHS)
            if self.phase is Phase.DRAINING and come and not busy and not self.front.unread():
                self._to(Phase.PARTING)
                self.shut = self.time
                self.front.shut_door()
            if self.phase is Phase.PARTING:
                left = self.front.part_all()
                waited = self.time > self.shut + FAREWELL * TENTHS
                if not busy and (not left or (waited and not self.front.unread())):
                    return True
                self.at(self.time + max(self.grain, 10), lambda: None)  # the next look
            return self.time > self.by + self.every // 2
        return self.phase is Phase.ENDED

    def stop(self) -> None:
        """SIGTERM: clients still come for a while; what is taken is answered before we may be killed."""
        if self.phase not in (Phase.STARTING, Phase.SERVING) or (self.upgrade and self.upgrade.stops()):
            return
        self._to(Phase.DRAINING)
        logger.info("told to stop: {} reqs are open", len(self.calls))
        self.ending = self.time
        self.by = self.time + int(COMING * TENTHS) + min(self.longest, int(LAST * TENTHS)) - self.every
        self.at(self.by, self._last)

    def _last(self) -> None:
        """What is still open is given up."""
        for call in list(self.calls.values()):
            self.router.reject(call.request, RejectReason.ENDING)

    def reload(self, config: dict[str, Any]) -> None:
        """The configuration was read again: what may change is taken over whole, or not at all."""
        if self.upgrade and self.upgrade.reloads():
            return
        try:
            needed.config(config)
            place, found = address(config["changelog"]), budgets(config["limits"], descriptor_limit())
            fixed = [name for name, given in self.given.items() if config[name] != given]
        except (KeyError, ValueError, TypeError, AttributeError) as wrong:
            logger.error("the old configuration stays: it cannot be used: {!r}", wrong)
            return
        self.budgets, self.front.most, self.back.most = found, found.clients, found.caches
        self.allowed = config["limits"]
        self.feed.move(place)
        logger.info(
            "the configuration was read again{}",
            "; changed, but kept till a restart: " * bool(fixed) + ", ".join(fixed),
        )

    def at(self, when: int, what: Callable[..., None], *told: Any) -> None:
        """Call at a time or after it."""
        self.timed += 1
        heapq.heappush(self.timers, (when, self.timed, what, told))

    def write_soon(self, conn: Conn) -> None:
        """No thread was to be had for what waits on a connection: ask for one again."""
        self.at(self.time + WRITE_AGAIN, conn.write_on)

    def _beat(self) -> None:
        """A turn with nothing to do, so that one that does not come tells that the process stood still."""
        self.at(self.time + HEARTBEAT, self._beat)

    def sweep(self) -> None:
        """The periodic work."""
        self.at(self.time + self.every, self.sweep)
        self.back.sweep()
        self.front.sweep(self.longest / TENTHS, self.budgets.unwritten, self.every / TENTHS)

    def report(self) -> None:
        """Print the counters."""
        for name, counts in (
            ("answers", self.counts),
            ("front", self.front.counts),
            ("back", self.back.counts),
            ("ends", self.ends),
            ("refused", self.refused),
            ("retried after", self.retried),
            ("closed clients", dict(self.front.closes)),
            ("closed caches", dict(self.back.closes)),
            ("violations", self.invariants.violations()),
            ("log", {"connects": self.feed.connects, "events": self.feed.events}),
            ("held", self.held()),
        ):
            logger.info(
                "{}: {}", name, " ".join(f"{key.lower()}={count}" for key, count in counts.items() if count)
            )

    def inspect(self) -> None:
        """Print the counters, and what has become of the requests that are open."""
        self.report()
        for call in list(self.calls.values())[:INSPECTED]:
            trail = "; ".join(str(step) for step in self.trace.trail(call.name))
            left = (call.request.deadline - self.time) / TENTHS
            logger.info("open: {} with {:.3f} s left: {}", call.name, left, trail)

    def _violated(self, promise: Promise, name: str, detail: str) -> None:
        """A promise is broken, or was about to be. Any thread may tell; told with its trail, once a second at
        most."""
        now = time.monotonic_ns() // NS
        if now < self.violation + TENTHS:
            return
        self.violation = now
        trail = "; ".join(str(step) for step in self.trace.trail(name))
        logger.error("invariant: {}: {} {}; {}", promise.value, name, detail, trail or "no trail")

    def closes_with(self, names: list[str]) -> None:
        """A connection is ended by us with requests open on it. Any thread may tell."""
        self.invariants.closes(names)

    def history(self, call: Call, request: Request) -> History:
        """What the checks know of a request that has come, or has come over from another process."""
        history = History(
            call.name,
            self.effects[call.vhost],
            request.deadline,
            out=request.in_flight,
            sent=request.sent_at,
            backend=request.backend,
        )
        history.ran, history.first_executed_by = request.first_executed_at, request.first_executed_by
        return history

    def held(self) -> dict[str, int]:
        """What is open, counted or held just now, for who looks whether anything has stayed behind."""
        lines = [line for pool in self.back.pools.values() for line in pool.lines]
        out = [sent for line in lines for sent in line.out.values()]
        backends = self.router.pools.backends
        return {
            "calls": len(self.calls),
            "names": len(self.front.names),
            "clients": len(self.front.clients),
            "parting": len(self.front.parting),
            "unwritten": sum(client.waits() for client in list(self.front.clients)),
            "out": sum(sent.call is not None for sent in out),
            "checks": sum(sent.call is None for sent in out),
            "reqs": sum(len(backend.requests) for backend in backends),
            "trials": sum(backend.canary is not None for backend in backends),
            "limits": self.router.link_limit.in_flight
            + sum(backend.concurrency_limit.in_flight for backend in backends if backend.concurrency_limit),
        }

    # --- what the front brings ---

    def arrived(self, call: Call) -> None:
        if call.client.end is not None or call.client.open.get(call.tag) is not call:
            return  # its hanging up, or its leaving, comes later in the queue: not sent on for who has left
        at = self.time - max(0, self.steady - call.at)
        waits_until = at + min(call.allow * 10, self.vhosts[call.vhost]["client_timeout"])
        until = min(waits_until, self.by) if self.ending else waits_until
        self.arrival = self.time
        request = Request(
            call.key, call.part, call.group, call.kbytes, at, until, call.vhost, is_write=bool(call.body)
        )
        call.request = request
        self.calls[request] = call
        call.history = self.history(call, request)
        call.history.until = waits_until
        self.trace.add(call.at, call.name, "arrived", self.vhosts[call.vhost]["name"])
        if self.guard:
            self.guard.knows(call, request)
        if self.recorder:
            self.recorder.arrived(call)
        self.router.request_arrived(request)

    def forgotten(self, call: Call) -> None:
        call.client.settled += 1
        if call.request is not None:
            self.counts["left"] += 1
            self.invariants.leaves(call.history)
            self.trace.add(self.steady, call.name, "left")
            if self.recorder:
                self.recorder.left(call)
            self.router.client_disconnected(call.request)
            self._forget(call)

    def garbled(self, client: Client) -> None:
        """A client writes what cannot be read: what it has open is given up, with its answers."""
        for call in list(client.open.values()):
            if call.request is not None:
                self.router.reject(call.request, RejectReason.GARBLED)

    def half_closed(self, client: Client, at: int) -> None:
        """A client's input ended at a time by the steady clock. It may have closed its half only, or have
        left: what waits is sent on for a moment more, what is out is answered."""
        for call in list(client.open.values()):
            if call.request is not None:
                until = self.router.client_half_closed(call.request, self.time - max(0, self.steady - at))
                self.at(until, self._send_by_passed, call)

    def _send_by_passed(self, call: Call) -> None:
        """Nothing goes out for it any more: what no cache has is given up at once."""
        sent = call.sent
        if call.request.finished:
            return
        if sent is not None and self._take_back(sent):
            return
        if sent is None or sent.conn is None:
            self.router.send_by_passed(call.request)

    def _take_back(self, sent: Sent) -> bool:
        """Take back a dispatch that has not gone out, and report it; False where it may have."""
        taken = self._drop_held(sent) or self.back.take_back(sent)
        if taken:
            self.report_end(sent, End.UNWRITTEN)
        return taken

    def _drop_held(self, sent: Sent) -> bool:
        """Take back a dispatch that waits for the disk; False where it does not."""
        return bool(self.guard and self.guard.drop(sent))

    def report_end(self, sent: Sent, end: End) -> None:
        """A dispatch or a check that brought no answer is over: the module hears of it after its call."""
        self.after.append((self.back_ended, sent, end, 0, 0, [], b""))

    def hung_up(self, client: Client) -> None:
        for call in list(client.open.values()):
            if self.front.close(call):
                self.forgotten(call)

    # --- what the back brings ---

    def back_ended(
        self, sent: Sent, end: End, note: int, waited: int, load: list[float], body: bytes, at: int = 0
    ) -> None:
        """A dispatch or a check is over; its answer, if any, was read at a time by the steady clock, and that
        it lay in the queue since is no fault of its cache."""
        self.ends[end.name] += 1
        call, took = sent.call, max(0, self.time - sent.at - (max(0, self.steady - at) if at else 0))
        if call is None:
            if self.recorder:
                self.recorder.checked(sent.backend, OUTCOMES[end], load)
            return self.router.health_checked(sent.backend, OUTCOMES[end], load)
        call.sent = None
        outcome = call.last = OUTCOMES[end]
        if sent.made:  # else a check kept it back
            self.invariants.ended(call.history, outcome)
        self.trace.add(self.steady, call.name, "ended", end.name)
        if self.guard:
            self.guard.ended(sent, end)
        if self.recorder:
            self.recorder.ended(call, sent.backend, end, took, note, waited, load)
        if self.agent:
            self.agent.attempt_ended(call, sent.backend, outcome, took, note)
        if outcome == "done":
            if end is End.UNCHANGED:
                self._final(call, "done", b"200", (("ok304", 1),))
            else:
                self._final(call, "done", b"200", (), body)
        final = outcome == "done" or call.request.finished
        result = AttemptResult(sent.seq, outcome, took, final, note)
        self.router.attempt_ended(call.request, sent.backend, result)
        self._forget(call)
        return None

    def parted(self, sent: Sent, end: End, sure: int) -> None:
        """A dispatch was ended by us. Its req may go out again only once it is sure that the cache knows,
        else two could be out at once. Where nothing goes out any more it is told now."""
        if sent.call is None or sent.call.request.finished or sure <= self.time:
            self.back_ended(sent, end, 0, 0, [], b"")
        else:
            self.at(sure, self.back_ended, sent, end, 0, 0, [], b"")

    def _time_up(self, sent: Sent) -> None:
        """A dispatch has had its time."""
        if sent.conn is not None:
            self.back.give_up(sent)
            self.back_ended(sent, End.TIME_UP, 0, 0, [], b"")

    def _final(
        self, call: Call, kind: str, word: bytes, told: tuple[tuple[str, object], ...] = (), body: bytes = b""
    ) -> None:
        """The one place of final answers: once a req, and none to who has left."""
        if self.front.close(call):
            self.counts[kind] += 1
            self.invariants.answers(call.history, self.time)
            why = call.request.reject_reason.name if call.request.reject_reason else ""
            if why:
                self.refused[why] += 1
            self.trace.add(self.steady, call.name, kind, why)
            if self.recorder:
                self.recorder.answered(call, kind)
            self.front.answer(call.client, call.tag, word, told, body)
            call.client.used = time.monotonic()
            call.client.settled += 1  # after the answer: its connection may end now

    def _forget(self, call: Call) -> None:
        """What is closed is held no longer than its dispatch is out; nothing goes out for it any more, also
        where the settings let no dispatch be cancelled: one that has not gone out is none yet."""
        if not call.request.finished:
            return
        if call.sent is None:
            self.calls.pop(call.request, None)
        else:
            self._take_back(call.sent)

    # --- what the change log brings ---

    def _heard(self, event: Event, number: int) -> None:
        """In the change log's thread. What the configuration's list had in it already is told again only to a
        gateway whose store may lack a purge: an older list must not stand for a moment."""
        if event[0] == "purge" or number > self.known:
            self.post(self.told, event, None, self.feed.heard)
        if self.guard:
            self.post(self.guard.heard, event, number)
        if self.recorder:
            self.post(self.recorder.heard, event, number, time.monotonic_ns() // NS)

    def told(self, event: Event, mode: str | None = None, heard: Heard | None = None) -> None:
        """A list, changes of it, or a purge. `heard`: how the log was heard from before; none where a
        configuration or a store tells of it."""
        what, told = event
        hearing = Hearing(self.time - self.steady + heard.at, heard.current) if heard else None
        if what == "purge":
            key, group, at = told
            if self.guard:
                self.guard.purged(key, group, at * 10)
            self.router.object_purged(key, group, self.time - self.stamps.purge(self.time, at * 10, hearing))
            return self._revise_starts()
        self.listed(
            mode or what,
            [(*row, self.stamps.start(self.time, row[0], started * 10, hearing)) for *row, started in told],
        )
        return None

    def listed(self, mode: str, rows: list[Entry]) -> None:
        """A list, or changes of it, with starts in the gateway's own time."""
        entries, places = [], []
        for name, place, zone, kind, cell, status, size, started in rows:
            backend = self.backends.get(name)
            if backend is None:
                backend = self.backends[name] = Backend(name)
            entries.append(Endpoint(backend, zone, kind, cell, status, size, started))
            places.append((backend, place))
        for entry in entries:
            self.invariants.listed(entry.backend.name, entry.status, self.time, self.steady)
        self.router.endpoints_changed(mode, entries)
        if self.agent:
            self.agent.backends_changed([entry.backend.name for entry in entries])
        for backend, place in places:
            if backend.status:
                self.back.place(backend, place)
        for name, backend in list(self.backends.items()):
            if not backend.status:
                self.back.drop(backend)
                if not backend.requests:
                    del self.backends[name]
                    self.stamps.forget(name)

    def _revise_starts(self) -> None:
        """The log's clock is known better: some bes may have started earlier than was thought."""
        for name, started in self.stamps.revised().items():
            backend = self.backends.get(name)
            pool = self.back.pools.get(backend) if backend else None
            if backend:
                backend.started = started
            if pool:
                pool.life = started

    # --- Host: what the module calls ---

    def now(self) -> int:
        return self.time

    def client_left_at(self, request: Request) -> int | None:
        gone = self.calls[request].departed()
        if gone is None:
            return None
        # since the clock as it is: the module's own time stands still while it takes in one event
        return self.time - (time.monotonic_ns() // NS - gone)

    def steadily(self, at: int) -> int:
        """A time of the module's by the steady clock; none (0) stays none."""
        return at and at - self.time + self.steady

    def dispatch(self, dispatch: Dispatch) -> None:
        request, backend = dispatch.request, dispatch.backend
        source = dispatch.source if dispatch.source is not backend else None
        call, history = self.calls[request], self.calls[request].history
        if not self.invariants.sends(history, backend, source or backend, request.transfer_time, self.time):
            return self.report_refused(call, backend)
        told = listed(
            (
                ("profile", self.vhosts[request.vhost]["name"]),
                ("thing", request.key),
                ("nth", request.part),
                ("max", max(1, dispatch.timeout // 10)),  # never longer than the gateway will wait
                ("replay", call.replay),
                ("next", source.name if source else None),
                ("admit", dispatch.cache_rank or None),
                (
                    "agelim",
                    max(1, dispatch.max_age // 10) if dispatch.max_age else None,
                ),  # 0 would mean the whole fresh time
                ("ways", self._ways(dispatch)),
                ("cached", call.got),
            )
        )
        name = call.name.encode()
        data = encode(b"do", name, told, call.body)
        until = min(self.time + dispatch.timeout, request.deadline)
        sent = Sent(
            call,
            backend,
            request.attempts - 1,
            name,
            data,
            self.time,
            made=self.steady,
            limit=10 * max(1, dispatch.timeout // 10),
            until=self.steadily(until),
            send_by=self.steadily(request.send_by),
            window_over=self.window_over(history),
        )
        call.sent = sent
        if call.last:
            self.retried[call.last] += 1
        self.trace.add(self.steady, call.name, "sent", f"{backend.name} {sent.seq}")
        if self.recorder:
            self.recorder.sent(call, backend, source)
        end = self.guard.dispatch(sent, until) if self.guard else self.back.dispatch(sent)
        if end is not None:
            self.report_end(sent, end)
        else:
            self.at(until, self._time_up, sent)
            if request.send_by:
                self.at(request.send_by, self._send_by_passed, call)

    @staticmethod
    def _ways(dispatch: Dispatch) -> str | None:
        flags = (
            ("share", dispatch.may_collapse),
            ("peek", dispatch.cache_only),
            ("swr", dispatch.revalidate),
        )
        return "+".join(word for word, is_set in flags if is_set) or None

    def report_refused(self, call: Call, backend: Backend) -> None:
        """A check found that a dispatch would break a promise: it ends before it begins."""
        sent = Sent(call, backend, call.request.attempts - 1, call.name.encode(), b"", self.time)
        call.sent = sent
        self.report_end(sent, End.UNWRITTEN)

    def window_over(self, history: History) -> int:
        """When a request that may have run may not go out again, by the steady clock; 0: it always may."""
        if history.ran is None or history.effect.kind == "replayable":
            return 0
        return self.steadily(history.ran + history.effect.window)

    def cancel(self, request: Request, seq: int) -> None:
        call = self.calls.get(request)
        sent = call.sent if call else None
        if sent is None or sent.seq != seq:
            return
        if self._drop_held(sent):
            self.report_end(sent, End.UNWRITTEN)
        elif sent.conn is not None:
            self.after.append((self.parted, sent, End.CALLED_OFF, self.back.give_up(sent)))

    def withdraw(self, request: Request, seq: int) -> None:
        call = self.calls.get(request)
        sent = call.sent if call else None
        if sent is not None and sent.seq == seq:
            self._take_back(sent)

    def reject(self, request: Request, after: int) -> None:
        call = self.calls[request]
        self._final(call, "denied", b"503", (("cooldown", -(-after // 10)),) if after else ())
        self.after.append((self._forget, call))

    def fail(self, request: Request) -> None:
        call = self.calls[request]
        self._final(call, "aborted", b"500")
        self.after.append((self._forget, call))

    def wake(self, at: int, timer: Timer) -> None:
        self.at(at, self._wake, timer)

    def _wake(self, timer: Timer) -> None:
        self.router.timer_fired(timer)

    def check_health(self, backend: Backend) -> None:
        sent, end = self.back.check(backend)
        if end is not None:
            self.report_end(sent, end)
        else:
            self.at(self.time + self.back.patience, self._time_up, sent)

    def subscribe(self, on: bool) -> None:
        """The change log is always followed."""

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        ejected = change is HealthChange.EJECTED
        logger.info("{}", f"{backend.name} {change}: {reason}" if ejected else f"{backend.name} {reason}")
        if self.recorder:
            self.recorder.believed(backend, change, reason)

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        if self.recorder and after != before:
            self.recorder.limited(backend, before, after, late_share)
