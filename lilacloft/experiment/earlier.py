"""Adapter for revisions from before the package `lilacloft.routing`: routing was one module, `decide.py`.

`router_class` returns a class with the events of `Router` that the emulator calls. It keeps the earlier
module's records beside those of the host, and translates events and actions between the two interfaces.
Revisions whose interface differs from that module's last one (86f6e99) raise AttributeError or TypeError
during the run.
"""

from __future__ import annotations

import importlib
import types
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from lilacloft.experiment import packages
from lilacloft.routing.host import AttemptResult, Dispatch, Endpoint, HealthChange, Host, ListMode, Timer
from lilacloft.routing.model import Backend, Idempotency, Outcome, Request
from lilacloft.routing.units import Ticks

MODULES = ("decide", "state", "host")


def router_class(package: str, sources: packages.Sources) -> type[EarlierRouter]:
    """Return the router of earlier sources, loaded as a package. Raises SyntaxError, ImportError."""
    renamed = {
        name: text.replace("from lilacloft.", f"from {packages.RUNNING}.").replace(
            f"from {packages.RUNNING}.host", f"from {packages.RUNNING}.earlier_host"
        )
        for name, text in sources.items()
    }
    renamed["earlier_host"] = renamed.pop("host")
    decisions = packages.load(package, renamed, "decide")
    records = importlib.import_module(f"{package}.state")
    return type("EarlierRouter", (EarlierRouter,), {"decisions": decisions, "records": records})


class EarlierHost:
    """Adapter that gives a present host the earlier host interface."""

    def __init__(self, router: EarlierRouter, host: Host) -> None:
        """Translate between an earlier router and a host."""
        self.router = router
        self.host = host
        self.name = getattr(host, "name", "")

    def now(self) -> Ticks:
        """Return the time."""
        return self.host.now()

    def fetch(
        self,
        req: Any,
        be: Any,
        limit: Ticks,
        source: Any,
        rank: int,
        age: Ticks,
        join: bool,
        held_only: bool,
        no_trace: bool,  # noqa: ARG002, never set by any revision
        renew: bool,
    ) -> None:
        """See `Host.dispatch`."""
        backends = self.router.backends
        self.host.dispatch(
            Dispatch(
                request=self.router.request_of(req),
                backend=backends[be.name],
                source=backends[source.name],
                timeout=limit,
                cache_rank=rank,
                max_age=age,
                may_collapse=join,
                cache_only=held_only,
                revalidate=renew,
            )
        )

    def departed(self, req: Any) -> Ticks | None:
        """See `Host.client_left_at`."""
        return self.host.client_left_at(self.router.request_of(req))

    def cancel(self, req: Any, seq: int) -> None:
        """See `Host.cancel`."""
        self.host.cancel(self.router.request_of(req), seq)

    def withdraw(self, req: Any, seq: int) -> None:
        """See `Host.withdraw`."""
        self.host.withdraw(self.router.request_of(req), seq)

    def deny(self, req: Any, after: Ticks) -> None:
        """See `Host.reject`."""
        self.host.reject(self.router.request_of(req), after)

    def abort(self, req: Any) -> None:
        """See `Host.fail`."""
        self.host.fail(self.router.request_of(req))

    def wake(self, at: Ticks, token: str) -> None:
        """See `Host.wake`."""
        self.host.wake(at, Timer(token))

    def check(self, be: Any) -> None:
        """See `Host.check_health`."""
        self.host.check_health(self.router.backends[be.name])

    def subscribe(self, on: bool) -> None:
        """See `Host.subscribe`."""
        self.host.subscribe(on)

    def believe(self, be: Any, what: str, why: str) -> None:
        """See `Host.health_changed`."""
        self.host.health_changed(self.router.backends[be.name], HealthChange(what), why)

    def limited(self, be: Any, was: float, limit: float, late: float) -> None:
        """See `Host.limit_recorded`."""
        self.host.limit_recorded(self.router.backends[be.name], was, limit, late)


