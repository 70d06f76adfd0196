"""The store: records reported as durable survive any crash; a commit is recovered entirely or not at all."""

import random
import threading
import time

import pytest

from lilacloft.__main__ import main
from lilacloft.store import framing, record_types
from lilacloft.store.directory import segment_name, snapshot_name
from lilacloft.store.errors import StoreError
from lilacloft.store.files import StoreDirectory
from lilacloft.store.framing import Record
from lilacloft.store.group_commit import GroupCommitter
from lilacloft.store.idempotency import (
    IdempotencyPolicy,
    Verdict,
    may_send_again,
    needs_durable_intent,
    verdict_while_pending,
)
from lilacloft.store.log import RetentionLimit, Store
from lilacloft.store.record_types import Intent, RecordKind
from lilacloft.store.recovered_state import recover_state
from rigs.disk_model import CrashError, Disk
from rigs.store_recovery import CutJob, MemoryFiles, check_cuts, crash, make_log


def test_a_log_cut_at_every_byte_recovers_exactly_what_was_committed_before():
    data, ends = make_log(3000, 7)
    assert check_cuts(CutJob(data, ends, 0, len(data) + 1)) == []


@pytest.mark.parametrize("block", range(8))
def test_no_crash_on_the_modelled_disk_loses_what_was_reported_as_durable(block):
    assert [line for seed in range(block * 40, block * 40 + 40) for line in crash(seed)] == []


def test_omitted_syncs_are_detected():
    assert sum(bool(crash(seed, skips_syncs=True)) for seed in range(20)) == 20


def test_a_crash_at_each_step_of_a_compaction_loses_no_record():
    for step in range(1, 30):
        disk = Disk(step)
        store = Store(disk)
        for number in range(40):
            store.put(1, b"%d" % (number % 10), b"%d" % number, number)
            store.commit()
        store.put(2, b"x", b"pending")
        disk.crash_at = disk.calls + step
        compacted = False
        try:
            store.compact()
            compacted = True
        except CrashError:
            pass
        disk.restart()
        recovered = Store(disk)
        assert [recovered.get(1, b"%d" % key) for key in range(10)] == [
            b"%d" % (30 + key) for key in range(10)
        ]
        assert recovered.report.damage == [] and recovered.durable_sequence in (40, 41)
        assert recovered.get(2, b"x") in ((b"pending",) if compacted else (None, b"pending"))
        if compacted:
            assert len(disk.names()) == 2
            break
    assert compacted


def test_a_value_is_kept_until_its_replacement_is_durable():
    """A snapshot written while records are pending contains the durable values, not the pending ones."""
    disk = Disk(1)
    store = Store(disk, segment_bytes=200)
    store.put(1, b"k", b"old" * 100)
    store.commit()
    store.put(1, b"k", b"new")
    append = disk.append

    def crash_on_new_value(name, data):
        if name.startswith("log") and b"new" in data:
            raise CrashError()
        append(name, data)

    disk.append = crash_on_new_value
    with pytest.raises(CrashError):
        store.commit()
    disk.append = append
    disk.restart()
    assert Store(disk).get(1, b"k") == b"old" * 100


@pytest.mark.parametrize("operation", ["append", "sync", "create", "sync_directory", "rename", "remove"])
def test_after_any_failure_a_new_segment_has_all_pending_records(operation):
    disk = Disk(3)
    store = Store(disk, segment_bytes=300)
    for number in range(6):
        store.put(1, b"%d" % number, b"x" * 40)
        store.commit()
    working = getattr(disk, operation)
    calls = []

    def fail(*arguments):
        calls.append(arguments)
        raise OSError(5, "Input/output error")

    setattr(disk, operation, fail)
    store.put(1, b"new", b"y" * 300)
    durable_before = store.durable_sequence
    failed = False
    for _ in range(2):
        try:
            store.commit()
        except OSError:
            failed = True
            assert store.durable_sequence >= durable_before
        store.put(1, b"more", b"z" * 300)
    assert failed or not calls or operation in ("rename", "remove")
    setattr(disk, operation, working)
    store.commit()
    assert store.durable_sequence == durable_before + 3
    disk.restart()
    recovered = Store(disk)
    assert recovered.get(1, b"new") == b"y" * 300 and recovered.get(1, b"more") == b"z" * 300
    assert all(recovered.get(1, b"%d" % number) == b"x" * 40 for number in range(6))
    assert not recovered.report.damage


