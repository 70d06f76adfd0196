"""A planner: receives load reports and gossip, and makes plans while it is the leader.

On each tick a new plan is made if it differs from the last one by more than noise. The class combines the
modules that decide on the sections of a plan; it does no I/O. Times are `Ticks` of its own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from lilacloft.control.ejection_planning import assign_canaries, plan_ejections
from lilacloft.control.fleet_state import GatewayState, ListedBackend, SiteSettings, gateways_by_zone
from lilacloft.control.health_aggregation import HealthAggregator
from lilacloft.control.leader_lease import LeaderElection, PlanId
from lilacloft.control.limit_planning import FillLimitPlanner, plan_concurrency, plan_gateway_shares
from lilacloft.control.location_planning import LocationPlanner
from lilacloft.control.messages import SECTIONS, GossipMessage, LoadReport, Plan, PlanReply
from lilacloft.control.plan_distribution import PlanDistributor
from lilacloft.control.quota_broker import QuotaBroker
from lilacloft.membership.table import (
    ALIVE,
    DEAD,
    FORWARDER,
    LEFT,
    PLANNER,
    MembershipChange,
    MemberTable,
)
from lilacloft.routing.units import Ticks

PLAN_DURATION: Ticks = 30_000  # for which a plan is valid: about ten report intervals
REPORT_TIMEOUT: Ticks = 2 * PLAN_DURATION  # after which a silent gateway's report is discarded


class Planner:
    """One planner."""

    def __init__(self, name: str, incarnation: int, site: SiteSettings, epoch: int = 0) -> None:
        """`epoch`: the highest epoch known to earlier processes under this name."""
        self.name, self.site = name, site
        self.table = MemberTable(name, incarnation)
        self.election = LeaderElection(name, site.planners, epoch)
        self.health = HealthAggregator()
        self.backends: dict[str, ListedBackend] = {}
        self.list_version = 0
        self.gateways: dict[str, GatewayState] = {}
        self.quota = QuotaBroker(site.quota_window, self.gateways)
        self.fill_limits = FillLimitPlanner(site)
        self.locations = LocationPlanner(site, self.table, self.health, self.gateways)
        self.distributor = PlanDistributor()
        self.reports = self.stale_reports = self.plans = 0

    @property
    def plan(self) -> Plan:
        """The last plan made by this planner."""
        return self.distributor.plan

    @property
    def counts(self) -> dict[str, int]:
        """Counters for operators."""
        return {
            "reports": self.reports,
            "stale": self.stale_reports,
            "plans": self.plans,
            "lent": self.quota.lent,
            "borrowed": self.quota.borrowed,
            "greedy": self.fill_limits.greedy_allocations,
        }

    # --- input ---

    def update_backends(self, backends: Iterable[ListedBackend], list_version: int) -> None:
        """Update the backend list, as of a change log number."""
        self.backends = {backend.name: backend for backend in backends}
        self.list_version = max(self.list_version, list_version)
        self.health.retain(self.backends)
        self.quota.update_backends(self.backends)

    def receive_gossip(self, gossip: GossipMessage, now: Ticks) -> None:
        """Process another planner's gossip."""
        self.election.observe_epoch(max(gossip.epoch, gossip.highest_epoch))
        heartbeat = self.table.record_heartbeat(gossip.name, PLANNER, gossip.incarnation, now)
        for change in (heartbeat, *self.table.merge(gossip.members, now)):
            self._on_membership_change(change)

    def gossip(self, now: Ticks) -> GossipMessage:
        """Return the gossip to send to other planners."""
        return GossipMessage(
            self.name,
            self.table.incarnation,
            self.election.epoch if self.election.is_leader else 0,
            self.election.highest_epoch,
            tuple(self.table.export_rows(now)),
        )

    def receive_report(self, report: LoadReport, now: Ticks) -> PlanReply:
        """Process a gateway's report and return the reply: an empty one if the report is out of order or from
        an earlier process."""
        gateway = self.gateways.get(report.name)
        if gateway and (report.incarnation, report.number) <= (
            gateway.report.incarnation,
            gateway.report.number,
        ):
            self.stale_reports += 1
            return self._empty_reply(report)
        self.reports += 1
        is_first = gateway is None or report.incarnation != gateway.report.incarnation
        if is_first:
            self.health.forget_gateway(report.name)
            gateway = self.gateways[report.name] = GatewayState(report, now)
        gateway.report, gateway.received_at = report, now
        if report.is_leaving:
            return self._gateway_leaves(report, now)
        self._record_report(gateway, report, now)
        reply = replace(
            self._empty_reply(report),
            quota_leases=tuple([self.quota.lend(request, now) for request in report.quota_requests]),
            quota_requests=tuple(self.quota.requests_to(gateway, now)),
            is_first=is_first and report.number > 0,
        )
        self.locations.record_tallies(report)
        if not self.election.is_leader:
            return reply
        plan, delta = self.distributor.update_for(report.zone, report.plan_id, self.backends)
        return replace(reply, duration=PLAN_DURATION, plan=plan, delta=delta)

    def _empty_reply(self, report: LoadReport) -> PlanReply:
        return PlanReply(self.name, self.table.incarnation, report.number)

    def _gateway_leaves(self, report: LoadReport, now: Ticks) -> PlanReply:
        self._on_membership_change(self.table.record_leave(report.name, report.incarnation, now))
        self.gateways.pop(report.name, None)
        self.health.forget_gateway(report.name)
        return self._empty_reply(report)

    def _record_report(self, gateway: GatewayState, report: LoadReport, now: Ticks) -> None:
        heartbeat = self.table.record_heartbeat(report.name, FORWARDER, report.incarnation, now, report.zone)
        self._on_membership_change(heartbeat)
        self.election.observe_epoch(report.plan_id.epoch)
        listed = {
            backend: observation
            for backend, observation in report.observations.items()
            if backend in self.backends
        }
        self.health.record(report.name, listed, now)
        for lease in report.quota_leases:
            self.quota.record_lease(gateway, lease, now)

    def _on_membership_change(self, change: MembershipChange | None) -> None:
        """Discard the state of a gateway that has stopped or restarted."""
        if change is None or not (change.is_new_process or change.member.state in (DEAD, LEFT)):
            return
        member = change.member
        if member.role != FORWARDER:
            return
        self.health.forget_gateway(member.name)
        self.locations.forget_gateway(member.name)
        gateway = self.gateways.get(member.name)
        if gateway is None or gateway.report.incarnation > member.incarnation:
            return
        if change.is_new_process and gateway.report.incarnation == member.incarnation:
            return  # the change was caused by its own first report
        del self.gateways[member.name]

    # --- plans ---

    def tick(self, now: Ticks) -> bool:
        """Re-evaluate everything; return whether a new plan was made."""
        for change in self.table.expire(now):
            self._on_membership_change(change)
        timed_out = [
            name for name, gateway in self.gateways.items() if now - gateway.received_at > REPORT_TIMEOUT
        ]
        for name in timed_out:
            del self.gateways[name]
        became_leader = self.election.update(self._alive_planners())
        if self.site.location_failover:
            self.locations.update(self.backends, self.election.is_leader, now)
        if not self.election.is_leader:
            return False
        draft = self._draft(now)
        if not became_leader and self._is_current(draft):
            return False
        self.distributor.publish(replace(draft, plan_id=self.election.next_plan_id()))
        self.plans += 1
        return True

    def _alive_planners(self) -> list[str]:
        """Return the planners that are considered in the leader election. Suspected planners are not: the
        others would wait for a suspected leader, while two leaders at a time are ordered by their epochs."""
        return [name for name in self.table.alive(PLANNER) if self.table.members[name].state == ALIVE]

    def _is_current(self, draft: Plan) -> bool:
        """Return whether a draft equals the last plan, and that is of the current epoch."""
        return (
            all(getattr(draft, section) == getattr(self.plan, section) for section in SECTIONS)
            and draft.list_version == self.plan.list_version
            and self.plan.plan_id.epoch == self.election.epoch
        )

    def _draft(self, now: Ticks) -> Plan:
        """Return a plan without its id."""
        gateways = dict(sorted(self.gateways.items()))
        by_zone = gateways_by_zone(gateways)
        ejections = plan_ejections(self.health.evaluate(now), self.backends)
        return Plan(
            PlanId(),
            self.list_version,
            ejections=ejections,
            canary_gateways=assign_canaries(ejections, self.backends, list(gateways), by_zone, now),
            concurrency_limits=plan_concurrency(
                self.backends, self.health, gateways, self.plan.concurrency_limits
            ),
            fill_limits=self.fill_limits.plan(self.backends, gateways, self.plan.fill_limits),
            gateway_shares=plan_gateway_shares(gateways, by_zone, self.plan.gateway_shares),
            revalidation_order={zone: tuple(names) for zone, names in by_zone.items()},
            locations=self.locations.plan(self.backends, by_zone, self.plan.locations, now),
        )
