"""Decides which sights of several gateways are one episode, what it cost, and how sure that is. No I/O.

Two sights are of one episode where they are of one subject and one family of troubles, and their times meet
as far as the clocks can tell. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.timeline.observations import Seen, Sight

JOIN = 2500.0  # ms between two sights of one trouble: a trial, and some seconds' summaries, lie between them
BURST = 1000.0  # between two purges that are one act
HEAL = 20_000.0  # ms before an episode that its cost is told against
ANSWERED = 5  # answers that a gateway had from what others call silent, so that it contradicts them
FAMILY = {"silent": "trouble", "slow": "trouble"}  # kinds that are one trouble, seen from two sides


@dataclass
class Episode:
    """One trouble, as all gateways' records together tell it."""

    kind: str
    subject: str
    role: str  # cache, parent, origin, object, fleet
    begin: float
    end: float | None
    spread: float
    sights: list[Sight]
    saw: list[str] = field(default_factory=list)
    unseen: list[str] = field(default_factory=list)  # their records tell of that time, and nothing of this
    blind: list[str] = field(default_factory=list)  # their records do not tell of that time
    contradicts: list[str] = field(default_factory=list)
    acts: list[str] = field(default_factory=list)
    parts: list[Episode] = field(default_factory=list)  # what followed from it
    cost: float = 0.0  # value lost against the stretch before
    usual: float = 0.0  # value of a like stretch before
    sure: float = 0.0
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


def family(sight: Sight) -> tuple[str, str]:
    """What sights must share to be of one episode: any purges may be one act."""
    kind = FAMILY.get(sight.kind, sight.kind)
    return (kind, "" if kind == "purge" else sight.subject)


def meets(begin: float, end: float | None, other: Sight, spread: float) -> bool:
    """Does a sight that begins no earlier meet a stretch, as far as the clocks tell?"""
    near = BURST if other.kind == "purge" else JOIN
    return end is None or other.begin - other.spread <= end + near + spread


def join(sights: Iterable[Sight]) -> list[list[Sight]]:
    """Groups of sights that are one episode each, in the order of their beginnings."""
    groups: list[list[Sight]] = []
    kin: dict[tuple[str, str], list[Sight]] = defaultdict(list)
    for sight in sights:
        kin[family(sight)].append(sight)
    for mine in kin.values():
        mine.sort(key=lambda sight: (sight.begin - sight.spread, sight.gateway))
        group: list[Sight] = []
        end: float | None = 0.0
        spread = 0.0
        for sight in mine:
            if group and meets(group[0].begin, end, sight, spread):
                group.append(sight)
            else:
                group = [sight]
                groups.append(group)
                end, spread = sight.end, sight.spread
            end = None if end is None or sight.end is None else max(end, sight.end)
            spread = max(spread, sight.spread)
    return sorted(groups, key=lambda group: (min(sight.begin for sight in group), group[0].subject))


def episode(group: list[Sight], seen: Mapping[str, Seen]) -> Episode:
    """One episode of its sights."""
    first = min(group, key=lambda sight: sight.begin)
    ends = [sight.end for sight in group]
    over = None if None in ends else max(end for end in ends if end is not None)
    kinds = {sight.kind for sight in group}
    kind = "silent" if "silent" in kinds else first.kind
    # two gateways' sights of one beginning bound it from both sides: the closest of them counts
    begin = min(sight.begin for sight in group)
    spread = min(sight.spread + abs(sight.begin - begin) for sight in group)
    role = {"purge": "object", "origin slow": "origin"}.get(kind, "fleet")
    if first.subject and kind != "purge":
        role = "location" if kind == "location left" else seen[first.gateway].role(first.subject)
    found = Episode(kind, first.subject, role, begin, over, spread, group)
    again = [sight.end for sight in group if sight.end is not None and "answers again" in sight.acts]
    if again and kind in ("silent", "slow"):
        # it is over once it answered anyone and nobody found it so anew; others try it again only later
        found.end = over = max(min(again), max(sight.begin for sight in group))
    found.subjects = sorted({sight.subject for sight in group})
    found.saw = sorted({sight.gateway for sight in group})
    until = over if over is not None else max(one.end for one in seen.values())
    for name, one in sorted(seen.items()):
        if name in found.saw:
            continue
        (found.unseen if one.covers(begin, max(until, begin + 1000.0)) else found.blind).append(name)
    if kind == "silent":
        found.contradicts = _contradicts(found, seen, until)
    for sight in sorted(group, key=lambda sight: sight.begin):
        found.acts += [f"{sight.gateway}: {act}" for act in sight.acts]
    able = len(found.saw) + len(found.unseen)
    found.sure = len(found.saw) / (able + 0.5 * len(found.blind)) if able else 0.0
    if kind in ("drained", "cold", "gone", "purge"):
        found.sure = 1.0  # told, not guessed
    elif found.contradicts:
        found.sure /= 2
    return found


def _contradicts(found: Episode, seen: Mapping[str, Seen], until: float) -> list[str]:
    """Whom what others call silent has answered, well within that time."""
    out = []
    begin = found.begin + found.spread + 1000.0
    for name, one in sorted(seen.items()):
        answered = one.columns.answers(found.subject, begin, until - 1000.0)
        if answered >= ANSWERED and name not in found.saw:
            out.append(f"{name} had {answered} answers from it meanwhile")
    return out


def fold(episodes: list[Episode]) -> list[Episode]:
    """What follows from another trouble is part of it, and no trouble of its own: a slow origin makes
    parents and caches late, and lets some be left alone for it; a silent cache that returns cold was
    restarted."""
    out: list[Episode] = []
    for one in episodes:
        cause = next((other for other in episodes if other is not one and _follows(one, other)), None)
        if cause:
            cause.parts.append(one)
        else:
            out.append(one)
    return out


def _follows(one: Episode, other: Episode) -> bool:
    inside = other.begin - other.spread <= one.begin + one.spread and (
        other.end is None or one.begin - one.spread <= other.end + JOIN
    )
    if not inside:
        return False
    if other.kind == "origin slow":
        return one.kind in ("slow", "crowd", "lost answers") or (
            one.kind == "silent" and (one.role == "parent" or any(sight.answered for sight in one.sights))
        )
    if other.kind == "silent" and other.role == "cache":
        # a cache that hangs holds what others wait for, too; and the list may tell of it later
        return one.kind in ("lost answers", "crowd") or (
            one.subject == other.subject and one.kind in ("cold", "gone", "drained")
        )
    return False


def cost(found: Episode, seen: Mapping[str, Seen]) -> None:
    """The value lost against the stretch before it, by those whose records tell of both. What is over in a
    moment has none that could be told from chance."""
    if found.kind in ("purge", "cold", "gone"):
        return
    end = found.end if found.end is not None else max(one.end for one in seen.values())
    span = max(1000.0, end - found.begin)
    for one in seen.values():
        before = one.columns.worth(found.begin - HEAL - found.spread, found.begin - found.spread)
        during = one.columns.worth(found.begin, found.begin + span)
        if before[1] < 1000.0 or during[1] < 1000.0:
            continue
        expected = before[0] / before[1] * during[1]
        found.usual += expected
        found.cost += max(0.0, expected - during[0])