def test_a_flipped_bit_in_the_middle_is_reported_and_what_follows_is_recovered():
    data, ends = make_log(4000, 3)
    random_source = random.Random(1)
    for _ in range(60):
        position = random_source.randrange(framing.FILE_HEADER.size, ends[-2].offset)
        damaged = bytearray(data)
        damaged[position] ^= 1 << random_source.randrange(8)
        store = Store(MemoryFiles({segment_name(1): bytes(damaged)}))
        assert len(store.report.damage) == 1 and "the frames after them are kept" in store.report.damage[0]
        assert store.report.frames == len(ends) - 1 and store.durable_sequence == ends[-1].records


def test_a_damaged_header_loses_no_frame_and_an_unknown_version_is_an_error():
    data, ends = make_log(1000, 3)
    store = Store(MemoryFiles({segment_name(1): b"xxxx" + data[4:]}))
    assert store.durable_sequence == ends[-1].records and "not a store file" in store.report.damage[0]
    newer = framing.pack_file_header(1, 9) + data[framing.FILE_HEADER.size :]
    with pytest.raises(StoreError, match="version 9; supported are 1 to 2"):
        Store(MemoryFiles({segment_name(1): newer}))


def test_a_store_of_the_previous_version_is_read():
    records = [Record(1, b"a", b"1"), Record(1, b"b", b"2"), Record(1, b"a", None)]
    data = (
        framing.pack_file_header(1, 1)
        + framing.pack_frame(1, records[:2], 1)
        + framing.pack_frame(3, records[2:], 1)
    )
    store = Store(MemoryFiles({segment_name(1): data}))
    assert (store.get(1, b"a"), store.get(1, b"b"), store.durable_sequence) == (None, b"2", 3)


def test_an_incomplete_snapshot_is_reported_and_the_older_segments_are_read():
    disk = Disk(5)
    store = Store(disk)
    for number in range(5):
        store.put(1, b"%d" % number, b"x")
        store.commit()
    disk.create(snapshot_name(2))
    disk.append(
        snapshot_name(2), framing.pack_file_header(2) + framing.pack_frame(6, [Record(1, b"0", b"x")])
    )
    recovered = Store(disk)
    assert recovered.durable_sequence == 5 and recovered.report.damage == [
        f"{snapshot_name(2)}: incomplete snapshot"
    ]


@pytest.mark.parametrize("seed", range(60))
def test_two_processes_that_write_alternately_read_each_others_commits(seed):
    """Two processes share a disk without faults. The reader reads at random times, also during writes and
    compactions of the writer, and must have read all records before it becomes the writer itself."""
    random_source, disk = random.Random(seed), Disk(seed)
    writer, reader = Store(disk, segment_bytes=400), Store(disk, segment_bytes=400)
    expected = {}
    for round_number in range(40):
        writer.catch_up()
        found = {key: record.value for by_key in writer.records.values() for key, record in by_key.items()}
        assert found == expected and not writer.report.damage
        assert writer.durable_sequence == Store(disk).durable_sequence
        for step in range(random_source.randrange(6)):
            key = b"k%d" % random_source.randrange(5)
            value = random_source.choice([None, b"%d %d" % (round_number, step) * 9])
            writer.put(1, key, value)
            expected.pop(key, None)
            if value is not None:
                expected[key] = value
            if random_source.random() < 0.4:
                writer.commit()
            if random_source.random() < 0.1:
                writer.compact()
            if random_source.random() < 0.2:
                reader.catch_up()  # without becoming the writer
        writer.commit()
        if random_source.random() < 0.5:
            writer, reader = reader, writer


