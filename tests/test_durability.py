"""What a gateway keeps of its reqs, beside a plain model: a disk that commits in order until a crash."""

import random

import pytest

from lilacloft.store import record_types
from lilacloft.store.durability import ABORT, DENY, EVERY, HOLD, SEND, Keeper, begin
from lilacloft.store.framing import Record
from lilacloft.store.record_types import Intent, Recovered

WINDOW, PATIENCE = 20_000, 500


class Plain:
    """Hands with a list of records, of which so many are down; and what went out, in the plainest words."""

    def __init__(self, records=(), time=100_000):
        self.time, self.records, self.down = time, list(records), len(records)
        self.released, self.refused = [], []
        kept = {}
        for kind, key, value in self.records:
            kept.pop((kind, key), None)
            if value is not None:
                kept[kind, key] = value
        self.kept = [Record(kind, key, value) for (kind, key), value in kept.items()]
        found = record_types.recovered(self.kept, time, 60_000)
        assert not found.skipped
        self.keeper = Keeper(self, found, PATIENCE)

    def as_kept(self):
        return self.kept

    def now(self):
        return self.time

    def keep(self, kind, key, value):
        self.records.append((kind, key, value))
        return len(self.records)

    def release(self, token):
        self.released.append(token)

    def refuse(self, token):
        self.refused.append(token)

    def sync(self, count=None):
        self.down = len(self.records) if count is None else min(len(self.records), self.down + count)
        self.keeper.down(self.down)

    def asks(self, token, key=b"k", effect="uniqued", group="all", cell=1):
        return self.keeper.asks(token, key, effect, WINDOW, group, cell)

    def crash(self, after=1000):
        """A new process on what was down."""
        return Plain(self.records[: self.down], self.time + after)


def test_a_dispatch_with_an_effect_waits_until_its_intent_is_down_and_others_never_wait():
    one = Plain()
    assert one.asks("a", effect="replayable") == SEND and not one.records
    assert one.asks("b") == HOLD and not one.released
    one.sync()
    assert one.released == ["b"]
    assert one.asks("c") == SEND  # under the same key: its intent is down already


def test_a_disk_that_does_not_answer_refuses_what_waits_and_a_late_answer_releases_nothing():
    one = Plain()
    assert one.asks("a") == HOLD and one.keeper.wait() == PATIENCE
    one.time += PATIENCE - 1
    one.keeper.tick()
    assert not one.refused
    one.time += 1
    one.keeper.tick()
    assert one.refused == ["a"] and one.keeper.wait() is None
    one.sync()
    assert not one.released
    assert one.crash().asks("a2") == HOLD  # it never ran, and that is down as well


def test_what_is_held_is_refused_before_its_client_goes_so_that_it_is_known_never_to_have_run():
    one = Plain()
    assert one.keeper.asks("a", b"k", "uniqued", WINDOW, "all", 1, one.time + 70) == HOLD
    assert one.keeper.wait() == 70
    one.time += 70
    one.keeper.tick()
    assert one.refused == ["a"]
    assert one.keeper.asks("b", b"k", "uniqued", WINDOW, "all", 1, one.time - 5) == HOLD
    assert one.keeper.wait() == 0
    one.sync()
    assert one.refused == ["a", "b"] and not one.released


@pytest.mark.parametrize(
    "effect, group, cell, after, want",
    [
        ("non-replayable", "all", 1, 10, ABORT),
        ("uniqued", "all", 1, 10, HOLD),
        ("uniqued", "all", 1, WINDOW, DENY),
        ("uniqued", "cell", 2, 10, ABORT),
        ("uniqued", "cell", 1, 10, HOLD),
        ("uniqued", "cell", 1, WINDOW, ABORT),
    ],
)
def test_what_a_process_before_may_have_sent_is_answered_by_the_rules(effect, group, cell, after, want):
    one = Plain()
    assert one.asks("a", effect=effect, group=group) == HOLD
    one.sync()
    two = one.crash(after)
    assert two.asks("b", effect=effect, group=group, cell=cell) == want
    if want == HOLD:  # the window still counts from the first sending, also after another crash
        two.sync()
        assert two.crash(WINDOW - after).asks("c", effect=effect, group=group) != HOLD


def test_what_surely_never_ran_leaves_nothing_behind():
    one = Plain()
    one.asks("a", effect="non-replayable")
    one.sync()
    one.keeper.ended("a", ran=False)
    one.sync()
    assert one.crash().asks("b", effect="non-replayable") == HOLD
    one.asks("b", effect="non-replayable")
    one.sync()
    one.keeper.ended("b", ran=True)
    one.sync()
    assert one.crash().asks("c", effect="non-replayable") == ABORT


