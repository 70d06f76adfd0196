"""Decides what a planner plans; owns all that one planner knows.

It hears summaries of forwarders, words of other planners and the change log; it issues plans where it may
(`leader_lease.Issuer`). A plan is made anew each tick where anything in it has changed by more than noise.
Cold budgets are no part of plans: their parts are lent by whoever holds them, also by a planner that may not
issue (`quota`), as nothing that planners believe can make two hold one part.

No I/O. Times are of its own steady clock, in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from lilacloft.control import allocation
from lilacloft.control.health_aggregation import HOLD, Judge, trials
from lilacloft.control.leader_lease import Issuer, Name
from lilacloft.control.messages import PARTS, Ask, Delta, Given, Plan, Reply, Summary, Word, delta
from lilacloft.control.quota import MIN_SHARE, LeaseTerms, QuotaLedger, max_min_fair
from lilacloft.membership.table import (
    ALIVE,
    DEAD,
    FORWARDER,
    LEFT,
    PLANNER,
    MemberRow,
    MembershipChange,
    MemberTable,
)
from lilacloft.zones import evidence, pace
from lilacloft.zones.course import Decider, Told
from lilacloft.zones.slices import PAST, SLICES

SPAN = 30_000  # for which a plan holds: some ten summaries, so that a lost one matters little
LENDS = 50_000  # for which a part of a cold budget is lent at most
SPARES = 0.8  # of what a forwarder does not use is asked for
NOISE = 0.1  # a limit that has changed by less is told as it was
KEEPS = 64  # plans that a delta can be told from
LATELY = 5_000  # sights and answers older than this say nothing of whole locations
ROOM = 1.3  # over what was seen well at once: a limit must leave room to learn more


@dataclass(frozen=True)
class Listed:
    """A be as the list names it."""

    name: str
    zone: int
    kind: str  # cache, parent, origin
    ready: bool = True
    cold: bool = False
    size: float = 1.0  # in transfers at full pace, where the site tells sizes
    age: int = 1 << 40  # since its start


@dataclass
class Site:
    """What the settings say of a whole installation; rates in KB a second."""

    planners: tuple[str, ...]
    pace: float
    links: Mapping[int, float]
    parents: float = float("inf")  # of one parent's way out
    origin: float = float("inf")
    fall: int = 10_000
    zones: bool = False  # whole locations may be left
    across: bool = False  # and others' caches asked in their place
    sizes: bool = False  # the list tells bes' sizes
    caches: pace.Warming = field(default_factory=pace.Warming)
    hubs: pace.Warming = field(default_factory=pace.Warming)  # how parents grow warm


@dataclass
class Asked:
    """What a location's forwarders together tell: reqs a second; KB a second that they ask for, that come by
    fills, and of those past the caches."""

    requests: float = 0.0
    kbytes: float = 0.0
    fills: float = 0.0
    past: float = 0.0

    def add(self, told: Summary) -> None:
        self.requests += told.requests
        self.kbytes += told.asked
        self.fills += sum(told.fills.values())
        self.past += told.past


@dataclass
class Known:
    """What is known of one forwarder."""

    summary: Summary
    at: int
    asks: dict[int, tuple[Ask, int]] = field(default_factory=dict)  # ours to it, and when


class Planner:
    """One planner."""

    def __init__(self, name: str, incarnation: int, site: Site, epoch: int = 0) -> None:
        self.name, self.site = name, site
        self.table = MemberTable(name, incarnation)
        self.issuer = Issuer(name, site.planners, epoch)
        self.judge = Judge()
        self.backends: dict[str, Listed] = {}
        self.listed = 0
        self.known: dict[str, Known] = {}
        self.ledgers: dict[str, QuotaLedger] = {}
        self.plan = Plan(Name())
        self.plans: dict[Name, Plan] = {}  # issued lately
        self.made: dict[tuple[int, Name], tuple[Plan | None, Delta | None]] = {}  # answers, by location
        self.placed: dict[allocation.DemandKey, float] = {}
        self.asked = 0
        self.zones: Decider | None = None
        self.bears: dict[int, pace.Bears] = {}  # of locations with caches, as of the last look
        self.counts = dict.fromkeys(("summaries", "stale", "plans", "lent", "borrowed", "greedy"), 0)

    # --- what is heard ---

    def listing(self, rows: Iterable[Listed], number: int) -> None:
        """The change log has told of the list, as of a number."""
        self.backends = {row.name: row for row in rows}
        self.listed = max(self.listed, number)
        self.judge.keep(self.backends)
        for backend in [
            backend
            for backend in self.ledgers
            if backend not in self.backends or not self.backends[backend].cold
        ]:
            del self.ledgers[backend]

    def heard(self, word: Word, now: int) -> None:
        """Another planner tells what it knows."""
        self.issuer.heard(max(word.epoch, word.seen))
        self._changed(self.table.record_heartbeat(word.name, PLANNER, word.incarnation, now))
        for change in self.table.merge(map(MemberRow._make, word.rows), now):
            self._changed(change)

    def says(self, now: int) -> Word:
        """What another planner is told."""
        return Word(
            self.name,
            self.table.incarnation,
            self.issuer.epoch if self.issuer.issues else 0,
            self.issuer.seen,
            tuple(self.table.export_rows(now)),
        )

    def summary(self, told: Summary, now: int) -> Reply:
        """A forwarder tells what it sees; returns what it is answered. One that came late, or of a process
        before, is answered with nothing."""
        known = self.known.get(told.name)
        mine = (known.summary.incarnation, known.summary.number) if known else (0, -1)
        if (told.incarnation, told.number) <= mine:
            self.counts["stale"] += 1
            return Reply(self.name, self.table.incarnation, told.number)
        self.counts["summaries"] += 1
        if known is None or told.incarnation != mine[0]:
            self.judge.gone(told.name)
            known = self.known[told.name] = Known(told, now)
        before = known.summary
        known.summary, known.at = told, now
        if told.leaves:
            self._changed(self.table.record_leave(told.name, told.incarnation, now))
            self.known.pop(told.name, None)
            self.judge.gone(told.name)
            return Reply(self.name, self.table.incarnation, told.number)
        self._changed(self.table.record_heartbeat(told.name, FORWARDER, told.incarnation, now, told.zone))
        self.issuer.heard(told.holds.epoch)
        self.judge.saw(
            told.name,
            {backend: sight for backend, sight in told.sights.items() if backend in self.backends},
            now,
        )
        for given in told.given:
            self._borrowed(known, given, now)
        gives = tuple([self._lend(ask, now) for ask in told.asks])
        asks = tuple(self._wants(known, now))
        if self.zones:
            for zone, tally in told.tallies.items():
                self.zones.tally(told.name, told.incarnation, zone, tally)
        whole = told.number > 0 and before is told  # it is new here: what it told others is not known
        reply = Reply(self.name, self.table.incarnation, told.number, asks=asks, given=gives, whole=whole)
        if not self.issuer.issues:
            return reply
        return self._planned(reply, known, told.holds)

    def _planned(self, reply: Reply, known: Known, holds: Name) -> Reply:
        """With the plan: nothing where it has it, what has changed, or all of it; of it what a forwarder of
        its location needs. All of one location that hold the same are told the same, made once."""
        if holds == self.plan.name:
            return replace(reply, span=SPAN, delta=Delta(holds, holds, self.plan.listed))
        place = known.summary.zone, holds
        if place not in self.made:
            whole, before = self._view(self.plan, place[0]), self.plans.get(holds)
            change = delta(self._view(before, place[0]), whole) if before is not None else None
            size = sum(len(getattr(whole, part)) for part in PARTS)
            if change is not None and 2 * sum(map(len, change.changes.values())) >= size > 0:
                change = None
            self.made[place] = (None, change) if change is not None else (whole, None)
        plan, change = self.made[place]
        return replace(reply, span=SPAN, plan=plan, delta=change)

    def _view(self, plan: Plan, zone: int) -> Plan:
        """What a location's forwarders need of a plan."""

        def near(backend: str) -> bool:
            row = self.backends.get(backend)
            return row is None or row.zone == zone or row.kind != "cache"

        out, trials_, ways = (
            {backend: told for backend, told in part.items() if near(backend)}
            for part in (plan.out, plan.trials, plan.ways)
        )
        names, hubs = plan.renews.get(zone, ()), self._hubs()
        return Plan(
            plan.name,
            plan.listed,
            out,
            trials_,
            ways,
            {zone: plan.links[zone]} if zone in plan.links else {},
            {name: plan.parts[name] for name in names if name in plan.parts},
            {zone: names} if names else {},
            {other: told for other, told in plan.zones.items() if other == zone or other in hubs},
        )

    def _changed(self, change: MembershipChange | None) -> None:
        if change and (change.is_new_process or change.member.state in (DEAD, LEFT)):
            name = change.member.name
            if change.member.role == FORWARDER:
                self.judge.gone(name)
                if self.zones:
                    self.zones.gone(name)
                known = self.known.get(name)
                if (
                    known
                    and known.summary.incarnation <= change.member.incarnation
                    and not (change.is_new_process and known.summary.incarnation == change.member.incarnation)
                ):
                    self.known.pop(name, None)

    # --- budgets of cold bes ---

    def _lend(self, ask: Ask, now: int) -> Given:
        """A forwarder wants a part: of what is spare here, divided among all that want some now."""
        ledger = self.ledgers.get(ask.backend)
        if ledger is None or ask.part <= MIN_SHARE:
            return Given(ask.number, ask.backend)
        spare = ledger.lendable(now, ask.span)
        wants = {
            name: sum(one.part for one in known.summary.asks if one.backend == ask.backend)
            for name, known in self.known.items()
        }
        wants[""] = ask.part
        part = max_min_fair(wants, spare)[""]
        grant = ledger.lend(now, part, min(ask.span, LENDS))
        if grant is None:
            return Given(ask.number, ask.backend)
        self.counts["lent"] += 1
        return Given(ask.number, ask.backend, grant.share, grant.delay, grant.duration)

    def _wants(self, known: Known, now: int) -> Iterable[Ask]:
        """What is asked of a forwarder: most of what it does not use, where others want some."""
        for number in [number for number, (_, at) in known.asks.items() if now - at > LENDS]:
            del known.asks[number]
        waiting = {ask.backend for ask, _ in known.asks.values()}
        for backend, (own, used) in sorted(known.summary.cold.items()):
            if backend not in self.backends or not self.backends[backend].cold or backend in waiting:
                continue
            wanted = sum(
                ask.part
                for other in self.known.values()
                if other is not known
                for ask in other.summary.asks
                if ask.backend == backend
            )
            spare = SPARES * max(0.0, own - used)
            ledger = self.ledgers.setdefault(backend, QuotaLedger(0.0, self.site.fall))
            if spare > MIN_SHARE and wanted > ledger.lendable(now, LENDS):
                self.asked += 1
                ask = Ask(self.asked, backend, min(spare, wanted), LENDS)
                known.asks[ask.number] = (ask, now)
                yield ask

    def _borrowed(self, known: Known, given: Given, now: int) -> None:
        ask, at = known.asks.pop(given.number, (None, 0))
        if (
            ask is None
            or ask.backend != given.backend
            or given.part <= MIN_SHARE
            or given.backend not in self.ledgers
        ):
            return
        if self.ledgers[given.backend].borrow(
            LeaseTerms(min(given.part, ask.part), given.delay, given.span), at, now
        ):
            self.counts["borrowed"] += 1

    # --- plans ---

    def tick(self, now: int) -> bool:
        """Look at everything; True where a new plan was issued."""
        for change in self.table.expire(now):
            self._changed(change)
        for name in [name for name, known in self.known.items() if now - known.at > 2 * SPAN]:
            del self.known[name]
        # one that is only suspected leads no more: whoever follows it would wait 2.5 s longer, and two that
        # issue for a moment are ordered by their epochs
        began = self.issuer.look(
            name for name in self.table.alive(PLANNER) if self.table.members[name].state == ALIVE
        )
        if self.site.zones:
            self._zones(now)
        if not self.issuer.issues:
            return False
        draft = self._draft(now)
        if (
            not began
            and all(getattr(draft, part) == getattr(self.plan, part) for part in (*PARTS, "listed"))
            and self.plan.name.epoch == self.issuer.epoch
        ):
            return False
        self.plan = replace(draft, name=self.issuer.next())
        self.plans[self.plan.name] = self.plan
        self.made.clear()
        while len(self.plans) > KEEPS:
            del self.plans[next(iter(self.plans))]
        self.counts["plans"] += 1
        return True

    def _draft(self, now: int) -> Plan:
        there = {name: known for name, known in sorted(self.known.items())}
        verdicts = self.judge.judge(now)
        out = {
            backend: verdict.why
            for backend, verdict in sorted(verdicts.items())
            if verdict.out and backend in self.backends and self.backends[backend].ready
        }
        out = self._spared(out)
        who = {
            zone: [name for name, known in there.items() if known.summary.zone == zone]
            for zone in sorted({known.summary.zone for known in there.values()})
        }
        turns: dict[str, str] = {}
        for backend in out:
            zone = self.backends[backend].zone
            names = who.get(zone, []) if self.backends[backend].kind == "cache" else list(there)
            turns.update({backend: name for backend, (name, _) in trials([backend], names, now).items()})
        return Plan(
            Name(),
            self.listed,
            out,
            turns,
            self._ways(there),
            self._links(there),
            self._parts(there, who),
            {zone: tuple(names) for zone, names in who.items()},
            self._told(who, now),
        )

    # --- whole locations ---

    def _hubs(self) -> set[int]:
        return {backend.zone for backend in self.backends.values() if backend.kind == "parent"}

    def _zones(self, now: int) -> None:
        """Decide of whole locations, or follow what others have decided."""
        if self.zones is None:
            self.zones = Decider(now)
        fresh = {name: known for name, known in sorted(self.known.items()) if now - known.at <= LATELY}
        if not self.issuer.issues or self.zones.listens(now):
            held: dict[int, tuple[int, int]] = {}
            for known in fresh.values():
                for zone, (back, fails) in known.summary.left.items():
                    before = held.get(zone, (back, fails))
                    held[zone] = min(back, before[0]), max(fails, before[1])
            return self.zones.take_up(held, now)
        places = self._places()
        self.zones.warming = {
            zone: self.site.hubs if place.parents else self.site.caches for zone, place in places.items()
        }
        view = evidence.View(places, self._looks(now), frozenset(fresh), frozenset(self.judge.astray))
        asked: dict[int, Asked] = {zone: Asked() for zone in places}
        for known in self.known.values():
            asked.setdefault(known.summary.zone, Asked()).add(known.summary)
        fills = sum(one.fills for one in asked.values())
        parents = sum(
            backend.size * self.site.pace if self.site.sizes else self.site.parents
            for backend in self.backends.values()
            if backend.kind == "parent" and backend.ready
        )
        bears = {
            zone: self._bears(zone, place, asked[zone], fills, parents) for zone, place in places.items()
        }
        self.bears = {zone: one for zone, one in bears.items() if not places[zone].parents}
        self.zones.look(evidence.judge(view), {zone: asked[zone].requests for zone in places}, bears, now)
        return None

    def _places(self) -> dict[int, evidence.Place]:
        """All locations, with their bes that are ready and their forwarders as the members have them."""
        caches: dict[int, list[str]] = {}
        parents: dict[int, list[str]] = {}
        for backend in self.backends.values():
            if backend.kind != "origin":
                into = (caches if backend.kind == "cache" else parents).setdefault(backend.zone, [])
                if backend.ready:
                    into.append(backend.name)
        who: dict[int, list[str]] = {}
        for name in self.table.alive(FORWARDER):
            who.setdefault(self.table.members[name].zone, []).append(name)
        out = {
            zone: evidence.Place(tuple(sorted(names)), tuple(who.get(zone, ())))
            for zone, names in caches.items()
        }
        out.update(
            {
                zone: evidence.Place(tuple(sorted(names)), (), True)
                for zone, names in parents.items()
                if zone not in out
            }
        )
        return out

    def _looks(self, now: int) -> dict[str, dict[str, evidence.Look]]:
        out: dict[str, dict[str, evidence.Look]] = {}
        for backend, sights in self.judge.sights.items():
            for name, (at, sight) in sights.items():
                if now - at <= LATELY:
                    answers = 0 < sight.quiet <= LATELY - (now - at)
                    out.setdefault(name, {})[backend] = evidence.Look(
                        sight.streak, answers, sight.unfilled, sight.filled
                    )
        return out

    def _bears(
        self, zone: int, place: evidence.Place, asked: Asked, fills: float, parents: float
    ) -> pace.Bears:
        """What a location bears now, and what there is to fill it: `fills` of all locations together, of what
        all parents can send."""
        link = self.site.links.get(zone, float("inf"))
        rows = [self.backends[backend] for backend in place.backends]
        size = 2 * link / self.site.pace / max(1, len(rows))  # as the module has it where sizes are not told
        if place.parents:
            size = self.site.parents / self.site.pace
        sizes = tuple((row.size if self.site.sizes else size, row.age) for row in rows)
        if place.parents:  # what its parents are asked for is the fills; they fill from the origin
            return pace.Bears(fills, self.site.pace, sizes, self.site.origin)
        spare = max(0.0, min(link, parents - (fills - asked.fills)))
        return pace.Bears(asked.kbytes, self.site.pace, sizes, spare, max(0.0, asked.fills - asked.past))

    def _told(self, who: Mapping[int, list[str]], now: int) -> dict[int, Told]:
        if self.zones is None:
            return {}
        everybody = tuple(sorted(name for names in who.values() for name in names))
        hubs = dict.fromkeys(self._hubs(), everybody)
        to = self._across(now) if self.site.across else {}
        return self.zones.told({**hubs, **{zone: tuple(names) for zone, names in who.items()}}, now, to)

    def _across(self, now: int) -> dict[int, tuple[tuple[int, float], ...]]:
        """Which locations take what is away from which, by what those that are all in use have to spare."""
        if self.zones is None:
            return {}
        courses, bears = self.zones.courses, self.bears
        away = [zone for zone in bears if zone in courses and courses[zone].back < SLICES]
        spare = {}
        for zone in bears:
            if zone not in away:
                able = sum(size for size, age in bears[zone].sizes if age >= self.site.caches.warm)
                spare[zone] = max(0.0, able * self.site.pace - bears[zone].demand) / max(1, len(away))
        out = {}
        for zone in away:
            fresh = pace.spread(spare, bears[zone].demand, PAST)
            before = self.plan.zones[zone].to if zone in self.plan.zones else ()
            # what little changes would move objects for nothing; whoever has gone out of use takes nothing
            near = dict(before).keys() == dict(fresh).keys() and all(
                abs(dict(before)[one] - weight) <= NOISE for one, weight in fresh
            )
            out[zone] = before if near else fresh
        return out

    def _spared(self, out: dict[str, str]) -> dict[str, str]:
        """What most of a location shows is not its caches' doing: no more than half of them are left
        alone."""
        kept = {}
        for zone in sorted({self.backends[backend].zone for backend in out}):
            for kind in ("cache", "parent"):
                pool = [
                    backend
                    for backend in self.backends.values()
                    if backend.zone == zone and backend.kind == kind and backend.ready
                ]
                mine = [
                    backend
                    for backend in sorted(out)
                    if self.backends[backend].zone == zone and self.backends[backend].kind == kind
                ]
                if 2 * len(mine) <= len(pool):
                    kept.update((backend, out[backend]) for backend in mine)
        return kept

    def _ways(self, there: Mapping[str, Known]) -> dict[str, float]:
        """Limits on what may be out at a be, of all forwarders together: the sum of what they have learned.
        Only where one has learned that it is crowded; else each looks for itself."""
        out: dict[str, float] = {}
        for backend in sorted(self.backends):
            sights = [
                sight
                for name, (at, sight) in sorted(self.judge.sights.get(backend, {}).items())
                if name in there and name not in self.judge.astray
            ]
            ended = sum(sight.well + sight.late for sight in sights)
            late = sum(sight.late for sight in sights)
            if ended >= 4 and late > 0.2 * ended and any(sight.limit for sight in sights):
                out[backend] = self._steady(self.plan.ways.get(backend), sum(sight.limit for sight in sights))
        return out

    def _links(self, there: Mapping[str, Known]) -> dict[int, float]:
        """Fills at once by location, where all together ask for more than links, parents or the origin
        have."""
        demands: dict[allocation.DemandKey, allocation.Demand] = {}
        parents = sorted(
            backend.name for backend in self.backends.values() if backend.kind == "parent" and backend.ready
        )
        part = 1 / len(parents) if parents else 0.0
        for known in there.values():
            for vhost, rate in sorted(known.summary.fills.items()):
                at = (str(known.summary.zone), vhost)
                before = demands.get(at)
                worth = known.summary.worth.get(vhost, 1.0)
                demands[at] = allocation.Demand(
                    (before.rate if before else 0.0) + max(0.0, rate),
                    worth,
                    dict.fromkeys(parents, part),
                    0.5,
                )
        limits = allocation.Capacities(
            {str(zone): rate for zone, rate in self.site.links.items()},
            dict.fromkeys(parents, self.site.parents),
            self.site.origin,
        )
        placed = allocation.allocate(demands, limits, self.placed)
        self.placed = placed.rates
        self.counts["greedy"] += placed.method == "greedy"
        out: dict[int, float] = {}
        for zone in self.site.links:
            mine = [at for at in demands if at[0] == str(zone)]
            asked = sum(demands[at].rate for at in mine)
            through = sum(placed.rates[at] for at in mine)
            if asked > 0 and through < asked * (1 - NOISE):
                out[zone] = self._steady(self.plan.links.get(zone), max(1.0, ROOM * through / self.site.pace))
        return out

    def _parts(self, there: Mapping[str, Known], who: Mapping[int, list[str]]) -> dict[str, float]:
        """Each forwarder's part of its location's limits: as it asks, but nobody less than half an even
        one."""
        out = {}
        for names in who.values():
            total = sum(there[name].summary.requests for name in names)
            for name in names:
                even = 1 / len(names)
                part = there[name].summary.requests / total if total else even
                part = round(0.5 * even + 0.5 * part, 3)
                before = self.plan.parts.get(name)
                out[name] = before if before and abs(part - before) < NOISE * before else part
        return out

    @staticmethod
    def _steady(before: float | None, now: float) -> float:
        now = float(f"{now:.3g}")
        return before if before and abs(now - before) <= NOISE * before else now

    # --- why ---

    def explain(self, what: str, now: int) -> list[str]:
        """Who decided what of a be, from which sights, under which plan."""
        out = [
            f"plan {self.plan.name}, on the list as of {self.plan.listed}"
            + ("" if self.issuer.issues else "; this planner does not issue")
        ]
        if what.startswith("zone "):
            number = what.partition(" ")[2]
            if self.zones is None or not number.lstrip("-").isdigit():
                return [
                    *out,
                    "whole locations are not left here"
                    if self.zones is None
                    else f"{number!r} is no location's number",
                ]
            return [*out, *self.zones.explain(int(number), now)]
        backend = self.backends.get(what)
        if backend is None:
            return [*out, f"{what} is not listed"]
        verdict = self.judge.verdicts.get(what)
        if what in self.plan.out:
            who = self.plan.trials.get(what)
            out.append(f"{what} is left alone: {self.plan.out[what]}; {who} may try it")
        elif verdict and verdict.out:
            out.append(
                f"{what} fails by {', '.join(verdict.by)}, but so do most of its kind: it is not to blame"
            )
        else:
            state = ("" if backend.ready else ", but leaving") + (", cold" if backend.cold else "")
            out.append(f"{what} is in use{state}")
        if verdict:
            held = now - verdict.since
            if verdict.since and held < HOLD:
                out.append(f"that verdict is {held / 10_000:.1f} s old, and holds {HOLD / 10_000:g} s")
            out += [f"{name} sees it fail" for name in verdict.by]
            out += [f"{name} sees it well" for name in verdict.against]
        out += [
            f"{name} is not believed: it blames {part:.0%} of what others find well"
            for name, part in self.judge.astray.items()
        ]
        if what in self.plan.ways:
            out.append(f"no more than {self.plan.ways[what]:g} dispatches at once, all forwarders together")
        ledger = self.ledgers.get(what)
        if ledger:
            out.append(f"{ledger.lendable(now, 0):.3f} of its cold budget is held here to be lent")
        return out
