"""The run-time invariant checks of a gateway: each violation is found, and valid histories pass."""

import pytest

from lilacloft.invariants import (
    FirstByte,
    IdempotencyRule,
    Invariant,
    Invariants,
    RequestHistory,
    allowed_excess,
)
from lilacloft.log import logger
from lilacloft.protocol_settings import from_protocol
from lilacloft.routing.model import Backend
from rigs.inprocess import until
from rigs.stands import ENV, serves

NOW = 10**9
SECOND = 10_000
KEYED = IdempotencyRule("uniqued", "cell", 2 * SECOND)


@pytest.fixture
def violated():
    """Invariants whose violation was reported, in order."""
    return []


@pytest.fixture
def checks(violated):
    return Invariants(from_protocol(ENV), lambda invariant, name, detail: violated.append(invariant))


def backend(name="a", cell=1, **more):
    return Backend(name, cell=cell, status=1, capacity=5.0, **more)


def history(effect=IdempotencyRule("replayable")):
    return RequestHistory("r", effect, NOW + SECOND)


def first_byte(**more):
    valid = {
        "client_left_at": 0,
        "window_ends_at": 0,
        "draining_since": 0,
        "time_limit": 5_000,
        "deadline": NOW + 5_000,
    }
    return FirstByte("r", NOW, **{**valid, **more})


def test_a_valid_history_violates_nothing(checks, violated):
    one, cache, parent = history(KEYED), backend(), backend("p", kind=2)
    assert checks.may_send(one, cache, parent, 1_000, NOW)
    assert checks.may_send_first_byte(first_byte())
    checks.attempt_ended(one, "reset")
    assert checks.may_send(one, backend("b"), parent, 1_000, NOW + SECOND)
    checks.attempt_ended(one, "done")
    checks.answered(one, NOW + SECOND)
    assert violated == []
    assert not any(checks.violations().values())


@pytest.mark.parametrize(
    "effect, outcome, other, after, invariant",
    [
        (IdempotencyRule("non-replayable"), "reset", backend("b"), 0, Invariant.SENT_AGAIN),
        (IdempotencyRule("non-replayable"), "unsent", backend("b"), 0, None),
        (IdempotencyRule("replayable"), "timeout", backend("b"), 0, None),
        (KEYED, "timeout", backend("b", cell=2), 0, Invariant.SENT_AGAIN),
        (KEYED, "unreached", backend("b", cell=2), 0, None),
        (KEYED, "error", backend("b"), 2 * SECOND - 1, None),
        (KEYED, "error", backend("b"), 2 * SECOND, Invariant.WINDOW_OVER),
    ],
)
def test_retries(checks, violated, effect, outcome, other, after, invariant):
    one = history(effect)
    assert checks.may_send(one, backend(), backend(), 1_000, NOW)
    checks.attempt_ended(one, outcome)
    assert checks.may_send(one, other, other, 1_000, NOW + after) == (invariant is None)
    assert violated == ([invariant] if invariant else [])


def test_two_attempts_in_flight_and_attempts_for_settled_requests(checks, violated):
    one, other = history(), history()
    assert checks.may_send(one, backend(), backend(), 1_000, NOW)
    assert not checks.may_send(one, backend("b"), backend("b"), 1_000, NOW)
    checks.client_left(other)
    assert not checks.may_send(other, backend(), backend(), 1_000, NOW)
    assert violated == [Invariant.TWO_OUT, Invariant.SETTLED]


@pytest.mark.parametrize(
    "fields, invariant",
    [
        ({"client_left_at": NOW - 1_000}, None),
        ({"client_left_at": NOW - 1_001}, Invariant.CLIENT_HAD_LEFT),
        ({"time_limit": 6_500}, None),
        ({"time_limit": 6_510}, Invariant.TIME_LEFT),
        ({"window_ends_at": NOW}, None),
        ({"window_ends_at": NOW - 1}, Invariant.WINDOW_OVER),
        ({"draining_since": NOW - 10_500}, None),
        ({"draining_since": NOW - 10_501}, Invariant.DRAIN),
    ],
)
def test_first_bytes(checks, violated, fields, invariant):
    assert checks.may_send_first_byte(first_byte(**fields)) == (invariant is None)
    assert violated == ([invariant] if invariant else [])


@pytest.mark.parametrize("status", [0, 2])
@pytest.mark.parametrize("source", [False, True])
def test_draining_backends_and_sources_until_they_are_ready_again(checks, violated, status, source):
    cache, parent = backend(), backend("p", kind=2)
    draining = parent if source else cache
    checks.endpoint_changed(draining.name, status, NOW, 7)
    assert checks.may_send(history(), cache, parent, 1_000, NOW + 10_000)
    assert not checks.may_send(history(), cache, parent, 1_000, NOW + 10_001)
    assert violated == [Invariant.DRAIN]
    assert checks.drained[draining.name].monotonic_time == 7
    checks.endpoint_changed(draining.name, 1, NOW, 8)
    assert checks.may_send(history(), cache, parent, 1_000, NOW + 10_001)


def test_a_cold_backend_that_is_overloaded_by_one_process(checks, violated):
    """The settings allow 2 s of work in the first second: 20 requests of 0.1 s, plus the allowed excess."""
    cold = backend(started=NOW)
    sent = 0
    while checks.may_send(history(), cold, cold, 1_000, NOW):
        sent += 1
    assert sent == int(20 + allowed_excess(20))
    assert violated == [Invariant.SLOW_START]
    assert checks.may_send(history(), cold, cold, 1_000, NOW + SECOND + 1)  # the window has moved on
    assert checks.may_send(history(), backend("w", started=NOW - 15 * SECOND), cold, 1_000, NOW + SECOND + 1)


def test_answers(checks, violated):
    one, late = history(), history()
    checks.answered(one, NOW)
    checks.answered(one, NOW)
    checks.answered(late, late.deadline + 580)
    assert violated == [Invariant.ANSWERED_TWICE]
    checks.answered(late := history(), late.deadline + 581)
    assert violated[1:] == [Invariant.ANSWERED_LATE]
    checks.report_unanswered(["r", "s"])
    assert violated[2:] == [Invariant.UNANSWERED] * 2
    assert checks.violations()["unanswered"] == 2


def test_a_gateway_counts_a_violation_and_logs_it_with_the_events_of_the_request(in_process):
    world = in_process(serves(b"ok"))
    asker, lines = world.asker(), []
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"200"]
    (step, *_) = world.owner.trace.steps
    handler = logger.add(lambda line: lines.append(str(line)), level="ERROR")
    try:
        world.run_on_owner(lambda: world.owner.invariants.report_unanswered([step.name]))
        until(lambda: lines)
    finally:
        logger.remove(handler)
    assert "invariant: a request ended without an answer" in lines[0]
    for event in ("arrived clip", "sent s-00000001 0", "ended DATA", "done"):
        assert event in lines[0]
    assert world.owner.invariants.violations()["unanswered"] == 1


def test_rejections_and_retries_are_counted_by_reason(in_process):
    world = in_process(serves(b"ok"), serves(b"ok"))
    asker = world.asker()
    asker.ask()
    assert asker.answer()[1] == b"200"
    for cache in world.caches:
        cache.close()
        cache.break_off()
    asker.ask(key=2)
    assert asker.answer()[1] == b"503"
    assert sum(world.owner.counters.rejects.values()) == 1
    assert world.owner.counters.retries["unreached"] >= 1
    assert world.owner.upstream.closes["REFUSED"] >= 1
