"""Host of one emulated gateway: connects its decision module to the emulator. It makes no decisions itself.

Calls from the module take effect at once. Events are reported as in production: nothing more for a request
once it is answered, and a cancelled dispatch ends when its server is certain to know of the cancellation. A
paused gateway does nothing until it resumes; a restarted one has lost its state. Its clock may differ from
virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacloft.clock_offset import ClockOffset, WatchContext
from lilacloft.emulator.boxes import ORIGIN, Dispatch, EmulatedServer
from lilacloft.emulator.clients import Ask
from lilacloft.emulator.environment import GatewayEnvironment
from lilacloft.emulator.events import CHECK, CLIENT, NET, TIMER
from lilacloft.emulator.rules import RequestRecord
from lilacloft.routing.host import AttemptResult, Endpoint, HealthChange, Timer
from lilacloft.routing.host import Dispatch as Order
from lilacloft.routing.model import Backend, Request

Policy = Callable[[Any, Any], Any]


class Gateway:
    """One emulated gateway and its open requests."""

    def __init__(self, fleet: GatewayEnvironment, number: int, zone: int, policy: Policy) -> None:
        self.fleet, self.number, self.zone, self.policy = fleet, number, zone, policy
        self.name = f"g{number}"
        self.settings = fleet.world.settings(zone, number % max(1, fleet.world.gateways))
        self.offset = self.wall_clock_offset = (
            0  # offset from virtual time: of the running process, of the wall clock
        )
        self.frozen = 0  # paused until then
        self.life = 0
        self.deaf = self.mute = False
        self.loss = 0.0
        self.counts = dict.fromkeys(("dispatches", "checks"), 0)
        self.begin()

    def begin(self) -> None:
        """Start a new process, which knows only its configuration: the present endpoint list."""
        self.backends: dict[str, Backend] = {}
        self.boxes: dict[Backend, EmulatedServer] = {}
        self.known_starts: dict[str, int] = {}  # start times of servers, as received
        self.asks: dict[Request, tuple[int, Ask]] = {}
        self.out: dict[tuple[Request, int], Dispatch] = {}
        self.open: dict[Request, None] = {}
        self.life += 1
        self.clock_offset = ClockOffset()
        self.last_log_event_at = -1  # when the last change log event came; -1: only the first list so far
        self.router = self.policy(self, self.settings)
        self.told(self.fleet.rows(self.zone), "full")

    # --- time ---

    def now(self) -> int:
        return self.fleet.events.now + self.offset

    def clock(self, offset: int, at_start: bool = False) -> None:
        """Set its wall clock. As in production, only a new process adopts the time that the clock shows."""
        self.wall_clock_offset = offset
        if at_start:
            self.offset = offset
            self.begin()

    def held(self, rank: int, callback: Callable[..., None], *args: Any) -> bool:
        """Return whether it is paused; if so, defer a call until it resumes."""
        if self.fleet.events.now >= self.frozen:
            return False
        self.fleet.events.at(self.frozen, rank, callback, *args)
        return True

    def freeze(self, until: int) -> None:
        """Pause it until a time; it then reports the pause as event loop lag."""
        since = self.fleet.events.now
        self.frozen = max(self.frozen, until)
        for request in self.open:
            self.fleet.extend_deadline(self.asks[request][0], self.frozen)
        self.fleet.events.at(self.frozen, NET, self._resume, self.life, since)

    def _resume(self, life: int, since: int) -> None:
        if life == self.life and self.fleet.events.now >= self.frozen:
            self.router.loop_lagged(self.fleet.events.now - since)

    def restart(self) -> None:
        """End the process with all open requests, and start another."""
        for dispatch in list(self.out.values()):
            dispatch.over = True
            self.fleet.undo(dispatch)
        for request in self.open:
            self.fleet.gone(self.asks[request][0])
        self.frozen, self.offset = 0, self.wall_clock_offset
        self.fleet.checker.forget(self.name)
        self.begin()

    # --- clients ---

    def arrived(self, number: int, ask: Ask) -> None:
        """Handle a client request."""
        if self.held(NET, self.arrived, number, ask):
            return self.fleet.extend_deadline(number, self.frozen)
        fleet, vhost = self.fleet, self.fleet.world.vhosts[ask.vhost]
        now = self.now()
        asked = fleet.asked_at[number] + self.offset
        kbytes = ask.kbytes if vhost.effect == "replayable" and not vhost.passes else 2.0
        request = Request(
            ask.key,
            ask.part,
            ask.group,
            kbytes,
            min(now, asked),
            asked + vhost.timeout,
            ask.vhost,
            is_write=vhost.effect != "replayable",
        )
        self.asks[request] = (number, ask)
        self.open[request] = None
        if ask.leave:
            fleet.events.at(fleet.events.now + ask.leave, CLIENT, self._leave, request, self.life)
        return self.router.request_arrived(request)

    def _leave(self, request: Request, life: int) -> None:
        if life == self.life and request in self.open and not self.held(CLIENT, self._leave, request, life):
            del self.open[request]
            self.fleet.gone(self.asks[request][0])
            self.router.client_disconnected(request)
            self._forget(request)

    def _final(self, request: Request, word: str, after: int = 0, dispatch: Dispatch | None = None) -> None:
        number, ask = self.asks[request]
        if request in self.open:
            del self.open[request]
            self.fleet.final(self, number, ask, word, after, dispatch)

    def _forget(self, request: Request) -> None:
        if request.finished and not any(place[0] is request for place in self.out):
            self.asks.pop(request, None)

    # --- results ---

    def ended(self, dispatch: Dispatch, outcome: str, note: int, load: list[float]) -> None:
        """Handle the end of a dispatch, by an answer or otherwise."""
        if dispatch.over or self.held(NET, self.ended, dispatch, outcome, note, load):
            return
        dispatch.over = True
        request, now = dispatch.request, self.fleet.events.now
        self.out.pop((request, dispatch.seq), None)
        if outcome == "done" and request in self.open:
            self._final(request, "done", 0, dispatch)
        elif outcome == "done":
            self.fleet.wasted += 1
        final = outcome == "done" or request.finished
        result = AttemptResult(dispatch.seq, outcome, now - dispatch.sent, final, note)
        self.router.attempt_ended(request, dispatch.backend, result)
        self._forget(request)

    def time_up(self, dispatch: Dispatch) -> None:
        """Handle the timeout of a dispatch."""
        if not (dispatch.over or self.held(TIMER, self.time_up, dispatch)):
            self.fleet.undo(dispatch)
            self.ended(dispatch, "timeout", 0, [])

    # --- the change log ---

    def told(self, rows: list[EmulatedServer], mode: str = "delta") -> None:
        """Handle an endpoint list, whole or changes."""
        context, entries = self._watch_context(), []
        if context is None:
            self.clock_offset.record_configured_starts(self.now(), (box.started for box in rows))
        for box in rows:
            backend = self.backends.get(box.name)
            if backend is None:
                backend = self.backends[box.name] = Backend(box.name)
                self.boxes[backend] = getattr(box, "box", box)
            entries.append(
                Endpoint(
                    backend,
                    box.zone,
                    box.kind,
                    box.cell,
                    box.status,
                    box.size,
                    self.clock_offset.start_time(self.now(), box.name, box.started, context),
                )
            )
            self.known_starts[box.name] = box.started
            self.fleet.checker.listed(self.name, box.name, box.status != 1, self.fleet.events.now)
        self.router.endpoints_changed(mode, entries)

    def purged(self, key: str, group: int, at: int) -> None:
        self.fleet.checker.purged(self.name, key or group, at)
        at = self.clock_offset.purge_time(self.now(), at, self._watch_context())
        self.router.object_purged(key, group, self.now() - at)
        for name, started in self.clock_offset.corrected_starts().items():
            self.backends[name].started = started

    def _watch_context(self) -> WatchContext | None:
        """Return the state of the change log watch before this event; None for the initial list."""
        before, self.last_log_event_at = self.last_log_event_at, self.now()
        return WatchContext(before, is_current=True) if before >= 0 else None

    # --- Host interface ---

    def dispatch(self, order: Order) -> None:
        request, backend, now = order.request, order.backend, self.fleet.events.now
        source = order.source if order.source is not order.backend else None
        fleet = self.fleet
        number, ask = self.asks[request]
        vhost, box = fleet.world.vhosts[ask.vhost], self.boxes[backend]
        fleet.sends += 1
        dispatch = Dispatch(
            fleet.sends,
            self,
            request,
            backend,
            request.attempts - 1,
            box,
            (ask.key, ask.part),
            ask.group,
            request.kbytes,
            self.boxes[source] if source else None,
            order.cache_rank,
            now - order.max_age if order.max_age else 0,
            now - vhost.fresh if vhost.fresh else 0,
            order.may_collapse,
            order.cache_only,
            order.revalidate,
            vhost.passes,
            ask.effect,
            now,
        )
        if box.kind == ORIGIN and source is None:
            dispatch.passes = True
        self.out[request, dispatch.seq] = dispatch
        self.counts["dispatches"] += 1
        fleet.sending(dispatch, number, source)
        fleet.events.at(now + order.timeout, TIMER, self.time_up, dispatch)

    def client_left_at(self, request: Request) -> int | None:
        """Always None: disconnects are reported at once."""

    def cancel(self, request: Request, seq: int) -> None:
        dispatch = self.out.get((request, seq))
        if dispatch is not None and not dispatch.over:
            fleet = self.fleet
            sure = fleet.undo(dispatch)
            if request.finished:
                fleet.events.at(fleet.events.now, NET, self.ended, dispatch, "cancelled", 0, [])
            else:
                fleet.events.at(sure, NET, self.ended, dispatch, "cancelled", 0, [])

    def withdraw(self, request: Request, seq: int) -> None:
        """Do nothing: dispatches are sent at once, so none can be withdrawn."""

    def reject(self, request: Request, after: int) -> None:
        self._final(request, "denied", after)
        self.fleet.events.at(self.fleet.events.now, CHECK, self._forget, request)

    def fail(self, request: Request) -> None:
        self._final(request, "aborted")
        self.fleet.events.at(self.fleet.events.now, CHECK, self._forget, request)

    def wake(self, at: int, token: Timer) -> None:
        self.fleet.events.at(at - self.offset, TIMER, self._wake, token, self.life)

    def _wake(self, token: Timer, life: int) -> None:
        if life == self.life and not self.held(TIMER, self._wake, token, life):
            self.router.timer_fired(token)

    def check_health(self, backend: Backend) -> None:
        self.counts["checks"] += 1
        self.fleet.check(self, backend, self.boxes[backend], self.life)

    def checked(self, backend: Backend, took: int, outcome: str, load: list[float], life: int) -> None:
        """Handle the result of a health check."""
        if life == self.life and not self.held(NET, self.checked, backend, took, outcome, load, life):
            self.router.health_checked(backend, outcome, load)

    def subscribe(self, on: bool) -> None:
        """Do nothing: the change log is always watched."""

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        self.fleet.believes += change is HealthChange.EJECTED

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        """Do nothing: the emulator keeps no record of limits."""


def asked(number: int, ask: Ask, vhost: Any, until: int) -> RequestRecord:
    """Return the checker's record of a request."""
    return RequestRecord(
        f"r{number} ({vhost.name} {ask.key}/{ask.part})",
        vhost.effect,
        ask.key,
        ask.group,
        until,
        vhost.window,
        vhost.where,
    )
