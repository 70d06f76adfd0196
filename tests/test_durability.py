"""What a gateway keeps of its reqs, beside a plain model: a disk that commits in order until a crash."""

import random

import pytest

from lilacloft.store import durability_snapshot, record_types
from lilacloft.store.durability import DurabilityGate
from lilacloft.store.framing import Record
from lilacloft.store.idempotency import IdempotencyPolicy, Verdict
from lilacloft.store.record_types import Intent, RecordKind
from lilacloft.store.recovered_state import WORK_INTERVAL, RecoveredState, recover_state, recovered_work

WINDOW, PATIENCE = 20_000, 500
KEYED = IdempotencyPolicy("uniqued", WINDOW, "all")


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
        found = recover_state(self.kept, time, 60_000)
        assert not found.unreadable
        self.gate = DurabilityGate(self, found, PATIENCE)

    def as_kept(self):
        return self.kept

    def now(self):
        return self.time

    def write_record(self, kind, key, value):
        self.records.append((kind, key, value))
        return len(self.records)

    def release(self, token):
        self.released.append(token)

    def reject(self, token):
        self.refused.append(token)

    def sync(self, count=None):
        self.down = len(self.records) if count is None else min(len(self.records), self.down + count)
        self.gate.records_durable(self.down)

    def asks(self, token, key=b"k", effect="uniqued", group="all", cell=1):
        return self.gate.admit(token, key, IdempotencyPolicy(effect, WINDOW, group), cell)

    def crash(self, after=1000):
        """A new process on what was down."""
        return Plain(self.records[: self.down], self.time + after)


def test_a_dispatch_with_an_effect_waits_until_its_intent_is_down_and_others_never_wait():
    one = Plain()
    assert one.asks("a", effect="replayable") == Verdict.SEND and not one.records
    assert one.asks("b") == Verdict.WAIT and not one.released
    one.sync()
    assert one.released == ["b"]
    assert one.asks("c") == Verdict.SEND  # under the same key: its intent is down already


def test_a_disk_that_does_not_answer_refuses_what_waits_and_a_late_answer_releases_nothing():
    one = Plain()
    assert one.asks("a") == Verdict.WAIT and one.gate.next_expiry() == PATIENCE
    one.time += PATIENCE - 1
    one.gate.expire_pending()
    assert not one.refused
    one.time += 1
    one.gate.expire_pending()
    assert one.refused == ["a"] and one.gate.next_expiry() is None
    one.sync()
    assert not one.released
    assert one.crash().asks("a2") == Verdict.WAIT  # it never ran, and that is down as well


def test_what_is_held_is_refused_before_its_client_goes_so_that_it_is_known_never_to_have_run():
    one = Plain()
    assert one.gate.admit("a", b"k", KEYED, 1, one.time + 70) == Verdict.WAIT
    assert one.gate.next_expiry() == 70
    one.time += 70
    one.gate.expire_pending()
    assert one.refused == ["a"]
    assert one.gate.admit("b", b"k", KEYED, 1, one.time - 5) == Verdict.WAIT
    assert one.gate.next_expiry() == 0
    one.sync()
    assert one.refused == ["a", "b"] and not one.released


@pytest.mark.parametrize(
    "effect, group, cell, after, want",
    [
        ("non-replayable", "all", 1, 10, Verdict.FAIL),
        ("uniqued", "all", 1, 10, Verdict.WAIT),
        ("uniqued", "all", 1, WINDOW, Verdict.REJECT),
        ("uniqued", "cell", 2, 10, Verdict.FAIL),
        ("uniqued", "cell", 1, 10, Verdict.WAIT),
        ("uniqued", "cell", 1, WINDOW, Verdict.FAIL),
    ],
)
def test_what_a_process_before_may_have_sent_is_answered_by_the_rules(effect, group, cell, after, want):
    one = Plain()
    assert one.asks("a", effect=effect, group=group) == Verdict.WAIT
    one.sync()
    two = one.crash(after)
    assert two.asks("b", effect=effect, group=group, cell=cell) == want
    if want == Verdict.WAIT:  # the window still counts from the first sending, also after another crash
        two.sync()
        assert two.crash(WINDOW - after).asks("c", effect=effect, group=group) != Verdict.WAIT


