"""Flow-level model of the network: transfers share links by max-min fairness.

Each transfer crosses a set of links and has a maximum rate of its own. Under max-min fairness no rate can be
raised without lowering that of a transfer with an equal or lower rate. The rates come from progressive
filling: all rates rise together, and those on the first link to saturate are fixed. Rates change only where
a transfer starts or ends or a link changes capacity, and only among transfers connected through saturated
links: a link whose transfers together ask for less than its capacity constrains none of them, and changes do
not propagate over it. No I/O. Rates are in KB per tenth of a millisecond, sizes in KB.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

TINY = 1e-9


class Link:
    """A shared capacity: the egress of a server or the ingress of a location."""

    __slots__ = ("name", "capacity", "flows", "wanted")

    def __init__(self, name: str, capacity: float) -> None:
        self.name, self.capacity = name, capacity
        self.flows: dict[Flow, None] = {}
        self.wanted = 0.0  # sum of the maximum rates of its transfers

    def binds(self) -> bool:
        """Return whether it can constrain a transfer."""
        return self.wanted > self.capacity + TINY

    def used(self) -> float:
        """Return its current throughput."""
        return sum(flow.rate for flow in self.flows)


class Flow:
    """One transfer."""

    __slots__ = ("links", "pace", "left", "rate", "since", "turn", "context", "over")

    def __init__(self, links: tuple[Link, ...], pace: float, size: float, now: int) -> None:
        self.links, self.pace, self.left, self.rate, self.since = links, pace, size, 0.0, now
        self.turn = 0  # rises with each change of rate; completion times computed before are void
        self.context: object = None  # the caller's context
        self.over = False


def shares(flows: Iterable[Flow]) -> dict[Flow, float]:
    """Return the max-min fair rates of transfers, by progressive filling. The caller passes all transfers
    that share a constraining link; the rates of others do not change."""
    free = dict.fromkeys(flows)
    room: dict[Link, float] = {}
    count: dict[Link, int] = {}
    for flow in free:
        for link in flow.links:
            if link.binds():
                room[link] = link.capacity
                count[link] = count.get(link, 0) + 1
    out: dict[Flow, float] = {}
    by_pace = sorted(free, key=lambda flow: flow.pace)
    position = 0
    while len(out) < len(by_pace):
        level, full = math.inf, None
        for link, many in count.items():
            if many and room[link] / many < level:
                level, full = room[link] / many, link
        while position < len(by_pace) and by_pace[position] in out:
            position += 1
        if position < len(by_pace) and by_pace[position].pace <= level + TINY:
            fixed = [by_pace[position]]
            level = fixed[0].pace
        else:
            fixed = [flow for flow in full.flows if flow in free and flow not in out]
        for flow in fixed:
            out[flow] = max(0.0, level)
            for link in flow.links:
                if link in room:
                    room[link] = max(0.0, room[link] - level)
                    count[link] -= 1
    return out


class Network:
    """All transfers in progress."""

    def __init__(self) -> None:
        self.due: list[tuple[int, int, int, Flow]] = []  # (when, number, turn, flow)
        self.number = 0
        self.changes = 0  # rate updates so far: the cost of this model

    def start(self, now: int, links: Iterable[Link], pace: float, size: float, context: object) -> Flow:
        """Start a transfer."""
        flow = Flow(tuple(dict.fromkeys(links)), pace, size, now)
        flow.context = context
        for link in flow.links:
            link.flows[flow] = None
            link.wanted += pace
        self._update_rates(now, self._connected_flows(flow.links, flow))
        return flow

    def end(self, now: int, flow: Flow) -> None:
        """End a transfer, complete or aborted."""
        if flow.over:
            return
        flow.over = True
        flow.turn += 1
        touched = [link for link in flow.links if link.binds()]
        for link in flow.links:
            del link.flows[flow]
            link.wanted = link.wanted - flow.pace if link.flows else 0.0
        self._update_rates(now, self._connected_flows(touched, None))

    def resize(self, now: int, link: Link, capacity: float) -> None:
        """Change the capacity of a link."""
        bound = link.binds()
        link.capacity = capacity
        if bound or link.binds():
            self._update_rates(now, self._connected_flows((link,), None))

    def next(self) -> int | None:
        """Return when the next transfer completes at current rates."""
        due = self.due
        while due and due[0][2] != due[0][3].turn:
            heapq.heappop(due)
        return due[0][0] if due else None

    def take(self, now: int) -> Flow | None:
        """Remove and return a transfer that has completed by now, if any."""
        when = self.next()
        if when is None or when > now:
            return None
        flow = heapq.heappop(self.due)[3]
        flow.left = 0.0
        self.end(now, flow)
        return flow

    def _connected_flows(self, links: Iterable[Link], flow: Flow | None) -> list[Flow]:
        """Return the transfers connected to some links through constraining links."""
        found = {flow: None} if flow else {}
        seen = dict.fromkeys(links)
        pending = list(seen)
        while pending:
            link = pending.pop()
            if flow is not None and not link.binds():
                continue  # after an end, links that were constraining before still redistribute their rate
            for other in link.flows:
                if other not in found:
                    found[other] = None
                    for further in other.links:
                        if further not in seen and further.binds():
                            seen[further] = None
                            pending.append(further)
        return list(found)

    def _update_rates(self, now: int, flows: list[Flow]) -> None:
        for flow, rate in shares(flows).items():
            if rate == flow.rate and flow.turn:
                continue
            flow.left = max(0.0, flow.left - flow.rate * (now - flow.since))
            flow.rate, flow.since = rate, now
            flow.turn += 1
            self.changes += 1
            if rate > TINY:
                self.number += 1
                when = now + max(0, math.ceil(flow.left / rate - TINY))
                heapq.heappush(self.due, (when, self.number, flow.turn, flow))
