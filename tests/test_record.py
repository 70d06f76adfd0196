"""Records: writing with a failing disk, and reading files with any content."""

import errno
import json
import os
import random
import socket
import time
from pathlib import Path

import pytest

from lilacloft.__main__ import main
from lilacloft.record import record_types
from lilacloft.record.file_rotation import RETRY_DELAY, RotatingFiles
from lilacloft.record.live_stream import LiveStream
from lilacloft.record.reader import read
from lilacloft.record.record_queue import RecordQueue
from lilacloft.record.summary import (
    IDLE_SUMMARY_INTERVAL,
    SUMMARY_INTERVAL,
    BackendState,
    EndedAttempt,
    Summary,
    VhostTargets,
)
from rigs.stands import UpgradableWorld, serves

HEAD = b"head\n"


class Disk:
    """A directory in memory that may raise errors and may write only a part of the data."""

    def __init__(self, capacity=1e9):
        self.time, self.capacity, self.files, self.open, self.is_failing = 0.0, capacity, {}, None, False

    def now(self):
        return self.time

    def open_file(self, number):
        self._raise_if_failing()
        self.open = f"{number:05}"
        self.files[self.open] = b""

    def write(self, data):
        left = int(self.capacity - sum(map(len, self.files.values())))
        self.files[self.open] += data[: max(0, left)]
        if self.is_failing or len(data) > left:
            raise OSError(errno.ENOSPC, "No space left on device")

    def close_file(self):
        self.open = None

    def list_files(self):
        return [(name, len(data)) for name, data in sorted(self.files.items())]

    def remove_file(self, name):
        del self.files[name]

    def _raise_if_failing(self):
        if self.is_failing:
            raise OSError(errno.EIO, "Input/output error")


def line(number, size=100):
    return b"%08d" % number + b"x" * (size - 9) + b"\n"


def test_files_rotate_by_size_and_age_and_the_oldest_are_removed_first():
    disk = Disk()
    files = RotatingFiles(disk, {"file": 1000, "age": 60.0, "total": 3000})
    for number in range(100):
        assert files.write([line(number)], HEAD) == 0
        assert sum(map(len, disk.files.values())) <= 3000
        assert all(len(data) <= 1000 and data.startswith(HEAD) for data in disk.files.values())
    assert sorted(disk.files)[-1] == "00012" and "00001" not in disk.files
    before = len(disk.files)
    disk.time += 60.0
    files.write([line(100)], HEAD)
    assert len(disk.files) == before + 1 or files.file_number == 13
    assert list(disk.files.values())[-1] == HEAD + line(100)


def test_records_lost_to_a_full_disk_are_counted():
    disk = Disk(capacity=1050)
    files = RotatingFiles(disk, {"file": 10_000, "total": 20_000})
    lost = sum(files.write([line(number)], HEAD) for number in range(30))
    kept = sum(data.count(b"\n") - 1 for data in disk.files.values())
    assert kept == 10 and lost == 20 and "space" in files.error.lower()
    assert files.take_losses() == (0, "")  # not before a retry is due
    disk.capacity, disk.time = 1e9, disk.time + RETRY_DELAY
    assert files.take_losses() == (20, files.error)
    assert files.take_losses() == (0, "")
    assert files.write([line(31)], HEAD) == 0
    # In a new file, as the last one may end with a partial line.
    assert list(disk.files.values())[-1] == HEAD + line(31)


def test_with_random_disk_errors_lines_are_complete_and_in_order_or_counted_as_lost():
    for seed in range(200):
        chance, disk = random.Random(seed), Disk()
        files = RotatingFiles(disk, {"file": 800, "total": 1e6})
        lost = number = 0
        for _ in range(60):
            disk.time += chance.choice([0.1, 2.0])
            disk.is_failing = chance.random() < 0.3
            lines = [line(number + place) for place in range(chance.randrange(4))]
            number += len(lines)
            lost += files.write(lines, HEAD)
        complete = [one for data in disk.files.values() for one in data.split(b"\n")[1:] if len(one) == 99]
        assert complete == sorted(complete)
        assert number - lost <= len(complete) <= number  # failed writes may have written a part


def test_a_full_queue_drops_records_and_reports_since_when():
    queue = RecordQueue(3)
    assert [queue.put(b"%d" % number, number) for number in range(6)] == [True] * 3 + [False] * 3
    assert queue.drain() == ([b"0", b"1", b"2"], 3, 3)
    assert queue.put(b"7", 7) and queue.drain() == ([b"7"], 0, 3)


