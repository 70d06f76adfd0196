"""Decides what one gateway saw happen, from its records alone: each with a beginning, an end and its signs.

A sight is one gateway's word of one trouble. Several are made an episode in lilacloft/timeline/incidents.py.
No I/O; Unix milliseconds. Thresholds are parts of what the same gateway saw in its quieter seconds; none is
a figure of any installation.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.record.kinds import Away, Belief, Cut, Listed, Planned, Purge, Second, Start
from lilacloft.record.reader import Run
from lilacloft.timeline.clocks import Clock, run_time
from lilacloft.timeline.summary_columns import Columns

SLOW = 2.5  # times the usual wait for a fill, and
MORE = 0.25  # at least this part of the shortest target more
LATE = 0.5  # part of a cache's answers late that make it slow,
OTHERS = 0.2  # while no more than this part of the others' are
LOST = 0.2  # part of dispatches without an answer, at
MOST = 0.6  # so many of the caches at once: answers are lost
CROWD = 1.8  # times the usual reqs, and
DENIED = 0.1  # this part of them denied
OFFENCES = 10.0  # messages refused a second, and
TIMES = 5.0  # so many times the usual
JOINED = 2  # seconds in a row that break a stretch of seconds
BEFORE = 6000.0  # ms before a belief in which its first sign is looked for
TOLD = "told by the change log"
FEW = 3  # answers that a second's share is told from


@dataclass
class Observation:
    """What one gateway saw."""

    gateway: str
    kind: str  # silent, slow, drained, cold, gone, purge, origin slow, crowd, lost answers, bad clients
    subject: str  # the be, object or group; empty: the fleet
    begin: float
    end: float | None  # none: not over where the records end
    uncertainty: float  # of the beginning
    why: str = ""
    actions: list[str] = field(default_factory=list)
    known: float | None = None  # when the gateway acted on it
    answered: int = 0  # how often the subject answered meanwhile, for all that


@dataclass
class SummarySpan:
    """A second's summary with its bounds."""

    begin: float
    end: float
    second: Second


class GatewayHistory:
    """One gateway's records in the common time."""

    def __init__(self, gateway: str, runs: Iterable[Run], clocks: Mapping[str, Clock]) -> None:
        self.gateway = gateway
        self.runs = sorted((run for run in runs if run.records), key=lambda run: run.records[0].wall)
        self.spans: list[SummarySpan] = []
        self.kinds: dict[str, str] = {}
        self.events: list[tuple[float, float, object]] = []  # when, spread, record
        self.targets: dict[str, float] = {}
        for run in self.runs:
            clock = clocks[run.name]
            for vhost, (target, *_) in run.head.vhosts.items():
                self.targets[vhost] = target / 10
            for record in run.records:
                at = clock.true(run_time(run, record))
                self.events.append((at, clock.uncertainty, record))
                if isinstance(record, Second):
                    self.spans.append(SummarySpan(at - record.span / 10, at, record))
                elif isinstance(record, Listed):
                    self.kinds.update((name, kind) for name, kind, *_ in record.backends)
        self.events.sort(key=lambda event: event[0])
        self.spans.sort(key=lambda span: span.begin)
        self.lives = [run.head.run for run in self.runs]
        self.offset = clocks[self.runs[-1].name].offset if self.runs else 0.0
        self.uncertainty = max((clocks[run.name].uncertainty for run in self.runs), default=0.0)
        self.columns = Columns((span.begin, span.end, span.second) for span in self.spans)
        self.begin = self.events[0][0] if self.events else 0.0
        self.end = self.events[-1][0] if self.events else 0.0

    def covers(self, begin: float, end: float) -> bool:
        """Do its records tell of a stretch, in part at least?"""
        return self.columns.covers(begin, end)

    def slim(self) -> GatewayHistory:
        """The same without the records: what is left answers all that is asked of it after its sights."""
        out = GatewayHistory.__new__(GatewayHistory)
        out.__dict__.update(self.__dict__, runs=[], spans=[], events=[])
        return out

    def role(self, backend: str) -> str:
        kind = self.kinds.get(backend, "")
        return kind if kind in ("parent", "origin") else "cache"