def test_a_client_that_leaves_while_its_dispatch_is_held_takes_it_back():
    one = Plain()
    one.asks("a", effect="non-replayable")
    one.keeper.left("a")
    one.sync()
    assert not one.released and one.crash().asks("b", effect="non-replayable") == HOLD


def test_intents_go_when_no_rule_can_ask_for_them_and_not_before():
    one = Plain()
    one.asks("a", b"old")
    one.asks("b", b"out")
    one.sync()
    one.keeper.ended("a", ran=True)
    one.time += 50_000
    assert one.keeper.forget(60_000) == 0
    one.time += 20_000
    assert one.keeper.forget(60_000) == 1 and b"out" in one.keeper.intents
    one.time -= 90_000  # the clock is put back: nothing is old now
    assert one.keeper.forget(60_000) == 0


def test_budgets_are_kept_once_in_a_while_and_only_while_a_be_is_cold():
    one = Plain()
    one.keeper.spent("s", 0, [], 150_000)
    one.keeper.spent("s", one.time - 150_000, [(one.time, 1.0)], 150_000)
    assert not one.records
    one.keeper.spent("s", one.time - 10, [(one.time, 1.0)], 150_000)
    one.keeper.spent("s", one.time - 10, [(one.time, 2.0)], 150_000)
    assert len(one.records) == 1
    one.time += EVERY
    one.keeper.spent("s", one.time - 10, [(one.time, 2.0)], 150_000)
    assert len(one.records) == 2


def test_a_cold_budget_goes_on_where_it_stood_and_what_is_not_known_counts_as_spent():
    found = Recovered({}, {}, {"s": [(900, 2.0)], "t": [(900, 2.0)], "u": [(900, 2.0)]}, 0, [])
    started = {"s": 500, "t": 950}
    got = begin(found, started, 10_000, 1000, {"s": 5.0, "t": 5.0, "u": 5.0})
    assert got == {"s": [(900, 2.0), (1000, 3.0)], "t": []}  # t began anew since, u is not listed
    assert begin(found, {"s": 500}, 10_000, 1000 + 2 * EVERY, {"s": 5.0}) == {"s": []}


@pytest.mark.parametrize("seed", range(300))
def test_on_generated_events_nothing_goes_out_before_its_intent_is_down_and_no_crash_sends_twice(seed):
    """Plain words: of one key, a non-replayable req goes out again only if all before surely never ran; a
    uniqued one only within its window from the first that may have run; every held one is released or
    refused, once."""
    chance = random.Random(seed)
    one = Plain()
    ran, first, out, waits, number = {}, {}, {}, {}, 0

    def gone_out(token, key):
        intent_down = [record for record in one.records[: one.down] if record[1] == key]
        assert intent_down and intent_down[-1][2] is not None or key in {k for k, _ in out.values()}
        effect = "non-replayable" if key.startswith(b"n") else "uniqued"
        if effect == "uniqued" and first.get(key) is not None and crashed.get(key):
            assert one.time < first[key] + WINDOW
        if effect == "non-replayable" and crashed.get(key):
            assert not ran.get(key)
        first[key] = one.time if first.get(key) is None else first[key]
        out[token] = (key, one.time)

    crashed = {}
    for _ in range(80):
        one.time += chance.choice([1, 50, 300, 5000])
        doing = chance.random()
        key = chance.choice([b"u1", b"u2", b"n1", b"n2"])
        if doing < 0.4:
            number += 1
            token = f"t{number}"
            verdict = one.asks(token, key, "non-replayable" if key.startswith(b"n") else "uniqued")
            if verdict == SEND:
                gone_out(token, key)
            elif verdict == HOLD:
                waits[token] = key
        elif doing < 0.65:
            one.sync(chance.choice([1, 2, None]))
        elif doing < 0.8 and out:
            token = chance.choice(sorted(out))
            done, _ = out.pop(token)
            may = chance.random() < 0.5
            one.keeper.ended(token, may)
            ran[done] = ran.get(done) or may
            if not may and not ran.get(done) and done not in {k for k, _ in out.values()}:
                first[done] = None
        elif doing < 0.85 and waits:
            token = chance.choice(sorted(waits))
            del waits[token]
            one.keeper.left(token)
        elif doing < 0.9:
            one.keeper.tick()
        elif doing < 0.93:  # all at rest, another process goes on with what is out
            assert set(one.keeper.idle()) == set(waits)
            waits.clear()
            one.sync()
            given = one.keeper.give()
            two = Plain(one.records, one.time + 30)
            two.keeper.take({**given, "out": [list(pair) for pair in given["out"]]})
            assert set(two.keeper.out) == set(out) and not two.keeper.held
            for done in list(ran):
                if done not in {k for k, _ in out.values()}:
                    crashed[done] = crashed.get(done) or ran[done]
            one = two
        elif doing < 0.95:  # one that goes on for a while, and dies with all that is out; the old one is back
            assert set(one.keeper.idle()) == set(waits)
            waits.clear()
            one.sync()
            two = Plain(one.records, one.time)
            two.keeper.take(one.keeper.give())
            for nth in range(chance.randrange(3)):
                other = chance.choice([b"u1", b"u2", b"n1", b"n2"])
                verdict = two.asks(
                    f"x{number} {nth}", other, "non-replayable" if other.startswith(b"n") else "uniqued"
                )
                two.sync(chance.choice([1, None]))
                if verdict == SEND or two.released:
                    assert not (other.startswith(b"n") and crashed.get(other) and ran.get(other))
                    first[other] = one.time if first.get(other) is None else first[other]
                    ran[other] = True
                two.released.clear()
            for token, (done, _) in out.items():
                one.keeper.ended(token, True)
                ran[done] = True
            out.clear()
            for done in list(ran):
                crashed[done] = crashed.get(done) or ran[done]
            one.records, one.down = two.records[: two.down], two.down
            found = record_types.recovered(Plain(one.records, one.time).as_kept(), one.time, 60_000)
            one.keeper.follow(found.intents)
        else:
            for done, _ in out.values():
                ran[done] = crashed[done] = True  # nobody knows: it may have
            for done in list(ran):
                crashed[done] = crashed.get(done) or ran[done]
            out.clear()
            waits.clear()
            one = one.crash(chance.choice([1, 3000]))
        for token in one.released:
            gone_out(token, waits.pop(token))
        for token in one.refused:
            del waits[token]
        one.released.clear()
        one.refused.clear()
    one.time += PATIENCE
    one.keeper.tick()
    assert set(one.refused) == set(waits) and not one.keeper.held


