"""Slow start of caches whose capacity is unknown: it is estimated from what warm caches serve in time."""

import pytest

from lilacloft.routing.slow_start import MAX_UTILIZATION
from rigs.model import SEC, Model, settings

WORK = 1000  # transfer time of 400 KB at full rate
RATE = 80  # requests per second of this gateway


def send_requests(model, seconds, late=False):
    """Send requests at a constant rate, each answered by its cache in half its transfer time, or far too
    late."""
    for number in range(int(seconds * RATE)):
        request = model.ask(f"k{number % 400}", part=number % 7)
        model.run(SEC // RATE)
        if model.out(request):
            model.end(request, took=10 * SEC if late else WORK // 2)


def unknown_capacity(**family):
    """Settings without the capacity of caches and without the rate of the location's link."""
    return settings(weight_source="silent", family={"feed_kb_per_s": [0.0], **family})


def sent_to(model, backend, since):
    return [at for at, _, to, _ in model.sends if to is backend and at >= since]


def restart_first_cache(model):
    """Restart the first cache now; returns it and the time."""
    backend, since = model.caches[0], model.time
    model.list("delta", [(backend, 1, model.time)])
    return backend, since


def test_a_cold_cache_is_sent_its_share_of_what_warm_caches_serve_in_time():
    """It is sent the share that it can serve while cold, and no more. Without the estimate its capacity would
    be taken for one transfer of all gateways together. The remaining requests go to the other caches, which
    shows that those can serve them."""
    model = Model(unknown_capacity())
    send_requests(model, 8)
    capacity = RATE * WORK / SEC / len(model.caches)  # concurrent transfers
    assert model.router.slow_start.learned_capacity == pytest.approx(capacity, rel=0.25)
    backend, since = restart_first_cache(model)
    send_requests(model, 10)
    rules, sent = model.config["rules"], sent_to(model, backend, since)
    shares = [
        rules["start_capacity"] + (1 - rules["start_capacity"]) * (second + 0.5) * SEC / rules["cold"]
        for second in range(10)
    ]
    allowed = sum(shares) * capacity * SEC / WORK
    assert (
        0.5 * MAX_UTILIZATION * allowed
        < len(sent)
        < MAX_UTILIZATION * allowed * len(model.caches) / (len(model.caches) - 1)
    )
    assert model.wrong == []


def test_no_capacity_is_learned_from_warm_caches_that_answer_late():
    """Otherwise cold caches would be sent more, the more warm ones are overloaded."""
    model = Model(unknown_capacity())
    send_requests(model, 4, late=True)
    assert model.router.slow_start.learned_capacity < 0.5 * RATE * WORK / SEC / len(model.caches)


def test_learned_capacity_is_kept_while_the_whole_location_is_cold_and_has_a_default_at_first():
    model = Model(unknown_capacity())
    backend, since = restart_first_cache(model)
    share = model.router.slow_start.capacity_share(backend)
    assert share == 1 / model.config["family"]["zone_gateways"][0]
    model = Model(unknown_capacity())
    send_requests(model, 8)
    learned = model.router.slow_start.learned_capacity
    model.list("delta", [(backend, 1, model.time) for backend in model.caches])
    send_requests(model, 2)
    assert (
        model.router.slow_start.learned_capacity == learned
        and model.router.slow_start.capacity_share(model.caches[0]) == learned
    )


def test_learned_capacity_is_not_used_if_capacities_or_link_rates_are_configured():
    for config in (settings(), settings(weight_source="silent")):
        model = Model(config)
        before = model.router.slow_start.capacity_share(model.caches[0])
        send_requests(model, 8)
        assert (
            model.router.slow_start.learned_capacity > 0
            and model.router.slow_start.capacity_share(model.caches[0]) == before
        )


def test_learned_capacity_does_not_apply_to_parents():
    """Each fill through a parent counts in full, and a cold cache in front of it causes more fills."""
    model = Model(unknown_capacity())
    send_requests(model, 8)
    assert model.router.slow_start.capacity_share(model.parents[0]) == 1 / model.config["gateways"]
