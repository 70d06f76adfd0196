"""The endpoint list in use after a start, compared with a replay of all events.

Stored rows may be of this life of the gateway, after a crash, or of an earlier one, whose events had numbers
of their own. A start does not know which, so each property is checked for both.
"""

import random

import pytest

from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.host import ListMode
from lilacloft.routing.list_reconciliation import ListReconciliation
from lilacloft.store.endpoint_rows import FULL_LIST_KEY, EndpointRows

NAMES = [f"s{number}" for number in range(6)]


def row(name, status, cell=0, port=None, started=0, capacity=1.0):
    port = port or 9 + int(name[1:])
    return EndpointEntry(name, ("127.0.0.1", port), 0, 0, cell, status, capacity, started)


def apply(current, mode, rows):
    """Apply an event to a list by name, as a gateway does; an address belongs to one backend."""
    if mode != ListMode.DELTA:
        current.clear()
    for entry in rows:
        if entry.status:
            for other in [other for other in current.values() if other.address == entry.address]:
                del current[other.name]
        current.pop(entry.name, None)
        if entry.status:
            current[entry.name] = entry


def replayed(events, last):
    """Return the rows by backend name after the event numbered `last`."""
    current = {}
    for mode, rows in events[:last]:
        apply(current, mode, rows)
    return current


def ready(rows):
    """Return the identities of the backends of a list that may be used."""
    return {entry.identity() for entry in rows.values() if entry.status == 1}


def random_events(chance, count):
    """Return events, the first of which is a full list."""
    events = [("full", [row(name, 1) for name in NAMES[:4]])]
    for number in range(2, count + 1):
        rows, ports = [], set()
        for name in chance.sample(NAMES, chance.randrange(1, 4)):
            cell, port = int(chance.random() < 0.1), 9 + int(name[1:])
            if chance.random() < 0.1:  # at the address of another one
                port = 9 + chance.randrange(len(NAMES))
            if port not in ports:  # an event does not list two backends at one address
                rows.append(row(name, chance.choice([0, 1, 1, 2]), cell, port, started=number))
            ports.add(port)
        events.append(("full" if chance.random() < 0.15 else "delta", rows))
    return events


class FakeStore:
    """The records of a store, as of any write."""

    def __init__(self, records=()):
        self.records = dict(records)

    def write(self, changes):
        for key, stored in changes.items():
            self.records.pop(key, None)
            if stored is not None:
                self.records[key] = stored


class Process:
    """A gateway's use of the list: its configuration, what is stored, and the events that it reads."""

    def __init__(self, store, events, configured, last):
        """`events`: those of the change log of this life; `last`: the number of the last durable event."""
        self.store, self.events, self.configured = store, events, configured
        self.rows, self.reconciliation, self.used = EndpointRows(), ListReconciliation(), {}
        self.rows.restore(store.records, 0)
        known = list(replayed(events, configured).values())
        apply(self.used, "full", self.reconciliation.report("full", known).used)
        stored = self.rows.begin(configured, last)
        self.read_after = stored.read_after
        if not self.rows.is_confirmed:
            apply(self.used, "delta", self.reconciliation.begin(stored.entries, stored.is_complete))

    def read(self, last):
        """Read the events up to `last`, and yield after each."""
        for number in range(self.read_after + 1, last + 1):
            mode, rows = self.events[number - 1]
            if number > self.configured:
                change = self.reconciliation.report(mode, rows)
                apply(self.used, mode, change.used)
                rows = [*change.replaced, *rows]
            self.store.write(self.rows.apply(mode, rows, number))
            yield number

    def read_to_end(self):
        """Read all events and the log's heartbeat behind them."""
        for _ in self.read(len(self.events)):
            pass
        if not self.rows.is_confirmed:
            apply(self.used, "delta", self.reconciliation.confirm())
            self.store.write(self.rows.confirm(self.reconciliation.reported, len(self.events)))


def lives(seed):
    """Yield, for many starts, a store as an earlier process left it, the number of its last event, the
    events of that life and of the one that begins, and the event of the configuration."""
    chance = random.Random(seed)
    for count in (3, 8, 14):
        earlier = random_events(chance, 8)
        base, store = chance.randrange(1, 8), FakeStore()
        process = Process(store, earlier, base, base)
        last = chance.randrange(base, len(earlier) + 1)
        for _ in process.read(last):
            pass
        for events in (earlier, random_events(chance, count)):
            for configured in range(1, len(events) + 1):
                if events is not earlier or configured >= base:  # the earlier process stored no rows before
                    yield FakeStore(store.records), last, earlier, events, configured


