"""Decides what a forwarder does by plans, and what it tells planners; owns what it knows of them.

It sends summaries to all planners and takes the plan that is highest in order. While a plan holds, its effect
is: who is left alone and when this one may try them, limits that no forwarder exceeds by its part, its turn
at renewals. When the plan's time is over nothing of that is left: the forwarder is a gateway alone. Parts of
cold budgets that it has lent stay lent until they are back, plan or no plan. What the change log says beats
any plan, as it goes to the decision module itself: a plan made on an older list than one's own says nothing
of bes that have changed since.

No I/O. Times are of its own steady clock, in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.control.health_aggregation import Sight
from lilacloft.control.leader_lease import Holder, Name
from lilacloft.control.messages import Ask, Given, Plan, Reply, Summary, applied
from lilacloft.control.quota import MIN_SHARE, LeaseTerms, QuotaLedger
from lilacloft.zones.keep import Keeper, Left

EVERY = 2_500  # between two summaries to one planner
WINDOW = 10_000  # that a sight tells of: this window and the last one
WAITS = 20_000  # for an answer; then it may be asked again, also of another planner
LENDS = 50_000
RECENT = 10_000  # failures older than this say nothing of now
EAGER = 0.7  # part of a cold budget in use from which on more of it is asked for


@dataclass
class Seen:
    """What was seen of one be in this window and the last."""

    now: list[int] = field(default_factory=lambda: [0, 0, 0])  # well, late, failed
    last: list[int] = field(default_factory=lambda: [0, 0, 0])
    out: int = 0
    alone: bool = False
    limit: float = 0.0
    bad: int = 0  # failures since it last answered, and when the last one was
    bad_at: int = 0
    streak: int = 0
    quiet: int = 0
    unfilled: int = 0
    filled: list[int] = field(default_factory=lambda: [0, 0])  # in this window and the last


@dataclass(frozen=True)
class Effect:
    """What holds now for the decision module."""

    name: Name = Name()
    out: Mapping[str, int] = field(default_factory=dict)  # left alone, until when (0: it is ours to try)
    ways: Mapping[str, float] = field(default_factory=dict)  # our part of limits at bes
    link: float = 0.0  # of likely fills; 0: none
    shares: Mapping[str, float] = field(default_factory=dict)  # of cold budgets, over one's own part alone
    turn: tuple[int, int] = (0, 1)  # at renewals: which of how many
    left: Mapping[int, Left] = field(default_factory=dict)  # locations that are not all in use


class Follower:
    """One forwarder's side."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        zone: int,
        planners: Iterable[str],
        fall: int,
        own: float,
        now: int,
        restarted: bool = False,
        keeper: Keeper | None = None,
    ) -> None:
        """`own`: its part of each cold budget when alone. `restarted`: another process had its name, and may
        have lent parts: those are its own again only once they are surely back."""
        self.name, self.incarnation, self.zone = name, incarnation, zone
        self.planners, self.fall, self.own = sorted(planners), fall, own
        self.begin = now + LENDS + 2 * fall if restarted else now
        self.holder, self.plan = Holder(), Plan(Name())
        self.seen: dict[str, Seen] = {}
        self.turned = now  # when the window began
        self.numbers = dict.fromkeys(self.planners, 0)
        self.sent: dict[str, dict[int, int]] = {planner: {} for planner in self.planners}
        self.lives: dict[str, int] = {}  # planners' incarnations
        self.heard: dict[str, int] = {}
        self.ledgers: dict[str, QuotaLedger] = {}  # by be that is cold
        self.asked: dict[int, tuple[Ask, int, str]] = {}
        self.asks = 0
        self.given: dict[str, list[Given]] = {planner: [] for planner in self.planners}
        self.used: dict[str, float] = {}
        self.listed = 0
        self.changed: dict[str, int] = {}  # bes by the list's number at which they changed last
        self.requests = 0.0
        self.fills: dict[str, float] = {}
        self.worth: dict[str, float] = {}
        self.asked_kb = self.past = 0.0
        self.keeper = keeper  # where whole locations may be left
        self.now = now  # of the last look
        self.counts = dict.fromkeys(("summaries", "replies", "late", "plans", "lent", "borrowed"), 0)

    # --- what is seen ---

    def ended(self, backend: str, how: str) -> None:
        """A dispatch at a be is over: well, late or failed."""
        seen = self.seen.setdefault(backend, Seen())
        seen.now[("well", "late", "failed").index(how)] += 1
        seen.bad, seen.bad_at = (seen.bad + 1, self.now) if how == "failed" else (0, seen.bad_at)

    def filled(self, source: str) -> None:
        """A fill came from it."""
        self.seen.setdefault(source, Seen()).filled[0] += 1

    def state(
        self,
        backend: str,
        out: int,
        alone: bool,
        limit: float,
        waits: int = 0,
        quiet: int = 0,
        unfilled: int = 0,
    ) -> None:
        """What the module has of a be now. What failed a while ago, and was not asked since, is no news: a
        location that returns slice by slice would be left again for what its trials had met."""
        seen = self.seen.setdefault(backend, Seen())
        seen.out, seen.alone, seen.limit = out, alone, limit
        seen.streak = waits + (seen.bad if self.now - seen.bad_at <= RECENT else 0)
        seen.quiet, seen.unfilled = quiet, unfilled

    def list(self, changed: Iterable[str], number: int, cold: Iterable[str], now: int) -> None:
        """The change log has told of bes, as of a number; which are cold now."""
        self.listed = max(self.listed, number)
        for backend in changed:
            self.changed[backend] = number
        cold = set(cold)
        for backend in sorted(cold - self.ledgers.keys()):
            self.ledgers[backend] = QuotaLedger(self.own, self.fall, self.begin)
        # a be that has warmed may start anew before what was lent for its last life is back
        for backend in [
            backend
            for backend, ledger in self.ledgers.items()
            if backend not in cold and ledger.is_settled(now)
        ]:
            del self.ledgers[backend]

    def uses(self, used: Mapping[str, float]) -> None:
        """Which part of what it may do at cold bes is in use, 0 to 1."""
        self.used = dict(used)

    # --- to planners ---

    def summary(self, planner: str, now: int) -> Summary:
        """What a planner is told now."""
        while now - self.turned >= WINDOW:
            self.turned += WINDOW
            for seen in self.seen.values():
                seen.last, seen.now = seen.now, [0, 0, 0]
                seen.filled = [0, seen.filled[0]]
        self.numbers[planner] += 1
        number = self.numbers[planner]
        self.sent[planner][number] = now
        for old in [old for old, at in self.sent[planner].items() if now - at > 2 * WAITS]:
            del self.sent[planner][old]
        sights = {}
        for backend, seen in sorted(self.seen.items()):
            well, late, failed = (one + other for one, other in zip(seen.now, seen.last, strict=True))
            filled = sum(seen.filled)
            if well or late or failed or seen.out or seen.alone or filled or seen.streak:
                sights[backend] = Sight(
                    well,
                    late,
                    failed,
                    seen.out,
                    seen.alone,
                    seen.limit,
                    seen.streak,
                    seen.quiet,
                    seen.unfilled,
                    filled,
                )
        given, self.given[planner] = tuple(self.given[planner]), []
        cold = {
            backend: (ledger.usable(now), ledger.usable(now) * self.used.get(backend, 0.0))
            for backend, ledger in sorted(self.ledgers.items())
        }
        self.counts["summaries"] += 1
        return Summary(
            self.name,
            self.incarnation,
            number,
            self.zone,
            self.listed,
            self.requests,
            dict(self.fills),
            dict(self.worth),
            sights,
            cold,
            tuple(self._asks(planner, now)),
            given,
            self.holder.name if self.holder.holds(now) else Name(),
            False,
            self.asked_kb,
            self.past,
            dict(self.keeper.tallies) if self.keeper else {},
            self.keeper.holds() if self.keeper else {},
        )

    def _asks(self, planner: str, now: int) -> Iterable[Ask]:
        """More of a cold budget, where nearly all of ours is in use; of one planner at a time."""
        for number in [number for number, (_, at, _) in self.asked.items() if now - at > WAITS]:
            del self.asked[number]
        waiting = {ask.backend for ask, _, _ in self.asked.values()}
        if planner != self._first(now):
            return
        for backend, ledger in sorted(self.ledgers.items()):
            if backend not in waiting and self.used.get(backend, 0.0) >= EAGER:
                self.asks += 1
                ask = Ask(self.asks, backend, max(self.own, ledger.usable(now)), LENDS)
                self.asked[self.asks] = (ask, now, planner)
                yield ask

    def _first(self, now: int) -> str:
        """The planner that is asked: whose plan holds, if it answers; else the first that does."""
        there = [name for name in self.planners if now - self.heard.get(name, -WAITS) < WAITS]
        if self.holder.name.planner in there:
            return self.holder.name.planner
        return there[0] if there else self.planners[0] if self.planners else ""

    def reply(self, told: Reply, now: int) -> bool:
        """A planner answers; True where another plan holds now. What answers nothing that was sent, or comes
        from a planner's earlier process, is passed over."""
        asked = self.sent.get(told.planner, {}).get(told.number)
        if asked is None or told.incarnation < self.lives.get(told.planner, 0):
            self.counts["late"] += 1
            return False
        self.counts["replies"] += 1
        self.lives[told.planner] = told.incarnation
        self.heard[told.planner] = now
        self.given[told.planner] += [self._lend(ask, now) for ask in told.asks]
        for given in told.given:
            self._borrowed(given, asked, now)
        return self._take(told, asked, now)

    def _take(self, told: Reply, asked: int, now: int) -> bool:
        plan = told.plan
        if plan is None and told.delta is not None:
            if told.delta.name == self.holder.name == told.delta.since:
                self.holder.take(told.delta.name, asked, told.span, now)
                return False
            plan = applied(self.plan, told.delta)
        if plan is None:
            return False
        if self.holder.take(plan.name, asked, told.span, now):
            self.plan = plan
            self.counts["plans"] += 1
            return True
        return False

    # --- budgets of cold bes ---

    def _lend(self, ask: Ask, now: int) -> Given:
        ledger = self.ledgers.get(ask.backend)
        if ledger is None:
            return Given(ask.number, ask.backend)
        spare = max(0.0, ledger.usable(now) * (1 - self.used.get(ask.backend, 0.0)))
        grant = ledger.lend(now, min(ask.part, spare), min(ask.span, LENDS)) if spare > MIN_SHARE else None
        if grant is None:
            return Given(ask.number, ask.backend)
        self.counts["lent"] += 1
        return Given(ask.number, ask.backend, grant.share, grant.delay, grant.duration)

    def _borrowed(self, given: Given, asked: int, now: int) -> None:
        ask, at, _ = self.asked.pop(given.number, (None, 0, ""))
        ledger = self.ledgers.get(given.backend)
        if ask is None or ask.backend != given.backend or ledger is None or given.part <= MIN_SHARE:
            return
        if ledger.borrow(LeaseTerms(given.part, given.delay, given.span), min(at, asked), now):
            self.counts["borrowed"] += 1

    # --- what holds ---

    def effect(self, now: int) -> Effect:
        """What holds now. Of bes that have changed on our list since the plan's, the plan says nothing."""
        shares = (
            {backend: ledger.usable(now) / self.own for backend, ledger in sorted(self.ledgers.items())}
            if self.own
            else {}
        )
        holds = self.holder.holds(now)
        left = self.keeper.look(self.plan.zones if holds else None, now) if self.keeper else {}
        if not holds:
            return Effect(shares=shares, left=left)
        plan = self.plan
        known = {backend for backend, number in self.changed.items() if number > plan.listed}
        out = {
            backend: 0 if plan.trials.get(backend) == self.name else self.holder.until
            for backend in plan.out
            if backend not in known
        }
        part = plan.parts.get(self.name, 0.0)
        ways = {
            backend: max(1.0, limit * part)
            for backend, limit in plan.ways.items()
            if part and backend not in known
        }
        link = max(1.0, plan.links.get(self.zone, 0.0) * part) if plan.links.get(self.zone) and part else 0.0
        names = plan.renews.get(self.zone, ())
        turn = (names.index(self.name), len(names)) if self.name in names else (0, 1)
        return Effect(plan.name, out, ways, link, shares, turn, left)