def observations(seen: GatewayHistory) -> list[Observation]:
    """All that one gateway saw."""
    return [
        *_beliefs(seen),
        *_listed(seen),
        *_purges(seen),
        *_waits(seen),
        *_caches(seen),
        *_fleet(seen),
        *_plans(seen),
        *_away(seen),
    ]


# --- what planners told it ---


def _away(seen: GatewayHistory) -> list[Observation]:
    """Stretches in which not all of a location was at home, as it was left and returned to."""
    out: list[Observation] = []
    open_: dict[str, Observation] = {}
    for at, uncertainty, record in seen.events:
        if isinstance(record, Away):
            observation = open_.get(record.zone)
            if observation is None and record.back < record.of:
                observation = open_[record.zone] = Observation(
                    seen.gateway,
                    "location left",
                    record.zone,
                    at,
                    None,
                    uncertainty,
                    record.why or "left without a plan",
                    [],
                    at,
                )
                out.append(observation)
            if observation is not None:
                how = " without a plan" if record.alone else ""
                why = f": {record.why}" if record.why and record.back in (0, record.of) else ""
                observation.actions.append(f"{record.back} of {record.of} slices at home{how}{why}")
                if record.back >= record.of:
                    observation.end = at
                    del open_[record.zone]
        elif isinstance(record, Start) and record.why != "upgrade":
            for (
                observation
            ) in open_.values():  # another process, which has all of it at home until it is told
                observation.end = at
            open_.clear()
    return out


def _plans(seen: GatewayHistory) -> list[Observation]:
    """Stretches in which a forwarder that had held a plan held none, and was a gateway alone: from the
    record that says so to the next plan, or to its process's end. A forwarder that never held one tells
    nothing of planners."""
    out: list[Observation] = []
    alone: Observation | None = None
    held = ""
    for at, uncertainty, record in seen.events:
        if isinstance(record, Planned) and not record.planner and held:
            if alone is None:
                alone = Observation(
                    seen.gateway,
                    "without a plan",
                    "planners",
                    at,
                    None,
                    uncertainty,
                    f"the plan of {held} ran out",
                    [],
                    at,
                )
                out.append(alone)
        elif isinstance(record, Planned) and record.planner:
            if alone is not None:
                alone.end = at
                alone.actions.append(f"plan {record.epoch}.{record.issued} of {record.planner} holds")
                alone = None
            held = record.planner
        elif isinstance(record, Start) and record.why != "upgrade":
            if alone is not None:
                alone.end = at
                alone.actions.append("the gateway restarted")
                alone = None
            held = ""
    return out


# --- what it believed ---


def _beliefs(seen: GatewayHistory) -> list[Observation]:
    out: list[Observation] = []
    open_: dict[str, Observation] = {}
    for at, uncertainty, record in seen.events:
        if isinstance(record, Belief) and record.what == "left alone":
            if record.backend not in open_:
                open_[record.backend] = _alone(seen, at, uncertainty, record)
                out.append(open_[record.backend])
        elif isinstance(record, Belief):
            _close(open_, record.backend, at, "answers again")
        elif isinstance(record, Listed):
            for name, _, _, status, started, _ in record.backends:
                observation = open_.get(name)
                if observation and (not status or started / 10 > observation.begin):
                    _close(open_, name, at, "gone from the list" if not status else "started anew")
        elif isinstance(record, Second):
            for name, observation in list(open_.items()):
                backend = record.backends.get(name)
                if backend:
                    after = at - record.span / 10 > (observation.known or at)
                    observation.answered += backend.done if after else 0
                    if backend.status == 1 and not backend.ejected and backend.done and after:
                        _close(open_, name, at, "answers again")  # its word of that is not here
        elif isinstance(record, Cut):
            observation = open_.get(record.backend)
            if observation and not record.grown:
                observation.actions.append(f"limit {record.was:g} to {record.limit:g}")
        elif isinstance(record, Start) and record.why != "upgrade":
            for name in list(open_):
                _close(open_, name, at, "the gateway restarted, and began without that belief")
    return out


