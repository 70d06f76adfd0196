"""Leader election among planners, and the lease under which a gateway applies a plan.

Plans are ordered by epoch, number and planner: the higher id takes precedence everywhere, and no leader is
required for serving requests. A planner issues plans while it is the first by name among the planners that it
can reach, and these are a majority of all configured planners. Whenever it starts to issue, it uses an epoch
higher than any it has seen. So in a network partition at most one side issues plans, and a planner that
rejoins starts with a new epoch above those of the other side. A gateway applies a plan for a limited time
from when it requested it. The module does no I/O; times are `Ticks` of the caller's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lilacloft.control.quota import shortest
from lilacloft.routing.units import Ticks


@dataclass(frozen=True, order=True)
class PlanId:
    """Identifies a plan; a higher one takes precedence."""

    epoch: int = 0
    number: int = 0
    planner: str = ""

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number} of {self.planner or 'nobody'}"


class LeaderElection:
    """Decides when one planner may issue plans."""

    def __init__(self, name: str, planners: Iterable[str], epoch: int = 0) -> None:
        """`planners`: all configured planners. `epoch`: the highest epoch known before this process
        started."""
        self.name, self.planners = name, sorted(set(planners) | {name})
        self.highest_epoch = epoch  # seen anywhere
        self.epoch = self.plan_number = 0  # of this planner's last plan
        self.is_leader = False

    def observe_epoch(self, epoch: int) -> None:
        """Record that a plan of an epoch exists."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def update(self, alive: Iterable[str]) -> bool:
        """Decide whether this planner is the leader, given the planners that it can reach (itself is always
        one of them); return whether it has just become the leader."""
        reachable = {self.name, *alive} & set(self.planners)
        is_majority = len(reachable) * 2 > len(self.planners)
        is_leader = is_majority and min(reachable) == self.name
        became_leader = is_leader and not self.is_leader
        # another planner has issued plans since this one did
        was_overtaken = is_leader and self.highest_epoch > self.epoch
        if became_leader or was_overtaken:
            self.epoch = self.highest_epoch = self.highest_epoch + 1
            self.plan_number = 0
        self.is_leader = is_leader
        return became_leader

    def next_plan_id(self) -> PlanId:
        """Return the id of this planner's next plan."""
        self.plan_number += 1
        return PlanId(self.epoch, self.plan_number, self.name)


class PlanLease:
    """The plan that a gateway applies, and until when."""

    def __init__(self) -> None:
        self.plan_id = PlanId()
        self.expires_at: Ticks = 0
        self.rejected = 0  # plans that were late, duplicate, out of order or of an earlier epoch

    def accept(self, plan_id: PlanId, requested_at: Ticks, duration: Ticks, now: Ticks) -> bool:
        """Accept a plan that is valid for a duration from when it was requested; return whether it is a new
        plan. The current plan only has its lease extended."""
        expires_at = requested_at + shortest(duration)
        if expires_at <= now or plan_id < self.plan_id:
            self.rejected += 1
            return False
        if plan_id == self.plan_id:
            self.expires_at = max(self.expires_at, expires_at)
            return False
        self.plan_id, self.expires_at = plan_id, expires_at
        return True

    def is_valid(self, now: Ticks) -> bool:
        """Return whether the plan is still valid."""
        return now < self.expires_at
