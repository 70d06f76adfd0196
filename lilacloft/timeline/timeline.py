"""Builds one timeline of incidents and gaps from all records. An order of events is claimed only where the
accuracy of the clocks supports it.

No I/O; times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.record.reader import Run
from lilacloft.timeline.clocks import Clock, estimate_clocks, run_anchors
from lilacloft.timeline.gaps import Gap, find_gaps
from lilacloft.timeline.incidents import (
    Incident,
    add_cost,
    fold_consequences,
    group_observations,
    make_incident,
)
from lilacloft.timeline.observations import GatewayHistory, Observation
from lilacloft.timeline.observe import observe


@dataclass
class Timeline:
    """The incidents and gaps that the records show."""

    begin: float
    end: float
    gateways: list[str]
    expected: int  # number of gateways in the settings
    clocks: dict[str, Clock]
    histories: dict[str, GatewayHistory]
    incidents: list[Incident] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)

    def missing(self) -> int:
        """Return the number of gateways without any records."""
        return max(0, self.expected - len(self.gateways))


def build_timeline(
    runs: Mapping[str, list[Run]], begin: float | None = None, end: float | None = None
) -> Timeline:
    """Return the timeline of all runs, or of the interval from `begin` to `end`."""
    runs = {name: [run for run in gateway_runs if run.records] for name, gateway_runs in runs.items()}
    runs = {name: gateway_runs for name, gateway_runs in runs.items() if gateway_runs}
    clocks = estimate_clocks(
        {name: [run_anchors(run) for run in gateway_runs] for name, gateway_runs in runs.items()}
    )
    histories = {name: GatewayHistory(name, gateway_runs, clocks) for name, gateway_runs in runs.items()}
    expected = max((run.head.gateways for gateway_runs in runs.values() for run in gateway_runs), default=0)
    observations = [observation for history in histories.values() for observation in observe(history)]
    return assemble_timeline(histories, observations, find_gaps(runs, clocks), clocks, expected, begin, end)


def assemble_timeline(
    histories: dict[str, GatewayHistory],
    observations: list[Observation],
    gaps: list[Gap],
    clocks: dict[str, Clock],
    expected: int,
    begin: float | None = None,
    end: float | None = None,
) -> Timeline:
    """Return the timeline of the observations of all gateways."""
    first = min((one.begin for one in histories.values()), default=0.0)
    last = max((one.end for one in histories.values()), default=0.0)
    timeline = Timeline(first, last, sorted(histories), expected, clocks, histories)
    timeline.incidents = fold_consequences(
        [make_incident(group, histories) for group in group_observations(observations)]
    )
    for one in timeline.incidents:
        add_cost(one, histories)
    timeline.gaps = gaps
    if begin is not None or end is not None:
        low, high = begin if begin is not None else first, end if end is not None else last
        timeline.begin, timeline.end = max(first, low), min(last, high)
        timeline.incidents = [
            one for one in timeline.incidents if one.begin <= high and (one.end or last) >= low
        ]
        timeline.gaps = [one for one in timeline.gaps if one.begin <= high and (one.end or last) >= low]
    timeline.incidents.sort(key=lambda one: (one.begin, one.kind, one.subject))
    return timeline


def is_before(first: Incident | Gap, second: Incident | Gap) -> bool:
    """Return whether one certainly began before another."""
    return first.begin + first.uncertainty < second.begin - second.uncertainty


def group_by_time(items: list[Incident]) -> list[list[Incident]]:
    """Return incidents in groups by time. Incidents whose order is not certain are in the same group."""
    out: list[list[Incident]] = []
    for item in sorted(items, key=lambda incident: incident.begin):
        if out and any(not is_before(other, item) for other in out[-1]):
            out[-1].append(item)
        else:
            out.append([item])
    return out