def _alone(seen: GatewayHistory, at: float, uncertainty: float, record: Belief) -> Observation:
    """A be is left alone: since when has it shown no answer? Between the last second in which it answered and
    now."""
    slow = "late" in record.why
    begin = at
    # not across a restart: what lies between nobody has seen
    starts = [when for when, _, one in seen.events if isinstance(one, Start) and when <= at]
    since = max([at - BEFORE, *starts])
    for span in reversed([one for one in seen.spans if since < one.end and one.begin < at]):
        backend = span.second.backends.get(record.backend)
        if backend is None or (not backend.done and not slow):
            begin = min(begin, span.begin)
            continue
        if slow and backend.late > LATE * max(1, backend.done):
            begin = min(begin, span.begin)
            continue
        begin = min(at, span.end)
        break
    actions = [f"left alone {at - begin:.0f} ms after its first sign"]
    return Observation(
        seen.gateway,
        "slow" if slow else "silent",
        record.backend,
        begin,
        None,
        uncertainty + (at - begin) / 2,
        record.why,
        actions,
        at,
    )


def _close(open_: dict[str, Observation], backend: str, at: float, why: str) -> None:
    observation = open_.pop(backend, None)
    if observation:
        observation.end = at
        observation.actions.append(why)


# --- what it was told ---


def _listed(seen: GatewayHistory) -> list[Observation]:
    out: list[Observation] = []
    status: dict[str, int] = {}
    born: dict[str, int] = {}
    drains: dict[str, Observation] = {}
    for at, uncertainty, record in seen.events:
        if not isinstance(record, Listed):
            continue
        for name, _, _, now, started, _ in record.backends:
            if now != 2 and name in drains:
                drains[name].actions.append("gone from the list" if not now else "ready again")
                drains.pop(name).end = at
            if now == 2 and status.get(name) == 1:
                drains[name] = Observation(seen.gateway, "drained", name, at, None, uncertainty, TOLD, [], at)
                out.append(drains[name])
            if now == 0 and status.get(name, 0) == 1:
                out.append(Observation(seen.gateway, "gone", name, at, at, uncertainty, TOLD, [], at))
            if now == 1 and name in born and started > born[name]:
                out.append(Observation(seen.gateway, "cold", name, at, at, uncertainty, TOLD, [], at))
            status[name], born[name] = now, max(started, born.get(name, 0))
    return out


def _purges(seen: GatewayHistory) -> list[Observation]:
    return [
        Observation(
            seen.gateway,
            "purge",
            record.key or f"group {record.group}",
            record.at / 10,
            at,
            uncertainty,
            f"told {at - record.at / 10:.0f} ms after it",
            [],
            at,
        )
        for at, uncertainty, record in seen.events
        if isinstance(record, Purge)
    ]


# --- what its seconds show ---


def find_intervals(
    seen: GatewayHistory, matches: Callable[[SummarySpan], bool], least: int = 2
) -> list[tuple[float, float | None]]:
    """Stretches of seconds that show something, of so many at least, with short breaks; open where the
    records end in one."""
    out: list[tuple[float, float | None]] = []
    mine: list[SummarySpan] = []
    quiet = 0
    for span in seen.spans:
        if matches(span):
            mine.append(span)
            quiet = 0
        elif mine:
            quiet += 1
            if quiet >= JOINED:
                if len(mine) >= least:
                    out.append((mine[0].begin, mine[-1].end))
                mine = []
    if len(mine) >= least:
        out.append((mine[0].begin, None if quiet == 0 else mine[-1].end))
    return out


