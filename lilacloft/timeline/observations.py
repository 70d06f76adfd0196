"""The observations of one gateway, and its records in the common time.

An observation is what the records of one gateway show of one incident. Observations of several gateways are
grouped into incidents in lilacloft/timeline/incidents.py. No I/O; times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.record.reader import Run
from lilacloft.record.record_types import BackendList, SummaryRecord
from lilacloft.timeline.clocks import Clock, local_time
from lilacloft.timeline.summary_columns import SummaryColumns


@dataclass
class Observation:
    """What one gateway observed of one incident."""

    gateway: str
    kind: str  # silent, slow, drained, cold, gone, purge, origin slow, crowd, lost answers, bad clients
    subject: str  # the backend, object or group; empty: the whole fleet
    begin: float
    end: float | None  # None: still going on where the records end
    uncertainty: float  # of the beginning
    why: str = ""
    actions: list[str] = field(default_factory=list)
    acted_at: float | None = None  # when the gateway acted on it
    answered: int = 0  # answers from the subject during that time


@dataclass
class SummarySpan:
    """A summary record with the interval that it covers."""

    begin: float
    end: float
    summary: SummaryRecord


class GatewayHistory:
    """One gateway's records in the common time."""

    def __init__(self, gateway: str, runs: Iterable[Run], clocks: Mapping[str, Clock]) -> None:
        """Convert the runs of a gateway to the common time. `clocks`: by the names of runs."""
        self.gateway = gateway
        self.runs = sorted((run for run in runs if run.records), key=lambda run: run.records[0].unix_time)
        self.spans: list[SummarySpan] = []
        self.kinds: dict[str, str] = {}
        self.events: list[tuple[float, float, object]] = []  # time, uncertainty, record
        self.targets: dict[str, float] = {}
        for run in self.runs:
            clock = clocks[run.name]
            for vhost, (target, *_) in run.head.vhosts.items():
                self.targets[vhost] = target / 10
            for record in run.records:
                at = clock.to_common(local_time(run, record))
                self.events.append((at, clock.uncertainty, record))
                if isinstance(record, SummaryRecord):
                    self.spans.append(SummarySpan(at - record.duration / 10, at, record))
                elif isinstance(record, BackendList):
                    self.kinds.update((name, kind) for name, kind, *_ in record.backends)
        self.events.sort(key=lambda event: event[0])
        self.spans.sort(key=lambda span: span.begin)
        self.run_names = [run.head.run for run in self.runs]
        self.offset = clocks[self.runs[-1].name].offset if self.runs else 0.0
        self.uncertainty = max((clocks[run.name].uncertainty for run in self.runs), default=0.0)
        self.columns = SummaryColumns((span.begin, span.end, span.summary) for span in self.spans)
        self.begin = self.events[0][0] if self.events else 0.0
        self.end = self.events[-1][0] if self.events else 0.0

    def covers(self, begin: float, end: float) -> bool:
        """Return whether its records cover at least a part of an interval."""
        return self.columns.covers(begin, end)

    def copy_without_records(self) -> GatewayHistory:
        """Return a copy without the records, for use once the observations have been made."""
        out = GatewayHistory.__new__(GatewayHistory)
        out.__dict__.update(self.__dict__, runs=[], spans=[], events=[])
        return out

    def role(self, backend: str) -> str:
        """Return the role of a backend: cache, parent or origin."""
        kind = self.kinds.get(backend, "")
        return kind if kind in ("parent", "origin") else "cache"
