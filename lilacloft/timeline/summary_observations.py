"""Observations from the summaries of seconds: slow sources and caches, overload, lost answers, bad clients.

No I/O; times are Unix milliseconds. Thresholds are relative to what the same gateway saw in its better
seconds.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable

from lilacloft.timeline.observations import GatewayHistory, Observation, SummarySpan

SLOW_FACTOR = 2.5  # times the typical wait for a fill make a source slow, and
SLOW_TARGET_SHARE = 0.25  # at least this share of the shortest target more
SLOW_LATE_SHARE = 0.5  # share of a cache's answers late that make it slow,
OTHERS_LATE_SHARE = 0.2  # while no more than this share of the others' are
LOST_SHARE = 0.2  # share of attempts without an answer, at
MOST_CACHES = 0.6  # this share of the caches at once: answers are lost
OVERLOAD_FACTOR = 1.8  # times the typical requests, and
REJECTED_SHARE = 0.1  # this share of them rejected, are overload
BAD_MESSAGES = 10.0  # messages rejected a second, and
BAD_MESSAGES_FACTOR = 5.0  # this many times the typical ones, come from bad clients
MAX_BREAK = 2  # seconds in a row that end an interval
MIN_ANSWERS = 3  # in a second that tells a share


def find_intervals(
    seen: GatewayHistory, matches: Callable[[SummarySpan], bool], least: int = 2
) -> list[tuple[float, float | None]]:
    """Return the intervals of at least `least` seconds that match, with short breaks; open where the records
    end in one."""
    out: list[tuple[float, float | None]] = []
    mine: list[SummarySpan] = []
    break_length = 0
    for span in seen.spans:
        if matches(span):
            mine.append(span)
            break_length = 0
        elif mine:
            break_length += 1
            if break_length >= MAX_BREAK:
                if len(mine) >= least:
                    out.append((mine[0].begin, mine[-1].end))
                mine = []
    if len(mine) >= least:
        out.append((mine[0].begin, None if break_length == 0 else mine[-1].end))
    return out


def typical(values: Iterable[float]) -> float:
    """Return the lower quartile: trouble of up to three quarters of the time does not count."""
    found = sorted(values)
    return found[len(found) // 4] if found else 0.0


def slow_sources(seen: GatewayHistory) -> list[Observation]:
    """Return the intervals in which fills wait longer: at all sources it is the origin, else that source."""

    def waited(span: SummarySpan, source: str) -> float | None:
        backend = span.second.backends.get(source)
        return (
            backend.source_wait_total / backend.source_waits / 10
            if backend and backend.source_waits
            else None
        )

    sources = sorted(
        {
            name
            for span in seen.spans
            for name, backend in span.second.backends.items()
            if backend.source_waits
        }
    )
    base = {
        source: typical(wait for span in seen.spans if (wait := waited(span, source)) is not None)
        for source in sources
    }
    target = min(seen.targets.values(), default=0.0)

    def slow(span: SummarySpan, source: str) -> bool | None:
        wait = waited(span, source)
        return (
            None
            if wait is None
            else wait > max(SLOW_FACTOR * base[source], base[source] + SLOW_TARGET_SHARE * target)
        )

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
            if others and sum(others) <= OTHERS_LATE_SHARE * len(others):
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


def slow_caches(seen: GatewayHistory) -> list[Observation]:
    """Return the intervals in which a cache's answers come late while others' do not."""
    caches = sorted(
        {name for span in seen.spans for name in span.second.backends if seen.role(name) == "cache"}
    )

    def late(span: SummarySpan, backend: str) -> float | None:
        one = span.second.backends.get(backend)
        return one.late_answers / one.done if one and one.done >= MIN_ANSWERS else None

    out = []
    for cache in caches:

        def matches(span: SummarySpan, cache: str = cache) -> bool:
            mine = late(span, cache)
            if mine is None or mine <= SLOW_LATE_SHARE:
                return False
            others = [one for other in caches if other != cache and (one := late(span, other)) is not None]
            return bool(others) and statistics.median(others) <= OTHERS_LATE_SHARE

        why = "its answers come late"
        out += [
            Observation(seen.gateway, "slow", cache, begin, end, seen.uncertainty + 500.0, why, [], begin)
            for begin, end in find_intervals(seen, matches, 3)
        ]
    return out


def fleet_troubles(seen: GatewayHistory) -> list[Observation]:
    """Return what is no single backend's: lost answers, overload, bad clients."""

    def are_answers_lost(span: SummarySpan) -> bool:
        asked = {
            name: backend
            for name, backend in span.second.backends.items()
            if backend.dispatches >= MIN_ANSWERS and seen.role(name) == "cache"
        }
        gone = [
            backend
            for backend in asked.values()
            if backend.ends.get("time_up", 0) + backend.ends.get("called_off", 0)
            >= LOST_SHARE * backend.dispatches
        ]
        return len(asked) > 1 and len(gone) >= MOST_CACHES * len(asked)

    def requests(span: SummarySpan) -> float:
        return (
            sum(vhost.requests for vhost in span.second.vhosts.values())
            / max(1, span.second.duration)
            * 10_000
        )

    def refused(span: SummarySpan) -> float:
        return span.second.refused.get("unusable", 0) / max(1, span.second.duration) * 10_000

    often, bad = typical(map(requests, seen.spans)), typical(map(refused, seen.spans))

    def is_overload(span: SummarySpan) -> bool:
        denied = sum(vhost.denied for vhost in span.second.vhosts.values())
        return requests(span) > OVERLOAD_FACTOR * often > 0 and denied > REJECTED_SHARE * sum(
            vhost.requests for vhost in span.second.vhosts.values()
        )

    found = (
        ("lost answers", are_answers_lost, "dispatches to most caches end without an answer"),
        (
            "crowd",
            is_overload,
            f"over {OVERLOAD_FACTOR:g} times the usual {often:.0f} reqs a second, and denials",
        ),
        (
            "bad clients",
            lambda span: refused(span) > max(BAD_MESSAGES, BAD_MESSAGES_FACTOR * bad),
            "messages of no use",
        ),
    )
    return [
        Observation(seen.gateway, kind, "", begin, end, seen.uncertainty + 500.0, why, [], begin)
        for kind, matches, why in found
        for begin, end in find_intervals(seen, matches)
    ]
