"""Groups the observations of several gateways into incidents, with their cost and confidence. No I/O.

Observations belong to one incident if they have the same subject and the same family of kinds, and their
intervals overlap within the uncertainty of the clocks. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.timeline.observations import GatewayHistory, Observation

MAX_OBSERVATION_GAP = (
    2500.0  # ms between two observations of one incident: leaves room for a trial and some summaries
)
MAX_PURGE_GAP = 1000.0  # ms between purges that count as one operation
BASELINE_SPAN = 20_000.0  # ms before an incident that are the baseline of its cost
MIN_CONTRADICTING_ANSWERS = (
    5  # answers from a backend with which a gateway contradicts others that call it silent
)
KIND_FAMILIES = {
    "silent": "trouble",
    "slow": "trouble",
}  # kinds that may be observations of the same incident


@dataclass
class Incident:
    """One incident, as the records of all gateways show it."""

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
    )  # gateways whose records cover the time without showing the incident
    without_records: list[str] = field(default_factory=list)  # gateways whose records do not cover the time
    contradictions: list[str] = field(default_factory=list)
    actions: list[str] = field(default_factory=list)
    parts: list[Incident] = field(default_factory=list)  # its consequences
    cost: float = 0.0  # value lost, relative to the baseline before it
    typical: float = 0.0  # value of an interval of the same length at the baseline
    confidence: float = 0.0
    subjects: list[str] = field(default_factory=list)

    def title(self) -> str:
        """Return a short description."""
        state = {
            "silent": "silent",
            "slow": "slow",
            "drained": "drained",
            "cold": "returned cold",
            "gone": "gone from the list",
        }.get(self.kind)
        if state:
            return f"{self.role} {self.subject} {state}"
        if self.kind == "purge":
            count = len(self.subjects)
            return f"purge of {self.subject}" if count == 1 else f"{count} purges"
        if self.kind == "location left":
            return f"location {self.subject} left"
        return self.kind


def incident_key(observation: Observation) -> tuple[str, str]:
    """Return what observations of one incident have in common; purges of any subjects may be one
    operation."""
    kind = KIND_FAMILIES.get(observation.kind, observation.kind)
    return (kind, "" if kind == "purge" else observation.subject)


def overlaps(end: float | None, other: Observation, uncertainty: float) -> bool:
    """Return whether an observation that begins no earlier may belong to an interval that ends at `end`,
    given the uncertainty of the clocks."""
    max_gap = MAX_PURGE_GAP if other.kind == "purge" else MAX_OBSERVATION_GAP
    return end is None or other.begin - other.uncertainty <= end + max_gap + uncertainty


def group_observations(observations: Iterable[Observation]) -> list[list[Observation]]:
    """Return groups of observations, one for each incident, in the order of their beginnings."""
    groups: list[list[Observation]] = []
    by_key: dict[tuple[str, str], list[Observation]] = defaultdict(list)
    for observation in observations:
        by_key[incident_key(observation)].append(observation)
    for same_key in by_key.values():
        same_key.sort(
            key=lambda observation: (observation.begin - observation.uncertainty, observation.gateway)
        )
        group: list[Observation] = []
        end: float | None = 0.0
        uncertainty = 0.0
        for observation in same_key:
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


def make_incident(group: list[Observation], histories: Mapping[str, GatewayHistory]) -> Incident:
    """Return the incident that a group of observations shows. `histories`: by gateway."""
    first = min(group, key=lambda observation: observation.begin)
    ends = [observation.end for observation in group]
    last_end = None if None in ends else max(end for end in ends if end is not None)
    kinds = {observation.kind for observation in group}
    kind = "silent" if "silent" in kinds else first.kind
    # Several gateways' observations bound the beginning from both sides: the tightest bound counts.
    begin = min(observation.begin for observation in group)
    uncertainty = min(observation.uncertainty + abs(observation.begin - begin) for observation in group)
    role = {"purge": "object", "origin slow": "origin"}.get(kind, "fleet")
    if first.subject and kind != "purge":
        role = "location" if kind == "location left" else histories[first.gateway].role(first.subject)
    incident = Incident(kind, first.subject, role, begin, last_end, uncertainty, group)
    answered_at = [
        observation.end
        for observation in group
        if observation.end is not None and "answers again" in observation.actions
    ]
    if answered_at and kind in ("silent", "slow"):
        # The incident ends when the backend has answered any gateway and no gateway ejects it afterwards;
        # other gateways only retry it later.
        incident.end = last_end = max(min(answered_at), max(observation.begin for observation in group))
    incident.subjects = sorted({observation.subject for observation in group})
    incident.observed_by = sorted({observation.gateway for observation in group})
    until = last_end if last_end is not None else max(history.end for history in histories.values())
    for name, history in sorted(histories.items()):
        if name in incident.observed_by:
            continue
        (
            incident.not_observed_by
            if history.covers(begin, max(until, begin + 1000.0))
            else incident.without_records
        ).append(name)
    if kind == "silent":
        incident.contradictions = _find_contradictions(incident, histories, until)
    for observation in sorted(group, key=lambda observation: observation.begin):
        incident.actions += [f"{observation.gateway}: {action}" for action in observation.actions]
    covered = len(incident.observed_by) + len(incident.not_observed_by)
    incident.confidence = (
        len(incident.observed_by) / (covered + 0.5 * len(incident.without_records)) if covered else 0.0
    )
    if kind in ("drained", "cold", "gone", "purge"):
        incident.confidence = 1.0  # from the change log, not inferred
    elif incident.contradictions:
        incident.confidence /= 2
    return incident


def _find_contradictions(
    incident: Incident, histories: Mapping[str, GatewayHistory], until: float
) -> list[str]:
    """Return which gateways had answers, well within the incident, from a backend that others call silent."""
    out = []
    begin = incident.begin + incident.uncertainty + 1000.0
    for name, history in sorted(histories.items()):
        answered = history.columns.count_answers(incident.subject, begin, until - 1000.0)
        if answered >= MIN_CONTRADICTING_ANSWERS and name not in incident.observed_by:
            out.append(f"{name} had {answered} answers from it during that time")
    return out


def fold_consequences(incidents: list[Incident]) -> list[Incident]:
    """Make incidents that are consequences of another one its parts: a slow origin makes parents and caches
    late, and some are ejected for it; a silent cache that returns cold was restarted."""
    out: list[Incident] = []
    for incident in incidents:
        cause = next(
            (other for other in incidents if other is not incident and _is_consequence(incident, other)), None
        )
        if cause:
            cause.parts.append(incident)
        else:
            out.append(incident)
    return out


def _is_consequence(incident: Incident, other: Incident) -> bool:
    is_within = other.begin - other.uncertainty <= incident.begin + incident.uncertainty and (
        other.end is None or incident.begin - incident.uncertainty <= other.end + MAX_OBSERVATION_GAP
    )
    if not is_within:
        return False
    if other.kind == "origin slow":
        return incident.kind in ("slow", "crowd", "lost answers") or (
            incident.kind == "silent"
            and (
                incident.role == "parent"
                or any(observation.answered for observation in incident.observations)
            )
        )
    if other.kind == "silent" and other.role == "cache":
        # Other caches may wait for fills from a cache that hangs; the endpoint list may report it later.
        return incident.kind in ("lost answers", "crowd") or (
            incident.subject == other.subject and incident.kind in ("cold", "gone", "drained")
        )
    return False


def add_cost(incident: Incident, histories: Mapping[str, GatewayHistory]) -> None:
    """Set the value lost compared with the baseline, from the gateways whose records cover both.
    Instantaneous incidents have no cost that could be told from random variation."""
    if incident.kind in ("purge", "cold", "gone"):
        return
    end = incident.end if incident.end is not None else max(history.end for history in histories.values())
    length = max(1000.0, end - incident.begin)
    for history in histories.values():
        before = history.columns.value_between(
            incident.begin - BASELINE_SPAN - incident.uncertainty, incident.begin - incident.uncertainty
        )
        during = history.columns.value_between(incident.begin, incident.begin + length)
        if before[1] < 1000.0 or during[1] < 1000.0:
            continue
        expected = before[0] / before[1] * during[1]
        incident.typical += expected
        incident.cost += max(0.0, expected - during[0])
