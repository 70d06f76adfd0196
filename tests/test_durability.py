"""The durability gate, on a simulated disk that commits records in order until a crash."""

import random

import pytest

from lilacloft.store import durability_snapshot, record_types
from lilacloft.store.durability import DurabilityGate
from lilacloft.store.framing import Record
from lilacloft.store.idempotency import IdempotencyPolicy, Verdict
from lilacloft.store.record_types import Intent, RecordKind
from lilacloft.store.recovered_state import WORK_INTERVAL, RecoveredState, recover_state, recovered_work

WINDOW, TIMEOUT = 20_000, 500
KEYED = IdempotencyPolicy("uniqued", WINDOW, "all")


class FakeHost:
    """A host with a list of records, the first `durable` of which are durable, and the released tokens."""

    def __init__(self, records=(), time=100_000):
        self.time, self.records, self.durable = time, list(records), len(records)
        self.released, self.rejected = [], []
        stored_records = {}
        for kind, key, value in self.records:
            stored_records.pop((kind, key), None)
            if value is not None:
                stored_records[kind, key] = value
        self.stored_records = [Record(kind, key, value) for (kind, key), value in stored_records.items()]
        recovered = recover_state(self.stored_records, time, 60_000)
        assert not recovered.unreadable
        self.gate = DurabilityGate(self, recovered, TIMEOUT)

    def now(self):
        return self.time

    def write_record(self, kind, key, value):
        self.records.append((kind, key, value))
        return len(self.records)

    def release(self, token):
        self.released.append(token)

    def reject(self, token):
        self.rejected.append(token)

    def sync(self, count=None):
        self.durable = len(self.records) if count is None else min(len(self.records), self.durable + count)
        self.gate.records_durable(self.durable)

    def admit(self, token, key=b"k", idempotency="uniqued", scope="all", cell=1):
        return self.gate.admit(token, key, IdempotencyPolicy(idempotency, WINDOW, scope), cell)

    def crash(self, after=1000):
        """Return the host of a new process that has only the durable records."""
        return FakeHost(self.records[: self.durable], self.time + after)


def test_a_dispatch_that_is_not_idempotent_waits_until_its_intent_is_durable_and_others_never_wait():
    host = FakeHost()
    assert host.admit("a", idempotency="replayable") == Verdict.SEND and not host.records
    assert host.admit("b") == Verdict.WAIT and not host.released
    host.sync()
    assert host.released == ["b"]
    assert host.admit("c") == Verdict.SEND  # same key, whose intent is durable


def test_a_stalled_disk_rejects_pending_dispatches_and_a_late_sync_releases_none():
    host = FakeHost()
    assert host.admit("a") == Verdict.WAIT and host.gate.next_expiry() == TIMEOUT
    host.time += TIMEOUT - 1
    host.gate.expire_pending()
    assert not host.rejected
    host.time += 1
    host.gate.expire_pending()
    assert host.rejected == ["a"] and host.gate.next_expiry() is None
    host.sync()
    assert not host.released
    assert host.crash().admit("a2") == Verdict.WAIT  # it was not executed, which is durable as well


def test_a_pending_dispatch_is_rejected_before_its_client_disconnects():
    host = FakeHost()
    assert host.gate.admit("a", b"k", KEYED, 1, host.time + 70) == Verdict.WAIT
    assert host.gate.next_expiry() == 70
    host.time += 70
    host.gate.expire_pending()
    assert host.rejected == ["a"]
    assert host.gate.admit("b", b"k", KEYED, 1, host.time - 5) == Verdict.WAIT
    assert host.gate.next_expiry() == 0
    host.sync()
    assert host.rejected == ["a", "b"] and not host.released


