"""Observations from single records: endpoint lists, purges, ejections, plans and failed-over locations.

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

FIRST_SIGN_WINDOW = 6000.0  # ms before an ejection in which its first sign is looked for
FROM_DISCOVERY = "told by the change log"
SLOW_LATE_SHARE = 0.5  # share of a backend's answers late that make it slow


def location_failovers(seen: GatewayHistory) -> list[Observation]:
    """Return the intervals in which a location was failed over, in whole or in part."""
    out: list[Observation] = []
    open_: dict[str, Observation] = {}
    for at, uncertainty, record in seen.events:
        if isinstance(record, LocationFailover):
            observation = open_.get(record.zone)
            if observation is None and record.returned_slices < record.total_slices:
                observation = open_[record.zone] = Observation(
                    seen.gateway,
                    "location left",
                    record.zone,
                    at,
                    None,
                    uncertainty,
                    record.reason or "left without a plan",
                    [],
                    at,
                )
                out.append(observation)
            if observation is not None:
                how = " without a plan" if record.without_plan else ""
                why = (
                    f": {record.reason}"
                    if record.reason and record.returned_slices in (0, record.total_slices)
                    else ""
                )
                observation.actions.append(
                    f"{record.returned_slices} of {record.total_slices} slices at home{how}{why}"
                )
                if record.returned_slices >= record.total_slices:
                    observation.end = at
                    del open_[record.zone]
        elif isinstance(record, Start) and record.reason != "upgrade":
            for (
                observation
            ) in open_.values():  # another process, which has all of it at home until it is told
                observation.end = at
            open_.clear()
    return out


def plan_outages(seen: GatewayHistory) -> list[Observation]:
    """Return the intervals in which a gateway that had followed a plan followed none: from the record that
    says so to the next plan, or to its process's end."""
    out: list[Observation] = []
    without_plan: Observation | None = None
    held = ""
    for at, uncertainty, record in seen.events:
        if isinstance(record, PlanChange) and not record.planner and held:
            if without_plan is None:
                without_plan = Observation(
                    seen.gateway,
                    "without a plan",
                    "planners",
                    at,
                    None,
                    uncertainty,
                    f"the plan of {held} ran out",
                    [],
                    at,
                )
                out.append(without_plan)
        elif isinstance(record, PlanChange) and record.planner:
            if without_plan is not None:
                without_plan.end = at
                without_plan.actions.append(
                    f"plan {record.epoch}.{record.plan_number} of {record.planner} holds"
                )
                without_plan = None
            held = record.planner
        elif isinstance(record, Start) and record.reason != "upgrade":
            if without_plan is not None:
                without_plan.end = at
                without_plan.actions.append("the gateway restarted")
                without_plan = None
            held = ""
    return out


def ejections(seen: GatewayHistory) -> list[Observation]:
    """Return the intervals in which backends were ejected, as silent or slow."""
    out: list[Observation] = []
    open_: dict[str, Observation] = {}
    for at, uncertainty, record in seen.events:
        if isinstance(record, HealthChange) and record.change == "left alone":
            if record.backend not in open_:
                open_[record.backend] = _ejection(seen, at, uncertainty, record)
                out.append(open_[record.backend])
        elif isinstance(record, HealthChange):
            _close(open_, record.backend, at, "answers again")
        elif isinstance(record, BackendList):
            for name, _, _, status, started, _ in record.backends:
                observation = open_.get(name)
                if observation and (not status or started / 10 > observation.begin):
                    _close(open_, name, at, "gone from the list" if not status else "started anew")
        elif isinstance(record, SummaryRecord):
            for name, observation in list(open_.items()):
                backend = record.backends.get(name)
                if backend:
                    after = at - record.duration / 10 > (observation.acted_at or at)
                    observation.answered += backend.done if after else 0
                    if backend.status == 1 and not backend.ejected and backend.done and after:
                        _close(open_, name, at, "answers again")  # its word of that is not here
        elif isinstance(record, LimitChange):
            observation = open_.get(record.backend)
            if observation and not record.recovered:
                observation.actions.append(f"limit {record.previous_limit:g} to {record.limit:g}")
        elif isinstance(record, Start) and record.reason != "upgrade":
            for name in list(open_):
                _close(open_, name, at, "the gateway restarted, and began without that belief")
    return out


def _ejection(seen: GatewayHistory, at: float, uncertainty: float, record: HealthChange) -> Observation:
    """Return the observation of an ejection. It begins between the last second in which the backend answered
    and the ejection."""
    slow = "late" in record.reason
    begin = at
    # not across a restart: what lies between nobody has seen
    starts = [when for when, _, one in seen.events if isinstance(one, Start) and when <= at]
    since = max([at - FIRST_SIGN_WINDOW, *starts])
    for span in reversed([one for one in seen.spans if since < one.end and one.begin < at]):
        backend = span.second.backends.get(record.backend)
        if backend is None or (not backend.done and not slow):
            begin = min(begin, span.begin)
            continue
        if slow and backend.late_answers > SLOW_LATE_SHARE * max(1, backend.done):
            begin = min(begin, span.begin)
            continue
        begin = min(at, span.end)
        break
    actions = [f"left alone {at - begin:.0f} ms after its first sign"]
    return Observation(
        seen.gateway,
        "slow" if slow else "silent",
        record.backend,
        begin,
        None,
        uncertainty + (at - begin) / 2,
        record.reason,
        actions,
        at,
    )


def _close(open_: dict[str, Observation], backend: str, at: float, why: str) -> None:
    observation = open_.pop(backend, None)
    if observation:
        observation.end = at
        observation.actions.append(why)


def endpoint_changes(seen: GatewayHistory) -> list[Observation]:
    """Return what the endpoint list said: backends that were draining, gone, or had started anew."""
    out: list[Observation] = []
    status: dict[str, int] = {}
    born: dict[str, int] = {}
    drains: dict[str, Observation] = {}
    for at, uncertainty, record in seen.events:
        if not isinstance(record, BackendList):
            continue
        for name, _, _, now, started, _ in record.backends:
            if now != 2 and name in drains:
                drains[name].actions.append("gone from the list" if not now else "ready again")
                drains.pop(name).end = at
            if now == 2 and status.get(name) == 1:
                drains[name] = Observation(
                    seen.gateway, "drained", name, at, None, uncertainty, FROM_DISCOVERY, [], at
                )
                out.append(drains[name])
            if now == 0 and status.get(name, 0) == 1:
                out.append(
                    Observation(seen.gateway, "gone", name, at, at, uncertainty, FROM_DISCOVERY, [], at)
                )
            if now == 1 and name in born and started > born[name]:
                out.append(
                    Observation(seen.gateway, "cold", name, at, at, uncertainty, FROM_DISCOVERY, [], at)
                )
            status[name], born[name] = now, max(started, born.get(name, 0))
    return out


def purges(seen: GatewayHistory) -> list[Observation]:
    """Return the purges that arrived."""
    return [
        Observation(
            seen.gateway,
            "purge",
            record.key or f"group {record.group}",
            record.purged_at / 10,
            at,
            uncertainty,
            f"told {at - record.purged_at / 10:.0f} ms after it",
            [],
            at,
        )
        for at, uncertainty, record in seen.events
        if isinstance(record, Purge)
    ]
