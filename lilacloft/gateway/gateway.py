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


class Pause(NamedTuple):
    """A span in which this process did not run: it was stopped, or starved; by the steady clock."""

    started: int  # the last tick before it
    ended: int


class Phase(Enum):
    """Where a process is in its life; forwards only, by `Gateway._to`. docs/gateway.md says who owes what."""

    STARTING = auto()  # bound, and nobody let in yet
    SERVING = auto()
    DRAINING = auto()  # told to end: clients may still come, and are answered
    CLOSING = auto()  # nobody comes and nothing is owed: the door is shut, our halves are closed
    ENDED = auto()  # nothing is left here, or all of it has gone over to another process


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Gateway:
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
        self.last_pause: Pause | None = None  # the last time in which it got no processor
        self.clock, self.time, self.monotonic_time = clock, clock() // NS, time.monotonic_ns() // NS
        self.stamps = Stamps()
        self.queue: queue.SimpleQueue[tuple[Any, ...]] = queue.SimpleQueue()
        self.post = lambda *event: self.queue.put(event)
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.timer_count = 0
        self.deferred: deque[tuple[Any, ...]] = deque()  # reports that a call of the module has led to
        self.open_requests: dict[Request, Call] = {}
        self.backends: dict[str, Backend] = {}
        self.phase = Phase.STARTING
        self.shutdown_started = self.shutdown_deadline = (
            0  # when SIGTERM came, and by when all must be answered then
        )
        self.listener_closed_at = 0  # when the door was shut
        self.last_arrival = 0  # when the last req came
        self.guard: Any = None  # what keeps effects over a crash, if anything does
        self.recorder: Any = None  # what writes down what happens, if anything does
        self.agent: Any = None  # what talks to planners, if there are any
        self.upgrade: Any = None  # what replaces this process, if it may be replaced
        self.lagging = False  # timers were late at the last turn
        self.answer_counts = dict.fromkeys(("done", "denied", "aborted", "left", "faults"), 0)
        self.reject_counts = {why.name: 0 for why in RejectReason}
        self.retry_counts = dict.fromkeys(sorted(set(OUTCOMES.values())), 0)  # by the outcome before
        self.trace = Trace()
        self.last_violation_at = 0  # when one was last told
        self.last_fault_at = 0  # when one was last told
        self.end_counts = dict.fromkeys((end.name for end in End), 0)
        needed.config(config)
        self.listen = config["listen"]
        self.config = settings(needed.told(config["settings"]))
        self.vhosts = self.config["vhosts"]
        self.answer_slack, self.granularity = self.config["rules"]["answer_slack"], self.config["granularity"]
        self.max_client_timeout = max(vhost["client_timeout"] for vhost in self.vhosts)
        self.limits = config["limits"]
        self.fixed_settings = {
            name: config[name] for name in ("listen", "settings")
        }  # what a reload cannot change
        self.last_known_event = last = config["known"]["seq"]
        events = list(known(config["known"]["results"], self.config["zones"], self.config["kinds"]))
        descriptors = descriptor_limit()
        if descriptors < self.limits["sockets"]:
            logger.warning(
                "the system allows {} descriptors, the configuration {}: the lower holds",
                descriptors,
                self.limits["sockets"],
            )
        self.budgets = budgets(self.limits, descriptors)
        self.back = Back(
            self.post, self.now, self.attempt_ended, self.attempt_cancelled, self.config, self.budgets.caches
        )
        self.invariants = self.back.invariants = Invariants(self.config, self._report_violation)
        self.effects = [
            Effect(vhost["effect"], vhost.get("repeat_group", "cell"), vhost.get("repeat_window", 0))
            for vhost in self.vhosts
        ]
        self.back.write_soon = self.write_soon
        self.maintenance_interval = min(self.back.patience, int(EVERY * TENTHS))  # theirs may be long
        self.front = Front(
            self.post,
            self,
            address(self.listen),
            self.vhosts,
            self.budgets.clients,
            self.max_transfer_size(),
            sock,
        )
        self.feed = Feed(address(config["changelog"]), last, self._event_received, config.get("name", ""))
        self.update_clock()
        self.router = Router(self, self.config)
        if not follows:
            self._apply_configured_events([event for _, event in events])

    def _apply_configured_events(self, events: list[Event]) -> None:
        """What the configuration has of the change log: purges first, as they tell how its clock stands."""
        listed = [entry for what, told in events if what != "purge" for entry in told]
        self.stamps.configured(self.time, (started * 10 for *_, started in listed))
        for event in sorted(events, key=lambda event: event[0] != "purge"):
            self.apply_event(event, "cached" if event[0] == "full" else None)

    def max_transfer_size(self) -> float:
        """KB that can be sent at full pace in the longest client timeout."""
        return self.config["family"]["pace_kb_per_s"] / TENTHS * self.max_client_timeout

    # --- the process's life ---

    def _enter(self, phase: Phase) -> None:
        """The one place where the phase changes. Never backwards."""
        if phase.value > self.phase.value:
            self.phase = phase

    @property
    def has_ended(self) -> bool:
        """Is another process this gateway now, or nothing left here?"""
        return self.phase is Phase.ENDED

    def end(self) -> None:
        """Serve nothing more here: all of it has gone over, or this process is not wanted."""
        self._enter(Phase.ENDED)

    # --- the loop ---

    def update_clock(self) -> None:
        """Take the time: Unix time as of our start, which goes on with the machine's steady clock, whatever
        becomes of the system's (lilacloft/stamps.py)."""
        steady = time.monotonic_ns() // NS
        if steady - self.monotonic_time > STANDS_STILL:
            self.record_pause(self.monotonic_time)
        self.time += steady - self.monotonic_time
        self.monotonic_time = steady

    def resume_clock(self, time_there: int, monotonic_time: int) -> None:
        """Go on with the time of another process, as it was at a monotonic time."""
        self.time, self.monotonic_time = time_there, monotonic_time
        self.update_clock()

    def paused_since(self) -> int | None:
        """Since when, by the steady clock, this process has stood still until just now, or may have; None
        where it has not. Any thread may ask: its own turn may come before the owner's."""
        now, begun, stood = time.monotonic_ns() // NS, self.monotonic_time, self.last_pause
        still = now - begun > STANDS_STILL
        if stood and (begun if still else now) - stood.ended <= AFTERMATH:
            return min(begun, stood.started)  # one span follows another: what came in the first may be unread
        return begun if still else None

    def record_pause(self, begun: int) -> None:
        """What clients have sent since a time by the steady clock is read only now: this process stood still,
        or another was this gateway, or none. Where one such span follows another, what came in the first may
        still be unread."""
        now, before = time.monotonic_ns() // NS, self.last_pause
        if before and begun - before.ended <= AFTERMATH:
            begun = min(begun, before.started)
        self.last_pause = Pause(begun, now)

    def run(self) -> None:
        """Serve until told to end and nothing is owed any more."""
        self._enter(Phase.SERVING)
        self.front.start()
        logger.info("serving on {} with {} bes listed", self.listen, len(self.backends))
        self.feed.start()
        self.run_maintenance()
        self.heartbeat()
        while not self._is_finished():
            while self.timers[0][2] == self.attempt_timed_out and self.timers[0][3][0].conn is None:
                heapq.heappop(self.timers)  # what is over wakes nobody
            self.update_clock()
            event = self.next_event(max(0, self.timers[0][0] - self.time) / TENTHS)
            self.update_clock()
            began = self.monotonic_time
            late = self.time - self.timers[0][0]
            lags, self.lagging = self.lagging, late > self.answer_slack
            if self.lagging:
                self.router.loop_lagged(late)
            if self.lagging and not lags:
                # the process was stopped, or starved: answers may lie unread, and no cache is to blame. Once
                # only: where it lags turn after turn it has more to do than it can, and must not sleep
                time.sleep(self.answer_slack / TENTHS)
                event = event or self.next_event(0.0)
            self._run_events(event)  # what has happened comes before what is due,
            self._run_events(self.next_event(0.0))  # also what has happened meanwhile
            self.update_clock()
            while self.timers and self.timers[0][0] <= self.time:
                _, _, what, told = heapq.heappop(self.timers)
                self.run_callback(what, told)
            # one turn in each tick of the settings: under load one takes in several events, where waking
            # for each would cost more than all else that a req costs
            rest = began + self.granularity - time.monotonic_ns() // NS
            if rest > 0:
                time.sleep(rest / TENTHS)

    def _run_events(self, event: tuple[Any, ...] | None) -> None:
        """This event and those that wait behind it now."""
        more = self.queue.qsize()
        while event is not None:
            self.update_clock()
            self.run_callback(event[0], event[1:])
            event, more = self.next_event(0.0) if more > 0 else None, more - 1

    def run_callback(self, what: Callable[..., None], told: tuple[Any, ...]) -> None:
        """One thing that has happened or is due, and what the module's calls lead to. A fault of ours in one
        must not end all others: it is counted, and told with its trace, once a second at most."""
        try:
            what(*told)
            while self.deferred:
                what, *more = self.deferred.popleft()
                what(*more)
        except Exception:
            self.answer_counts["faults"] += 1
            if self.time >= self.last_fault_at + TENTHS:
                self.last_fault_at = self.time
                logger.exception("the module's thread failed in one event")

    def next_event(self, wait: float) -> tuple[Any, ...] | None:
        try:
            return self.queue.get(timeout=wait)
        except queue.Empty:
            return None

    def _is_finished(self) -> bool:
        """Told to end, nobody comes any more, and nothing is owed? Then clients are told our end first, and
        left a moment to close as well: what they sent across it they send again elsewhere, and the answers
        that are on their way yet arrive."""
        if self.phase in (Phase.DRAINING, Phase.CLOSING):
            # what a reader has taken may not have come to `calls` yet
            busy = self.open_requests or any(
                client.open or client.waits() for client in list(self.front.clients)
            )
            come = self.time >= max(
                self.shutdown_started + COMING * TENTHS, self.last_arrival + QUIET * TENTHS
            )
            if self.phase is Phase.DRAINING and come and not busy and not self.front.unread():
                self._enter(Phase.CLOSING)
                self.listener_closed_at = self.time
                self.front.shut_door()
            if self.phase is Phase.CLOSING:
                left = self.front.part_all()
                waited = self.time > self.listener_closed_at + FAREWELL * TENTHS
                if not busy and (not left or (waited and not self.front.unread())):
                    return True
                self.call_at(self.time + max(self.granularity, 10), lambda: None)  # the next look
            return self.time > self.shutdown_deadline + self.maintenance_interval // 2
        return self.phase is Phase.ENDED

    def stop(self) -> None:
        """SIGTERM: clients still come for a while; what is taken is answered before we may be killed."""
        if self.phase not in (Phase.STARTING, Phase.SERVING) or (self.upgrade and self.upgrade.stops()):
            return
        self._enter(Phase.DRAINING)
        logger.info("told to stop: {} reqs are open", len(self.open_requests))
        self.shutdown_started = self.time
        self.shutdown_deadline = (
            self.time
            + int(COMING * TENTHS)
            + min(self.max_client_timeout, int(LAST * TENTHS))
            - self.maintenance_interval
        )
        self.call_at(self.shutdown_deadline, self._reject_open_requests)

    def _reject_open_requests(self) -> None:
        """What is still open is given up."""
        for call in list(self.open_requests.values()):
            self.router.reject(call.request, RejectReason.ENDING)

    def reload(self, config: dict[str, Any]) -> None:
        """The configuration was read again: what may change is taken over whole, or not at all."""
        if self.upgrade and self.upgrade.reloads():
            return
        try:
            needed.config(config)
            place, found = address(config["changelog"]), budgets(config["limits"], descriptor_limit())
            fixed = [name for name, given in self.fixed_settings.items() if config[name] != given]
        except (KeyError, ValueError, TypeError, AttributeError) as wrong:
            logger.error("the old configuration stays: it cannot be used: {!r}", wrong)
            return
        self.budgets, self.front.most, self.back.most = found, found.clients, found.caches
        self.limits = config["limits"]
        self.feed.move(place)
        logger.info(
            "the configuration was read again{}",
            "; changed, but kept till a restart: " * bool(fixed) + ", ".join(fixed),
        )

    def call_at(self, when: int, what: Callable[..., None], *told: Any) -> None:
        """Call at a time or after it."""
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, what, told))

    def write_soon(self, conn: Conn) -> None:
        """No thread was to be had for what waits on a connection: ask for one again."""
        self.call_at(self.time + WRITE_AGAIN, conn.write_on)

    def heartbeat(self) -> None:
        """A turn with nothing to do, so that one that does not come tells that the process stood still."""
        self.call_at(self.time + HEARTBEAT, self.heartbeat)

    def run_maintenance(self) -> None:
        """The periodic work."""
        self.call_at(self.time + self.maintenance_interval, self.run_maintenance)
        self.back.sweep()
        self.front.sweep(
            self.max_client_timeout / TENTHS, self.budgets.unwritten, self.maintenance_interval / TENTHS
        )

    def report(self) -> None:
        """Print the counters."""
        for name, counts in (
            ("answers", self.answer_counts),
            ("front", self.front.counts),
            ("back", self.back.counts),
            ("ends", self.end_counts),
            ("refused", self.reject_counts),
            ("retried after", self.retry_counts),
            ("closed clients", dict(self.front.closes)),
            ("closed caches", dict(self.back.closes)),
            ("violations", self.invariants.violations()),
            ("log", {"connects": self.feed.connects, "events": self.feed.events}),
            ("held", self.open_resources()),
        ):
            logger.info(
                "{}: {}", name, " ".join(f"{key.lower()}={count}" for key, count in counts.items() if count)
            )

    def inspect(self) -> None:
        """Print the counters, and what has become of the requests that are open."""
        self.report()
        for call in list(self.open_requests.values())[:INSPECTED]:
            trail = "; ".join(str(step) for step in self.trace.trail(call.name))
            left = (call.request.deadline - self.time) / TENTHS
            logger.info("open: {} with {:.3f} s left: {}", call.name, left, trail)

    def _report_violation(self, promise: Promise, name: str, detail: str) -> None:
        """A promise is broken, or was about to be. Any thread may tell; told with its trail, once a second at
        most."""
        now = time.monotonic_ns() // NS
        if now < self.last_violation_at + TENTHS:
            return
        self.last_violation_at = now
        trail = "; ".join(str(step) for step in self.trace.trail(name))
        logger.error("invariant: {}: {} {}; {}", promise.value, name, detail, trail or "no trail")

    def connection_closing(self, names: list[str]) -> None:
        """A connection is ended by us with requests open on it. Any thread may tell."""
        self.invariants.closes(names)

    def request_history(self, call: Call, request: Request) -> History:
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

    def open_resources(self) -> dict[str, int]:
        """What is open, counted or held just now, for who looks whether anything has stayed behind."""
        lines = [line for pool in self.back.pools.values() for line in pool.lines]
        out = [sent for line in lines for sent in line.out.values()]
        backends = self.router.pools.backends
        return {
            "calls": len(self.open_requests),
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

    def request_arrived(self, call: Call) -> None:
        if call.client.end is not None or call.client.open.get(call.tag) is not call:
            return  # its hanging up, or its leaving, comes later in the queue: not sent on for who has left
        at = self.time - max(0, self.monotonic_time - call.at)
        waits_until = at + min(call.allow * 10, self.vhosts[call.vhost]["client_timeout"])
        until = min(waits_until, self.shutdown_deadline) if self.shutdown_started else waits_until
        self.last_arrival = self.time
        request = Request(
            call.key, call.part, call.group, call.kbytes, at, until, call.vhost, is_write=bool(call.body)
        )
        call.request = request
        self.open_requests[request] = call
        call.history = self.request_history(call, request)
        call.history.until = waits_until
        self.trace.add(call.at, call.name, "arrived", self.vhosts[call.vhost]["name"])
        if self.guard:
            self.guard.knows(call, request)
        if self.recorder:
            self.recorder.arrived(call)
        self.router.request_arrived(request)

    def request_cancelled(self, call: Call) -> None:
        call.client.settled += 1
        if call.request is not None:
            self.answer_counts["left"] += 1
            self.invariants.leaves(call.history)
            self.trace.add(self.monotonic_time, call.name, "left")
            if self.recorder:
                self.recorder.left(call)
            self.router.client_disconnected(call.request)
            self._forget_if_finished(call)

    def client_malformed(self, client: Client) -> None:
        """A client writes what cannot be read: what it has open is given up, with its answers."""
        for call in list(client.open.values()):
            if call.request is not None:
                self.router.reject(call.request, RejectReason.GARBLED)

    def client_half_closed(self, client: Client, at: int) -> None:
        """A client's input ended at a time by the steady clock. It may have closed its half only, or have
        left: what waits is sent on for a moment more, what is out is answered."""
        for call in list(client.open.values()):
            if call.request is not None:
                until = self.router.client_half_closed(
                    call.request, self.time - max(0, self.monotonic_time - at)
                )
                self.call_at(until, self.send_deadline_passed, call)

    def send_deadline_passed(self, call: Call) -> None:
        """Nothing goes out for it any more: what no cache has is given up at once."""
        sent = call.sent
        if call.request.finished:
            return
        if sent is not None and self._withdraw_unsent(sent):
            return
        if sent is None or sent.conn is None:
            self.router.send_by_passed(call.request)

    def _withdraw_unsent(self, sent: Sent) -> bool:
        """Take back a dispatch that has not gone out, and report it; False where it may have."""
        taken = self._withdraw_from_store(sent) or self.back.take_back(sent)
        if taken:
            self.report_end(sent, End.UNWRITTEN)
        return taken

    def _withdraw_from_store(self, sent: Sent) -> bool:
        """Take back a dispatch that waits for the disk; False where it does not."""
        return bool(self.guard and self.guard.drop(sent))

    def report_end(self, sent: Sent, end: End) -> None:
        """A dispatch or a check that brought no answer is over: the module hears of it after its call."""
        self.deferred.append((self.attempt_ended, sent, end, 0, 0, [], b""))

    def client_disconnected(self, client: Client) -> None:
        for call in list(client.open.values()):
            if self.front.close(call):
                self.request_cancelled(call)

    # --- what the back brings ---

    def attempt_ended(
        self, sent: Sent, end: End, note: int, waited: int, load: list[float], body: bytes, at: int = 0
    ) -> None:
        """A dispatch or a check is over; its answer, if any, was read at a time by the steady clock, and that
        it lay in the queue since is no fault of its cache."""
        self.end_counts[end.name] += 1
        call, took = sent.call, max(0, self.time - sent.at - (max(0, self.monotonic_time - at) if at else 0))
        if call is None:
            if self.recorder:
                self.recorder.checked(sent.backend, OUTCOMES[end], load)
            return self.router.health_checked(sent.backend, OUTCOMES[end], load)
        call.sent = None
        outcome = call.last = OUTCOMES[end]
        if sent.made:  # else a check kept it back
            self.invariants.ended(call.history, outcome)
        self.trace.add(self.monotonic_time, call.name, "ended", end.name)
        if self.guard:
            self.guard.ended(sent, end)
        if self.recorder:
            self.recorder.ended(call, sent.backend, end, took, note, waited, load)
        if self.agent:
            self.agent.ended(call, sent.backend, outcome, took, note)
        if outcome == "done":
            if end is End.UNCHANGED:
                self.send_final_answer(call, "done", b"200", (("ok304", 1),))
            else:
                self.send_final_answer(call, "done", b"200", (), body)
        final = outcome == "done" or call.request.finished
        result = AttemptResult(sent.seq, outcome, took, final, note)
        self.router.attempt_ended(call.request, sent.backend, result)
        self._forget_if_finished(call)
        return None

    def attempt_cancelled(self, sent: Sent, end: End, sure: int) -> None:
        """A dispatch was ended by us. Its req may go out again only once it is sure that the cache knows,
        else two could be out at once. Where nothing goes out any more it is told now."""
        if sent.call is None or sent.call.request.finished or sure <= self.time:
            self.attempt_ended(sent, end, 0, 0, [], b"")
        else:
            self.call_at(sure, self.attempt_ended, sent, end, 0, 0, [], b"")

    def attempt_timed_out(self, sent: Sent) -> None:
        """A dispatch has had its time."""
        if sent.conn is not None:
            self.back.give_up(sent)
            self.attempt_ended(sent, End.TIME_UP, 0, 0, [], b"")

    def send_final_answer(
        self, call: Call, kind: str, word: bytes, told: tuple[tuple[str, object], ...] = (), body: bytes = b""
    ) -> None:
        """The one place of final answers: once a req, and none to who has left."""
        if self.front.close(call):
            self.answer_counts[kind] += 1
            self.invariants.answers(call.history, self.time)
            why = call.request.reject_reason.name if call.request.reject_reason else ""
            if why:
                self.reject_counts[why] += 1
            self.trace.add(self.monotonic_time, call.name, kind, why)
            if self.recorder:
                self.recorder.answered(call, kind)
            self.front.answer(call.client, call.tag, word, told, body)
            call.client.used = time.monotonic()
            call.client.settled += 1  # after the answer: its connection may end now

    def _forget_if_finished(self, call: Call) -> None:
        """What is closed is held no longer than its dispatch is out; nothing goes out for it any more, also
        where the settings let no dispatch be cancelled: one that has not gone out is none yet."""
        if not call.request.finished:
            return
        if call.sent is None:
            self.open_requests.pop(call.request, None)
        else:
            self._withdraw_unsent(call.sent)

    # --- what the change log brings ---

    def _event_received(self, event: Event, number: int) -> None:
        """In the change log's thread. What the configuration's list had in it already is told again only to a
        gateway whose store may lack a purge: an older list must not stand for a moment."""
        if event[0] == "purge" or number > self.last_known_event:
            self.post(self.apply_event, event, None, self.feed.heard)
        if self.guard:
            self.post(self.guard.heard, event, number)
        if self.recorder:
            self.post(self.recorder.heard, event, number, time.monotonic_ns() // NS)

    def apply_event(self, event: Event, mode: str | None = None, heard: Heard | None = None) -> None:
        """A list, changes of it, or a purge. `heard`: how the log was heard from before; none where a
        configuration or a store tells of it."""
        what, told = event
        hearing = Hearing(self.time - self.monotonic_time + heard.at, heard.current) if heard else None
        if what == "purge":
            key, group, at = told
            if self.guard:
                self.guard.purged(key, group, at * 10)
            self.router.object_purged(key, group, self.time - self.stamps.purge(self.time, at * 10, hearing))
            return self._correct_start_times()
        self.apply_endpoints(
            mode or what,
            [(*row, self.stamps.start(self.time, row[0], started * 10, hearing)) for *row, started in told],
        )
        return None

    def apply_endpoints(self, mode: str, rows: list[Entry]) -> None:
        """A list, or changes of it, with starts in the gateway's own time."""
        entries, places = [], []
        for name, place, zone, kind, cell, status, size, started in rows:
            backend = self.backends.get(name)
            if backend is None:
                backend = self.backends[name] = Backend(name)
            entries.append(Endpoint(backend, zone, kind, cell, status, size, started))
            places.append((backend, place))
        for entry in entries:
            self.invariants.listed(entry.backend.name, entry.status, self.time, self.monotonic_time)
        self.router.endpoints_changed(mode, entries)
        if self.agent:
            self.agent.told([entry.backend.name for entry in entries])
        for backend, place in places:
            if backend.status:
                self.back.place(backend, place)
        for name, backend in list(self.backends.items()):
            if not backend.status:
                self.back.drop(backend)
                if not backend.requests:
                    del self.backends[name]
                    self.stamps.forget(name)

    def _correct_start_times(self) -> None:
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
        gone = self.open_requests[request].departed()
        if gone is None:
            return None
        # since the clock as it is: the module's own time stands still while it takes in one event
        return self.time - (time.monotonic_ns() // NS - gone)

    def to_monotonic(self, at: int) -> int:
        """A time of the module's by the steady clock; none (0) stays none."""
        return at and at - self.time + self.monotonic_time

    def dispatch(self, dispatch: Dispatch) -> None:
        request, backend = dispatch.request, dispatch.backend
        source = dispatch.source if dispatch.source is not backend else None
        call, history = self.open_requests[request], self.open_requests[request].history
        if not self.invariants.sends(history, backend, source or backend, request.transfer_time, self.time):
            return self.report_unsendable(call, backend)
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
                ("ways", self._fill_flags(dispatch)),
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
            made=self.monotonic_time,
            limit=10 * max(1, dispatch.timeout // 10),
            until=self.to_monotonic(until),
            send_by=self.to_monotonic(request.send_by),
            window_over=self.idempotency_deadline(history),
        )
        call.sent = sent
        if call.last:
            self.retry_counts[call.last] += 1
        self.trace.add(self.monotonic_time, call.name, "sent", f"{backend.name} {sent.seq}")
        if self.recorder:
            self.recorder.sent(call, backend, source)
        end = self.guard.dispatch(sent, until) if self.guard else self.back.dispatch(sent)
        if end is not None:
            self.report_end(sent, end)
        else:
            self.call_at(until, self.attempt_timed_out, sent)
            if request.send_by:
                self.call_at(request.send_by, self.send_deadline_passed, call)

    @staticmethod
    def _fill_flags(dispatch: Dispatch) -> str | None:
        flags = (
            ("share", dispatch.may_collapse),
            ("peek", dispatch.cache_only),
            ("swr", dispatch.revalidate),
        )
        return "+".join(word for word, is_set in flags if is_set) or None

    def report_unsendable(self, call: Call, backend: Backend) -> None:
        """A check found that a dispatch would break a promise: it ends before it begins."""
        sent = Sent(call, backend, call.request.attempts - 1, call.name.encode(), b"", self.time)
        call.sent = sent
        self.report_end(sent, End.UNWRITTEN)

    def idempotency_deadline(self, history: History) -> int:
        """When a request that may have run may not go out again, by the steady clock; 0: it always may."""
        if history.ran is None or history.effect.kind == "replayable":
            return 0
        return self.to_monotonic(history.ran + history.effect.window)

    def cancel(self, request: Request, seq: int) -> None:
        call = self.open_requests.get(request)
        sent = call.sent if call else None
        if sent is None or sent.seq != seq:
            return
        if self._withdraw_from_store(sent):
            self.report_end(sent, End.UNWRITTEN)
        elif sent.conn is not None:
            self.deferred.append((self.attempt_cancelled, sent, End.CALLED_OFF, self.back.give_up(sent)))

    def withdraw(self, request: Request, seq: int) -> None:
        call = self.open_requests.get(request)
        sent = call.sent if call else None
        if sent is not None and sent.seq == seq:
            self._withdraw_unsent(sent)

    def reject(self, request: Request, after: int) -> None:
        call = self.open_requests[request]
        self.send_final_answer(call, "denied", b"503", (("cooldown", -(-after // 10)),) if after else ())
        self.deferred.append((self._forget_if_finished, call))

    def fail(self, request: Request) -> None:
        call = self.open_requests[request]
        self.send_final_answer(call, "aborted", b"500")
        self.deferred.append((self._forget_if_finished, call))

    def wake(self, at: int, timer: Timer) -> None:
        self.call_at(at, self._timer_fired, timer)

    def _timer_fired(self, timer: Timer) -> None:
        self.router.timer_fired(timer)

    def check_health(self, backend: Backend) -> None:
        sent, end = self.back.check(backend)
        if end is not None:
            self.report_end(sent, end)
        else:
            self.call_at(self.time + self.back.patience, self.attempt_timed_out, sent)

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
