"""Emulates a fleet with planners: data plane and control plane in virtual time. It makes no decisions:
gateways and planners run `lilacloft.control`, and faults decide which of their messages arrive.

Each gateway sends a load report to each planner four times a second and receives a plan in reply; planners
gossip the reports that they have received. A planner can be killed, restarted, partitioned from gateways or
from other planners, slow, or stuck with an old endpoint list. All monotonic clocks differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from lilacloft.control.fleet_state import UNKNOWN_AGE, ListedBackend, SiteSettings
from lilacloft.control.follower import REPORT_INTERVAL, Follower, FollowerSettings
from lilacloft.control.gateway_observer import EndedAttempt, GatewayObserver
from lilacloft.control.messages import GossipMessage, LoadReport, PlanReply
from lilacloft.control.planner import Planner
from lilacloft.emulator.boxes import CACHE, ORIGIN, PARENT, EmulatedServer
from lilacloft.emulator.events import FAULT, LOG, NET, TIMER
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.fleet import START, Fleet
from lilacloft.emulator.gateway import Gateway, Policy
from lilacloft.emulator.worlds import World
from lilacloft.failover.local_failover import LocalFailover
from lilacloft.failover.recovery_ramp import SlowStartProfile

KINDS = {CACHE: "cache", PARENT: "parent", ORIGIN: "origin"}
PLANNER_INTERVAL = 2_500
MIN_DELAY = 20  # minimum delay of messages between gateways and planners, tenths of a millisecond
DUPLICATE_RATE = 0.02  # fraction of replies that are delivered a second time, late
DUPLICATE_DELAY = 8_000


@dataclass(frozen=True)
class PlannerFault:
    """A fault of a planner: `kill` (down for a while, then restarted), `cut` (partitioned from gateways),
    `split` (from other planners), `old` (receives no change log events)."""

    kind: str
    planner: int
    at: int
    span: int


class PlannedGateway(Gateway):
    """A gateway that follows planners."""

    def begin(self) -> None:
        world, now = self.fleet.world, self.fleet.events.now
        self.settings["across"] = self.fleet.leave == "across"
        super().begin()
        restarted = self.life > 1
        names = [f"p{number}" for number in range(self.fleet.planners_count)]
        leaves = self.fleet.leave != "never"
        failover = LocalFailover(self.name, world.gateways, world.cold_cache[1]) if leaves else None
        self.follower = Follower(
            FollowerSettings(self.name, self.life, self.zone, names, world.fall, 1 / world.gateways),
            self.steady(now),
            restarted,
            failover,
        )
        self.observer = GatewayObserver(self.router, [vhost.name for vhost in world.vhosts], self.follower)
        self.requests = 0
        self.fleet.events.at(
            now + 1 + self.number * 37 % REPORT_INTERVAL, TIMER, self._send_reports, self.life
        )

    def steady(self, now: int) -> int:
        """Return its monotonic clock, which starts at a value of its own."""
        return now + 777_000 * (self.number + 1)

    def told(self, rows: list[Any], mode: str = "delta") -> None:
        super().told(rows, mode)
        if hasattr(self, "observer"):
            now = self.fleet.events.now
            self.observer.backends_changed(
                [box.name for box in rows], len(self.fleet.log), self.now(), self.steady(now)
            )

    def arrived(self, number: int, ask: Any) -> None:
        self.requests += 1
        super().arrived(number, ask)

    def ended(self, dispatch: Any, outcome: str, note: int, load: list[float]) -> None:
        if not dispatch.over and self.fleet.events.now >= self.frozen:
            request, took = dispatch.request, self.fleet.events.now - dispatch.sent
            self.observer.attempt_ended(
                EndedAttempt(
                    dispatch.backend,
                    request.vhost,
                    outcome,
                    took,
                    request.transfer_time,
                    note,
                    dispatch.kbytes,
                    request.source,
                )
            )
        super().ended(dispatch, outcome, note, load)

    def _send_reports(self, life: int) -> None:
        """Send load reports to the planners, and apply the plan in force."""
        if life != self.life or self.held(TIMER, self._send_reports, life):
            return
        now = self.fleet.events.now
        self.observer.observe(self.requests, len(self.fleet.log), self.now(), self.steady(now))
        self.requests = 0
        for planner in self.fleet.planners:
            self.fleet.up(self, planner, self.follower.make_report(planner.name, self.steady(now)))
        self.act()
        self.fleet.events.at(now + REPORT_INTERVAL, TIMER, self._send_reports, life)

    def act(self) -> None:
        """Apply the plan in force to the decision module."""
        self.observer.apply(self.now(), self.steady(self.fleet.events.now))

    def answered(self, reply: PlanReply, life: int) -> None:
        """Handle a planner's reply."""
        if life != self.life or self.held(NET, self.answered, reply, life):
            return
        if self.follower.receive_reply(reply, self.steady(self.fleet.events.now)):
            self.act()


