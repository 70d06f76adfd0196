"""Shares of a budget that are lent: never used by two parties within one window, whatever is lost or late."""

import random

import pytest

from lilacloft.control.quota import MAX_CLOCK_DRIFT, NEVER, LeaseTerms, QuotaLedger, max_min_fair

WINDOW = 1000


def test_what_is_lent_is_gone_at_once_used_a_fall_span_later_and_back_a_fall_span_after_its_end():
    mine, theirs = QuotaLedger(0.5, WINDOW), QuotaLedger(0.0, WINDOW)
    terms = mine.lend(10_000, 0.2, 5_000)
    assert terms == LeaseTerms(0.2, WINDOW, 5_000) and mine.usable(10_000) == pytest.approx(0.3)
    assert theirs.borrow(terms, 9_900, 10_050)
    assert theirs.usable(10_050 + WINDOW) == 0 and theirs.usable(10_050 + WINDOW + 2) == pytest.approx(0.2)
    assert theirs.usable(9_900 + 5_000 - 7) == pytest.approx(0.2) and theirs.usable(14_900) == 0
    assert mine.usable(15_000 + WINDOW) == pytest.approx(0.3)
    assert mine.usable(15_000 + WINDOW + 10) == pytest.approx(0.5)


def test_what_is_not_there_is_not_lent_and_what_comes_too_late_is_nothing():
    ledger = QuotaLedger(0.3, WINDOW)
    assert ledger.lend(0, 0.0, 5_000) is None and ledger.lend(0, 0.2, 2 * WINDOW) is None
    assert ledger.lend(0, 0.9, 5_000).share == 0.3 and ledger.lend(0, 0.1, 5_000) is None
    other = QuotaLedger(0.0, WINDOW)
    assert not other.borrow(LeaseTerms(0.3, WINDOW, 3_000), 0, 2_500) and other.lend(0, 0.1, 5_000) is None
    late = QuotaLedger(0.3, WINDOW, 50_000)  # another process had its name
    assert late.usable(49_999) == 0 and late.usable(50_000) == 0.3
    assert late.next_expiry(0) == NEVER


def test_a_part_that_was_borrowed_is_lent_on_for_no_longer_than_it_is_held():
    mine, planner, other = QuotaLedger(0.5, WINDOW), QuotaLedger(0.0, WINDOW), QuotaLedger(0.1, WINDOW)
    planner.borrow(mine.lend(0, 0.4, 20_000), 0, 100)
    terms = planner.lend(5_000, 0.3, 50_000)
    assert terms.share == pytest.approx(0.3) and terms.duration <= 20_000 - 5_000
    other.borrow(terms, 4_900, 5_100)
    assert other.usable(7_000) == pytest.approx(0.4) and planner.usable(7_000) == pytest.approx(0.1)
    assert other.usable(20_000) == pytest.approx(0.1) and planner.next_expiry(7_000) < 20_000


@pytest.mark.parametrize("seed", range(150))
def test_no_window_ever_sees_more_than_the_whole_budget(seed):
    """Forwarders and planners with clocks of their own, answers late or lost, processes that start anew. The
    plain model: in any fall span all that anybody used at any moment of it, together, is no more than one."""
    chance = random.Random(seed)
    count, planners = chance.randrange(2, 6), chance.randrange(1, 4)
    skew = [chance.randrange(10**6) for _ in range(count + planners)]
    speed = [1 + chance.uniform(0, MAX_CLOCK_DRIFT / 2) for _ in range(count + planners)]

    def clock(who, true):
        return skew[who] + int(true * speed[who])

    ledgers = [QuotaLedger(1 / count, WINDOW, clock(who, 0)) for who in range(count)]
    ledgers += [QuotaLedger(0.0, WINDOW) for _ in range(planners)]
    wire, history = [], []
    for true in range(0, 60_000, 50):
        for who in range(len(ledgers)):
            if chance.random() < 0.02:  # somebody asks another for a part
                other = chance.randrange(len(ledgers))
                if other != who:
                    wire.append(
                        (
                            true + chance.choice([10, 300, 4_000]),
                            "ask",
                            who,
                            other,
                            clock(who, true),
                            chance.uniform(0.01, 0.6),
                            chance.choice([2_500, 6_000, 20_000]),
                        )
                    )
        for message in sorted(wire, key=lambda one: one[0]):
            if message[0] > true:
                continue
            wire.remove(message)
            if message[1] == "ask":
                _, _, who, other, asked, part, span = message
                terms = ledgers[other].lend(clock(other, true), part, span)
                if terms and chance.random() < 0.8:  # else the answer is lost
                    wire.append((true + chance.choice([10, 300, 4_000]), "give", who, terms, asked))
            else:
                _, _, who, terms, asked = message
                ledgers[who].borrow(terms, asked, clock(who, true))
        if chance.random() < 0.004:
            who = chance.randrange(len(ledgers))
            own = ledgers[who].own_share
            wire = [message for message in wire if not (message[1] == "give" and message[2] == who)]
            # nothing was lent for longer than 20,000
            ledgers[who] = QuotaLedger(own, WINDOW, clock(who, true) + 20_000 + 2 * WINDOW)
        history.append([ledger.usable(clock(who, true)) for who, ledger in enumerate(ledgers)])
        window = history[-WINDOW // 50 :]
        assert sum(max(moment[who] for moment in window) for who in range(len(ledgers))) <= 1 + 1e-9


def test_parts_are_divided_by_max_min_and_alike_by_all():
    assert max_min_fair({"a": 0.1, "b": 0.9, "c": 0.9}, 0.9) == {
        "a": 0.1,
        "b": pytest.approx(0.4),
        "c": pytest.approx(0.4),
    }
    assert max_min_fair({"a": 0.1, "b": 0.2}, 0.9) == {"a": 0.1, "b": 0.2} and max_min_fair({}, 1.0) == {}
    chance = random.Random(5)
    for _ in range(200):
        wants = {f"n{number}": chance.choice([0.0, chance.random()]) for number in range(6)}
        parts = chance.random() * 2
        got = max_min_fair(wants, parts)
        assert all(0 <= got[name] <= wants[name] + 1e-12 for name in wants)
        assert sum(got.values()) == pytest.approx(min(parts, sum(wants.values())))
        assert got == max_min_fair(dict(reversed(wants.items())), parts)
        top = max(got.values(), default=0.0)
        assert all(got[name] >= min(wants[name], top) - 1e-9 for name in wants)