def test_what_was_asked_for_before_another_process_was_known_to_have_sent_it_is_refused():
    one, two = Plain(), Plain()
    assert one.asks("a", b"n", "non-replayable") == HOLD
    assert two.asks("b", b"n", "non-replayable") == HOLD
    two.sync()
    one.keeper.follow(record_types.recovered([Record(*two.records[0])], one.time, 60_000).intents)
    assert one.refused == ["a"] and one.asks("c", b"n", "non-replayable") == ABORT
    one.sync()
    assert one.crash().asks("d", b"n", "non-replayable") == ABORT


def test_records_of_a_process_before_that_still_ends_what_it_had_bar_its_reqs_here():
    one, two = Plain(), Plain()
    one.asks("a", b"n", "non-replayable")
    ticket = two.keeper.relayed(*one.records[0])
    assert ticket == 1 and two.asks("b", b"n", "non-replayable") == ABORT
    two.keeper.relayed(record_types.INTENT, b"n", None)  # it surely never ran
    assert two.asks("c", b"n", "non-replayable") == HOLD


def test_what_went_over_to_a_process_that_died_with_it_is_never_sent_again():
    one = Plain()
    one.asks("a", b"n", "non-replayable")
    one.sync()
    one.asks("e", b"m", "non-replayable")
    one.sync()
    one.keeper.ended("e", ran=True)  # its client's connection ended first
    one.keeper.lost([("a", b"n"), ("e", b"m"), ("of nobody", b"x")])
    assert one.asks("f", b"m", "non-replayable") == ABORT
    assert one.asks("b", b"n", "non-replayable") == ABORT and not one.keeper.chains
    one.sync()
    assert one.crash().asks("c", b"n", "non-replayable") == ABORT


def test_what_a_process_before_sent_without_a_store_is_kept_from_now_on():
    one = Plain()
    one.keeper.adopt("r", b"x", "replayable", 5, 1)
    assert not one.records
    one.keeper.adopt("a", b"n", "non-replayable", 99_000, 1)
    one.sync()
    assert one.crash().asks("b", b"n", "non-replayable") == ABORT
    one.keeper.ended("a", ran=False)
    one.sync()
    assert one.crash().asks("b", b"n", "non-replayable") == HOLD


def test_an_intent_that_was_packed_reads_the_same():
    for effect in record_types.EFFECTS:
        assert record_types.intent(Intent(7, effect, True, 9).pack()) == Intent(7, effect, True, 9)
