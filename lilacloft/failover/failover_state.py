"""Decides for all what becomes of each location: in use, left, or returning slice by slice; owns its course.

Entry: a location is named as failing (`evidence`) in `SURE` looks in a row, and no more than `OUT` of the
traffic would then be away. All of it leaves at once: what is asked of it is failing already.

Trials: one forwarder at a time, by turns of `TURN`, may send it a req whose repeat is harmless, of any slice.

Exit: at least `LEAST` times two to the number of returns that failed have passed since it was left, and its
trials have been answered for `PROOF` times three to that number, `WELLS` of them at least, without one that
failed. So what is good and bad by turns of a length is tried less and less often, and once its proof is
longer than its good turn it is not returned to at all. A return that failed is forgiven after `CALM` in use.

Return: a step, then a look at what came back from home since. Failures beyond `BAD` end it; late answers
beyond `LATE` halt it, and beyond `WORSE` take half of the last step back. Else the next step, within the
bounds of `pace`. Steps are the same slices at the same time for all.

A decider that begins does not know what has been decided: it takes up what forwarders hold, the most careful
of what they tell, and until it has heard of a location it says nothing of it. No I/O; times of its own steady
clock, in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.failover import recovery_ramp
from lilacloft.failover.fault_detection import Finding
from lilacloft.failover.hash_slices import SLICES

SURE = 2  # looks in a row
OUT = 0.5  # part of the traffic that may be away at once
LEAST = 10_000
PROOF = 10_000
WELLS = 3
TURN = 5_000
STEP = 5_000  # between two steps at least: so long a look at what came of one takes
BAD, FEWEST = 0.25, 4  # part of answers at home that failed, of so many at least
LATE, WORSE = 0.2, 0.5
MANY = 6  # returns that failed are counted to here: 64 s, and a proof of 12 min
CALM = 600_000  # in use, after which one is forgiven; what is left again before has failed to return
TELLS = 50_000  # so long a location that is back is still told of, so that all know at which pace
TAKES = 10_000  # that a decider which began listens before it says that a location nobody tells of is in use

IN, LEFT, BACK = "in use", "left", "returning"


@dataclass(frozen=True)
class Tally:
    """Dispatches at a location's bes that ended, counted since a forwarder's process began."""

    well: int = 0
    late: int = 0
    failed: int = 0
    hits: int = 0  # of those answered, from a copy

    def since(self, before: Tally) -> Tally:
        return Tally(*(max(0, one - other) for one, other in zip(self.all(), before.all(), strict=True)))

    def plus(self, other: Tally) -> Tally:
        return Tally(*(one + two for one, two in zip(self.all(), other.all(), strict=True)))

    def all(self) -> tuple[int, int, int, int]:
        return self.well, self.late, self.failed, self.hits

    def ended(self) -> int:
        return self.well + self.late + self.failed


@dataclass(frozen=True)
class Told:
    """What a plan says of a location that is not all in use."""

    back: int  # slices at home
    fails: int = 0
    rate: float = 4.0  # slices a second at which more may go home
    trial: str = ""  # who may try it now
    why: str = ""
    to: tuple[tuple[int, float], ...] = ()  # who takes what is away, by weight; none: it goes past the caches


@dataclass
class Course:
    """One location's."""

    state: str = IN
    back: int = SLICES
    since: int = 0  # of this state
    sure: int = 0  # looks in a row that named it
    fails: int = 0
    well: int = 0  # trials answered in a row
    proven: int = 0  # since when
    proved: int = 0  # and until when: silence after them proves nothing
    steps: int = 0  # when the last step was
    step: int = 0  # how large
    seen: Tally = field(default_factory=Tally)  # since then
    calm: int = 0  # since when it is in use
    why: str = ""
    waits: str = ""  # what it waits for now
    log: list[tuple[int, str]] = field(default_factory=list)


