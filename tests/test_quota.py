"""Tests of the quota ledger: no share is used by two parties within one window, even if messages are lost or
late."""

import random

import pytest

from lilacloft.control.quota import MAX_CLOCK_DRIFT, NEVER, LeaseTerms, QuotaLedger, max_min_fair

WINDOW = 1000


def test_lent_share_is_given_up_at_once_usable_a_window_later_and_returns_a_window_after_expiry():
    lender, borrower = QuotaLedger(0.5, WINDOW), QuotaLedger(0.0, WINDOW)
    terms = lender.lend(10_000, 0.2, 5_000)
    assert terms == LeaseTerms(0.2, WINDOW, 5_000) and lender.usable(10_000) == pytest.approx(0.3)
    assert borrower.borrow(terms, 9_900, 10_050)
    assert borrower.usable(10_050 + WINDOW) == 0 and borrower.usable(10_050 + WINDOW + 2) == pytest.approx(
        0.2
    )
    assert borrower.usable(9_900 + 5_000 - 7) == pytest.approx(0.2) and borrower.usable(14_900) == 0
    assert lender.usable(15_000 + WINDOW) == pytest.approx(0.3)
    assert lender.usable(15_000 + WINDOW + 10) == pytest.approx(0.5)


def test_only_available_shares_are_lent_and_expired_leases_are_rejected():
    ledger = QuotaLedger(0.3, WINDOW)
    assert ledger.lend(0, 0.0, 5_000) is None and ledger.lend(0, 0.2, 2 * WINDOW) is None
    assert ledger.lend(0, 0.9, 5_000).share == 0.3 and ledger.lend(0, 0.1, 5_000) is None
    borrower = QuotaLedger(0.0, WINDOW)
    assert (
        not borrower.borrow(LeaseTerms(0.3, WINDOW, 3_000), 0, 2_500) and borrower.lend(0, 0.1, 5_000) is None
    )
    restarted = QuotaLedger(0.3, WINDOW, 50_000)  # a previous process may have lent the share
    assert restarted.usable(49_999) == 0 and restarted.usable(50_000) == 0.3
    assert restarted.next_expiry(0) == NEVER


def test_borrowed_share_is_sublet_at_most_until_it_expires():
    lender, planner, borrower = QuotaLedger(0.5, WINDOW), QuotaLedger(0.0, WINDOW), QuotaLedger(0.1, WINDOW)
    planner.borrow(lender.lend(0, 0.4, 20_000), 0, 100)
    terms = planner.lend(5_000, 0.3, 50_000)
    assert terms.share == pytest.approx(0.3) and terms.duration <= 20_000 - 5_000
    borrower.borrow(terms, 4_900, 5_100)
    assert borrower.usable(7_000) == pytest.approx(0.4) and planner.usable(7_000) == pytest.approx(0.1)
    assert borrower.usable(20_000) == pytest.approx(0.1) and planner.next_expiry(7_000) < 20_000


@pytest.mark.parametrize("seed", range(150))
def test_use_in_any_window_never_exceeds_the_budget(seed):
    """Parties with clocks that differ, late and lost answers, and restarts. In any window the sum over all
    parties of the highest share that each could use is at most 1."""
    rng = random.Random(seed)
    count, planners = rng.randrange(2, 6), rng.randrange(1, 4)
    offsets = [rng.randrange(10**6) for _ in range(count + planners)]
    rates = [1 + rng.uniform(0, MAX_CLOCK_DRIFT / 2) for _ in range(count + planners)]

    def clock(party, time):
        return offsets[party] + int(time * rates[party])

    ledgers = [QuotaLedger(1 / count, WINDOW, clock(party, 0)) for party in range(count)]
    ledgers += [QuotaLedger(0.0, WINDOW) for _ in range(planners)]
    in_flight, history = [], []
    for time in range(0, 60_000, 50):
        for party in range(len(ledgers)):
            if rng.random() < 0.02:  # one party requests a share from another
                other = rng.randrange(len(ledgers))
                if other != party:
                    in_flight.append(
                        (
                            time + rng.choice([10, 300, 4_000]),
                            "ask",
                            party,
                            other,
                            clock(party, time),
                            rng.uniform(0.01, 0.6),
                            rng.choice([2_500, 6_000, 20_000]),
                        )
                    )
        for message in sorted(in_flight, key=lambda entry: entry[0]):
            if message[0] > time:
                continue
            in_flight.remove(message)
            if message[1] == "ask":
                _, _, party, other, requested_at, share, duration = message
                terms = ledgers[other].lend(clock(other, time), share, duration)
                if terms and rng.random() < 0.8:  # otherwise the answer is lost
                    in_flight.append(
                        (time + rng.choice([10, 300, 4_000]), "give", party, terms, requested_at)
                    )
            else:
                _, _, party, terms, requested_at = message
                ledgers[party].borrow(terms, requested_at, clock(party, time))
        if rng.random() < 0.004:
            party = rng.randrange(len(ledgers))
            own_share = ledgers[party].own_share
            in_flight = [
                message for message in in_flight if not (message[1] == "give" and message[2] == party)
            ]
            # no lease is longer than 20,000
            ledgers[party] = QuotaLedger(own_share, WINDOW, clock(party, time) + 20_000 + 2 * WINDOW)
        history.append([ledger.usable(clock(party, time)) for party, ledger in enumerate(ledgers)])
        window = history[-WINDOW // 50 :]
        assert sum(max(shares[party] for shares in window) for party in range(len(ledgers))) <= 1 + 1e-9


def test_max_min_fair_division_is_independent_of_order():
    assert max_min_fair({"a": 0.1, "b": 0.9, "c": 0.9}, 0.9) == {
        "a": 0.1,
        "b": pytest.approx(0.4),
        "c": pytest.approx(0.4),
    }
    assert max_min_fair({"a": 0.1, "b": 0.2}, 0.9) == {"a": 0.1, "b": 0.2} and max_min_fair({}, 1.0) == {}
    rng = random.Random(5)
    for _ in range(200):
        demands = {f"n{number}": rng.choice([0.0, rng.random()]) for number in range(6)}
        supply = rng.random() * 2
        divided = max_min_fair(demands, supply)
        assert all(0 <= divided[name] <= demands[name] + 1e-12 for name in demands)
        assert sum(divided.values()) == pytest.approx(min(supply, sum(demands.values())))
        assert divided == max_min_fair(dict(reversed(demands.items())), supply)
        largest = max(divided.values(), default=0.0)
        assert all(divided[name] >= min(demands[name], largest) - 1e-9 for name in demands)
