"""Observations from summary records: slow sources and caches, overload, lost answers, bad clients.

No I/O; times are Unix milliseconds. Thresholds are relative to the lower quartile of the same gateway's
summaries.
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
    history: GatewayHistory, matches: Callable[[SummarySpan], bool], least: int = 2
) -> list[tuple[float, float | None]]:
    """Return the intervals of at least `least` matching summaries, shorter breaks included. The last one has
    no end if the records end within it."""
    out: list[tuple[float, float | None]] = []
    matching: list[SummarySpan] = []
    break_length = 0
    for span in history.spans:
        if matches(span):
            matching.append(span)
            break_length = 0
        elif matching:
            break_length += 1
            if break_length >= MAX_BREAK:
                if len(matching) >= least:
                    out.append((matching[0].begin, matching[-1].end))
                matching = []
    if len(matching) >= least:
        out.append((matching[0].begin, None if break_length == 0 else matching[-1].end))
    return out


def typical(values: Iterable[float]) -> float:
    """Return the lower quartile, which trouble in up to three quarters of the time does not raise."""
    found = sorted(values)
    return found[len(found) // 4] if found else 0.0


def slow_sources(history: GatewayHistory) -> list[Observation]:
    """Return the intervals in which fills wait longer: for most sources, the origin is slow; for one of them,
    that source is."""

    def waited(span: SummarySpan, source: str) -> float | None:
        backend = span.summary.backends.get(source)
        return (
            backend.source_wait_total / backend.source_waits / 10
            if backend and backend.source_waits
            else None
        )

    sources = sorted(
        {
            name
            for span in history.spans
            for name, backend in span.summary.backends.items()
            if backend.source_waits
        }
    )
    baseline = {
        source: typical(wait for span in history.spans if (wait := waited(span, source)) is not None)
        for source in sources
    }
    target = min(history.targets.values(), default=0.0)

    def slow(span: SummarySpan, source: str) -> bool | None:
        wait = waited(span, source)
        return (
            None
            if wait is None
            else wait > max(SLOW_FACTOR * baseline[source], baseline[source] + SLOW_TARGET_SHARE * target)
        )

    def all_slow(span: SummarySpan) -> bool:
        slow_flags = [is_slow for source in sources if (is_slow := slow(span, source)) is not None]
        return bool(slow_flags) and sum(slow_flags) > len(slow_flags) / 2

    out = []
    for begin, end in find_intervals(history, all_slow):
        longest = max(
            (
                wait
                for span in history.spans
                if span.begin >= begin and (end is None or span.end <= end)
                for source in sources
                if (wait := waited(span, source)) is not None
            ),
            default=0.0,
        )
        mean = statistics.mean(baseline.values()) if baseline else 0.0
        out.append(
            Observation(
                history.gateway,
                "origin slow",
                "",
                begin,
                end,
                history.uncertainty + 500.0,
                f"fills waited up to {longest:.0f} ms, typically {mean:.0f} ms",
                [],
                begin,
            )
        )
    for source in sources if len(sources) > 1 else []:
        for begin, end in find_intervals(history, lambda span, source=source: bool(slow(span, source)), 3):
            others = [
                is_slow
                for span in history.spans
                if span.begin >= begin and (end is None or span.end <= end)
                for other in sources
                if other != source and (is_slow := slow(span, other)) is not None
            ]
            if others and sum(others) <= OTHERS_LATE_SHARE * len(others):
                out.append(
                    Observation(
                        history.gateway,
                        "slow",
                        source,
                        begin,
                        end,
                        history.uncertainty + 500.0,
                        "fills from it wait, fills from others do not",
                        [],
                        begin,
                    )
                )
    return out


def slow_caches(history: GatewayHistory) -> list[Observation]:
    """Return the intervals in which a cache answers late while others do not."""
    caches = sorted(
        {name for span in history.spans for name in span.summary.backends if history.role(name) == "cache"}
    )

    def late(span: SummarySpan, backend: str) -> float | None:
        counts = span.summary.backends.get(backend)
        return counts.late_answers / counts.done if counts and counts.done >= MIN_ANSWERS else None

    out = []
    for cache in caches:

        def matches(span: SummarySpan, cache: str = cache) -> bool:
            late_share = late(span, cache)
            if late_share is None or late_share <= SLOW_LATE_SHARE:
                return False
            others = [
                share for other in caches if other != cache and (share := late(span, other)) is not None
            ]
            return bool(others) and statistics.median(others) <= OTHERS_LATE_SHARE

        why = "its answers come late"
        out += [
            Observation(
                history.gateway, "slow", cache, begin, end, history.uncertainty + 500.0, why, [], begin
            )
            for begin, end in find_intervals(history, matches, 3)
        ]
    return out


def fleet_troubles(history: GatewayHistory) -> list[Observation]:
    """Return the troubles that no single backend causes: lost answers, overload, bad clients."""

    def are_answers_lost(span: SummarySpan) -> bool:
        used = {
            name: backend
            for name, backend in span.summary.backends.items()
            if backend.dispatches >= MIN_ANSWERS and history.role(name) == "cache"
        }
        unanswered = [
            backend
            for backend in used.values()
            if backend.ends.get("time_up", 0) + backend.ends.get("called_off", 0)
            >= LOST_SHARE * backend.dispatches
        ]
        return len(used) > 1 and len(unanswered) >= MOST_CACHES * len(used)

    def requests(span: SummarySpan) -> float:
        return (
            sum(vhost.requests for vhost in span.summary.vhosts.values())
            / max(1, span.summary.duration)
            * 10_000
        )

    def refused(span: SummarySpan) -> float:
        return span.summary.refused.get("unusable", 0) / max(1, span.summary.duration) * 10_000

    typical_requests, typical_refused = (
        typical(map(requests, history.spans)),
        typical(map(refused, history.spans)),
    )

    def is_overload(span: SummarySpan) -> bool:
        denied = sum(vhost.denied for vhost in span.summary.vhosts.values())
        return requests(span) > OVERLOAD_FACTOR * typical_requests > 0 and denied > REJECTED_SHARE * sum(
            vhost.requests for vhost in span.summary.vhosts.values()
        )

    checks = (
        ("lost answers", are_answers_lost, "dispatches to most caches end without an answer"),
        (
            "crowd",
            is_overload,
            f"over {OVERLOAD_FACTOR:g} times the typical {typical_requests:.0f} requests/s, and denials",
        ),
        (
            "bad clients",
            lambda span: refused(span) > max(BAD_MESSAGES, BAD_MESSAGES_FACTOR * typical_refused),
            "invalid messages",
        ),
    )
    return [
        Observation(history.gateway, kind, "", begin, end, history.uncertainty + 500.0, why, [], begin)
        for kind, matches, why in checks
        for begin, end in find_intervals(history, matches)
    ]
