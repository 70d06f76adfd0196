"""Which list of bes holds after a crash, beside a plain model that plays all events again."""

import random

import pytest

from lilacloft.store.endpoint_rows import FULL_LIST_KEY, STATUS_INDEX, EndpointRows


def row(name, status, turn=0):
    return (name, ("127.0.0.1", 9), 0, 0, turn, status, 1.0, 0)


def played(events, upto):
    """The list as of a number: of names to rows."""
    now = {}
    for number, (mode, rows) in enumerate(events, 1):
        if number > upto:
            break
        if mode == "full":
            now = {}
        for one in rows:
            now[one[0]] = one
    return {name: one for name, one in now.items() if one[STATUS_INDEX]}


def events(chance, count):
    out = [("full", [row(f"s{name}", 1) for name in range(4)])]
    for turn in range(count):
        names = chance.sample(range(6), chance.randrange(1, 4))
        out.append(
            (
                "full" if chance.random() < 0.15 else "delta",
                [row(f"s{name}", chance.choice([0, 1, 2]), turn) for name in names],
            )
        )
    return out


class Kept:
    """What a store would hold of it, of which all up to a number is down."""

    def __init__(self):
        self.writes = []

    def add(self, number, changes):
        self.writes.append((number, changes))

    def at(self, number):
        found = {}
        for when, changes in self.writes:
            if when <= number:
                for key, told in changes.items():
                    found.pop(key, None)
                    if told is not None:
                        found[key] = told
        return found


@pytest.mark.parametrize("seed", range(200))
def test_any_configuration_from_the_base_on_starts_with_the_list_as_of_what_is_down(seed):
    chance = random.Random(seed)
    story = events(chance, 14)
    base = chance.randrange(1, 8)
    one, kept = EndpointRows(complete_from=base), Kept()
    for number in range(base + 1, len(story) + 1):
        mode, rows = story[number - 1]
        kept.add(number, one.apply(mode, rows, number))
    for last in range(base, len(story) + 1):
        for known in range(1, len(story) + 1):
            two = EndpointRows()
            two.restore(kept.at(last), base)
            told, ask = two.starting_point(known, last)
            now = played(story, known)  # as the configuration has it
            for mode, rows in told:
                now = {} if mode == "full" else now
                now.update((one[0], one) for one in rows)
                now = {name: one for name, one in now.items() if one[STATUS_INDEX]}
            if known < base:
                assert not told and ask == known and two.complete_from == known
            else:
                assert now == played(story, max(known, last)) and ask == last


def test_without_a_number_down_the_log_is_asked_from_the_configuration_on():
    one = EndpointRows()
    assert one.starting_point(7, 0) == ([], 7) and one.complete_from == 7


def test_what_is_kept_is_bounded_by_the_bes_told_of():
    one = EndpointRows(complete_from=1)
    for number in range(2, 200):
        changes = one.apply("delta", [row("a", number % 3)], number)
        assert list(changes) == [b"a"]
    assert len(one.rows) == 1
    changes = one.apply("full", [row("b", 1)], 200)
    assert changes == {FULL_LIST_KEY: (200, ()), b"a": None, b"b": (200, row("b", 1))}
    assert list(one.rows) == ["b"]
    again = one.apply("full", [row("b", 2)], 201)
    assert list(again) == [FULL_LIST_KEY, b"b"] and again[b"b"] == (201, row("b", 2))