def test_what_surely_never_ran_leaves_nothing_behind():
    one = Plain()
    one.asks("a", effect="non-replayable")
    one.sync()
    one.gate.dispatch_ended("a", executed=False)
    one.sync()
    assert one.crash().asks("b", effect="non-replayable") == Verdict.WAIT
    one.asks("b", effect="non-replayable")
    one.sync()
    one.gate.dispatch_ended("b", executed=True)
    one.sync()
    assert one.crash().asks("c", effect="non-replayable") == Verdict.FAIL


def test_a_client_that_leaves_while_its_dispatch_is_held_takes_it_back():
    one = Plain()
    one.asks("a", effect="non-replayable")
    one.gate.withdraw("a")
    one.sync()
    assert not one.released and one.crash().asks("b", effect="non-replayable") == Verdict.WAIT


def test_intents_go_when_no_rule_can_ask_for_them_and_not_before():
    one = Plain()
    one.asks("a", b"old")
    one.asks("b", b"out")
    one.sync()
    one.gate.dispatch_ended("a", executed=True)
    one.time += 50_000
    assert one.gate.remove_expired(60_000) == 0
    one.time += 20_000
    assert one.gate.remove_expired(60_000) == 1 and b"out" in one.gate.intents
    one.time -= 90_000  # the clock is put back: nothing is old now
    assert one.gate.remove_expired(60_000) == 0


def test_budgets_are_kept_once_in_a_while_and_only_while_a_be_is_cold():
    one = Plain()
    one.gate.work_sent("s", 0, [], 150_000)
    one.gate.work_sent("s", one.time - 150_000, [(one.time, 1.0)], 150_000)
    assert not one.records
    one.gate.work_sent("s", one.time - 10, [(one.time, 1.0)], 150_000)
    one.gate.work_sent("s", one.time - 10, [(one.time, 2.0)], 150_000)
    assert len(one.records) == 1
    one.time += WORK_INTERVAL
    one.gate.work_sent("s", one.time - 10, [(one.time, 2.0)], 150_000)
    assert len(one.records) == 2


def test_a_cold_budget_goes_on_where_it_stood_and_what_is_not_known_counts_as_spent():
    found = RecoveredState(slow_start_work={"s": [(900, 2.0)], "t": [(900, 2.0)], "u": [(900, 2.0)]})
    started = {"s": 500, "t": 950}
    got = recovered_work(found, started, 10_000, 1000, {"s": 5.0, "t": 5.0, "u": 5.0})
    assert got == {"s": [(900, 2.0), (1000, 3.0)], "t": []}  # t began anew since, u is not listed
    assert recovered_work(found, {"s": 500}, 10_000, 1000 + 2 * WORK_INTERVAL, {"s": 5.0}) == {"s": []}


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
            if verdict == Verdict.SEND:
                gone_out(token, key)
            elif verdict == Verdict.WAIT:
                waits[token] = key
        elif doing < 0.65:
            one.sync(chance.choice([1, 2, None]))
        elif doing < 0.8 and out:
            token = chance.choice(sorted(out))
            done, _ = out.pop(token)
            may = chance.random() < 0.5
            one.gate.dispatch_ended(token, may)
            ran[done] = ran.get(done) or may
            if not may and not ran.get(done) and done not in {k for k, _ in out.values()}:
                first[done] = None
        elif doing < 0.85 and waits:
            token = chance.choice(sorted(waits))
            del waits[token]
            one.gate.withdraw(token)
        elif doing < 0.9:
            one.gate.expire_pending()
        elif doing < 0.93:  # all at rest, another process goes on with what is out
            assert set(one.gate.withdraw_all()) == set(waits)
            waits.clear()
            one.sync()
            given = durability_snapshot.export(one.gate)
            two = Plain(one.records, one.time + 30)
            durability_snapshot.restore(two.gate, {**given, "out": [list(pair) for pair in given["out"]]})
            assert set(two.gate.in_flight) == set(out) and not two.gate.pending
            for done in list(ran):
                if done not in {k for k, _ in out.values()}:
                    crashed[done] = crashed.get(done) or ran[done]
            one = two
        elif doing < 0.95:  # one that goes on for a while, and dies with all that is out; the old one is back
            assert set(one.gate.withdraw_all()) == set(waits)
            waits.clear()
            one.sync()
            two = Plain(one.records, one.time)
            durability_snapshot.restore(two.gate, durability_snapshot.export(one.gate))
            for nth in range(chance.randrange(3)):
                other = chance.choice([b"u1", b"u2", b"n1", b"n2"])
                verdict = two.asks(
                    f"x{number} {nth}", other, "non-replayable" if other.startswith(b"n") else "uniqued"
                )
                two.sync(chance.choice([1, None]))
                if verdict == Verdict.SEND or two.released:
                    assert not (other.startswith(b"n") and crashed.get(other) and ran.get(other))
                    first[other] = one.time if first.get(other) is None else first[other]
                    ran[other] = True
                two.released.clear()
            for token, (done, _) in out.items():
                one.gate.dispatch_ended(token, True)
                ran[done] = True
            out.clear()
            for done in list(ran):
                crashed[done] = crashed.get(done) or ran[done]
            one.records, one.down = two.records[: two.down], two.down
            found = recover_state(Plain(one.records, one.time).as_kept(), one.time, 60_000)
            one.gate.merge_intents(found.intents)
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
    one.gate.expire_pending()
    assert set(one.refused) == set(waits) and not one.gate.pending


