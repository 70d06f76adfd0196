"""The summaries as Prometheus text, in a file for a node's collector: no listener is opened for them."""

from __future__ import annotations

import contextlib

from prometheus_client import CollectorRegistry, Counter, Gauge, write_to_textfile

from lilacloft.record.record_types import SummaryRecord

# The label of each outcome, and the attribute of VhostCounts that counts it.
OUTCOMES = {
    "done": "done",
    "denied": "denied",
    "aborted": "aborted",
    "left": "abandoned",
    "late": "late_answers",
}


class Metrics:
    """One gateway's file. `add` belongs to the owner's thread, `write` to the records'."""

    def __init__(self, path: str, gateway: str) -> None:
        self.path, self.fresh = path, False
        self.registry = CollectorRegistry()
        self.gateway = gateway

        def make(kind: type, name: str, text: str, *labels: str) -> Counter | Gauge:
            return kind(f"lilacloft_{name}", text, ["gateway", *labels], registry=self.registry)

        self.requests = make(Counter, "reqs", "reqs by what became of them", "vhost", "outcome")
        self.sent = make(Counter, "dispatches", "dispatches by vhost", "vhost")
        self.hits = make(Counter, "hits", "answers from a cache's own copy", "vhost")
        self.value = make(Counter, "value", "value of what was done in time", "vhost")
        self.ends = make(Counter, "be_ends", "ends of dispatches", "be", "end")
        self.util = make(Gauge, "be_util", "told by the be", "be")
        self.flight = make(Gauge, "be_in_flight", "dispatches out", "be")
        self.limit = make(Gauge, "be_limit", "learned limit", "be")
        self.alone = make(Gauge, "be_left_alone", "1 while it is left alone", "be")
        self.refused = make(Counter, "refused", "messages and connections refused", "cause")

    def add(self, second: SummaryRecord) -> None:
        """Count a summary."""
        me = self.gateway
        for name, vhost in second.vhosts.items():
            for outcome, attribute in OUTCOMES.items():
                self.requests.labels(me, name, outcome).inc(getattr(vhost, attribute))
            self.sent.labels(me, name).inc(vhost.dispatches)
            self.hits.labels(me, name).inc(vhost.hits)
            self.value.labels(me, name).inc(vhost.value)
        for name, backend in second.backends.items():
            self.ends.labels(me, name, "done").inc(backend.done)
            for end, count in backend.ends.items():
                self.ends.labels(me, name, end).inc(count)
            if backend.utilization >= 0:
                self.util.labels(me, name).set(backend.utilization)
            self.flight.labels(me, name).set(backend.in_flight)
            self.limit.labels(me, name).set(backend.limit)
            self.alone.labels(me, name).set(backend.ejected)
        for cause, count in second.refused.items():
            self.refused.labels(me, cause).inc(count)
        self.fresh = True

    def write(self) -> None:
        """Put it down whole: a collector never sees half a file."""
        if self.fresh:
            self.fresh = False
            with contextlib.suppress(OSError):
                write_to_textfile(self.path, self.registry)
