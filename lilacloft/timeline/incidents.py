"""Decides which sights of several gateways are one episode, what it cost, and how sure that is. No I/O.

Two sights are of one episode where they are of one subject and one family of troubles, and their times meet
as far as the clocks can tell. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.timeline.observations import GatewayHistory, Observation

JOIN = 2500.0  # ms between two sights of one trouble: a trial, and some seconds' summaries, lie between them
BURST = 1000.0  # between two purges that are one act
HEAL = 20_000.0  # ms before an episode that its cost is told against
ANSWERED = 5  # answers that a gateway had from what others call silent, so that it contradicts them
FAMILY = {"silent": "trouble", "slow": "trouble"}  # kinds that are one trouble, seen from two sides


@dataclass
class Incident:
    """One trouble, as all gateways' records together tell it."""

    kind: str
    subject: str
    role: str  # cache, parent, origin, object, fleet
    begin: float
    end: float | None
    uncertainty: float
    observations: list[Observation]
    observed_by: list[str] = field(default_factory=list)
    not_observed_by: list[str] = field(
        default_factory=list
    )  # their records tell of that time, and nothing of this
    without_records: list[str] = field(default_factory=list)  # their records do not tell of that time
    contradictions: list[str] = field(default_factory=list)
    actions: list[str] = field(default_factory=list)
    parts: list[Incident] = field(default_factory=list)  # what followed from it
    cost: float = 0.0  # value lost against the stretch before
    typical: float = 0.0  # value of a like stretch before
    confidence: float = 0.0
    subjects: list[str] = field(default_factory=list)

    def title(self) -> str:
        """What it was, in a few words."""
        what = {
            "silent": "silent",
            "slow": "slow",
            "drained": "drained",
            "cold": "returned cold",
            "gone": "gone from the list",
        }.get(self.kind)
        if what:
            return f"{self.role} {self.subject} {what}"
        if self.kind == "purge":
            many = len(self.subjects)
            return f"purge of {self.subject}" if many == 1 else f"{many} purges"
        if self.kind == "location left":
            return f"location {self.subject} left"
        return self.kind


def family(observation: Observation) -> tuple[str, str]:
    """What sights must share to be of one episode: any purges may be one act."""
    kind = FAMILY.get(observation.kind, observation.kind)
    return (kind, "" if kind == "purge" else observation.subject)


def overlaps(end: float | None, other: Observation, uncertainty: float) -> bool:
    """Does a sight that begins no earlier meet a stretch, as far as the clocks tell?"""
    near = BURST if other.kind == "purge" else JOIN
    return end is None or other.begin - other.uncertainty <= end + near + uncertainty


def group_observations(observations: Iterable[Observation]) -> list[list[Observation]]:
    """Groups of sights that are one episode each, in the order of their beginnings."""
    groups: list[list[Observation]] = []
    kin: dict[tuple[str, str], list[Observation]] = defaultdict(list)
    for observation in observations:
        kin[family(observation)].append(observation)
    for mine in kin.values():
        mine.sort(key=lambda observation: (observation.begin - observation.uncertainty, observation.gateway))
        group: list[Observation] = []
        end: float | None = 0.0
        uncertainty = 0.0
        for observation in mine:
            if group and overlaps(end, observation, uncertainty):
                group.append(observation)
            else:
                group = [observation]
                groups.append(group)
                end, uncertainty = observation.end, observation.uncertainty
            end = None if end is None or observation.end is None else max(end, observation.end)
            uncertainty = max(uncertainty, observation.uncertainty)
    return sorted(
        groups, key=lambda group: (min(observation.begin for observation in group), group[0].subject)
    )


