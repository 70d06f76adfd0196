"""Observations from event records: endpoint lists, purges, ejections, plans and failovers of locations.

No I/O; times are Unix milliseconds.
"""

from __future__ import annotations

from lilacloft.record.record_types import (
    BackendList,
    HealthChange,
    LimitChange,
    LocationFailover,
    PlanChange,
    Purge,
    Start,
    SummaryRecord,
)
from lilacloft.timeline.observations import GatewayHistory, Observation

FIRST_SIGN_WINDOW = 6000.0  # ms before an ejection that are searched for its first sign
FROM_DISCOVERY = "reported by the change log"
SLOW_LATE_SHARE = 0.5  # share of late answers above which a backend is slow


def location_failovers(history: GatewayHistory) -> list[Observation]:
    """Return the intervals in which a location was failed over, in whole or in part."""
    out: list[Observation] = []
    open_observations: dict[str, Observation] = {}
    for at, uncertainty, record in history.events:
        if isinstance(record, LocationFailover):
            observation = open_observations.get(record.zone)
            if observation is None and record.returned_slices < record.total_slices:
                observation = open_observations[record.zone] = Observation(
                    history.gateway,
                    "location left",
                    record.zone,
                    at,
                    None,
                    uncertainty,
                    record.reason or "failed over without a plan",
                    [],
                    at,
                )
                out.append(observation)
            if observation is not None:
                mode = " without a plan" if record.without_plan else ""
                reason = (
                    f": {record.reason}"
                    if record.reason and record.returned_slices in (0, record.total_slices)
                    else ""
                )
                observation.actions.append(
                    f"{record.returned_slices} of {record.total_slices} slices at home{mode}{reason}"
                )
                if record.returned_slices >= record.total_slices:
                    observation.end = at
                    del open_observations[record.zone]
        elif isinstance(record, Start) and record.reason != "upgrade":
            # A restarted process begins without failovers, so those of the old process end here.
            for observation in open_observations.values():
                observation.end = at
            open_observations.clear()
    return out


def plan_outages(history: GatewayHistory) -> list[Observation]:
    """Return the intervals in which a gateway that had followed a plan had none: from the record of that to
    the next plan, or to the restart of its process."""
    out: list[Observation] = []
    without_plan: Observation | None = None
    planner = ""
    for at, uncertainty, record in history.events:
        if isinstance(record, PlanChange) and not record.planner and planner:
            if without_plan is None:
                without_plan = Observation(
                    history.gateway,
                    "without a plan",
                    "planners",
                    at,
                    None,
                    uncertainty,
                    f"the plan of {planner} expired",
                    [],
                    at,
                )
                out.append(without_plan)
        elif isinstance(record, PlanChange) and record.planner:
            if without_plan is not None:
                without_plan.end = at
                without_plan.actions.append(
                    f"plan {record.epoch}.{record.plan_number} of {record.planner} in effect"
                )
                without_plan = None
            planner = record.planner
        elif isinstance(record, Start) and record.reason != "upgrade":
            if without_plan is not None:
                without_plan.end = at
                without_plan.actions.append("the gateway restarted")
                without_plan = None
            planner = ""
    return out