def test_what_was_asked_for_before_another_process_was_known_to_have_sent_it_is_refused():
    one, two = Plain(), Plain()
    assert one.asks("a", b"n", "non-replayable") == Verdict.WAIT
    assert two.asks("b", b"n", "non-replayable") == Verdict.WAIT
    two.sync()
    one.gate.merge_intents(recover_state([Record(*two.records[0])], one.time, 60_000).intents)
    assert one.refused == ["a"] and one.asks("c", b"n", "non-replayable") == Verdict.FAIL
    one.sync()
    assert one.crash().asks("d", b"n", "non-replayable") == Verdict.FAIL


def test_records_of_a_process_before_that_still_ends_what_it_had_bar_its_reqs_here():
    one, two = Plain(), Plain()
    one.asks("a", b"n", "non-replayable")
    ticket = two.gate.write_relayed(*one.records[0])
    assert ticket == 1 and two.asks("b", b"n", "non-replayable") == Verdict.FAIL
    two.gate.write_relayed(RecordKind.INTENT, b"n", None)  # it surely never ran
    assert two.asks("c", b"n", "non-replayable") == Verdict.WAIT


def test_what_went_over_to_a_process_that_died_with_it_is_never_sent_again():
    one = Plain()
    one.asks("a", b"n", "non-replayable")
    one.sync()
    one.asks("e", b"m", "non-replayable")
    one.sync()
    one.gate.dispatch_ended("e", executed=True)  # its client's connection ended first
    one.gate.dispatches_lost([("a", b"n"), ("e", b"m"), ("of nobody", b"x")])
    assert one.asks("f", b"m", "non-replayable") == Verdict.FAIL
    assert one.asks("b", b"n", "non-replayable") == Verdict.FAIL and not one.gate.key_uses
    one.sync()
    assert one.crash().asks("c", b"n", "non-replayable") == Verdict.FAIL


def test_what_a_process_before_sent_without_a_store_is_kept_from_now_on():
    one = Plain()
    one.gate.adopt("r", b"x", "replayable", 5, 1)
    assert not one.records
    one.gate.adopt("a", b"n", "non-replayable", 99_000, 1)
    one.sync()
    assert one.crash().asks("b", b"n", "non-replayable") == Verdict.FAIL
    one.gate.dispatch_ended("a", executed=False)
    one.sync()
    assert one.crash().asks("b", b"n", "non-replayable") == Verdict.WAIT


def test_an_intent_that_was_packed_reads_the_same():
    for effect in record_types.STORED_IDEMPOTENCY:
        assert record_types.unpack_intent(Intent(7, effect, True, 9).pack()) == Intent(7, effect, True, 9)