@pytest.mark.parametrize(
    "idempotency, scope, cell, after, expected",
    [
        ("non-replayable", "all", 1, 10, Verdict.FAIL),
        ("uniqued", "all", 1, 10, Verdict.WAIT),
        ("uniqued", "all", 1, WINDOW, Verdict.REJECT),
        ("uniqued", "cell", 2, 10, Verdict.FAIL),
        ("uniqued", "cell", 1, 10, Verdict.WAIT),
        ("uniqued", "cell", 1, WINDOW, Verdict.FAIL),
    ],
)
def test_the_verdict_on_a_request_that_an_earlier_process_may_have_sent(
    idempotency, scope, cell, after, expected
):
    host = FakeHost()
    assert host.admit("a", idempotency=idempotency, scope=scope) == Verdict.WAIT
    host.sync()
    next_host = host.crash(after)
    assert next_host.admit("b", idempotency=idempotency, scope=scope, cell=cell) == expected
    if expected == Verdict.WAIT:  # the window starts at the first dispatch, also after another crash
        next_host.sync()
        last_host = next_host.crash(WINDOW - after)
        assert last_host.admit("c", idempotency=idempotency, scope=scope) != Verdict.WAIT


def test_a_dispatch_that_was_not_executed_leaves_no_intent():
    host = FakeHost()
    host.admit("a", idempotency="non-replayable")
    host.sync()
    host.gate.dispatch_ended("a", executed=False)
    host.sync()
    assert host.crash().admit("b", idempotency="non-replayable") == Verdict.WAIT
    host.admit("b", idempotency="non-replayable")
    host.sync()
    host.gate.dispatch_ended("b", executed=True)
    host.sync()
    assert host.crash().admit("c", idempotency="non-replayable") == Verdict.FAIL


def test_a_client_that_disconnects_withdraws_its_pending_dispatch():
    host = FakeHost()
    host.admit("a", idempotency="non-replayable")
    host.gate.withdraw("a")
    host.sync()
    assert not host.released and host.crash().admit("b", idempotency="non-replayable") == Verdict.WAIT


def test_intents_are_removed_once_no_rule_needs_them_and_not_before():
    host = FakeHost()
    host.admit("a", b"old")
    host.admit("b", b"out")
    host.sync()
    host.gate.dispatch_ended("a", executed=True)
    host.time += 50_000
    assert host.gate.remove_expired(60_000) == 0
    host.time += 20_000
    assert host.gate.remove_expired(60_000) == 1 and b"out" in host.gate.intents
    host.time -= 90_000  # the clock is set back: no intent is old
    assert host.gate.remove_expired(60_000) == 0


def test_slow_start_work_is_written_at_intervals_and_only_during_slow_start():
    host = FakeHost()
    host.gate.write_work("s", 0, [], 150_000)
    host.gate.write_work("s", host.time - 150_000, [(host.time, 1.0)], 150_000)
    assert not host.records
    host.gate.write_work("s", host.time - 10, [(host.time, 1.0)], 150_000)
    host.gate.write_work("s", host.time - 10, [(host.time, 2.0)], 150_000)
    assert len(host.records) == 1
    host.time += WORK_INTERVAL
    host.gate.write_work("s", host.time - 10, [(host.time, 2.0)], 150_000)
    assert len(host.records) == 2


def test_slow_start_work_is_recovered_and_unrecorded_work_counts_as_sent():
    recovered = RecoveredState(slow_start_work={"s": [(900, 2.0)], "t": [(900, 2.0)], "u": [(900, 2.0)]})
    started = {"s": 500, "t": 950}
    got = recovered_work(recovered.slow_start_work, started, 10_000, 1000, {"s": 5.0, "t": 5.0, "u": 5.0})
    assert got == {"s": [(900, 2.0), (1000, 3.0)], "t": []}  # t has restarted since; u is not listed
    assert recovered_work(
        recovered.slow_start_work, {"s": 500}, 10_000, 1000 + 2 * WORK_INTERVAL, {"s": 5.0}
    ) == {"s": []}


