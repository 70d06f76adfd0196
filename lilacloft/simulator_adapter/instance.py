"""One gateway in the simulator: passes the simulator's messages to a router, and its actions back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacloft import settings_validation
from lilacloft.protocol_settings import NS_PER_TICK, from_protocol
from lilacloft.routing.host import AttemptResult, Dispatch, Endpoint, HealthChange, Timer
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.router import Router
from lilacloft.simulator_adapter.messages import (
    CACHE_ONLY_BIT,
    CLIENT_RETRY_BIT,
    COLLAPSE_BIT,
    LIST_MODES,
    NUMBER,
    REVALIDATE_BIT,
    WRITE_BIT,
    MalformedError,
    outcome_at,
    value_at,
)


class Instance:
    """One gateway in the simulator, and the host of its router. Maps ids to records and collects actions."""

    def __init__(self) -> None:
        """Create an instance whose settings have not arrived yet."""
        self.time_ns = 0
        self.actions: list[list[Any]] = []
        self.answered_requests: list[Request] = []
        self.requests: dict[str, Request] = {}
        self.request_ids: dict[Request, str] = {}
        self.backends: dict[str, Backend] = {}
        self.router: Router

    # --- Host interface, called by the router ---

    def now(self) -> int:
        """Return the simulator's time in ticks."""
        return self.time_ns // NS_PER_TICK

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send an attempt."""
        bits = (
            COLLAPSE_BIT * dispatch.may_collapse
            + CACHE_ONLY_BIT * dispatch.cache_only
            + REVALIDATE_BIT * dispatch.revalidate
        )
        self.actions.append(
            [
                "fetchThrough",
                self.request_ids[dispatch.request],
                dispatch.backend.name,
                dispatch.timeout * NS_PER_TICK,
                dispatch.source.name,
                dispatch.cache_rank,
                dispatch.max_age * NS_PER_TICK,
                bits,
            ]
        )

    def client_left_at(self, request: Request) -> int | None:
        """Return None: the simulator reports the disconnection of a client at once."""

    def cancel(self, request: Request, attempt: int) -> None:
        """Cancel an attempt."""
        self.actions.append(["undoSend", self.request_ids[request], attempt])

    def withdraw(self, request: Request, attempt: int) -> None:
        """Do nothing: attempts are on the wire as soon as they are sent."""

    def reject(self, request: Request, retry_after: int) -> None:
        """Reject a request, with the time after which to retry."""
        self.actions.append(["notNow", self.request_ids[request], retry_after * NS_PER_TICK])
        self.answered_requests.append(request)

    def fail(self, request: Request) -> None:
        """Fail a request."""
        self.actions.append(["reportFailure", self.request_ids[request]])
        self.answered_requests.append(request)

    def wake(self, at: int, timer: Timer) -> None:
        """Set a timer."""
        self.actions.append(["wakeMe", at * NS_PER_TICK, timer])

    def check_health(self, backend: Backend) -> None:
        """Request a load report."""
        self.actions.append(["askLoad", backend.name])

    def subscribe(self, on: bool) -> None:
        """Subscribe to changes from discovery, or unsubscribe."""
        self.actions.append(["subscribe", on])

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        """Write a line to the simulator's report."""
        text = f"{backend.name} {reason}"
        if change is HealthChange.EJECTED:
            text = f"{backend.name} {change}: {reason}"
        self.actions.append(["journalLine", text])

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        """Do nothing: the simulator's report does not include limits."""

    # --- messages of the simulator ---

    def forget(self, request: Request) -> None:
        """Drop a request that is finished and has no attempt in flight."""
        if request.finished and not request.in_flight and request in self.request_ids:
            del self.requests[self.request_ids.pop(request)]

    def _backend(self, values: list[Any], index: int) -> Backend | None:
        return self.backends.get(value_at(values, index, str, "cache"))

    def start(self, values: list[Any]) -> None:
        """Handle the start of the gateway, with its settings."""
        value_at(values, 0, int, "initSeed")  # not used: the router is deterministic
        env = value_at(values, 1, dict, "env")
        try:
            self.router = Router(self, from_protocol(settings_validation.with_defaults(env, sockets=False)))
        except ValueError as error:
            raise MalformedError(str(error)) from error

    def endpoints_changed(self, values: list[Any]) -> None:
        """Handle the endpoint list, or changes to it, from discovery."""
        mode = value_at(values, 1, int, "mode")
        if mode not in LIST_MODES:
            raise MalformedError(f"unknown mode of the endpoint list: {mode}")
        value_at(values, 0, int, "revision", 0)
        endpoints = []
        for row in value_at(values, 2, list, "nodesList", []):
            if not isinstance(row, list):
                raise MalformedError(f"endpoint list entry is not an array: {row!r}")
            name = value_at(row, 0, str, "cache")
            status = value_at(row, 4, int, "status")
            if status not in (0, 1, 2):
                raise MalformedError(f"unknown status in the endpoint list: {status}")
            endpoints.append(
                Endpoint(
                    self.backends.setdefault(name, Backend(name)),
                    value_at(row, 1, int, "zone", 0),
                    value_at(row, 2, int, "kind", 0),
                    value_at(row, 3, int, "cohort", 0),
                    status,
                    value_at(row, 5, NUMBER, "size", 1.0),
                    value_at(row, 6, int, "startedAtNs", 0) // NS_PER_TICK,
                )
            )
        self.router.endpoints_changed(LIST_MODES[mode], endpoints)
        self.backends = {
            name: backend for name, backend in self.backends.items() if backend.status or backend.requests
        }

    def request_arrived(self, values: list[Any]) -> None:
        """Handle a new request from a client."""
        request_id = value_at(values, 0, str, "id")
        bits = value_at(values, 5, int, "bits", 0)
        now = self.now()
        request = Request(
            key=value_at(values, 8, str, "contentId", ""),
            part=value_at(values, 1, int, "part", 0),
            purge_group=value_at(values, 2, int, "group", 0),
            kbytes=value_at(values, 3, NUMBER, "kbytes", 0),
            arrived_at=now,
            deadline=now + value_at(values, 4, int, "patienceLeftNs") // NS_PER_TICK,
            vhost=value_at(values, 6, int, "qos", 0),
            tenant=value_at(values, 7, int, "party", 0),
            is_write=bool(bits & WRITE_BIT),
            is_client_retry=bool(bits & CLIENT_RETRY_BIT),
        )
        self.requests[request_id] = request
        self.request_ids[request] = request_id
        self.router.request_arrived(request)

    def stream_started(self, values: list[Any]) -> None:
        """Handle the start of a streamed answer to an attempt."""
        request = self.requests.get(value_at(values, 0, str, "id"))
        if request and self._backend(values, 1):
            self.router.stream_started(request, value_at(values, 3, int, "sendNo", 0))

    def attempt_ended(self, values: list[Any]) -> None:
        """Handle the end of an attempt."""
        request = self.requests.get(value_at(values, 0, str, "id"))
        attempt = value_at(values, 1, int, "sendNo", 0)
        backend = self._backend(values, 2)
        outcome = outcome_at(values, 3)
        is_final = value_at(values, 5, bool, "finished", False)
        if request and backend:
            duration, note = (
                value_at(values, 4, int, "tookNs", 0) // NS_PER_TICK,
                value_at(values, 6, int, "remark", 0),
            )
            value_at(values, 7, int, "sourceWaitNs", 0), value_at(values, 8, list, "feedback", [])  # not used
            result = AttemptResult(attempt, outcome, duration, is_final, note)
            self.router.attempt_ended(request, backend, result)
            self.forget(request)

    def client_disconnected(self, values: list[Any]) -> None:
        """Handle the disconnection of a client."""
        request = self.requests.get(value_at(values, 0, str, "id"))
        if request:
            self.router.client_disconnected(request)
            self.forget(request)

    def timer_fired(self, values: list[Any]) -> None:
        """Handle a timer that the router has set."""
        self.router.timer_fired(value_at(values, 0, str, "ctx"))

    def health_checked(self, values: list[Any]) -> None:
        """Handle the answer to a health check."""
        backend = self._backend(values, 0)
        outcome = outcome_at(values, 2)
        if backend:
            value_at(values, 1, int, "tookNs", 0)  # not used
            self.router.health_checked(backend, outcome, value_at(values, 3, list, "feedback", []))

    def peer_message_received(self, values: list[Any]) -> None:
        """Validate and ignore a message from another gateway: gateways send each other no messages."""
        (
            value_at(values, 0, int, "by"),
            value_at(values, 1, str, "msg", ""),
        )

    def object_purged(self, values: list[Any]) -> None:
        """Handle the purge of an object or a group."""
        key = values[0] if values and values[0] not in (0, None) else ""
        if not isinstance(key, str):
            raise MalformedError(f"contentId is not of type str: {key!r}")
        self.router.object_purged(
            key,
            value_at(values, 1, int, "batchId", 0),
            value_at(values, 2, int, "copyAgeNs", 0) // NS_PER_TICK,
        )


HANDLERS: dict[str, Callable[[Instance, list[Any]], None]] = {
    "up": Instance.start,
    "fleet": Instance.endpoints_changed,
    "ingress": Instance.request_arrived,
    "established": Instance.stream_started,
    "resolved": Instance.attempt_ended,
    "cancelledByClient": Instance.client_disconnected,
    "timeoutFired": Instance.timer_fired,
    "statusBack": Instance.health_checked,
    "heard": Instance.peer_message_received,
    "withdrawnCopy": Instance.object_purged,
}