@pytest.mark.parametrize("seed", range(60))
def test_a_backend_is_used_only_as_both_the_configuration_and_the_store_allow(seed):
    """Guards against a stored drain that does not hold, and against stored rows that override a newer list:
    which of the two lists is the newer one is not known."""
    for store, last, earlier, events, configured in lives(seed):
        process = Process(store, events, configured, last)
        known = replayed(events, configured)
        assert ready(process.used) <= ready(known)
        if events is earlier:
            assert ready(process.used) <= ready(replayed(earlier, max(configured, last)))
        assert process.read_after <= configured


@pytest.mark.parametrize("seed", range(60))
def test_while_the_log_is_read_a_stored_drain_holds_and_at_its_end_nothing_but_the_log_counts(seed):
    """Guards against an older list that is in effect while events are read again, and against events of a
    new life that are passed over because the numbers of the earlier one were higher."""
    for store, last, earlier, events, configured in lives(seed):
        process = Process(store, events, configured, last)
        durable = ready(replayed(earlier, last))
        for number in process.read(len(events)):
            if number > configured:
                assert ready(process.used) <= ready(replayed(events, number))
            if events is earlier and number < last:
                assert ready(process.used) <= durable or configured >= last
        process.read_after = len(events)
        process.read_to_end()
        assert process.used.keys() == replayed(events, len(events)).keys()
        assert ready(process.used) == ready(replayed(events, len(events)))


@pytest.mark.parametrize("seed", range(60))
def test_a_process_that_dies_while_it_reads_events_again_loses_no_stored_drain(seed):
    """Guards against records that an older event replaces: after another crash they are all there is."""
    for store, last, earlier, events, configured in lives(seed):
        if events is not earlier or configured >= last:
            continue
        process = Process(store, events, configured, last)
        for number in process.read(last):
            again = Process(FakeStore(store.records), events, configured, number)
            assert ready(again.used) <= ready(replayed(events, last))


@pytest.mark.parametrize("seed", range(60))
def test_once_the_log_was_read_the_store_is_of_this_life(seed):
    """Guards against rows of an earlier life that restrict every later start, and against a drain of this
    life that is forgotten among them."""
    for store, last, _, events, configured in lives(seed):
        Process(store, events, configured, last).read_to_end()
        again = Process(FakeStore(store.records), events, configured, len(events))
        end = replayed(events, len(events))
        assert ready(again.used) <= ready(end)
        missing = ready(replayed(events, configured)) & ready(end) - ready(again.used)
        assert all(name not in again.rows.rows for name, *_ in missing)


def test_a_start_with_nothing_durable_reads_the_change_log_from_its_first_event_on():
    """Purges that are not in the configuration may have been received without ever becoming durable."""
    rows = EndpointRows()
    assert rows.begin(7, 0) == ([], False, 0) and rows.is_confirmed and rows.complete_from == 7


@pytest.mark.parametrize("last", [3, 50])
def test_a_start_reads_no_later_than_its_configuration_whatever_the_stored_number(last):
    """Guards against events of a new life that are never asked for: its log may be longer than the earlier
    one, and shorter."""
    assert EndpointRows().begin(41, last).read_after == min(41, last)


def test_a_backend_starts_as_late_and_as_small_as_either_list_says():
    """Guards against a cold cache that an older row takes for a warm one."""
    reconciliation = ListReconciliation()
    reconciliation.report("full", [row("s1", 1, started=5, capacity=4.0), row("s2", 1)])
    stored = [row("s1", 1, started=9, capacity=2.0), row("s2", 1, started=3, capacity=9.0)]
    assert reconciliation.begin(stored, is_complete=False) == [
        row("s1", 1, started=9, capacity=2.0),
        row("s2", 1, started=3),
    ]


def test_there_is_at_most_one_stored_row_per_backend():
    endpoint_rows = EndpointRows(complete_from=1)
    for number in range(2, 200):
        changes = endpoint_rows.apply("delta", [row("s0", number % 3)], number)
        assert list(changes) == [b"s0"]
    assert len(endpoint_rows.rows) == 1
    changes = endpoint_rows.apply("full", [row("s1", 1)], 200)
    assert changes == {FULL_LIST_KEY: (200, ()), b"s0": None, b"s1": (200, row("s1", 1))}
    assert list(endpoint_rows.rows) == ["s1"]
    next_changes = endpoint_rows.apply("full", [row("s1", 2)], 201)
    assert list(next_changes) == [FULL_LIST_KEY, b"s1"] and next_changes[b"s1"] == (201, row("s1", 2))
