"""A cache that has just started, where nothing is told of what it can do: its part of what warm ones bear."""

import pytest

from lilacloft.routing.slow_start import MAX_UTILIZATION
from rigs.model import SEC, Model, settings

WORK = 1000  # span that 400 KB take at full pace
RATE = 80  # reqs a second of this gateway


def served(model, seconds, late=False):
    """Reqs at a steady rate, each answered by its cache in half its time, or far too late."""
    for number in range(int(seconds * RATE)):
        request = model.ask(f"k{number % 400}", part=number % 7)
        model.run(SEC // RATE)
        if model.out(request):
            model.end(request, took=10 * SEC if late else WORK // 2)


def untold(**family):
    """Settings that tell neither what caches can do nor what the location's link brings in."""
    return settings(weight_source="silent", family={"feed_kb_per_s": [0.0], **family})


def sent_to(model, backend, since):
    return [at for at, _, to, _ in model.sends if to is backend and at >= since]


def started(model):
    """The first cache has started just now."""
    backend, since = model.caches[0], model.time
    model.list("delta", [(backend, 1, model.time)])
    return backend, since


def test_a_cold_cache_gets_its_part_of_what_warm_ones_bear_in_time():
    """Of the part that it can do when cold, and no more; it had been taken for one transfer of all gateways.
    What it does not get goes to the others, which show that they bear it."""
    model = Model(untold())
    served(model, 8)
    borne = RATE * WORK / SEC / len(model.caches)  # transfers at once
    assert model.router.slow_start.learned_capacity == pytest.approx(borne, rel=0.25)
    backend, since = started(model)
    served(model, 10)
    rules, calls = model.config["rules"], sent_to(model, backend, since)
    shares = [
        rules["start_capacity"] + (1 - rules["start_capacity"]) * (second + 0.5) * SEC / rules["cold"]
        for second in range(10)
    ]
    allowed = sum(shares) * borne * SEC / WORK
    assert (
        0.5 * MAX_UTILIZATION * allowed
        < len(calls)
        < MAX_UTILIZATION * allowed * len(model.caches) / (len(model.caches) - 1)
    )
    assert model.wrong == []


def test_a_warm_cache_whose_answers_come_late_proves_nothing():
    """More would be sent to cold ones the more warm ones are overrun."""
    model = Model(untold())
    served(model, 4, late=True)
    assert model.router.slow_start.learned_capacity < 0.5 * RATE * WORK / SEC / len(model.caches)


def test_what_was_seen_counts_while_the_whole_location_is_cold_and_not_before_anything_was_seen():
    model = Model(untold())
    backend, since = started(model)
    part = model.router.slow_start.capacity_share(backend)
    assert part == 1 / model.config["family"]["zone_gateways"][0]
    model = Model(untold())
    served(model, 8)
    borne = model.router.slow_start.learned_capacity
    model.list("delta", [(backend, 1, model.time) for backend in model.caches])
    served(model, 2)
    assert (
        model.router.slow_start.learned_capacity == borne
        and model.router.slow_start.capacity_share(model.caches[0]) == borne
    )


def test_where_capacities_or_the_links_are_told_nothing_else_counts():
    for told in (settings(), settings(weight_source="silent")):
        model = Model(told)
        before = model.router.slow_start.capacity_share(model.caches[0])
        served(model, 8)
        assert (
            model.router.slow_start.learned_capacity > 0
            and model.router.slow_start.capacity_share(model.caches[0]) == before
        )


def test_a_cold_parent_gets_no_more_than_before():
    """Each fill through it is counted in full, and a cold cache before it lets more of them come to it."""
    model = Model(untold())
    served(model, 8)
    assert model.router.slow_start.capacity_share(model.parents[0]) == 1 / model.config["gateways"]