def test_a_summary_counts_by_vhost_and_backend_and_is_due_each_second_with_events():
    summary = Summary({"clip": VhostTargets(4000, 30_000, 2.0)}, 0)
    assert not summary.is_due(IDLE_SUMMARY_INTERVAL - 1) and summary.is_due(IDLE_SUMMARY_INTERVAL)
    summary.request_arrived("clip")
    assert not summary.is_due(SUMMARY_INTERVAL - 1) and summary.is_due(SUMMARY_INTERVAL)
    summary.dispatched("clip", "a")
    summary.attempt_ended(EndedAttempt("clip", "a", None, "DATA", "done", 50, False, 1, 0))
    summary.attempt_ended(EndedAttempt("clip", "b", "p", "DATA", "done", 900, True, 3, 0))
    summary.attempt_ended(EndedAttempt("clip", "b", "p", "TIME_UP", "timeout", 4000, True, 0, 0))
    summary.answered("clip", "done", 50, 1)
    summary.answered("clip", "done", 4001, 1)
    summary.answered("clip", "denied", 3, 0)
    summary.count_refused({"unusable": 5})
    summary.count_refused({"unusable": 9})
    backends = {
        "a": BackendState(2, 10.0, False, 1),
        "c": BackendState(0, 1.0, True, 1),
        "d": BackendState(0, 1.0, False, 1),
    }
    second = summary.finish_period(SUMMARY_INTERVAL, backends, 7.0)
    clip = second.vhosts["clip"]
    assert (
        clip.requests,
        clip.done,
        clip.late_answers,
        clip.denied,
        clip.denied_without_dispatch,
        clip.value,
    ) == (
        1,
        2,
        1,
        1,
        1,
        2.0,
    )
    assert (clip.hits, clip.fills, clip.dispatches) == (1, {"TCP_MISS_ROOT": 1}, 1) and clip.durations
    assert second.backends["b"].ends == {"time_up": 1} and second.backends["b"].late_answers == 1
    assert (
        second.backends["p"].fills,
        second.backends["p"].source_waits,
        second.backends["p"].source_wait_total,
    ) == (
        2,
        1,
        900,
    )
    assert second.backends["a"].in_flight == 2 and second.backends["c"].ejected and "d" not in second.backends
    assert second.refused == {"unusable": 4} and second.duration == SUMMARY_INTERVAL
    assert not summary.finish_period(2 * SUMMARY_INTERVAL, {}, 7.0).vhosts


def test_each_limit_cut_is_recorded_and_growth_only_on_full_recovery():
    summary = Summary({}, 0)
    assert summary.limit_changed("a", 10.0, 10.1, 0.0) is None
    cut = summary.limit_changed("a", 10.0, 7.0, 0.3)
    assert (cut.previous_limit, cut.limit, cut.recovered) == (10.0, 7.0, False)
    assert summary.limit_changed("a", 7.0, 4.9, 0.4).limit == 4.9
    assert summary.limit_changed("a", 4.9, 9.9, 0.0) is None
    assert summary.limit_changed("a", 9.9, 10.0, 0.0).recovered
    assert summary.limit_changed("a", 10.0, 10.1, 0.0) is None


# --- reading ---


def write_records(folder, count=20):
    folder.mkdir(exist_ok=True)
    path = folder / "n0.000000000000001-1.00001.jsonl"
    records = [record_types.Head(schema=1, gateway="n0", run="000000000000001-1")]
    records += [
        record_types.HealthChange(
            number=number, unix_time=number, monotonic_time=number, backend="a", change="back"
        )
        for number in range(1, count)
    ]
    path.write_bytes(b"".join(record_types.encode(record) + b"\n" for record in records))
    return path


def test_a_file_truncated_at_any_byte_is_read_up_to_there_and_reported(tmp_path):
    content = write_records(tmp_path).read_bytes()
    ends = [place + 1 for place, byte in enumerate(content) if byte == 10]
    path = tmp_path / "n0.000000000000001-1.00001.jsonl"
    for cut in range(0, len(content), 13):
        path.write_bytes(content[:cut])
        runs, damage = read([str(tmp_path)])
        records = sum(len(run.records) for mine in runs.values() for run in mine)
        assert records == max(0, sum(end <= cut for end in ends) - 1)
        assert bool(damage) == (cut not in ends)


def test_malformed_lines_are_reported_and_unknown_kinds_skipped(tmp_path):
    path = write_records(tmp_path)
    lines = path.read_bytes().splitlines(keepends=True)
    lines[3] = b"\xff\x00 nonsense\n"
    lines[5] = b'{"kind":"weather","number":5,"rain":true}\n'
    lines[7] = lines[7].replace(b'"be":"a"', b'"be":7')
    lines[9] = lines[9].replace(b'"be":"a"', b'"be":"a","mood":[1,2]')
    path.write_bytes(b"".join(lines))
    runs, damage = read([str(tmp_path)])
    assert [item.line for item in damage] == [4, 8] and len(runs["n0"][0].records) == 16
    assert str(damage[0]).startswith(f"{path}:4: a line that cannot be read")