class EmulatedPlanner:
    """One planner and its connectivity."""

    def __init__(self, fleet: PlannedFleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"p{number}"
        self.life, self.dead, self.old = 0, False, False
        self.cut: set[str] = set()  # partitioned peers
        self.epoch = 0  # survives restarts, as in the durable store
        self.started()

    def started(self) -> None:
        """Start a new process, which knows the endpoint list and its last epoch."""
        self.life += 1
        self.dead = False
        self.planner = Planner(self.name, self.life, self.fleet.site, self.epoch)
        self.fleet.events.at(self.fleet.events.now + 1 + 113 * self.number, TIMER, self._tick, self.life)
        self.list()

    def now(self) -> int:
        return self.fleet.events.now + 31_000_000 * (self.number + 1)

    def list(self) -> None:
        if self.dead or self.old:
            return
        now, rows = self.fleet.events.now, []
        for box in self.fleet.boxes:
            cold = box.kind == CACHE and bool(box.started) and now - box.started < self.fleet.cold_cache[1]
            rows.append(
                ListedBackend(
                    box.name,
                    box.zone,
                    KINDS[box.kind],
                    box.status == 1,
                    cold,
                    box.size,
                    now - box.started if box.started else UNKNOWN_AGE,
                )
            )
        self.planner.update_backends(rows, len(self.fleet.log))

    def _tick(self, life: int) -> None:
        if life != self.life or self.dead:
            return
        self.list()
        if self.planner.tick(self.now()):
            self.fleet.issued.append(
                (self.fleet.events.now, self.planner.plan.plan_id, len(self.planner.plan.ejections))
            )
        election = self.planner.election
        self.epoch = max(self.epoch, election.epoch, election.highest_epoch)
        gossip = self.planner.gossip(self.now())
        for other in self.fleet.planners:
            if other is not self:
                self.fleet.across(self, other, gossip)
        self.fleet.events.at(self.fleet.events.now + PLANNER_INTERVAL, TIMER, self._tick, life)

    def asked(self, gateway: PlannedGateway, report: LoadReport, life: int) -> None:
        """Handle a gateway's load report."""
        if not self.dead:
            self.fleet.down(self, gateway, self.planner.receive_report(report, self.now()), life)

    def heard(self, gossip: GossipMessage) -> None:
        if not self.dead:
            self.planner.receive_gossip(gossip, self.now())


class PlannedFleet(Fleet):
    """A fleet with planners."""

    def __init__(
        self,
        world: World,
        seed: int,
        faults: Iterable[Fault] = (),
        policy: Policy | None = None,
        planners: int = 3,
        troubles: Iterable[PlannerFault] = (),
        leave: str = "never",
    ) -> None:
        """`leave`: how traffic may fail over from a location: `past` its caches, or `across` to others."""
        self.leave = leave
        self.planners_count = planners
        self.planners: list[EmulatedPlanner] = []
        self.issued: list[tuple[int, Any, int]] = []
        super().__init__(world, seed, faults, policy)
        names = tuple(f"p{number}" for number in range(planners))
        links = {zone: world.way_in for zone in range(world.zones)}
        self.site = SiteSettings(
            names,
            world.pace,
            links,
            world.parent_size * world.pace,
            world.origin_size * world.pace,
            world.fall,
            leave != "never",
            leave == "across",
            False,
            SlowStartProfile(*world.cold_cache),
            SlowStartProfile(*world.cold_parent),
        )
        self.planners = [EmulatedPlanner(self, number) for number in range(planners)]
        for trouble in troubles:
            self.events.at(START + trouble.at, FAULT, self._apply_planner_fault, trouble)

    def _make_gateway(self, number: int, policy: Policy) -> PlannedGateway:
        return PlannedGateway(self, number, number // self.world.gateways, policy)

    def tells(self, box: EmulatedServer, zone: int) -> bool:
        return self.leave == "across" or super().tells(box, zone)

    def apply_fault(self, fault: Fault) -> None:
        if fault.kind != "lone":
            return super().apply_fault(fault)
        names = {one.name for one in self.struck(fault)}
        for plane in self.planners:
            newly_cut = names - plane.cut
            plane.cut |= newly_cut
            self.events.at(self.events.now + fault.span, FAULT, self._end_partition, plane, newly_cut)
        return None

    # --- messages ---

    def _message_delay(self) -> int:
        return MIN_DELAY + int(self.chance.stream("planes").expo(MIN_DELAY))

    def up(self, gateway: PlannedGateway, plane: EmulatedPlanner, report: LoadReport) -> None:
        if gateway.name not in plane.cut:
            self.events.at(
                self.events.now + self._message_delay(), NET, plane.asked, gateway, report, gateway.life
            )

    def down(self, plane: EmulatedPlanner, gateway: PlannedGateway, reply: PlanReply, life: int) -> None:
        if gateway.name in plane.cut:
            return
        delay = self._message_delay()
        self.events.at(self.events.now + delay, NET, gateway.answered, reply, life)
        if self.chance.stream("planes").random() < DUPLICATE_RATE:  # duplicated and out of order
            self.events.at(self.events.now + delay + DUPLICATE_DELAY, NET, gateway.answered, reply, life)

    def across(self, sender: EmulatedPlanner, receiver: EmulatedPlanner, gossip: GossipMessage) -> None:
        if receiver.name not in sender.cut and sender.name not in receiver.cut:
            self.events.at(self.events.now + self._message_delay(), NET, receiver.heard, gossip)

    def tell(self, *event: Any) -> None:
        super().tell(*event)
        for plane in self.planners:
            delay = int(self.chance.stream("log planners").between(*self.world.told))
            self.events.at(self.events.now + delay, LOG, plane.list)

    # --- planner faults ---

    def _apply_planner_fault(self, trouble: PlannerFault) -> None:
        if trouble.planner >= len(self.planners):
            return
        plane, end = self.planners[trouble.planner], self.events.now + trouble.span
        if trouble.kind == "kill":
            if not plane.dead:
                plane.dead = True
                self.events.at(end, FAULT, plane.started)
        elif trouble.kind == "old":
            plane.old = True
            self.events.at(end, FAULT, setattr, plane, "old", False)
        else:
            names = {one.name for one in (self.gateways if trouble.kind == "cut" else self.planners)}
            if trouble.kind == "cut":
                names = {name for place, name in enumerate(sorted(names)) if place % 2 == 0}
            plane.cut |= names - {plane.name}
            self.events.at(end, FAULT, self._end_partition, plane, names)

    @staticmethod
    def _end_partition(plane: EmulatedPlanner, names: set[str]) -> None:
        plane.cut -= names


def troubles(stream: Any, planners: int, horizon: int, count: int) -> list[PlannerFault]:
    """Draw random planner faults."""
    kinds = ("kill", "kill", "cut", "split", "old")
    return [
        PlannerFault(
            kinds[stream.below(len(kinds))],
            stream.below(planners),
            stream.below(horizon),
            1 + int(stream.between(0.05, 0.6) * horizon),
        )
        for _ in range(count)
    ]
