"""Load reports: which cache is asked for one, and what load its answer means."""

from __future__ import annotations

from collections.abc import Sequence

from lilacloft.routing.averages import SMOOTHING
from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.model import Backend, Outcome
from lilacloft.routing.settings import RoutingSettings
from lilacloft.routing.units import Ticks

REQUESTS_PER_CHECK = 3  # at least: load reports must cost little beside what they save
BUSY_UTILIZATION = 0.85  # a link used so much is full; below, requests may be waiting for fills


class LoadReports:
    """Asks the caches of a location in turn."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Ask as often as the settings allow."""
        self.settings = settings
        self.request_count = 0

    def next_to_check(self, caches: Sequence[Backend], target: Ticks, now: Ticks) -> Backend | None:
        """Count a request and return the cache that is to be asked now, if one is. `target`: that of the
        request's virtual host; a cache is asked once in two of them at most."""
        self.request_count += 1
        if not (self.settings.health_checks and caches) or self.request_count % REQUESTS_PER_CHECK:
            return None
        cache = caches[self.request_count // REQUESTS_PER_CHECK % len(caches)]
        if now < cache.health_checked_at + 2 * target:
            return None
        cache.health_checked_at = now
        return cache

    def record(self, backend: Backend, outcome: Outcome | str, report: Sequence[float]) -> None:
        """Take in a report: the load is what the backend holds over what it holds when just fully used.

        It does not tell while the backend is not busy. It never restores an ejected backend, which may answer
        health checks alone.
        """
        fields = dict(zip(self.settings.load_fields, report or [], strict=False))
        no_room = outcome in (Outcome.QUEUE_FULL, Outcome.TIMEOUT)  # not even for a health check
        load = 2 * INITIAL_FACTOR if no_room else backend.reported_load
        if "inflight" in fields:
            load = utilization = fields["util"]
            if BUSY_UTILIZATION / 2 < utilization < BUSY_UTILIZATION:
                saturation = fields["inflight"] / utilization
                weight = SMOOTHING if backend.saturation_in_flight else 1
                backend.saturation_in_flight += (saturation - backend.saturation_in_flight) * weight
            elif utilization >= BUSY_UTILIZATION and backend.saturation_in_flight:
                load = fields["inflight"] / backend.saturation_in_flight
        backend.reported_load += (load - backend.reported_load) / 2