def test_missing_heads_missing_files_and_newer_schemas_are_reported(tmp_path):
    path = write_records(tmp_path)
    lines = path.read_bytes().splitlines(keepends=True)
    (tmp_path / "n1.000000000000002-1.00001.jsonl").write_bytes(lines[2])
    path.write_bytes(lines[0].replace(b'"schema":1', b'"schema":9') + b"".join(lines[1:]))
    runs, damage = read([str(tmp_path), str(tmp_path / "none")])
    reported = " ".join(map(str, damage))
    assert "no head" in reported and "schema 9 is newer" in reported and "no such file" in reported
    assert len(runs["n0"][0].records) == 19


# --- a gateway that records ---


@pytest.fixture
def world(tmp_path):
    worlds = []

    def make(record, **more):
        forms = f'(record {record}) (upgrade (handover "h.sock"))'
        worlds.append(UpgradableWorld(tmp_path, (serves(),), forms=forms, **more))
        return worlds[-1]

    yield make
    for one in worlds:
        one.close()


def until(condition, wait=10):
    end = time.monotonic() + wait
    while time.monotonic() < end:
        if found := condition():
            return found
        time.sleep(0.02)
    raise AssertionError("condition not met in time")


def records(folder):
    runs, damage = read([str(folder)])
    assert not damage
    return {run.head.run: run.records for mine in runs.values() for run in mine}