def make_incident(group: list[Observation], seen: Mapping[str, GatewayHistory]) -> Incident:
    """One episode of its sights."""
    first = min(group, key=lambda observation: observation.begin)
    ends = [observation.end for observation in group]
    over = None if None in ends else max(end for end in ends if end is not None)
    kinds = {observation.kind for observation in group}
    kind = "silent" if "silent" in kinds else first.kind
    # two gateways' sights of one beginning bound it from both sides: the closest of them counts
    begin = min(observation.begin for observation in group)
    uncertainty = min(observation.uncertainty + abs(observation.begin - begin) for observation in group)
    role = {"purge": "object", "origin slow": "origin"}.get(kind, "fleet")
    if first.subject and kind != "purge":
        role = "location" if kind == "location left" else seen[first.gateway].role(first.subject)
    found = Incident(kind, first.subject, role, begin, over, uncertainty, group)
    again = [
        observation.end
        for observation in group
        if observation.end is not None and "answers again" in observation.actions
    ]
    if again and kind in ("silent", "slow"):
        # it is over once it answered anyone and nobody found it so anew; others try it again only later
        found.end = over = max(min(again), max(observation.begin for observation in group))
    found.subjects = sorted({observation.subject for observation in group})
    found.observed_by = sorted({observation.gateway for observation in group})
    until = over if over is not None else max(one.end for one in seen.values())
    for name, one in sorted(seen.items()):
        if name in found.observed_by:
            continue
        (
            found.not_observed_by if one.covers(begin, max(until, begin + 1000.0)) else found.without_records
        ).append(name)
    if kind == "silent":
        found.contradictions = _contradicts(found, seen, until)
    for observation in sorted(group, key=lambda observation: observation.begin):
        found.actions += [f"{observation.gateway}: {act}" for act in observation.actions]
    able = len(found.observed_by) + len(found.not_observed_by)
    found.confidence = len(found.observed_by) / (able + 0.5 * len(found.without_records)) if able else 0.0
    if kind in ("drained", "cold", "gone", "purge"):
        found.confidence = 1.0  # told, not guessed
    elif found.contradictions:
        found.confidence /= 2
    return found


def _contradicts(found: Incident, seen: Mapping[str, GatewayHistory], until: float) -> list[str]:
    """Whom what others call silent has answered, well within that time."""
    out = []
    begin = found.begin + found.uncertainty + 1000.0
    for name, one in sorted(seen.items()):
        answered = one.columns.answers(found.subject, begin, until - 1000.0)
        if answered >= ANSWERED and name not in found.observed_by:
            out.append(f"{name} had {answered} answers from it meanwhile")
    return out


def fold_consequences(incidents: list[Incident]) -> list[Incident]:
    """What follows from another trouble is part of it, and no trouble of its own: a slow origin makes
    parents and caches late, and lets some be left alone for it; a silent cache that returns cold was
    restarted."""
    out: list[Incident] = []
    for one in incidents:
        cause = next((other for other in incidents if other is not one and _follows(one, other)), None)
        if cause:
            cause.parts.append(one)
        else:
            out.append(one)
    return out


def _follows(one: Incident, other: Incident) -> bool:
    inside = other.begin - other.uncertainty <= one.begin + one.uncertainty and (
        other.end is None or one.begin - one.uncertainty <= other.end + JOIN
    )
    if not inside:
        return False
    if other.kind == "origin slow":
        return one.kind in ("slow", "crowd", "lost answers") or (
            one.kind == "silent"
            and (one.role == "parent" or any(observation.answered for observation in one.observations))
        )
    if other.kind == "silent" and other.role == "cache":
        # a cache that hangs holds what others wait for, too; and the list may tell of it later
        return one.kind in ("lost answers", "crowd") or (
            one.subject == other.subject and one.kind in ("cold", "gone", "drained")
        )
    return False


def add_cost(found: Incident, seen: Mapping[str, GatewayHistory]) -> None:
    """The value lost against the stretch before it, by those whose records tell of both. What is over in a
    moment has none that could be told from chance."""
    if found.kind in ("purge", "cold", "gone"):
        return
    end = found.end if found.end is not None else max(one.end for one in seen.values())
    span = max(1000.0, end - found.begin)
    for one in seen.values():
        before = one.columns.worth(found.begin - HEAL - found.uncertainty, found.begin - found.uncertainty)
        during = one.columns.worth(found.begin, found.begin + span)
        if before[1] < 1000.0 or during[1] < 1000.0:
            continue
        expected = before[0] / before[1] * during[1]
        found.typical += expected
        found.cost += max(0.0, expected - during[0])