@pytest.mark.parametrize("seed", range(300))
def test_with_random_events_nothing_is_sent_before_its_intent_is_durable_or_twice_after_a_crash(seed):
    """A request that is not idempotent is sent again under its key only if no earlier dispatch may have been
    executed, one with an idempotency key only within the window of the first dispatch that may have been.
    Each pending dispatch is released or rejected exactly once."""
    random_source = random.Random(seed)
    host = FakeHost()
    executed_keys, first_sent_at, in_flight, pending, number = {}, {}, {}, {}, 0

    def record_sent(token, key):
        durable_records = [record for record in host.records[: host.durable] if record[1] == key]
        assert (
            durable_records
            and durable_records[-1][2] is not None
            or key in {k for k, _ in in_flight.values()}
        )
        idempotency = "non-replayable" if key.startswith(b"n") else "uniqued"
        if idempotency == "uniqued" and first_sent_at.get(key) is not None and crashed.get(key):
            assert host.time < first_sent_at[key] + WINDOW
        if idempotency == "non-replayable" and crashed.get(key):
            assert not executed_keys.get(key)
        first_sent_at[key] = host.time if first_sent_at.get(key) is None else first_sent_at[key]
        in_flight[token] = (key, host.time)

    crashed = {}
    for _ in range(80):
        host.time += random_source.choice([1, 50, 300, 5000])
        choice = random_source.random()
        key = random_source.choice([b"u1", b"u2", b"n1", b"n2"])
        if choice < 0.4:
            number += 1
            token = f"t{number}"
            verdict = host.admit(token, key, "non-replayable" if key.startswith(b"n") else "uniqued")
            if verdict == Verdict.SEND:
                record_sent(token, key)
            elif verdict == Verdict.WAIT:
                pending[token] = key
        elif choice < 0.65:
            host.sync(random_source.choice([1, 2, None]))
        elif choice < 0.8 and in_flight:
            token = random_source.choice(sorted(in_flight))
            ended_key, _ = in_flight.pop(token)
            executed = random_source.random() < 0.5
            host.gate.dispatch_ended(token, executed)
            executed_keys[ended_key] = executed_keys.get(ended_key) or executed
            if (
                not executed
                and not executed_keys.get(ended_key)
                and ended_key not in {k for k, _ in in_flight.values()}
            ):
                first_sent_at[ended_key] = None
        elif choice < 0.85 and pending:
            token = random_source.choice(sorted(pending))
            del pending[token]
            host.gate.withdraw(token)
        elif choice < 0.9:
            host.gate.expire_pending()
        elif choice < 0.93:  # a handover: another process takes over
            assert set(host.gate.withdraw_all()) == set(pending)
            pending.clear()
            host.sync()
            exported = durability_snapshot.export(host.gate)
            next_host = FakeHost(host.records, host.time + 30)
            durability_snapshot.restore(
                next_host.gate, {**exported, "out": [list(pair) for pair in exported["out"]]}
            )
            assert set(next_host.gate.in_flight) == set(in_flight) and not next_host.gate.pending
            for ended_key in list(executed_keys):
                if ended_key not in {k for k, _ in in_flight.values()}:
                    crashed[ended_key] = crashed.get(ended_key) or executed_keys[ended_key]
            host = next_host
        elif choice < 0.95:  # a failed handover: the new process sends requests and dies; the old one goes on
            assert set(host.gate.withdraw_all()) == set(pending)
            pending.clear()
            host.sync()
            next_host = FakeHost(host.records, host.time)
            durability_snapshot.restore(next_host.gate, durability_snapshot.export(host.gate))
            for index in range(random_source.randrange(3)):
                other = random_source.choice([b"u1", b"u2", b"n1", b"n2"])
                verdict = next_host.admit(
                    f"x{number} {index}", other, "non-replayable" if other.startswith(b"n") else "uniqued"
                )
                next_host.sync(random_source.choice([1, None]))
                if verdict == Verdict.SEND or next_host.released:
                    assert not (other.startswith(b"n") and crashed.get(other) and executed_keys.get(other))
                    first_sent_at[other] = (
                        host.time if first_sent_at.get(other) is None else first_sent_at[other]
                    )
                    executed_keys[other] = True
                next_host.released.clear()
            for token, (ended_key, _) in in_flight.items():
                host.gate.dispatch_ended(token, True)
                executed_keys[ended_key] = True
            in_flight.clear()
            for ended_key in list(executed_keys):
                crashed[ended_key] = crashed.get(ended_key) or executed_keys[ended_key]
            host.records, host.durable = next_host.records[: next_host.durable], next_host.durable
            recovered = recover_state(FakeHost(host.records, host.time).stored_records, host.time, 60_000)
            host.gate.merge_intents(recovered.intents)
        else:
            for ended_key, _ in in_flight.values():
                executed_keys[ended_key] = crashed[ended_key] = True  # it may have been executed
            for ended_key in list(executed_keys):
                crashed[ended_key] = crashed.get(ended_key) or executed_keys[ended_key]
            in_flight.clear()
            pending.clear()
            host = host.crash(random_source.choice([1, 3000]))
        for token in host.released:
            record_sent(token, pending.pop(token))
        for token in host.rejected:
            del pending[token]
        host.released.clear()
        host.rejected.clear()
    host.time += TIMEOUT
    host.gate.expire_pending()
    assert set(host.rejected) == set(pending) and not host.gate.pending