def typical(values: Iterable[float]) -> float:
    """What is usual: the lower quartile, so that trouble of up to three quarters of the time does not
    count."""
    found = sorted(values)
    return found[len(found) // 4] if found else 0.0


def _waits(seen: GatewayHistory) -> list[Observation]:
    """Fills wait longer: at all sources it is the origin, at one that source."""

    def waited(span: SummarySpan, source: str) -> float | None:
        backend = span.second.backends.get(source)
        return backend.waited / backend.waits / 10 if backend and backend.waits else None

    sources = sorted(
        {name for span in seen.spans for name, backend in span.second.backends.items() if backend.waits}
    )
    base = {
        source: typical(wait for span in seen.spans if (wait := waited(span, source)) is not None)
        for source in sources
    }
    target = min(seen.targets.values(), default=0.0)

    def slow(span: SummarySpan, source: str) -> bool | None:
        wait = waited(span, source)
        return None if wait is None else wait > max(SLOW * base[source], base[source] + MORE * target)

    def all_slow(span: SummarySpan) -> bool:
        found = [one for source in sources if (one := slow(span, source)) is not None]
        return bool(found) and sum(found) > len(found) / 2

    out = []
    for begin, end in find_intervals(seen, all_slow):
        worst = max(
            (
                wait
                for span in seen.spans
                if span.begin >= begin and (end is None or span.end <= end)
                for source in sources
                if (wait := waited(span, source)) is not None
            ),
            default=0.0,
        )
        mean = statistics.mean(base.values()) if base else 0.0
        out.append(
            Observation(
                seen.gateway,
                "origin slow",
                "",
                begin,
                end,
                seen.uncertainty + 500.0,
                f"fills waited up to {worst:.0f} ms, usual are {mean:.0f} ms",
                [],
                begin,
            )
        )
    for source in sources if len(sources) > 1 else []:
        for begin, end in find_intervals(seen, lambda span, source=source: bool(slow(span, source)), 3):
            others = [
                one
                for span in seen.spans
                if span.begin >= begin and (end is None or span.end <= end)
                for other in sources
                if other != source and (one := slow(span, other)) is not None
            ]
            if others and sum(others) <= OTHERS * len(others):
                out.append(
                    Observation(
                        seen.gateway,
                        "slow",
                        source,
                        begin,
                        end,
                        seen.uncertainty + 500.0,
                        "fills from it wait, others' do not",
                        [],
                        begin,
                    )
                )
    return out


def _caches(seen: GatewayHistory) -> list[Observation]:
    """Caches whose answers come late while others' do not."""
    caches = sorted(
        {name for span in seen.spans for name in span.second.backends if seen.role(name) == "cache"}
    )

    def late(span: SummarySpan, backend: str) -> float | None:
        one = span.second.backends.get(backend)
        return one.late / one.done if one and one.done >= FEW else None

    out = []
    for cache in caches:

        def matches(span: SummarySpan, cache: str = cache) -> bool:
            mine = late(span, cache)
            if mine is None or mine <= LATE:
                return False
            others = [one for other in caches if other != cache and (one := late(span, other)) is not None]
            return bool(others) and statistics.median(others) <= OTHERS

        why = "its answers come late"
        out += [
            Observation(seen.gateway, "slow", cache, begin, end, seen.uncertainty + 500.0, why, [], begin)
            for begin, end in find_intervals(seen, matches, 3)
        ]
    return out


def _fleet(seen: GatewayHistory) -> list[Observation]:
    """What is no single be's: lost answers, a crowd, bad clients."""

    def lost(span: SummarySpan) -> bool:
        asked = {
            name: backend
            for name, backend in span.second.backends.items()
            if backend.dispatches >= FEW and seen.role(name) == "cache"
        }
        gone = [
            backend
            for backend in asked.values()
            if backend.ends.get("time_up", 0) + backend.ends.get("called_off", 0) >= LOST * backend.dispatches
        ]
        return len(asked) > 1 and len(gone) >= MOST * len(asked)

    def requests(span: SummarySpan) -> float:
        return (
            sum(vhost.requests for vhost in span.second.vhosts.values()) / max(1, span.second.span) * 10_000
        )

    def refused(span: SummarySpan) -> float:
        return span.second.refused.get("unusable", 0) / max(1, span.second.span) * 10_000

    often, bad = typical(map(requests, seen.spans)), typical(map(refused, seen.spans))

    def crowd(span: SummarySpan) -> bool:
        denied = sum(vhost.denied for vhost in span.second.vhosts.values())
        return requests(span) > CROWD * often > 0 and denied > DENIED * sum(
            vhost.requests for vhost in span.second.vhosts.values()
        )

    found = (
        ("lost answers", lost, "dispatches to most caches end without an answer"),
        ("crowd", crowd, f"over {CROWD:g} times the usual {often:.0f} reqs a second, and denials"),
        ("bad clients", lambda span: refused(span) > max(OFFENCES, TIMES * bad), "messages of no use"),
    )
    return [
        Observation(seen.gateway, kind, "", begin, end, seen.uncertainty + 500.0, why, [], begin)
        for kind, matches, why in found
        for begin, end in find_intervals(seen, matches)
    ]
