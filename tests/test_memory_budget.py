"""Guards against budgets whose sum exceeds the memory limit, and against quantities outside the budgets."""

import random
import socket
from pathlib import Path

import pytest

from lilacloft.net.client_connection import MAX_UNHANDLED_BYTES
from lilacloft.net.reader_slots import MAX_BUSY_READERS
from lilacloft.net.reply_backlog import AnswerLimits, ReplyBacklog
from lilacloft.net.request_trace import MAX_STEPS
from lilacloft.net.resource_limits import budgets
from lilacloft.net.resp import MAX_FIELDS, MAX_PART_SIZE, MAX_WRITE_SIZE
from lilacloft.net.write_backlog import MAX_PENDING_MESSAGES
from lilacloft.routing.heap_compaction import MIN_SIZE, HeapCompaction
from lilacloft.routing.memory_budget import PROCESS_SIZE, divide_memory
from lilacloft.routing.request_memory import memory_of_request
from rigs.inprocess import resets, until
from rigs.pressure import run_play
from rigs.stands import serves

MEGABYTE = 1_000_000
LIMITS = [24, 32, 48, 64, 80, 128, 192, 640]
DESCRIPTORS = [64, 256, 1024, 4096]


@pytest.mark.parametrize("memory_mb", LIMITS)
@pytest.mark.parametrize("sockets", DESCRIPTORS)
def test_what_is_divided_and_the_process_itself_exceed_the_limit(memory_mb, sockets):
    """Guards against shares of the whole limit: the process has its part of it before the first client."""
    shares = divide_memory(memory_mb * MEGABYTE, sockets // 2, sockets // 3)
    assert shares.total() < 0.95 * memory_mb * MEGABYTE
    assert shares.answers + shares.requests + PROCESS_SIZE < memory_mb * MEGABYTE


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 80, 192])
@pytest.mark.parametrize("sockets", [256, 512, 1024])
def test_sound_clients_are_turned_away_for_lack_of_memory(memory_mb, sockets):
    """Guards against budgets below what the protocol's clients may use: a third of the descriptors."""
    allowed = budgets({"sockets": sockets, "memory_mb": memory_mb}, sockets)
    assert allowed.clients > sockets // 3
    assert allowed.requests / 2 > memory_of_request(MAX_WRITE_SIZE)
    assert allowed.replies > 2 * MAX_PART_SIZE and allowed.unwritten > 2 * MAX_PART_SIZE


def test_a_process_is_larger_at_its_start_than_its_budgets_assume():
    """Guards the constant that the budgets leave for the process itself, beside usual clients."""
    assert run_play(["none"], 32).peak_mb * (1 << 20) < PROCESS_SIZE


def test_an_answer_is_read_before_there_is_memory_for_it():
    backlog, reports = ReplyBacklog(0), []
    backlog.on_shortage = lambda: reports.append("short")
    backlog.apply(AnswerLimits(total=1000, unsent=400, replies=800))
    assert backlog.reserve(500, 0) and not backlog.reserve(400, 0), "above the limit of replies"
    backlog.change_unsent(300)
    assert not backlog.reserve(250, 0), "above the limit of all"
    assert reports == ["short"], "reported once until it is relieved"
    backlog.relieved()
    backlog.change_unsent(200)
    assert reports == ["short"] * 2, "clients leave too much unread"
    backlog.release(500)
    assert not backlog.reserve(10, 0)
    backlog.change_unsent(-200)
    assert backlog.reserve(5000, 0), "one answer at a time always has room"
    backlog.release(5000)
    assert (backlog.size, backlog.unsent) == (0, 300)


@pytest.mark.parametrize("seed", range(20))
def test_finished_entries_of_a_heap_outnumber_the_others(seed):
    """Guards against timers of answered requests that hold them until their deadlines."""
    rng, heap, compaction, live = random.Random(seed), [], HeapCompaction(), {}
    for number in range(5_000):
        compaction.apply(heap, lambda entry: entry not in live)
        entry = (rng.random(), number)
        heap.append(entry)
        live[entry] = None
        if len(live) > 100:
            del live[rng.choice(list(live))]
        assert len(heap) <= max(MIN_SIZE, 2 * 101)
        assert live.keys() <= set(heap)


def test_answers_of_clients_that_reset_stay_in_the_account_or_leave_it_twice(in_process):
    """Guards against an account that drifts where a write fails in the middle of a backlog."""
    body = bytes(MAX_PART_SIZE)
    world = in_process(serves(body))
    askers = [world.asker() for _ in range(8)]
    for asker in askers:
        asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for key in range(1, 8):
            asker.ask(key=key)
    until(lambda: world.owner.upstream.reply_backlog.unsent > len(body))
    for asker in askers:
        resets(asker)
    world.wait_until_idle()
    backlog = world.owner.upstream.reply_backlog
    assert (backlog.size, backlog.unsent) == (0, 0)


@pytest.mark.parametrize("column, memory_mb, sockets", [(3, 32, 1024), (4, 32, 256), (5, 192, 1024)])
def test_a_quantity_has_no_row_in_the_table_of_bounds(column, memory_mb, sockets):
    """Guards against a budget that the page does not name, or names with another number."""
    text = (Path(__file__).parent.parent / "docs" / "gateway.md").read_text()
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")] for line in text.splitlines() if "`" in line
    ]
    stated = {row[2].strip("`"): row[column] for row in rows if len(row) == 8}
    for name, bound in budgets({"sockets": sockets, "memory_mb": memory_mb}, sockets)._asdict().items():
        assert stated[name] == str(bound), name
    assert stated["MAX_UNHANDLED_BYTES"] == str(MAX_UNHANDLED_BYTES // memory_of_request(0))
    assert stated["MAX_BUSY_READERS"] == str(MAX_BUSY_READERS)
    assert stated["MAX_FIELDS"] == str(MAX_FIELDS)
    assert stated["MAX_PENDING_MESSAGES"] == str(MAX_PENDING_MESSAGES)
    assert stated["MAX_STEPS"] == str(MAX_STEPS)