class Decider:
    """All locations' courses, as one planner decides them."""

    def __init__(self, now: int) -> None:
        self.began = now
        self.warming: Mapping[
            int, recovery_ramp.Warming
        ] = {}  # how locations' bes grow warm, where it is told
        self.courses: dict[int, Course] = {}
        self.tallies: dict[tuple[str, int, int], Tally] = {}  # by forwarder, its life, location

    # --- what is heard ---

    def tally(self, name: str, life: int, zone: int, told: Tally) -> None:
        """A forwarder's counts for a location; what came since its last ones is taken in. The first ones of a
        process are where it begins: they may be old."""
        place = name, life, zone
        before = self.tallies.get(place)
        self.tallies[place] = told
        if before is None:
            for old in [old for old in self.tallies if old[0] == name and old[1] < life]:
                del self.tallies[old]
            return
        course = self.courses.setdefault(zone, Course())
        course.seen = course.seen.plus(told.since(before))

    def gone(self, name: str) -> None:
        """A forwarder is no more."""
        for old in [old for old in self.tallies if old[0] == name]:
            del self.tallies[old]

    def take_up(self, held: Mapping[int, tuple[int, int]], now: int) -> None:
        """What forwarders keep to, the most careful of each location: slices at home, returns that failed.
        While somebody else decides, or in the first `TAKES`, this is how it stands here."""
        for zone, (back, fails) in sorted(held.items()):
            course = self.courses.setdefault(zone, Course())
            course.fails = max(0, min(fails, MANY))
            state = IN if back >= SLICES else BACK if back > 0 else LEFT
            if (state, back) != (course.state, course.back):
                if state != course.state:
                    course.since = now
                course.state, course.back, course.steps, course.step = state, back, now, 1
                course.well, course.seen = 0, Tally()
                self._say(course, now, "taken up from what forwarders keep to")
        for zone, course in self.courses.items():
            if zone not in held and course.state != IN:
                course.state, course.back, course.since, course.calm = IN, SLICES, now, now
                self._say(course, now, "forwarders have it in use")

    def listens(self, now: int) -> bool:
        """Has its process only just begun, so that not all forwarders have been heard?"""
        return now - self.began < TAKES

    # --- each look ---

    def look(
        self,
        findings: Mapping[int, Finding],
        traffic: Mapping[int, float],
        bears: Mapping[int, recovery_ramp.Bears],
        now: int,
    ) -> None:
        """Decide anew. `traffic`: reqs a second of each location's own forwarders (a hub has
        none)."""
        for zone in [zone for zone in self.courses if zone not in findings]:
            del self.courses[zone]
        total = sum(traffic.values()) or 1.0
        for zone, finding in sorted(findings.items()):
            course = self.courses.setdefault(zone, Course())
            course.sure = course.sure + 1 if finding.fails else 0
            reach = bears.get(zone) or recovery_ramp.Bears(0.0, 1.0)
            if course.state == IN:
                self._in(course, zone, finding, traffic, total, now)
            elif course.state == LEFT:
                self._left(course, zone, reach, now)
            else:
                self._back(course, zone, finding, reach, now)

    def _away(self, traffic: Mapping[int, float]) -> float:
        return sum(
            rate * (1 - self.courses[zone].back / SLICES)
            for zone, rate in traffic.items()
            if zone in self.courses
        )

    def _in(
        self,
        course: Course,
        zone: int,
        finding: Finding,
        traffic: Mapping[int, float],
        total: float,
        now: int,
    ) -> None:
        if course.fails and now - course.calm >= CALM:
            course.fails, course.calm = course.fails - 1, now
        course.seen = Tally()
        if course.sure < SURE:
            return
        if self._away(traffic) + traffic.get(zone, 0.0) > OUT * total + 1e-9:
            course.waits = f"no more than {OUT:.0%} of the traffic may be away at once"
            return
        if course.log and now - course.calm < CALM:
            course.fails = min(MANY, course.fails + 1)
        self._leave(course, str(finding), now)

    def _leave(self, course: Course, why: str, now: int) -> None:
        course.state, course.back, course.since, course.well = LEFT, 0, now, 0
        course.seen = Tally()
        self._say(course, now, why)

    def least(self, course: Course) -> int:
        """How long it stays left at least."""
        return LEAST << course.fails

    def proof(self, course: Course) -> int:
        """How long its trials must be answered."""
        return PROOF * 3**course.fails

    def _left(self, course: Course, zone: int, reach: recovery_ramp.Bears, now: int) -> None:
        seen, course.seen = course.seen, Tally()
        if seen.failed or seen.late > seen.well:
            course.well = 0
        elif seen.well:
            course.proven = course.proven if course.well else now
            course.well += seen.well + seen.late
            course.proved = now
        if now - course.since < self.least(course):
            course.waits = f"it stays left for {self.least(course) / 10_000:g} s at least"
        elif course.well < WELLS or course.proved - course.proven < self.proof(course):
            course.waits = (
                f"its trials answered for {self.proof(course) / 10_000:g} s and {WELLS} of them, "
                f"{course.well} so far"
            )
        elif not recovery_ramp.most(reach, self._warming(zone)):
            course.waits = "none of its bes is ready"
        else:
            course.state, course.since, course.steps = BACK, now, now
            course.step = course.back = 1
            self._say(course, now, f"{course.well} trials answered in a row")

    def _back(
        self, course: Course, zone: int, finding: Finding, reach: recovery_ramp.Bears, now: int
    ) -> None:
        seen = course.seen
        ended = seen.ended()
        if course.sure >= SURE or (ended >= FEWEST and seen.failed > BAD * ended):
            course.fails = min(MANY, course.fails + 1)
            what = str(finding) if course.sure >= SURE else f"{seen.failed} of {ended} answers at home failed"
            self._leave(course, f"its return failed: {what}", now)
            return
        room = recovery_ramp.most(reach, self._warming(zone))
        if course.back > max(1, room):  # some of its bes are gone again
            course.back, course.step, course.steps, course.seen = max(1, room), 1, now, Tally()
            self._say(course, now, "its bes bear no more")
            return
        if now - course.steps < STEP:
            course.waits = "what comes of the last step"
            return
        if ended >= FEWEST and seen.late > WORSE * ended and course.back > 1:
            less = max(1, course.step // 2)
            course.back, course.step, course.steps, course.seen = max(1, course.back - less), 1, now, Tally()
            self._say(course, now, f"{seen.late} of {ended} answers at home came late")
            return
        if ended and seen.late > LATE * ended:
            course.waits, course.seen = "answers at home come late", Tally()
            course.steps = now
            return
        hits = seen.hits / max(1, seen.well + seen.late)
        more = min(recovery_ramp.step(reach, hits, course.step), room - course.back)
        if more <= 0 and room < SLICES:
            course.waits = "its bes bear no more yet"
        elif more <= 0:
            course.waits = "its sources have nothing to spare"
        if more <= 0:
            course.seen = Tally()
            return
        course.back, course.step, course.steps, course.seen = course.back + more, more, now, Tally()
        if course.back >= SLICES:
            course.state, course.since, course.calm = IN, now, now
            self._say(course, now, "all of its slices are back")

    def _say(self, course: Course, now: int, why: str) -> None:
        course.why, course.waits = why, ""
        course.log = [*course.log[-31:], (now, f"{course.state}, {course.back} of {SLICES} slices: {why}")]

    def _warming(self, zone: int) -> recovery_ramp.Warming:
        return self.warming.get(zone) or recovery_ramp.Warming()

    # --- what is decided ---

    def told(
        self,
        who: Mapping[int, tuple[str, ...]],
        now: int,
        to: Mapping[int, tuple[tuple[int, float], ...]] | None = None,
    ) -> dict[int, Told]:
        """What a plan says; `who`: the forwarders that may try a location, in an order that all share; `to`:
        who takes what is away from one."""
        out = {}
        for zone, course in sorted(self.courses.items()):
            if course.state == IN and not course.fails and (not course.log or now - course.since >= TELLS):
                continue
            names = who.get(zone, ())
            trial = names[(now // TURN) % len(names)] if names and course.state == LEFT else ""
            # the last step is followed within half of the time until the next, and without a plan one goes on
            # at the pace of warming
            rate = max(SLICES * 10_000 / max(1, self._warming(zone).warm), 2 * course.step * 10_000 / STEP)
            out[zone] = Told(
                course.back,
                course.fails,
                float(f"{rate:.3g}"),
                trial,
                course.why,
                (to or {}).get(zone, ()) if course.back < SLICES else (),
            )
        return out

    def explain(self, zone: int, now: int) -> list[str]:
        """How one location stands, and how it came to it."""
        course = self.courses.get(zone)
        if course is None:
            return [f"location {zone}: nothing is known of it"]
        out = [
            f"location {zone}: {course.state}, {course.back} of {SLICES} slices at home"
            + (f"; {course.fails} returns failed" if course.fails else "")
        ]
        if course.waits and course.state != IN:
            out.append(f"it waits for: {course.waits}")
        return out + [f"{(now - at) / 10_000:.1f} s ago: {text}" for at, text in course.log]