def test_pending_records_follow_the_records_read_by_catch_up():
    disk = Disk(1)
    writer, reader = Store(disk), Store(disk)
    writer.put(1, b"a", b"of one")
    writer.commit()
    reader.put(1, b"a", b"of two")
    reader.put(1, b"b", b"of two")
    reader.catch_up()
    assert reader.get(1, b"a") == b"of two" and reader.durable_sequence == 1
    reader.commit()
    assert {key: record.value for key, record in Store(disk).records[1].items()} == {
        b"a": b"of two",
        b"b": b"of two",
    }


def test_kinds_are_bounded_by_count_and_age_and_a_clock_set_back_removes_nothing():
    store = Store(Disk(1), {1: RetentionLimit(5, 100)})
    for number in range(8):
        store.put(1, b"%d" % number, b"x", 1000 + number)
    assert store.apply_retention(1010) == 3
    assert [record.key for record in store.records_of(1)] == [b"%d" % n for n in range(3, 8)]
    assert store.apply_retention(500) == 0  # all timestamps are in the future
    assert store.apply_retention(1105) == 2


def test_a_second_writer_gets_an_error_that_names_the_first_process(tmp_path, capsys):
    directory = StoreDirectory(str(tmp_path))
    store = Store(directory)
    store.put(1, b"k", b"v")
    store.commit()
    with pytest.raises(StoreError, match="process .* has locked the store"):
        StoreDirectory(str(tmp_path))
    assert main(["store", "compact", str(tmp_path)]) == 1
    assert "has locked the store" in capsys.readouterr().err
    assert main(["store", "check", str(tmp_path)]) == 0  # reading requires no lock
    directory.close()
    StoreDirectory(str(tmp_path)).close()


def test_the_commands_report_damage_and_drop_no_valid_record(tmp_path, capsys):
    directory = StoreDirectory(str(tmp_path))
    store = Store(directory)
    for number in range(20):
        store.put(RecordKind.PURGE, b"%016x" % number, record_types.pack_time(number), number)
        store.commit()
    directory.close()
    path = tmp_path / segment_name(1)
    data = bytearray(path.read_bytes())
    data[400] ^= 4
    path.write_bytes(bytes(data))
    assert main(["store", "check", str(tmp_path)]) == 1
    assert "the frames after them are kept" in capsys.readouterr().out
    assert main(["store", "compact", str(tmp_path)]) == 1
    assert "repair first" in capsys.readouterr().err
    assert main(["store", "repair", str(tmp_path)]) == 0
    output = capsys.readouterr().out
    assert "19 records kept" in output
    assert (tmp_path / "before-repair-1" / segment_name(1)).read_bytes() == bytes(data)
    assert main(["store", "check", str(tmp_path)]) == 0
    assert main(["store", "dump", str(tmp_path)]) == 0
    assert capsys.readouterr().out.count('"kind": "purge"') == 19
    assert main(["store", "check", str(tmp_path / "none")]) == 1


# --- group commit ---


