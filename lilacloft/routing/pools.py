"""Backend pools: the endpoint list as this gateway uses it, by role and location."""

from __future__ import annotations

from collections.abc import Iterable

from lilacloft.routing.host import Endpoint, ListMode
from lilacloft.routing.model import Backend, BackendStatus
from lilacloft.routing.settings import RoutingSettings


class BackendPools:
    """The backends of one gateway. The pools hold ready backends only, ordered by name."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Create empty pools."""
        self.settings = settings
        self.backends: list[Backend] = []  # all listed ones, and those with an attempt in flight
        self.caches: list[Backend] = []  # of this location
        self.parents: list[Backend] = []
        self.origins: list[Backend] = []
        self.caches_by_zone: dict[int, list[Backend]] = {}  # of all locations whose caches may be used

    def update(self, mode: ListMode | str, endpoints: Iterable[Endpoint]) -> set[Backend]:
        """Apply an endpoint list, or changes to it; return the backends that have restarted."""
        restarted: set[Backend] = set()
        if mode != ListMode.DELTA:
            for backend in self.backends:
                backend.status = BackendStatus.GONE
        for endpoint in endpoints:
            if self._update_backend(endpoint):
                restarted.add(endpoint.backend)
            if self._is_used(endpoint.backend):
                self.backends.append(endpoint.backend)
        self.backends = sorted(
            {
                backend.name: backend for backend in self.backends if backend.status or backend.requests
            }.values(),
            key=lambda backend: backend.name,
        )
        self._rebuild()
        return restarted

    @staticmethod
    def _update_backend(endpoint: Endpoint) -> bool:
        """Copy a row to its backend. If the backend has restarted, reset its learned health and load, and
        return True."""
        backend = endpoint.backend
        backend.zone, backend.kind, backend.cell = endpoint.zone, endpoint.kind, endpoint.cell
        backend.status = endpoint.status
        backend.capacity = endpoint.capacity if endpoint.capacity > 0 else 1.0
        if endpoint.started <= backend.started:
            return False
        backend.started = endpoint.started
        backend.ejected, backend.consecutive_failures, backend.backoff = False, 0, 0
        backend.reported_load = 0.0
        return True

    def _is_used(self, backend: Backend) -> bool:
        settings = self.settings
        return (
            settings.cross_location
            or backend.zone == settings.zone
            or backend.kind in (settings.parent_kind, settings.origin_kind)
        )

    def _rebuild(self) -> None:
        ready = self.ready()
        self.parents = [backend for backend in ready if self.is_parent(backend)]
        self.origins = [backend for backend in ready if self.is_origin(backend)]
        self.caches_by_zone = {}
        for backend in ready:
            if not (self.is_parent(backend) or self.is_origin(backend)):
                self.caches_by_zone.setdefault(backend.zone, []).append(backend)
        self.caches = self.caches_by_zone.get(self.settings.zone, [])

    def ready(self) -> list[Backend]:
        """Return the backends that accept attempts."""
        return [backend for backend in self.backends if backend.status == BackendStatus.READY]

    def is_origin(self, backend: Backend) -> bool:
        """Return whether a backend is the origin."""
        return backend.kind == self.settings.origin_kind

    def is_parent(self, backend: Backend) -> bool:
        """Return whether a backend is a parent."""
        return backend.kind == self.settings.parent_kind

    def is_remote_cache(self, backend: Backend) -> bool:
        """Return whether a backend is a cache of another location."""
        return backend.zone != self.settings.zone and not (self.is_parent(backend) or self.is_origin(backend))
