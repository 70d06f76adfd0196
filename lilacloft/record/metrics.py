"""Writes the summaries to a Prometheus text file for the node's collector; opens no listener."""

from __future__ import annotations

import contextlib

from prometheus_client import CollectorRegistry, Counter, Gauge, write_to_textfile

from lilacloft.record.record_types import BackendCounts, SummaryRecord, VhostCounts

# The label of each outcome, and the attribute of VhostCounts that counts it.
OUTCOMES = {
    "done": "done",
    "denied": "denied",
    "aborted": "aborted",
    "left": "abandoned",
    "late": "late_answers",
}


class Metrics:
    """The metrics file of one gateway. The event loop's thread calls `add`, the writing thread `write`."""

    def __init__(self, path: str, gateway: str) -> None:
        self.path, self.gateway = path, gateway
        self.has_changed = False
        self.registry = CollectorRegistry()

        def register(kind: type, name: str, text: str, *labels: str) -> Counter | Gauge:
            return kind(f"lilacloft_{name}", text, ["gateway", *labels], registry=self.registry)

        self.requests = register(Counter, "reqs", "reqs by what became of them", "vhost", "outcome")
        self.dispatches = register(Counter, "dispatches", "dispatches by vhost", "vhost")
        self.hits = register(Counter, "hits", "answers from a cache's own copy", "vhost")
        self.value = register(Counter, "value", "value of what was done in time", "vhost")
        self.ends = register(Counter, "be_ends", "ends of dispatches", "be", "end")
        self.utilization = register(Gauge, "be_util", "told by the be", "be")
        self.in_flight = register(Gauge, "be_in_flight", "dispatches out", "be")
        self.limit = register(Gauge, "be_limit", "learned limit", "be")
        self.ejected = register(Gauge, "be_left_alone", "1 while it is left alone", "be")
        self.refused = register(Counter, "refused", "messages and connections refused", "cause")

    def add(self, summary: SummaryRecord) -> None:
        """Add a summary's counts, and set the gauges to its values."""
        for name, vhost in summary.vhosts.items():
            self._add_vhost(name, vhost)
        for name, backend in summary.backends.items():
            self._add_backend(name, backend)
        for cause, count in summary.refused.items():
            self.refused.labels(self.gateway, cause).inc(count)
        self.has_changed = True

    def _add_vhost(self, name: str, vhost: VhostCounts) -> None:
        for outcome, attribute in OUTCOMES.items():
            self.requests.labels(self.gateway, name, outcome).inc(getattr(vhost, attribute))
        self.dispatches.labels(self.gateway, name).inc(vhost.dispatches)
        self.hits.labels(self.gateway, name).inc(vhost.hits)
        self.value.labels(self.gateway, name).inc(vhost.value)

    def _add_backend(self, name: str, backend: BackendCounts) -> None:
        self.ends.labels(self.gateway, name, "done").inc(backend.done)
        for end, count in backend.ends.items():
            self.ends.labels(self.gateway, name, end).inc(count)
        if backend.utilization >= 0:
            self.utilization.labels(self.gateway, name).set(backend.utilization)
        self.in_flight.labels(self.gateway, name).set(backend.in_flight)
        self.limit.labels(self.gateway, name).set(backend.limit)
        self.ejected.labels(self.gateway, name).set(backend.ejected)

    def write(self) -> None:
        """Write the file if anything has changed, replacing it atomically so that a collector never reads a
        partial one."""
        if self.has_changed:
            self.has_changed = False
            with contextlib.suppress(OSError):
                write_to_textfile(self.path, self.registry)
