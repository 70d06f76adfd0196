"""Load reports: which cache is asked for one, and the load derived from its answer."""

from __future__ import annotations

from collections.abc import Sequence

from lilacloft.routing.averages import SMOOTHING
from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.model import Backend, Outcome
from lilacloft.routing.settings import RoutingSettings
from lilacloft.routing.units import Ticks

REQUESTS_PER_CHECK = 3  # minimum; load reports must cost little compared to what they save
BUSY_UTILIZATION = 0.85  # a link counts as full from here; below, requests may be waiting for fills


class LoadReports:
    """Requests load reports from the caches of a location in turn."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Request load reports if the settings allow health checks."""
        self.settings = settings
        self.request_count = 0

    def next_to_check(self, caches: Sequence[Backend], target: Ticks, now: Ticks) -> Backend | None:
        """Count a request and return the cache to be checked now, if any. `target`: the first-byte target of
        the request's virtual host; a cache is checked at most once in two targets."""
        self.request_count += 1
        if not (self.settings.health_checks and caches) or self.request_count % REQUESTS_PER_CHECK:
            return None
        cache = caches[self.request_count // REQUESTS_PER_CHECK % len(caches)]
        if now < cache.health_checked_at + 2 * target:
            return None
        cache.health_checked_at = now
        return cache

    def record(self, backend: Backend, outcome: Outcome | str, report: Sequence[float]) -> None:
        """Record a load report. The load is the number of requests in flight at the backend, relative to the
        number at which it is just fully utilized; that number is learned while the backend is busy.

        A load report never restores an ejected backend, which may answer only health checks.
        """
        fields = dict(zip(self.settings.load_fields, report or [], strict=False))
        is_full = outcome in (Outcome.QUEUE_FULL, Outcome.TIMEOUT)  # has no room even for a health check
        load = 2 * INITIAL_FACTOR if is_full else backend.reported_load
        if "inflight" in fields:
            load = utilization = fields["util"]
            if BUSY_UTILIZATION / 2 < utilization < BUSY_UTILIZATION:
                saturation = fields["inflight"] / utilization
                weight = SMOOTHING if backend.saturation_in_flight else 1
                backend.saturation_in_flight += (saturation - backend.saturation_in_flight) * weight
            elif utilization >= BUSY_UTILIZATION and backend.saturation_in_flight:
                load = fields["inflight"] / backend.saturation_in_flight
        backend.reported_load += (load - backend.reported_load) / 2