def test_a_pending_dispatch_is_rejected_once_another_process_is_found_to_have_sent_it():
    host, next_host = FakeHost(), FakeHost()
    assert host.admit("a", b"n", "non-replayable") == Verdict.WAIT
    assert next_host.admit("b", b"n", "non-replayable") == Verdict.WAIT
    next_host.sync()
    host.gate.merge_intents(recover_state([Record(*next_host.records[0])], host.time, 60_000).intents)
    assert host.rejected == ["a"] and host.admit("c", b"n", "non-replayable") == Verdict.FAIL
    host.sync()
    assert host.crash().admit("d", b"n", "non-replayable") == Verdict.FAIL


def test_relayed_records_of_an_earlier_process_block_its_requests_in_the_next_one():
    host, next_host = FakeHost(), FakeHost()
    host.admit("a", b"n", "non-replayable")
    ticket = next_host.gate.write_relayed(*host.records[0])
    assert ticket == 1 and next_host.admit("b", b"n", "non-replayable") == Verdict.FAIL
    next_host.gate.write_relayed(RecordKind.INTENT, b"n", None)  # it was not executed
    assert next_host.admit("c", b"n", "non-replayable") == Verdict.WAIT


def test_a_dispatch_handed_over_to_a_process_that_died_is_never_sent_again():
    host = FakeHost()
    host.admit("a", b"n", "non-replayable")
    host.sync()
    host.admit("e", b"m", "non-replayable")
    host.sync()
    host.gate.dispatch_ended("e", executed=True)  # its client's connection ended first
    host.gate.dispatches_lost([("a", b"n"), ("e", b"m"), ("of nobody", b"x")])
    assert host.admit("f", b"m", "non-replayable") == Verdict.FAIL
    assert host.admit("b", b"n", "non-replayable") == Verdict.FAIL and not host.gate.key_uses
    host.sync()
    assert host.crash().admit("c", b"n", "non-replayable") == Verdict.FAIL


def test_the_intent_of_an_adopted_dispatch_is_stored():
    host = FakeHost()
    host.gate.adopt("r", b"x", "replayable", 5, 1)
    assert not host.records
    host.gate.adopt("a", b"n", "non-replayable", 99_000, 1)
    host.sync()
    assert host.crash().admit("b", b"n", "non-replayable") == Verdict.FAIL
    host.gate.dispatch_ended("a", executed=False)
    host.sync()
    assert host.crash().admit("b", b"n", "non-replayable") == Verdict.WAIT


def test_an_unpacked_intent_equals_the_packed_one():
    for idempotency in record_types.STORED_IDEMPOTENCY:
        assert record_types.unpack_intent(Intent(7, idempotency, True, 9).pack()) == Intent(
            7, idempotency, True, 9
        )
