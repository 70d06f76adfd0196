"""Decides which planner's plan holds, when a planner may issue one, and what a forwarder may do with it.

A plan is named by epoch, number and planner, in this order: the later name holds, everywhere, without a
leader that is needed to serve. A planner issues where it is the first by name among the planners that it
hears, and hears more than half of all there are; its epoch is higher than any that it has seen whenever it
begins to issue. So in a split one side at most makes plans, the other only judges for itself; and who comes
back begins with a new epoch, above what the other side had. A forwarder's plan holds for a stated time from
when the forwarder asked for it. No I/O; times are of one's own steady clock, in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

DRIFT = 0.001


@dataclass(frozen=True, order=True)
class Name:
    """A plan's: compared in this order."""

    epoch: int = 0
    number: int = 0
    planner: str = ""

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number} of {self.planner or 'nobody'}"


class Issuer:
    """One planner's right to issue plans."""

    def __init__(self, name: str, planners: Iterable[str], epoch: int = 0) -> None:
        """`planners`: all there are, by the settings. `epoch`: the last it knows of, kept over its own
        ends."""
        self.name, self.planners = name, sorted(set(planners) | {name})
        self.seen = epoch  # the highest epoch heard of
        self.epoch = self.number = 0
        self.issues = False

    def heard(self, epoch: int) -> None:
        """Somebody has a plan of an epoch."""
        self.seen = max(self.seen, epoch)

    def look(self, alive: Iterable[str]) -> bool:
        """May it issue, with these planners heard (itself is always)? Tells whether that has just begun."""
        there = {self.name, *alive} & set(self.planners)
        may = len(there) * 2 > len(self.planners) and min(there) == self.name
        began = may and not self.issues
        if began or (may and self.seen > self.epoch):  # somebody else has issued since
            self.epoch = self.seen = self.seen + 1
            self.number = 0
        self.issues = may
        return began

    def next(self) -> Name:
        """The next plan's name."""
        self.number += 1
        return Name(self.epoch, self.number, self.name)


class Holder:
    """One forwarder's plan, and until when it holds."""

    def __init__(self) -> None:
        self.name = Name()
        self.until = 0
        self.refused = 0  # plans that came late, twice, out of order, or of a past epoch

    def take(self, name: Name, asked: int, span: int, now: int) -> bool:
        """A plan has come, in answer to what was asked at a time, good for a span from then. True where it is
        another than the one held; one that is told again only holds longer."""
        until = asked + span - int(span * DRIFT) - 1
        if until <= now or name < self.name:
            self.refused += 1
            return False
        if name == self.name:
            self.until = max(self.until, until)
            return False
        self.name, self.until = name, until
        return True

    def holds(self, now: int) -> bool:
        """Is there a plan?"""
        return now < self.until