def test_a_gateway_writes_what_it_is_told_and_its_seconds_through_an_upgrade(world, tmp_path):
    world = world('(folder "rec") (prometheus "out.prom")')
    asker = world.asker()
    for key in range(5):
        asker.ask(key=key)
        assert asker.answer()[1] == b"200"
    world.log.add(2, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
    folder = tmp_path / "rec"
    until(
        lambda: folder.exists()
        and any(
            isinstance(record, record_types.Purge) for mine in records(folder).values() for record in mine
        )
    )
    assert world.upgrade(to=" ".join(world.command)) == (True, "")
    asker.ask(key=1)
    assert asker.answer()[1] == b"200"
    until(lambda: len(records(folder)) == 2)
    os.kill(world.pids[-1], 15)
    runs = until(
        lambda: (found := records(folder))
        and all(any(isinstance(record, record_types.Stop) for record in mine) for mine in found.values())
        and found
    )
    first, second = (runs[name] for name in sorted(runs))
    assert [record.phase for record in first if isinstance(record, record_types.Upgrade)][-1] == "gone"
    assert first[-1].reason == "upgrade" and second[0].reason == "upgrade" and second[-1].reason == "stop"
    assert [record.number for record in first] == list(range(1, len(first) + 1))
    done = sum(
        vhost.done
        for mine in (first, second)
        for record in mine
        if isinstance(record, record_types.SummaryRecord)
        for vhost in record.vhosts.values()
    )
    assert done == 6
    purge = next(record for record in first if isinstance(record, record_types.Purge))
    assert (purge.event, purge.key) == (2, f"{9:016x}")
    told = (tmp_path / "out.prom").read_text()
    assert 'lilacloft_reqs_total{gateway="n0",outcome="done",vhost="clip"}' in told


def test_a_gateway_can_be_followed_and_a_stalled_reader_does_not_delay_it(world, tmp_path, capsys):
    world = world('(folder "rec") (connect "tap.sock")')
    path = str(tmp_path / "tap.sock")
    until(lambda: os.path.exists(path))
    assert os.stat(path).st_mode & 0o777 == 0o600
    stalled = socket.socket(socket.AF_UNIX)
    stalled.connect(path)
    asker = world.asker()
    for key in range(5):
        asker.ask(key=key)
        assert asker.answer()[1] == b"200"
    time.sleep(1.1)
    assert main(["watch", "--connect", path, "--once"]) == 0
    told = capsys.readouterr().out
    assert "1 gateways" in told and "n0" in told and "s-00000001" in told
    assert main(["watch", "--connect", str(tmp_path / "none"), "--once"]) == 0
    assert "no records yet" in capsys.readouterr().out
    assert main(["watch"]) == 2
    stalled.close()


def test_a_reader_that_does_not_keep_up_is_disconnected(tmp_path):
    stream = LiveStream(str(tmp_path / "tap"), b"head\n")
    reader = socket.socket(socket.AF_UNIX)
    reader.connect(stream.path)
    until(lambda: stream.readers)
    for _ in range(600):
        stream.publish([b"x" * 9999 + b"\n"])
    assert not stream.readers
    reader.settimeout(5)
    got = b""
    while data := reader.recv(1 << 20):
        got += data
    assert got.startswith(b"head\n") and len(got) > 9999


def test_with_an_unwritable_directory_records_are_lost_but_no_requests(world, tmp_path):
    (tmp_path / "rec").write_text("a file where a folder should be")
    world = world('(folder "rec")')
    asker = world.asker()
    for key in range(5):
        asker.ask(key=key)
        assert asker.answer()[1] == b"200"
    world.told("records: cannot be written")
    (tmp_path / "rec").unlink()
    world.told("records: written again")
    asker.ask(key=9)
    assert asker.answer()[1] == b"200"
    until((tmp_path / "rec").is_dir)
    lost = until(
        lambda: [
            record
            for mine in records(tmp_path / "rec").values()
            for record in mine
            if isinstance(record, record_types.DroppedRecords)
        ]
    )
    assert lost[0].count >= 2 and "xist" in lost[0].reason


def test_without_settings_nothing_is_written(tmp_path):
    world = UpgradableWorld(tmp_path, (serves(),))
    try:
        asker = world.asker()
        asker.ask()
        assert asker.answer()[1] == b"200"
        assert not list(Path(tmp_path).rglob("*.jsonl"))
    finally:
        world.close()


def test_the_encoding_is_one_json_object_a_line():
    record = record_types.HealthChange(number=3, unix_time=5, monotonic_time=7, backend='a"\n', change="back")
    data = record_types.encode(record)
    assert b"\n" not in data and json.loads(data)["be"] == 'a"\n' and record_types.decode(data) == record


def test_a_gateway_records_each_plan_that_takes_effect_and_the_loss_of_it():
    """One record when another plan takes effect and one when none does, rather than one each quarter of a
    second."""
    from types import SimpleNamespace

    from lilacloft.control.follower import PlanEffect
    from lilacloft.control.gateway_agent import GatewayAgent
    from lilacloft.control.leader_lease import PlanId
    from lilacloft.record.recorder import Recorder

    recorded = []
    recorder = SimpleNamespace(note=recorded.append)
    recorder.plan_changed = lambda effect: Recorder.plan_changed(recorder, effect)
    first = PlanEffect(
        PlanId(1, 4, "p1"), ejections={"b": 0, "a": 9}, concurrency_limits={"a": 2.0}, fill_limit=3.25
    )
    effects = iter([first, first, PlanEffect(PlanId(1, 5, "p1")), PlanEffect(), PlanEffect()])
    agent = GatewayAgent.__new__(GatewayAgent)
    agent.gateway = SimpleNamespace(recorder=recorder, time=0, monotonic_time=0)
    agent.observer = SimpleNamespace(apply=lambda time, steady: next(effects))
    agent.plan_id, agent.slices_in_use = PlanId(), {}
    agent.follower = SimpleNamespace(local_failover=None)
    for _ in range(5):
        agent._apply()
    plans = [(one.planner, one.epoch, one.plan_number) for one in recorded]
    assert plans == [("p1", 1, 4), ("p1", 1, 5), ("", 0, 0)]
    assert (
        recorded[0].ejected_backends == ["a", "b"]
        and recorded[0].limit_count == 1
        and recorded[0].link_limit == 3.25
    )
    assert all(isinstance(one, record_types.PlanChange) for one in recorded)
    again = record_types.decode(record_types.encode(recorded[0]))
    assert again == recorded[0]


def test_each_change_of_a_locations_failover_is_recorded_once():
    from types import SimpleNamespace

    from lilacloft.control.gateway_agent import GatewayAgent
    from lilacloft.control.leader_lease import PlanId
    from lilacloft.failover.failover_state import FailoverDirective
    from lilacloft.record.recorder import Recorder

    recorded = []
    recorder = SimpleNamespace(note=recorded.append)
    recorder.location_changed = lambda *told: Recorder.location_changed(recorder, *told)
    statuses = iter([{1: (0, 0)}, {1: (0, 0)}, {1: (4, 1)}, {}, {}])
    agent = GatewayAgent.__new__(GatewayAgent)
    agent.gateway = SimpleNamespace(recorder=recorder, settings={"zones": ["here", "there"]})
    agent.follower = SimpleNamespace(
        local_failover=SimpleNamespace(statuses=lambda: next(statuses)),
        plan=SimpleNamespace(locations={1: FailoverDirective(0, reason="its caches fail")}),
    )
    agent.slices_in_use = {}
    for planner in ("p1", "p1", "", "p1", "p1"):
        agent.plan_id = PlanId(1, 1, planner)
        agent._log_location_changes()
    assert [
        (one.zone, one.returned_slices, one.failed_returns, one.reason, one.without_plan) for one in recorded
    ] == [
        ("there", 0, 0, "its caches fail", False),
        ("there", 4, 1, "", True),
        ("there", 64, 0, "its caches fail", False),
    ]
    assert record_types.decode(record_types.encode(recorded[1])) == recorded[1]
