"""The messages between gateways and planners, as records; `codec` defines their wire format.

Times are durations in `Ticks`, as no two clocks are compared. Rates are per second, shares are fractions of a
whole budget or limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.control.health_aggregation import Observation
from lilacloft.control.leader_lease import PlanId
from lilacloft.failover.failover_state import FailoverDirective
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.membership.table import MemberRow
from lilacloft.routing.units import Ticks


@dataclass(frozen=True)
class QuotaRequest:
    """A request for a share of a cold backend's start budget."""

    number: int
    backend: str
    share: float
    duration: Ticks


@dataclass(frozen=True)
class QuotaLease:
    """The answer to a quota request: a share, usable from `delay` after the answer arrives until `duration`
    after the request was sent. A share of 0 refuses the request."""

    number: int  # of the request
    backend: str
    share: float = 0.0
    delay: Ticks = 0
    duration: Ticks = 0


@dataclass(frozen=True)
class LoadReport:
    """A gateway's report to a planner, four times a second."""

    name: str
    incarnation: int
    number: int  # of this report, increasing
    zone: int = 0
    list_version: int = 0  # number of the last change log entry that the gateway has applied
    request_rate: float = 0.0
    fill_rates: dict[str, float] = field(default_factory=dict)  # by virtual host, in KB/s
    values_per_kb: dict[str, float] = field(default_factory=dict)  # by virtual host
    observations: dict[str, Observation] = field(default_factory=dict)  # by backend
    # usable share and share in use, by backend
    cold_shares: dict[str, tuple[float, float]] = field(default_factory=dict)
    quota_requests: tuple[QuotaRequest, ...] = ()
    quota_leases: tuple[QuotaLease, ...] = ()  # answers to the planner's requests
    plan_id: PlanId = PlanId()  # of the plan that the gateway applies
    is_leaving: bool = False
    requested_rate: float = 0.0  # KB/s requested by clients
    uncached_rate: float = 0.0  # KB/s of fills that bypass the caches
    tallies: dict[int, OutcomeCounts] = field(default_factory=dict)  # by location, since the process started
    location_states: dict[int, tuple[int, int]] = field(default_factory=dict)  # by location


@dataclass(frozen=True)
class Plan:
    """A plan. A gateway reads only the entries that concern its own location."""

    plan_id: PlanId
    list_version: int = 0  # of the backend list from which the plan was made
    ejections: dict[str, str] = field(default_factory=dict)  # reasons by ejected backend
    canary_gateways: dict[str, str] = field(default_factory=dict)  # by ejected backend
    concurrency_limits: dict[str, float] = field(default_factory=dict)  # by backend, of all gateways together
    fill_limits: dict[int, float] = field(default_factory=dict)  # by location, of all gateways together
    gateway_shares: dict[str, float] = field(default_factory=dict)  # of a location's limits
    revalidation_order: dict[int, tuple[str, ...]] = field(default_factory=dict)  # gateways by location
    locations: dict[int, FailoverDirective] = field(default_factory=dict)  # not completely in use


SECTIONS = (  # the maps of a plan, in the order in which a delta carries their changes
    "ejections",
    "canary_gateways",
    "concurrency_limits",
    "fill_limits",
    "gateway_shares",
    "revalidation_order",
    "locations",
)
SECTIONS_BY_LOCATION = ("fill_limits", "revalidation_order", "locations")


@dataclass(frozen=True)
class PlanDelta:
    """The difference between two plans: the changed entries by section. The value None removes an entry."""

    base: PlanId
    plan_id: PlanId
    list_version: int
    changes: dict[str, dict[object, object]] = field(default_factory=dict)


@dataclass(frozen=True)
class PlanReply:
    """A planner's answer to a load report."""

    planner: str
    incarnation: int
    number: int  # of the report that it answers; durations count from when that was sent
    duration: Ticks = 0  # of the validity of the plan
    plan: Plan | None = None
    delta: PlanDelta | None = None
    quota_requests: tuple[QuotaRequest, ...] = ()
    quota_leases: tuple[QuotaLease, ...] = ()
    is_first: bool = False  # whether this is the first report of the process to this planner


@dataclass(frozen=True)
class GossipMessage:
    """A planner's gossip to the other planners, four times a second."""

    name: str
    incarnation: int
    epoch: int  # of its plans; 0: it is not the leader
    highest_epoch: int
    members: tuple[MemberRow, ...] = ()


def diff(before: Plan, after: Plan) -> PlanDelta:
    """Return the difference between two plans."""
    changes = {}
    for section in SECTIONS:
        changed = _changed_entries(getattr(before, section), getattr(after, section))
        if changed:
            changes[section] = changed
    return PlanDelta(before.plan_id, after.plan_id, after.list_version, changes)


def _changed_entries(before: Mapping[object, object], after: Mapping[object, object]) -> dict[object, object]:
    changed = {key: value for key, value in after.items() if before.get(key) != value}
    changed.update((key, None) for key in before if key not in after)
    return changed


def apply_delta(before: Plan, delta: PlanDelta) -> Plan | None:
    """Return a plan with a delta applied; None if the delta is based on another plan."""
    if delta.base != before.plan_id:
        return None
    sections = {}
    for section in SECTIONS:
        entries = dict(getattr(before, section))
        for key, value in delta.changes.get(section, {}).items():
            if value is None:
                entries.pop(key, None)
            else:
                entries[key] = value
        sections[section] = entries
    return Plan(delta.plan_id, delta.list_version, **sections)
