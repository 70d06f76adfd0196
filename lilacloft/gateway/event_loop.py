"""The event loop of a gateway: one thread that handles queued events, runs timers and isolates exceptions.

Other threads may only post events. Everything else is called in the thread of `run`. A callback must never
block on a peer. lilacloft/routing/fair_queue.py decides the order of events; due timers run before each event
of a client and after each internal event except replies, so that no deadline waits for a batch of events.
Times are `Ticks` of the gateway's clock.
"""

from __future__ import annotations

import heapq
import queue
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any, NamedTuple

from lilacloft.gateway.clock import GatewayClock, monotonic_ticks
from lilacloft.gateway.counters import Counters
from lilacloft.log import logger
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.routing.fair_queue import URGENT_TIME, FairQueue
from lilacloft.routing.heap_compaction import HeapCompaction
from lilacloft.routing.lag_margin import LagMargin
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

MAX_INTERNAL_PASSES = 2  # over internal events, before timers and client events are run

Callback = Callable[..., Any]


class Event(NamedTuple):
    """A call to make in the event loop's thread."""

    callback: Callback
    arguments: tuple[Any, ...]
    posted_at: Ticks = 0  # by the monotonic clock; 0: created by the loop itself
    client: Hashable | None = None  # whose message or disconnect it is; None: an internal event
    due_at: Ticks | None = None  # the deadline of a client's request, by the monotonic clock
    is_reply: bool = False  # a backend's answer, which is run before other internal events


class ScheduledCall(NamedTuple):
    """A timer. Timers for the same time run in the order of their numbers."""

    at: Ticks
    number: int
    callback: Callback
    arguments: tuple[Any, ...]
    created_at: Ticks = 0  # may be later than `at`

    def lag(self, now: Ticks) -> Ticks:
        """Return how much later the timer runs than it could have."""
        return now - max(self.at, self.created_at)