def test_many_writers_share_a_sync_and_each_learns_when_its_record_is_durable(tmp_path):
    directory = StoreDirectory(str(tmp_path))
    committer = GroupCommitter(Store(directory))
    durable = []

    def work(number):
        durable.append(committer.write(Record(1, b"%d" % number, b"v", 0), timeout=20.0))

    threads = [threading.Thread(target=work, args=(number,)) for number in range(64)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    committer.close()
    assert durable == [True] * 64 and committer.sync_count < 64
    directory.close()
    assert sum(1 for _ in Store(StoreDirectory(str(tmp_path))).records_of(1)) == 64


def test_records_beyond_their_maximum_age_are_removed_with_a_commit():
    disk = Disk(1)
    store = Store(disk, {1: RetentionLimit(100, 50)})
    store.put(1, b"old", b"v", 10)
    store.commit()
    committer = GroupCommitter(store)
    assert committer.write(Record(1, b"new", b"v", 100), timeout=20.0)
    committer.close()
    disk.restart()
    assert [record.key for record in Store(disk).records_of(1)] == [b"new"]


def test_a_stalled_disk_delays_no_writer_beyond_its_timeout_and_commits_go_on_afterwards():
    disk = Disk(1)
    disk_responds = threading.Event()
    sync = disk.sync

    def stall(name):
        disk_responds.wait(20)
        sync(name)

    disk.sync = stall
    committer = GroupCommitter(Store(disk))
    began = time.monotonic()
    assert committer.write(Record(1, b"k", b"v", 0), timeout=0.1) is False
    assert 0.05 < time.monotonic() - began < 5 and committer.stalled_for() > 0
    disk_responds.set()
    assert committer.write(Record(1, b"k2", b"v", 0), timeout=20.0) is True
    assert committer.stalled_for() == 0 or committer.stalled_for() < 1
    committer.close()


def test_a_failed_commit_is_reported_only_once_it_is_durable():
    disk = Disk(1)
    sync, failures = disk.sync, [1, 2]

    def fail_twice(name):
        if failures:
            failures.pop()
            raise OSError(5, "Input/output error")
        sync(name)

    disk.sync = fail_twice
    committer = GroupCommitter(Store(disk))
    assert committer.write(Record(1, b"k", b"v", 0), timeout=20.0) is True
    assert not failures and committer.sync_count == 1
    committer.close()
    disk.restart()
    assert Store(disk).get(1, b"k") == b"v"


# --- what a gateway stores ---


def test_which_dispatches_need_a_durable_intent_and_their_verdicts_while_the_disk_is_stalled():
    assert list(map(needs_durable_intent, record_types.STORED_IDEMPOTENCY)) == [False, True, True]
    assert verdict_while_pending("replayable", 10**9, 5) == Verdict.SEND
    assert verdict_while_pending("non-replayable", 4, 5) == Verdict.WAIT
    assert verdict_while_pending("uniqued", 5, 5) == Verdict.REJECT


@pytest.mark.parametrize(
    "idempotency, not_executed, cell, now, scope, allowed",
    [
        ("replayable", False, 1, 100, "all", True),
        ("non-replayable", False, 1, 100, "all", False),
        ("non-replayable", True, 1, 100, "all", True),
        ("uniqued", False, 1, 100, "all", True),
        ("uniqued", False, 1, 151, "all", False),
        ("uniqued", False, 1, 51, "all", True),
        ("uniqued", False, 1, 50, "all", False),  # the clock was set back: the age is unknown
        ("uniqued", False, 2, 100, "cell", False),
        ("uniqued", False, 1, 100, "cell", True),
    ],
)
def test_whether_a_request_that_an_earlier_process_may_have_sent_is_sent_again(
    idempotency, not_executed, cell, now, scope, allowed
):
    earlier = Intent(101 - 50, idempotency, not_executed, 1)
    policy = IdempotencyPolicy(idempotency, 100, scope)
    assert record_types.unpack_intent(earlier.pack()) == earlier
    assert may_send_again(policy, earlier, now, cell) is allowed
    assert may_send_again(policy, None, now, cell)


def test_recovery_skips_unreadable_records_and_tolerates_a_clock_set_back():
    records = [
        Record(RecordKind.PURGE, record_types.pack_purge_key("00ff"), record_types.pack_time(900)),
        Record(
            RecordKind.PURGE, record_types.pack_purge_key(7), record_types.pack_time(5000)
        ),  # in the future
        Record(RecordKind.PURGE, record_types.pack_purge_key("old"), record_types.pack_time(10)),
        Record(RecordKind.PURGE, b"#x", record_types.pack_time(900)),
        Record(RecordKind.INTENT, b"ref", Intent(5, "uniqued", False, 3).pack()),
        Record(RecordKind.INTENT, b"bad", b"?"),
        Record(RecordKind.SLOW_START, b"s-1", record_types.pack_work([(1, 2.5), (3, 4.0)])),
        Record(RecordKind.LAST_EVENT, b"", record_types.pack_time(41)),
    ]
    recovered = recover_state(records, 1000, 500)
    assert recovered.purges == {"00ff": 900, 7: 1000} and recovered.last_event == 41
    assert recovered.intents == {b"ref": Intent(5, "uniqued", False, 3)}
    assert recovered.slow_start_work == {"s-1": [(1, 2.5), (3, 4.0)]}
    assert len(recovered.unreadable) == 2 and "intent b'bad'" in recovered.unreadable[1]
