"""The event loop of a gateway: one thread that takes events from a queue, runs timers and isolates faults.

Other threads only `post`. Everything else belongs to the thread of `run`. A callback must never wait for a
peer. Times are `Ticks` of the gateway's clock.
"""

from __future__ import annotations

import heapq
import queue
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

from lilacloft.gateway.clock import GatewayClock, monotonic_ticks
from lilacloft.gateway.counters import Counters
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.routing.lag_margin import LagMargin
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

Callback = Callable[..., Any]


class Event(NamedTuple):
    """A call that is to be made in the event loop's thread."""

    callback: Callback
    arguments: tuple[Any, ...]
    posted_at: Ticks = 0  # by the monotonic clock; 0: the loop itself made it


class ScheduledCall(NamedTuple):
    """A timer. Calls for the same time are made in the order of their numbers."""

    at: Ticks
    number: int
    callback: Callback
    arguments: tuple[Any, ...]
    made_at: Ticks = 0  # it may be made for a time that is over

    def lag(self, now: Ticks) -> Ticks:
        """Return how much later it runs than it could have."""
        return now - max(self.at, self.made_at)


class EventLoop:
    """The queue, the timers and the thread's main loop."""

    def __init__(
        self,
        clock: GatewayClock,
        counters: Counters,
        granularity: Ticks,
        lag_threshold: Ticks,
        lags: GatewayLags | None = None,
    ) -> None:
        """`granularity`: least span of one iteration; `lag_threshold`: lateness of timers that is a lag;
        `lags`: where the lags of events and timers are recorded."""
        self.clock, self.counters = clock, counters
        self.lags = lags or GatewayLags()
        self.lag_margin = LagMargin()  # by the monotonic clock
        self.granularity, self.lag_threshold = granularity, lag_threshold
        self.queue: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self.timers: list[ScheduledCall] = []  # a heap
        self.timer_count = 0
        self.deferred: deque[Event] = deque()  # calls to make once the current callback has returned
        self.is_lagging = False
        self.last_fault_at: Ticks = 0  # when a fault was last logged
        self.report_lag: Callable[[Ticks], None] = lambda _lag: None
        self.is_obsolete: Callable[[ScheduledCall], bool] = lambda _call: False  # may a timer be dropped?

    # --- scheduling ---

    def post(self, callback: Callback, *arguments: Any) -> None:
        """Have a call made in the event loop's thread. Any thread, and signal handlers, may post."""
        self.queue.put(Event(callback, arguments, monotonic_ticks()))

    def call_at(self, at: Ticks, callback: Callback, *arguments: Any) -> None:
        """Have a call made at a time or after it."""
        self.timer_count += 1
        heapq.heappush(self.timers, ScheduledCall(at, self.timer_count, callback, arguments, self.clock.time))

    def take_call(self, callback: Callback, argument: Any) -> ScheduledCall | None:
        """Take out the timer that would make a call with this first argument; None where there is none."""
        for place, call in enumerate(self.timers):
            if call.callback == callback and call.arguments[0] is argument:
                del self.timers[place]
                heapq.heapify(self.timers)
                return call
        return None

    def defer(self, callback: Callback, *arguments: Any) -> None:
        """Have a call made once the current callback has returned, before anything else."""
        self.deferred.append(Event(callback, arguments))

    # --- the loop ---

    def run(self, is_finished: Callable[[], bool]) -> None:
        """Run until `is_finished` says so. At least one timer must always be scheduled."""
        while not is_finished():
            self._run_once()

    def _run_once(self) -> None:
        clock = self.clock
        while self.is_obsolete(self.timers[0]):
            heapq.heappop(self.timers)
        clock.update()
        event = self.next_event(max(0, self.timers[0].at - clock.time) / TICKS_PER_SECOND)
        clock.update()
        started = clock.monotonic_time
        event = self._check_lag(event)
        self._run_events(event)  # what has happened comes before what is due,
        self._run_events(self.next_event(0.0))  # also what has happened meanwhile
        clock.update()
        self._run_due_timers()
        # one iteration in each span of the granularity: under load one iteration takes several events, where
        # waking for each would cost more than everything else about a request
        remaining = started + self.granularity - monotonic_ticks()
        if remaining > 0:
            time.sleep(remaining / TICKS_PER_SECOND)

    def _check_lag(self, event: Event | None) -> Event | None:
        """Report late timers. Where lag begins, wait a moment, so that answers that lie unread are read
        before time-outs are run; only once, as a loop that lags on is overloaded and must not sleep."""
        lag = self.clock.time - self.timers[0].at
        was_lagging, self.is_lagging = self.is_lagging, lag > self.lag_threshold
        if self.is_lagging:
            self.report_lag(lag)
            if not was_lagging:
                time.sleep(self.lag_threshold / TICKS_PER_SECOND)
                event = event or self.next_event(0.0)
        return event

    def _run_events(self, event: Event | None) -> None:
        """Run an event and those that are queued behind it now."""
        remaining = self.queue.qsize()
        while event is not None:
            self.clock.update()
            self.lags.events.record(self.clock.monotonic_time - event.posted_at)
            self.run_callback(event.callback, event.arguments)
            event, remaining = self.next_event(0.0) if remaining > 0 else None, remaining - 1

    def _run_due_timers(self) -> None:
        while self.timers and self.timers[0].at <= self.clock.time:
            call = heapq.heappop(self.timers)
            lag = call.lag(self.clock.time)
            self.lags.timers.record(lag)
            if lag > self.lag_threshold:
                self.lag_margin.record(lag, self.clock.monotonic_time)
            self.run_callback(call.callback, call.arguments)

    def run_callback(self, callback: Callback, arguments: tuple[Any, ...]) -> None:
        """Make one call and those that it defers. An exception must not end all other requests: it is
        counted, and logged with its trace at most once a second."""
        try:
            callback(*arguments)
            while self.deferred:
                event = self.deferred.popleft()
                event.callback(*event.arguments)
        except Exception:
            self.counters.answers["faults"] += 1
            if self.clock.time >= self.last_fault_at + TICKS_PER_SECOND:
                self.last_fault_at = self.clock.time
                logger.exception("the module's thread failed in one event")

    def next_event(self, timeout: float) -> Event | None:
        """Return the next event of the queue; None where there is none within so many seconds."""
        try:
            return self.queue.get(timeout=timeout)
        except queue.Empty:
            return None