class EventLoop:
    """The queue, the timers and the thread's main loop."""

    def __init__(
        self,
        clock: GatewayClock,
        counters: Counters,
        lag_threshold: Ticks,
        lags: GatewayLags | None = None,
    ) -> None:
        """`lag_threshold`: lateness of a timer from which the loop counts as lagging; `lags`: histograms for
        the lags of events and timers."""
        self.clock, self.counters = clock, counters
        self.lags = lags or GatewayLags()
        self.lag_margin = LagMargin()  # by the monotonic clock
        self.lag_threshold = lag_threshold
        self.queue: queue.SimpleQueue[Event] = queue.SimpleQueue()  # posted, and not in `work` yet
        self.work: FairQueue[Event] = FairQueue()
        self.timers: list[ScheduledCall] = []  # a heap
        self.compaction = HeapCompaction()
        self.timer_count = 0
        self.deferred: deque[Event] = deque()  # calls to make once the current callback returns
        self.is_lagging = False
        self.last_fault_at: Ticks = 0  # when an exception was last logged
        self.report_lag: Callable[[Ticks], None] = lambda _lag: None
        self.has_unread_answers: Callable[[], bool] = lambda: False
        self.is_obsolete: Callable[[ScheduledCall], bool] = lambda _call: False  # may a timer be dropped?

    # --- scheduling ---

    def post(
        self,
        callback: Callback,
        *arguments: Any,
        client: Hashable | None = None,
        due_at: Ticks | None = None,
    ) -> None:
        """Queue a call for the event loop's thread. Any thread, and signal handlers, may post.

        `client`: the client whose message or disconnect the call handles; calls of one client are made in the
        order in which they were posted, and clients take turns. None: an internal call, made before those.
        `due_at`: a request's deadline by the monotonic clock; shortly before it the call is made out of
        turn."""
        self.queue.put(Event(callback, arguments, monotonic_ticks(), client, due_at))

    def post_reply(self, callback: Callback, *arguments: Any) -> None:
        """Queue a call that handles a backend's answer; it is made before all other queued calls. Any thread
        may post."""
        self.queue.put(Event(callback, arguments, monotonic_ticks(), is_reply=True))

    def call_at(self, at: Ticks, callback: Callback, *arguments: Any) -> None:
        """Schedule a call for a time; it is made then or later."""
        self.timer_count += 1
        self.compaction.apply(self.timers, self.is_obsolete)
        heapq.heappush(self.timers, ScheduledCall(at, self.timer_count, callback, arguments, self.clock.time))

    def remove_timer(self, callback: Callback, argument: Any) -> ScheduledCall | None:
        """Remove and return the timer for a callback with this first argument; None if there is none."""
        for index, call in enumerate(self.timers):
            if call.callback == callback and call.arguments[0] is argument:
                del self.timers[index]
                heapq.heapify(self.timers)
                return call
        return None

    def defer(self, callback: Callback, *arguments: Any) -> None:
        """Schedule a call for when the current callback returns, before anything else."""
        self.deferred.append(Event(callback, arguments))

    # --- the loop ---

    def run(self, is_finished: Callable[[], bool]) -> None:
        """Run until `is_finished` returns True. At least one timer must always be scheduled."""
        while not is_finished():
            self._run_once()

    def _run_once(self) -> None:
        """Wait for an event or a timer, and run all that are ready then: before each event of a client the
        queued internal events, then the due timers."""
        self._wait_for_work()
        for _ in range(self.work.client_count + 1):
            self._run_internal()
            self._run_due_timers()
            event = self.work.next_client_item(self.clock.monotonic_time + URGENT_TIME)
            if event is None:
                return
            self.run_event(event)

    def _wait_for_work(self) -> None:
        while self.is_obsolete(self.timers[0]):
            heapq.heappop(self.timers)
        self.clock.update()
        wait = 0 if self.work else max(0, self.timers[0].at - self.clock.time)
        self._take_posted(wait / TICKS_PER_SECOND)
        self.clock.update()

    def _take_posted(self, timeout: float = 0.0) -> None:
        """Move posted events to `work`; wait up to `timeout` seconds for the first one."""
        try:
            if timeout > 0:
                self._enqueue(self.queue.get(timeout=timeout))
            for _ in range(self.queue.qsize()):
                self._enqueue(self.queue.get_nowait())
        except queue.Empty:
            return

    def _enqueue(self, event: Event) -> None:
        if event.is_reply:
            self.work.add_reply(event)
        else:
            self.work.add(event, event.client, event.due_at)

    def _run_internal(self) -> None:
        """Run the queued internal events, and once more those posted meanwhile. A handover runs within one of
        them and takes all others from the queue itself."""
        for _ in range(MAX_INTERNAL_PASSES):
            self._run_replies()
            for _ in range(len(self.work.internal)):
                if not self.work.internal:
                    break
                self.run_event(self.work.internal.popleft())
                self._run_urgent()
            if self.queue.empty():
                return

    def _run_replies(self) -> None:
        """Run the queued replies."""
        self._take_posted()
        for _ in range(len(self.work.replies)):
            if self.work.replies:  # empty if a callback has taken the others
                self.run_event(self.work.replies.popleft())

    def _run_urgent(self) -> None:
        """Run what must not wait for the next internal event: replies, due timers, and one request whose
        deadline is near."""
        self._run_replies()
        self._run_due_timers()
        event = self.work.next_overdue(self.clock.monotonic_time + URGENT_TIME)
        if event is not None:
            self.run_event(event)

    def run_event(self, event: Event) -> None:
        """Make the call of an event. The clock must have been updated since the previous event."""
        began = self.clock.monotonic_time
        waited = began - event.posted_at
        self.lags.events.record(waited)
        if event.client is None:
            self._record_lag(waited)
        self.run_callback(event.callback, event.arguments)
        self.clock.update()

    def _run_due_timers(self) -> None:
        if self._lag_begins():
            self._await_unread_answers()
        for _ in range(len(self.timers)):
            if self.timers[0].at > self.clock.time:
                return
            call = heapq.heappop(self.timers)
            lag = call.lag(self.clock.time)
            self.lags.timers.record(lag)
            self._record_lag(lag)
            self.run_callback(call.callback, call.arguments)
            self.clock.update()

    def _lag_begins(self) -> bool:
        """Report a lag of timers; return whether it began since the last call."""
        lag = self.clock.time - self.timers[0].at
        was_lagging, self.is_lagging = self.is_lagging, lag > self.lag_threshold
        if self.is_lagging:
            self.report_lag(lag)
        return self.is_lagging and not was_lagging

    def _await_unread_answers(self) -> None:
        """Take unread answers before time-outs are run; wait for `lag_threshold` at most. Called only when a
        lag begins: an overloaded loop must not wait."""
        waits_until = monotonic_ticks() + self.lag_threshold
        while self.has_unread_answers() and (remaining := waits_until - monotonic_ticks()) > 0:
            self._take_posted(remaining / TICKS_PER_SECOND)
        self._run_replies()
        self.clock.update()

    def _record_lag(self, lag: Ticks) -> None:
        if lag > self.lag_threshold:
            self.lag_margin.record(lag, self.clock.monotonic_time)

    def run_callback(self, callback: Callback, arguments: tuple[Any, ...]) -> None:
        """Make one call and those that it defers. An exception must not affect other requests: it is counted,
        and logged with its traceback at most once per second."""
        try:
            callback(*arguments)
            while self.deferred:
                event = self.deferred.popleft()
                event.callback(*event.arguments)
        except Exception:
            self.counters.answers["faults"] += 1
            if self.clock.time >= self.last_fault_at + TICKS_PER_SECOND:
                self.last_fault_at = self.clock.time
                logger.exception("unhandled exception in an event callback")

    def next_event(self) -> Event | None:
        """Remove and return the next event; None if there is none."""
        self._take_posted()
        return self.work.next(self.clock.monotonic_time)
