"""Max-min fair link sharing, compared with a slow reference model that raises rates in small steps."""

import random

import pytest

from lilacloft.emulator.links import Link, Network, shares


def reference_rates(flows, links, steps=4000):
    """Raise all rates together in small steps until each meets its maximum rate or a full link."""
    rates = dict.fromkeys(flows, 0.0)
    free = set(flows)
    step = max(link.capacity for link in links) / steps
    while free:
        for flow in list(free):
            full = any(sum(rates[one] for one in link.flows) + step > link.capacity for link in flow.links)
            if full or rates[flow] + step > flow.pace:
                free.discard(flow)
            else:
                rates[flow] += step
    return rates, step


def world(chance, flows=12):
    links = [Link(f"l{number}", chance.uniform(1, 20)) for number in range(chance.randrange(1, 6))]
    net = Network()
    made = [
        net.start(
            0,
            chance.sample(links, chance.randrange(1, len(links) + 1)),
            chance.uniform(0.2, 10),
            chance.uniform(10, 500),
            number,
        )
        for number in range(flows)
    ]
    return net, links, made


@pytest.mark.parametrize("seed", range(120))
def test_rates_are_max_min_fair_and_match_the_reference(seed):
    chance = random.Random(seed)
    _, links, flows = world(chance)
    want, step = reference_rates(flows, links)
    for flow in flows:
        assert flow.rate == pytest.approx(want[flow], abs=len(flows) * step * 2)
        # no rate can rise without lowering that of a flow with an equal or lower rate
        if flow.rate < flow.pace - 1e-6:
            assert any(
                link.used() > link.capacity - 1e-6
                and all(other.rate <= flow.rate + 1e-6 for other in link.flows)
                for link in flow.links
            )
    for link in links:
        assert link.used() <= link.capacity + 1e-6


@pytest.mark.parametrize("seed", range(120))
def test_incremental_updates_match_a_full_recomputation(seed):
    """After any starts, ends and capacity changes all rates equal those of a full recomputation."""
    chance = random.Random(1000 + seed)
    net, links, flows = world(chance, 6)
    now = 0
    for _ in range(40):
        now += chance.randrange(0, 30)
        while net.take(now):
            pass
        flows = [flow for flow in flows if not flow.over]
        action = chance.random()
        if action < 0.5 or not flows:
            flows.append(
                net.start(
                    now,
                    chance.sample(links, chance.randrange(1, len(links) + 1)),
                    chance.uniform(0.2, 10),
                    chance.uniform(10, 500),
                    None,
                )
            )
        elif action < 0.75:
            net.end(now, flows.pop(chance.randrange(len(flows))))
        else:
            net.resize(now, chance.choice(links), chance.choice([0.0, chance.uniform(0.5, 30)]))
        want = shares(flows)
        for flow in flows:
            assert flow.rate == pytest.approx(want[flow], abs=1e-6)
        for link in links:
            assert link.wanted == pytest.approx(sum(flow.pace for flow in link.flows), abs=1e-6)


def test_transfers_complete_after_their_bytes_at_changing_rates():
    net, link = Network(), Link("out", 4.0)
    one = net.start(0, [link], 4.0, 400.0, "one")
    assert net.next() == 100
    net.start(50, [link], 4.0, 400.0, "two")  # `one` has 200 KB left, at half the rate from now on
    assert net.next() == 150 and net.take(149) is None
    assert net.take(150) is one and net.next() == 200
    net.resize(150, link, 1.0)
    assert net.next() == 350
    net.resize(250, link, 0.0)  # nothing moves
    assert net.next() is None
    net.resize(300, link, 100.0)
    assert net.next() == 300 + 25 and net.take(325).context == "two" and net.next() is None
    assert link.wanted == 0.0 and not link.flows


def test_changes_do_not_propagate_over_unsaturated_links():
    net, wide = Network(), Link("wide", 100.0)
    thin = [Link(f"t{number}", 1.0) for number in range(5)]
    for link in thin:
        net.start(0, [wide, link], 2.0, 50.0, None)
    before = net.changes
    net.start(5, [wide, thin[0]], 2.0, 50.0, None)
    assert net.changes - before == 2  # itself and the other flow on its thin link
