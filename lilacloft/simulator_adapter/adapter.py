"""Wire iris-540b: batches of events in, batches of actions out."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO, TextIO

from lilacloft import needed
from lilacloft.routing.host import AttemptResult, Dispatch, Endpoint, HealthChange, ListMode, Timer
from lilacloft.routing.model import Backend, Outcome, Request
from lilacloft.routing.router import Router
from lilacloft.settings import NS, settings

OUTCOMES = {
    "Ok": Outcome.DONE,
    "Failed": Outcome.ERROR,
    "QueueFull": Outcome.QUEUE_FULL,
    "TimedOut": Outcome.TIMEOUT,
    "ConnectError": Outcome.CONNECT_FAILED,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.UNSENT,
    "Miss": Outcome.MISS,
}
MODES = {0: ListMode.CACHED, 1: ListMode.FAILED, 2: ListMode.FULL, 3: ListMode.DELTA}


class MalformedError(Exception):
    """What came in is not of this wire; the text names what is wrong."""


def field(
    values: list[Any], place: int, kind: type | tuple[type, ...], name: str, default: Any = None
) -> Any:
    """Take one value of a message; one that is absent or null gets the default, if there is one."""
    value = values[place] if place < len(values) else None
    if value is None:
        if default is None:
            raise MalformedError(f"{name} is missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedError(f"{name} is no {kind if isinstance(kind, tuple) else kind.__name__}: {value!r}")
    return value


NUMBER = (int, float)
# Bits of `fetchThrough`.
BIT_COLLAPSE, BIT_CACHE_ONLY, BIT_REVALIDATE = 1, 2, 8


class Gateway:
    """The host of one instance: keeps the ids at the door and writes the actions down."""

    def __init__(self) -> None:
        self.t_ns = 0
        self.actions: list[list[Any]] = []
        self.answered: list[Request] = []
        self.requests: dict[str, Request] = {}
        self.ids: dict[Request, str] = {}
        self.backends: dict[str, Backend] = {}
        self.router: Router

    # --- what the module calls ---

    def now(self) -> int:
        return self.t_ns // NS

    def dispatch(self, dispatch: Dispatch) -> None:
        bits = (
            BIT_COLLAPSE * dispatch.may_collapse
            + BIT_CACHE_ONLY * dispatch.cache_only
            + BIT_REVALIDATE * dispatch.revalidate
        )
        self.actions.append(
            [
                "fetchThrough",
                self.ids[dispatch.request],
                dispatch.backend.name,
                dispatch.timeout * NS,
                dispatch.source.name,
                dispatch.cache_rank,
                dispatch.max_age * NS,
                bits,
            ]
        )

    def client_left_at(self, request: Request) -> int | None:
        """The simulator tells of it at once."""

    def cancel(self, request: Request, attempt: int) -> None:
        self.actions.append(["undoSend", self.ids[request], attempt])

    def withdraw(self, request: Request, attempt: int) -> None:
        """What is sent is out at once."""

    def reject(self, request: Request, retry_after: int) -> None:
        self.actions.append(["notNow", self.ids[request], retry_after * NS])
        self.answered.append(request)

    def fail(self, request: Request) -> None:
        self.actions.append(["reportFailure", self.ids[request]])
        self.answered.append(request)

    def wake(self, at: int, timer: Timer) -> None:
        self.actions.append(["wakeMe", at * NS, timer])

    def check_health(self, backend: Backend) -> None:
        self.actions.append(["askLoad", backend.name])

    def subscribe(self, on: bool) -> None:
        self.actions.append(["subscribe", on])

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        text = f"{backend.name} {reason}"
        if change is HealthChange.EJECTED:
            text = f"{backend.name} {change}: {reason}"
        self.actions.append(["journalLine", text])

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        """The report has no place for it."""

    # --- what the wire brings ---

    def _forget(self, request: Request) -> None:
        if request.finished and not request.in_flight and request in self.ids:
            del self.requests[self.ids.pop(request)]

    def _be(self, values: list[Any], place: int) -> Backend | None:
        return self.backends.get(field(values, place, str, "cache"))

    def up(self, values: list[Any]) -> None:
        field(values, 0, int, "initSeed")  # the module draws no chance
        env = field(values, 1, dict, "env")
        try:
            self.router = Router(self, settings(needed.told(env, sockets=False)))
        except ValueError as wrong:
            raise MalformedError(str(wrong)) from wrong

    def fleet(self, values: list[Any]) -> None:
        mode = field(values, 1, int, "mode")
        if mode not in MODES:
            raise MalformedError(f"mode of the list is unknown: {mode}")
        field(values, 0, int, "revision", 0)
        listed = []
        for row in field(values, 2, list, "nodesList", []):
            if not isinstance(row, list):
                raise MalformedError(f"an entry of the list is no array: {row!r}")
            name = field(row, 0, str, "cache")
            status = field(row, 4, int, "status")
            if status not in (0, 1, 2):
                raise MalformedError(f"status in the list is unknown: {status}")
            listed.append(
                Endpoint(
                    self.backends.setdefault(name, Backend(name)),
                    field(row, 1, int, "zone", 0),
                    field(row, 2, int, "kind", 0),
                    field(row, 3, int, "cohort", 0),
                    status,
                    field(row, 5, NUMBER, "size", 1.0),
                    field(row, 6, int, "startedAtNs", 0) // NS,
                )
            )
        self.router.endpoints_changed(MODES[mode], listed)
        self.backends = {
            name: backend for name, backend in self.backends.items() if backend.status or backend.requests
        }

    def ingress(self, values: list[Any]) -> None:
        name = field(values, 0, str, "id")
        bits = field(values, 5, int, "bits", 0)
        now = self.now()
        request = Request(
            key=field(values, 8, str, "contentId", ""),
            part=field(values, 1, int, "part", 0),
            purge_group=field(values, 2, int, "group", 0),
            kbytes=field(values, 3, NUMBER, "kbytes", 0),
            arrived_at=now,
            deadline=now + field(values, 4, int, "patienceLeftNs") // NS,
            vhost=field(values, 6, int, "qos", 0),
            tenant=field(values, 7, int, "party", 0),
            is_write=bool(bits & 4),
            is_client_retry=bool(bits & 2),
        )
        self.requests[name] = request
        self.ids[request] = name
        self.router.request_arrived(request)

    def established(self, values: list[Any]) -> None:
        request = self.requests.get(field(values, 0, str, "id"))
        if request and self._be(values, 1):
            self.router.stream_started(request, field(values, 3, int, "sendNo", 0))

    def resolved(self, values: list[Any]) -> None:
        request = self.requests.get(field(values, 0, str, "id"))
        attempt = field(values, 1, int, "sendNo", 0)
        backend = self._be(values, 2)
        code = field(values, 3, str, "stateCode")
        if code not in OUTCOMES:
            raise MalformedError(f"stateCode is unknown: {code}")
        final = field(values, 5, bool, "finished", False)
        if request and backend:
            duration, note = field(values, 4, int, "tookNs", 0) // NS, field(values, 6, int, "remark", 0)
            field(values, 7, int, "sourceWaitNs", 0), field(values, 8, list, "feedback", [])  # not used
            result = AttemptResult(attempt, OUTCOMES[code], duration, final, note)
            self.router.attempt_ended(request, backend, result)
            self._forget(request)

    def cancelled_by_client(self, values: list[Any]) -> None:
        request = self.requests.get(field(values, 0, str, "id"))
        if request:
            self.router.client_disconnected(request)
            self._forget(request)

    def timeout_fired(self, values: list[Any]) -> None:
        self.router.timer_fired(field(values, 0, str, "ctx"))

    def status_back(self, values: list[Any]) -> None:
        backend = self._be(values, 0)
        code = field(values, 2, str, "stateCode")
        if code not in OUTCOMES:
            raise MalformedError(f"stateCode is unknown: {code}")
        if backend:
            field(values, 1, int, "tookNs", 0)  # not used
            self.router.health_checked(backend, OUTCOMES[code], field(values, 3, list, "feedback", []))

    def heard(self, values: list[Any]) -> None:
        field(values, 0, int, "by"), field(values, 1, str, "msg", "")  # gateways say nothing to each other

    def withdrawn_copy(self, values: list[Any]) -> None:
        key = values[0] if values and values[0] not in (0, None) else ""
        if not isinstance(key, str):
            raise MalformedError(f"contentId is no str: {key!r}")
        self.router.object_purged(
            key, field(values, 1, int, "batchId", 0), field(values, 2, int, "copyAgeNs", 0) // NS
        )


HANDLERS: dict[str, Callable[[Gateway, list[Any]], None]] = {
    "up": Gateway.up,
    "fleet": Gateway.fleet,
    "ingress": Gateway.ingress,
    "established": Gateway.established,
    "resolved": Gateway.resolved,
    "cancelledByClient": Gateway.cancelled_by_client,
    "timeoutFired": Gateway.timeout_fired,
    "statusBack": Gateway.status_back,
    "heard": Gateway.heard,
    "withdrawnCopy": Gateway.withdrawn_copy,
}


class Drill:
    """All instances of one adapter process, kept apart."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}

    def _event(self, who: str, event: Any, t_ns: int) -> list[list[Any]]:
        """Pass one event on and return the actions it led to."""
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise MalformedError(f"an event is no array with a name: {event!r}")
        name, values = event[0], event[1:]
        if name == "up":
            self.gateways[who] = Gateway()
        gateway = self.gateways.get(who)
        if gateway is None:
            raise MalformedError(f"{who} is no instance that is up")
        if name == "down":
            del self.gateways[who]
            return []
        if name not in HANDLERS:
            raise MalformedError(f"message {name!r} is unknown")
        gateway.t_ns = t_ns
        try:
            HANDLERS[name](gateway, values)
        except MalformedError:
            raise
        except Exception as wrong:  # whatever the module raises is its crash, told so
            gateway.actions.append(["die", f"{type(wrong).__name__}: {wrong}"])
        for request in gateway.answered:
            gateway._forget(request)
        gateway.answered.clear()
        actions, gateway.actions = gateway.actions, []
        return actions

    def batch(self, line: bytes) -> dict[str, Any]:
        """Answer one line."""
        try:
            batch = json.loads(line)
        except ValueError as wrong:
            raise MalformedError(f"a line is no JSON: {wrong}") from wrong
        if not isinstance(batch, dict):
            raise MalformedError("a line is no object")
        t_ns = batch.get("tNs")
        parts = batch.get("parts")
        if not isinstance(t_ns, int) or isinstance(t_ns, bool):
            raise MalformedError(f"tNs is no whole number: {t_ns!r}")
        if not isinstance(parts, list):
            raise MalformedError(f"parts is no array: {parts!r}")
        return {"parts": [reply for part in parts for reply in self._part(part, t_ns)]}

    def _part(self, part: Any, t_ns: int) -> Iterator[dict[str, Any]]:
        if not isinstance(part, dict) or not isinstance(part.get("who"), str):
            raise MalformedError(f"a part names no instance: {part!r}")
        if not isinstance(part.get("happened"), list):
            raise MalformedError(f"happened is no array: {part.get('happened')!r}")
        who, actions = part["who"], []
        for event in part["happened"]:
            if isinstance(event, list) and event and event[0] == "down":
                actions = []
            actions += self._event(who, event, t_ns)
        if actions:
            yield {"who": who, "actions": actions}


def main(lines: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Speak the wire until input ends."""
    drill = Drill()
    for number, line in enumerate(lines, 1):
        try:
            reply = drill.batch(line)
        except MalformedError as wrong:
            errors.write(f"lilacloft.simulator_adapter: line {number}: {wrong}\n"[:400])
            return 2
        replies.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        replies.flush()
    return 0
