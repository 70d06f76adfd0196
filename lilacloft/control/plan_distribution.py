"""Distributes plans: each gateway gets the entries that concern its location, as a delta if that is
smaller."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from lilacloft.control.fleet_state import CACHE, Backends, parent_zones
from lilacloft.control.leader_lease import PlanId
from lilacloft.control.messages import SECTIONS, Plan, PlanDelta, diff

MAX_RECENT_PLANS = 64  # on which a delta can be based

PlanOrDelta = tuple[Plan | None, PlanDelta | None]  # exactly one is set
Value = TypeVar("Value")


class PlanDistributor:
    """The current plan of a planner, and its recent plans."""

    def __init__(self) -> None:
        self.plan = Plan(PlanId())
        self._recent: dict[PlanId, Plan] = {}
        self._updates: dict[tuple[int, PlanId], PlanOrDelta] = {}  # by location and applied plan

    def publish(self, plan: Plan) -> None:
        """Make a plan the current plan."""
        self.plan = plan
        self._recent[plan.plan_id] = plan
        self._updates.clear()
        while len(self._recent) > MAX_RECENT_PLANS:
            del self._recent[next(iter(self._recent))]

    def update_for(self, zone: int, applied: PlanId, backends: Backends) -> PlanOrDelta:
        """Return the update for a gateway of a location that applies the plan `applied`. Gateways of a
        location that apply the same plan share one update."""
        if applied == self.plan.plan_id:
            return None, PlanDelta(applied, applied, self.plan.list_version)
        key = zone, applied
        if key not in self._updates:
            self._updates[key] = self._make_update(zone, applied, backends)
        return self._updates[key]

    def _make_update(self, zone: int, applied: PlanId, backends: Backends) -> PlanOrDelta:
        full_plan, before = plan_for_location(self.plan, zone, backends), self._recent.get(applied)
        if before is None:
            return full_plan, None
        delta = diff(plan_for_location(before, zone, backends), full_plan)
        size = sum(len(getattr(full_plan, section)) for section in SECTIONS)
        if 2 * sum(map(len, delta.changes.values())) >= size > 0:
            return full_plan, None
        return None, delta


def plan_for_location(plan: Plan, zone: int, backends: Backends) -> Plan:
    """Return the part of a plan that concerns the gateways of a location."""
    gateways = plan.revalidation_order.get(zone, ())
    zones = {zone} | parent_zones(backends.values())
    return Plan(
        plan.plan_id,
        plan.list_version,
        ejections=_relevant(plan.ejections, zone, backends),
        canary_gateways=_relevant(plan.canary_gateways, zone, backends),
        concurrency_limits=_relevant(plan.concurrency_limits, zone, backends),
        fill_limits={zone: plan.fill_limits[zone]} if zone in plan.fill_limits else {},
        gateway_shares={name: plan.gateway_shares[name] for name in gateways if name in plan.gateway_shares},
        revalidation_order={zone: gateways} if gateways else {},
        locations={other: location for other, location in plan.locations.items() if other in zones},
    )


def _relevant(by_backend: Mapping[str, Value], zone: int, backends: Backends) -> dict[str, Value]:
    """Return the entries of backends to which the gateways of a location send requests."""
    entries = {}
    for name, value in by_backend.items():
        backend = backends.get(name)
        if backend is None or backend.zone == zone or backend.kind != CACHE:
            entries[name] = value
    return entries
