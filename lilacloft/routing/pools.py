"""The endpoint list as this gateway uses it: which backends there are, by role and location."""

from __future__ import annotations

from collections.abc import Iterable

from lilacloft.routing.host import Endpoint, ListMode
from lilacloft.routing.model import Backend, BackendStatus
from lilacloft.routing.settings import RoutingSettings


class BackendPools:
    """The backends of one gateway. The pools hold ready backends only, ordered by name."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Make empty pools."""
        self.settings = settings
        self.backends: list[Backend] = []  # all that are listed, and those with an attempt in flight
        self.caches: list[Backend] = []  # of this location
        self.parents: list[Backend] = []
        self.origins: list[Backend] = []
        self.caches_by_zone: dict[int, list[Backend]] = {}  # of all locations whose caches may be asked

    def update(self, mode: ListMode | str, endpoints: Iterable[Endpoint]) -> set[Backend]:
        """Take in a list, or changes of it; return the backends that have started anew."""
        restarted: set[Backend] = set()
        if mode != ListMode.DELTA:
            for backend in self.backends:
                backend.status = BackendStatus.GONE
        for endpoint in endpoints:
            if self._update_backend(endpoint):
                restarted.add(endpoint.backend)
            if self._concerns_us(endpoint.backend):
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
        """Copy a row onto its backend; return whether it has started anew, and nothing learned holds."""
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

    def _concerns_us(self, backend: Backend) -> bool:
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
        """Return the backends that may be sent to."""
        return [backend for backend in self.backends if backend.status == BackendStatus.READY]

    def is_origin(self, backend: Backend) -> bool:
        """Return whether it is the origin."""
        return backend.kind == self.settings.origin_kind

    def is_parent(self, backend: Backend) -> bool:
        """Return whether it is a parent."""
        return backend.kind == self.settings.parent_kind

    def is_remote_cache(self, backend: Backend) -> bool:
        """Return whether it is a cache of another location."""
        return backend.zone != self.settings.zone and not (self.is_parent(backend) or self.is_origin(backend))