def ejections(history: GatewayHistory) -> list[Observation]:
    """Return the intervals in which backends were ejected, as silent or slow."""
    out: list[Observation] = []
    open_observations: dict[str, Observation] = {}
    for at, uncertainty, record in history.events:
        if isinstance(record, HealthChange) and record.change == "left alone":
            if record.backend not in open_observations:
                open_observations[record.backend] = _ejection(history, at, uncertainty, record)
                out.append(open_observations[record.backend])
        elif isinstance(record, HealthChange):
            _end_observation(open_observations, record.backend, at, "answers again")
        elif isinstance(record, BackendList):
            for name, _, _, status, started, _ in record.backends:
                observation = open_observations.get(name)
                if observation and (not status or started / 10 > observation.begin):
                    _end_observation(
                        open_observations, name, at, "gone from the list" if not status else "restarted"
                    )
        elif isinstance(record, SummaryRecord):
            for name, observation in list(open_observations.items()):
                backend = record.backends.get(name)
                if backend:
                    after = at - record.duration / 10 > (observation.acted_at or at)
                    observation.answered += backend.done if after else 0
                    if backend.status == 1 and not backend.ejected and backend.done and after:
                        _end_observation(
                            open_observations, name, at, "answers again"
                        )  # the record of its return is missing
        elif isinstance(record, LimitChange):
            observation = open_observations.get(record.backend)
            if observation and not record.recovered:
                observation.actions.append(f"limit {record.previous_limit:g} to {record.limit:g}")
        elif isinstance(record, Start) and record.reason != "upgrade":
            for name in list(open_observations):
                _end_observation(open_observations, name, at, "the gateway restarted without its ejections")
    return out


def _ejection(history: GatewayHistory, at: float, uncertainty: float, record: HealthChange) -> Observation:
    """Return the observation of an ejection. It begins between the last second in which the backend answered
    and the ejection."""
    slow = "late" in record.reason
    begin = at
    # Not across a restart, as nothing was observed in between.
    starts = [
        started_at for started_at, _, item in history.events if isinstance(item, Start) and started_at <= at
    ]
    since = max([at - FIRST_SIGN_WINDOW, *starts])
    for span in reversed([item for item in history.spans if since < item.end and item.begin < at]):
        backend = span.summary.backends.get(record.backend)
        if backend is None or (not backend.done and not slow):
            begin = min(begin, span.begin)
            continue
        if slow and backend.late_answers > SLOW_LATE_SHARE * max(1, backend.done):
            begin = min(begin, span.begin)
            continue
        begin = min(at, span.end)
        break
    actions = [f"ejected {at - begin:.0f} ms after its first sign"]
    return Observation(
        history.gateway,
        "slow" if slow else "silent",
        record.backend,
        begin,
        None,
        uncertainty + (at - begin) / 2,
        record.reason,
        actions,
        at,
    )


def _end_observation(open_observations: dict[str, Observation], backend: str, at: float, action: str) -> None:
    observation = open_observations.pop(backend, None)
    if observation:
        observation.end = at
        observation.actions.append(action)


def endpoint_changes(history: GatewayHistory) -> list[Observation]:
    """Return the changes of the endpoint list: backends that were draining, removed, or had restarted."""
    out: list[Observation] = []
    status: dict[str, int] = {}
    last_started: dict[str, int] = {}
    drains: dict[str, Observation] = {}
    for at, uncertainty, record in history.events:
        if not isinstance(record, BackendList):
            continue
        for name, _, _, new_status, started, _ in record.backends:
            if new_status != 2 and name in drains:
                drains[name].actions.append("gone from the list" if not new_status else "ready again")
                drains.pop(name).end = at
            if new_status == 2 and status.get(name) == 1:
                drains[name] = Observation(
                    history.gateway, "drained", name, at, None, uncertainty, FROM_DISCOVERY, [], at
                )
                out.append(drains[name])
            if new_status == 0 and status.get(name, 0) == 1:
                out.append(
                    Observation(history.gateway, "gone", name, at, at, uncertainty, FROM_DISCOVERY, [], at)
                )
            if new_status == 1 and name in last_started and started > last_started[name]:
                out.append(
                    Observation(history.gateway, "cold", name, at, at, uncertainty, FROM_DISCOVERY, [], at)
                )
            status[name], last_started[name] = new_status, max(started, last_started.get(name, 0))
    return out


def purges(history: GatewayHistory) -> list[Observation]:
    """Return the purges that the gateway received."""
    return [
        Observation(
            history.gateway,
            "purge",
            record.key or f"group {record.group}",
            record.purged_at / 10,
            at,
            uncertainty,
            f"received {at - record.purged_at / 10:.0f} ms after it was issued",
            [],
            at,
        )
        for at, uncertainty, record in history.events
        if isinstance(record, Purge)
    ]
