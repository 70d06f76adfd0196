"""Parts of a budget that are lent: never in two hands within one fall span, whatever is lost or late."""

import random

import pytest

from lilacloft.control.quota import DRIFT, NEVER, Grant, Purse, divide

FALL = 1000


def test_what_is_lent_is_gone_at_once_used_a_fall_span_later_and_back_a_fall_span_after_its_end():
    mine, theirs = Purse(0.5, FALL), Purse(0.0, FALL)
    grant = mine.lend(10_000, 0.2, 5_000)
    assert grant == Grant(0.2, FALL, 5_000) and mine.usable(10_000) == pytest.approx(0.3)
    assert theirs.borrow(grant, 9_900, 10_050)
    assert theirs.usable(10_050 + FALL) == 0 and theirs.usable(10_050 + FALL + 2) == pytest.approx(0.2)
    assert theirs.usable(9_900 + 5_000 - 7) == pytest.approx(0.2) and theirs.usable(14_900) == 0
    assert mine.usable(15_000 + FALL) == pytest.approx(0.3)
    assert mine.usable(15_000 + FALL + 10) == pytest.approx(0.5)


def test_what_is_not_there_is_not_lent_and_what_comes_too_late_is_nothing():
    purse = Purse(0.3, FALL)
    assert purse.lend(0, 0.0, 5_000) is None and purse.lend(0, 0.2, 2 * FALL) is None
    assert purse.lend(0, 0.9, 5_000).part == 0.3 and purse.lend(0, 0.1, 5_000) is None
    other = Purse(0.0, FALL)
    assert not other.borrow(Grant(0.3, FALL, 3_000), 0, 2_500) and other.lend(0, 0.1, 5_000) is None
    late = Purse(0.3, FALL, 50_000)  # another process had its name
    assert late.usable(49_999) == 0 and late.usable(50_000) == 0.3
    assert late.until(0) == NEVER


def test_a_part_that_was_borrowed_is_lent_on_for_no_longer_than_it_is_held():
    mine, planner, other = Purse(0.5, FALL), Purse(0.0, FALL), Purse(0.1, FALL)
    planner.borrow(mine.lend(0, 0.4, 20_000), 0, 100)
    grant = planner.lend(5_000, 0.3, 50_000)
    assert grant.part == pytest.approx(0.3) and grant.span <= 20_000 - 5_000
    other.borrow(grant, 4_900, 5_100)
    assert other.usable(7_000) == pytest.approx(0.4) and planner.usable(7_000) == pytest.approx(0.1)
    assert other.usable(20_000) == pytest.approx(0.1) and planner.until(7_000) < 20_000


@pytest.mark.parametrize("seed", range(150))
def test_no_window_ever_sees_more_than_the_whole_budget(seed):
    """Forwarders and planners with clocks of their own, answers late or lost, processes that start anew. The
    plain model: in any fall span all that anybody used at any moment of it, together, is no more than one."""
    chance = random.Random(seed)
    count, planners = chance.randrange(2, 6), chance.randrange(1, 4)
    skew = [chance.randrange(10**6) for _ in range(count + planners)]
    speed = [1 + chance.uniform(0, DRIFT / 2) for _ in range(count + planners)]

    def clock(who, true):
        return skew[who] + int(true * speed[who])

    purses = [Purse(1 / count, FALL, clock(who, 0)) for who in range(count)]
    purses += [Purse(0.0, FALL) for _ in range(planners)]
    wire, history = [], []
    for true in range(0, 60_000, 50):
        for who in range(len(purses)):
            if chance.random() < 0.02:  # somebody asks another for a part
                other = chance.randrange(len(purses))
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
                grant = purses[other].lend(clock(other, true), part, span)
                if grant and chance.random() < 0.8:  # else the answer is lost
                    wire.append((true + chance.choice([10, 300, 4_000]), "give", who, grant, asked))
            else:
                _, _, who, grant, asked = message
                purses[who].borrow(grant, asked, clock(who, true))
        if chance.random() < 0.004:
            who = chance.randrange(len(purses))
            own = purses[who].own
            wire = [message for message in wire if not (message[1] == "give" and message[2] == who)]
            # nothing was lent for longer than 20,000
            purses[who] = Purse(own, FALL, clock(who, true) + 20_000 + 2 * FALL)
        history.append([purse.usable(clock(who, true)) for who, purse in enumerate(purses)])
        window = history[-FALL // 50 :]
        assert sum(max(moment[who] for moment in window) for who in range(len(purses))) <= 1 + 1e-9


def test_parts_are_divided_by_max_min_and_alike_by_all():
    assert divide({"a": 0.1, "b": 0.9, "c": 0.9}, 0.9) == {
        "a": 0.1,
        "b": pytest.approx(0.4),
        "c": pytest.approx(0.4),
    }
    assert divide({"a": 0.1, "b": 0.2}, 0.9) == {"a": 0.1, "b": 0.2} and divide({}, 1.0) == {}
    chance = random.Random(5)
    for _ in range(200):
        wants = {f"n{number}": chance.choice([0.0, chance.random()]) for number in range(6)}
        parts = chance.random() * 2
        got = divide(wants, parts)
        assert all(0 <= got[name] <= wants[name] + 1e-12 for name in wants)
        assert sum(got.values()) == pytest.approx(min(parts, sum(wants.values())))
        assert got == divide(dict(reversed(wants.items())), parts)
        top = max(got.values(), default=0.0)
        assert all(got[name] >= min(wants[name], top) - 1e-9 for name in wants)