class EarlierRouter:
    """Adapter that gives an earlier router the present event interface."""

    decisions: types.ModuleType
    records: types.ModuleType

    def __init__(self, host: Host, settings: Mapping[str, Any]) -> None:
        """See `Router`."""
        self.backends: dict[str, Backend] = {}  # the host's, by name
        self.earlier_backends: dict[str, Any] = {}
        self.earlier_requests: dict[Request, Any] = {}
        self.requests: dict[Any, Request] = {}
        self.virtual_hosts = [
            types.SimpleNamespace(idempotency=Idempotency(config["effect"])) for config in settings["vhosts"]
        ]
        self.earlier = self.decisions.Router(EarlierHost(self, host), settings)
        self.home_order = self.earlier._order

    @property
    def pools(self) -> Any:
        """The caches and parents, in the earlier records."""
        return types.SimpleNamespace(caches=self.earlier.caches, parents=self.earlier.parents)

    def request_of(self, req: Any) -> Request:
        """Return the host's record of a request, brought up to date."""
        request = self.requests[req]
        request.finished, request.attempts, request.in_flight = req.closed, req.tries, req.out
        return request

    def _update(self, request: Request) -> None:
        req = self.earlier_requests[request]
        self.request_of(req)
        if req.closed and not req.out:
            del self.requests[req], self.earlier_requests[request]

    def endpoints_changed(self, mode: ListMode | str, endpoints: Iterable[Endpoint]) -> None:
        """See `Router.endpoints_changed`."""
        rows = []
        for row in endpoints:
            backend = row.backend
            self.backends[backend.name] = backend
            earlier = self.earlier_backends.get(backend.name)
            if earlier is None:
                earlier = self.earlier_backends[backend.name] = self.records.Be(backend.name)
            backend.started = row.started
            rows.append((earlier, row.zone, row.kind, row.cell, row.status, row.capacity, row.started))
        self.earlier.listed(str(mode), rows)

    def request_arrived(self, request: Request) -> None:
        """See `Router.request_arrived`."""
        req = self.records.Req(
            request.key,
            request.part,
            request.purge_group,
            request.kbytes,
            request.arrived_at,
            request.deadline,
            request.vhost,
            write=request.is_write,
        )
        self.earlier_requests[request], self.requests[req] = req, request
        self.earlier.arrived(req)
        self._update(request)

    def attempt_ended(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        """See `Router.attempt_ended`."""
        req = self.earlier_requests.get(request)
        if req is None:
            return
        be = self.earlier_backends[backend.name]
        outcome, note = str(result.outcome), int(result.note)
        self.earlier.ended(req, be, result.attempt, outcome, result.duration, result.is_final, note, 0, [])
        self._update(request)

    def client_disconnected(self, request: Request) -> None:
        """See `Router.client_disconnected`."""
        req = self.earlier_requests.get(request)
        if req is not None:
            self.earlier.left(req)
            self._update(request)

    def object_purged(self, key: str, group: int, age: Ticks) -> None:
        """See `Router.object_purged`."""
        for name, backend in self.backends.items():
            self.earlier_backends[name].started = backend.started  # the host may have corrected it
        self.earlier.purged(key, group, age)

    def health_checked(self, backend: Backend, outcome: Outcome | str, report: Sequence[float]) -> None:
        """See `Router.health_checked`."""
        self.earlier.checked(self.earlier_backends[backend.name], 0, str(outcome), list(report))

    def loop_lagged(self, late: Ticks) -> None:
        """See `Router.loop_lagged`."""
        lagged = getattr(self.earlier, "lagged", None)  # even earlier versions have no such event
        if lagged:
            lagged(late)

    def timer_fired(self, timer: Timer | str) -> None:
        """See `Router.timer_fired`."""
        self.earlier.woke(str(timer))
        for request in list(self.earlier_requests):
            self._update(request)
