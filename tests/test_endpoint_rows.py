"""The endpoint list used at a start after a crash, compared with a replay of all events."""

import random

import pytest

from lilacloft.store.endpoint_rows import FULL_LIST_KEY, STATUS_INDEX, EndpointRows


def row(name, status, variant=0):
    return (name, ("127.0.0.1", 9), 0, 0, variant, status, 1.0, 0)


def replayed(events, last):
    """Return the rows by backend name after the event numbered `last`."""
    current = {}
    for number, (mode, rows) in enumerate(events, 1):
        if number > last:
            break
        if mode == "full":
            current = {}
        for endpoint in rows:
            current[endpoint[0]] = endpoint
    return {name: endpoint for name, endpoint in current.items() if endpoint[STATUS_INDEX]}


def random_events(random_source, count):
    events = [("full", [row(f"s{name}", 1) for name in range(4)])]
    for variant in range(count):
        names = random_source.sample(range(6), random_source.randrange(1, 4))
        events.append(
            (
                "full" if random_source.random() < 0.15 else "delta",
                [row(f"s{name}", random_source.choice([0, 1, 2]), variant) for name in names],
            )
        )
    return events


class FakeStore:
    """The records of a store, as of any event."""

    def __init__(self):
        self.writes = []

    def add(self, number, changes):
        self.writes.append((number, changes))

    def at(self, number):
        records = {}
        for event_number, changes in self.writes:
            if event_number <= number:
                for key, stored in changes.items():
                    records.pop(key, None)
                    if stored is not None:
                        records[key] = stored
        return records


@pytest.mark.parametrize("seed", range(200))
def test_any_configuration_from_the_first_complete_event_on_starts_with_the_durable_list(seed):
    random_source = random.Random(seed)
    log_events = random_events(random_source, 14)
    base = random_source.randrange(1, 8)
    endpoint_rows, store = EndpointRows(complete_from=base), FakeStore()
    for number in range(base + 1, len(log_events) + 1):
        mode, rows = log_events[number - 1]
        store.add(number, endpoint_rows.apply(mode, rows, number))
    for last in range(base, len(log_events) + 1):
        for configured in range(1, len(log_events) + 1):
            restored = EndpointRows()
            restored.restore(store.at(last), base)
            events_to_apply, read_after = restored.starting_point(configured, last)
            current = replayed(log_events, configured)  # as in the configuration
            for mode, rows in events_to_apply:
                current = {} if mode == "full" else current
                current.update((endpoint[0], endpoint) for endpoint in rows)
                current = {name: endpoint for name, endpoint in current.items() if endpoint[STATUS_INDEX]}
            if configured < base:
                assert (
                    not events_to_apply and read_after == configured and restored.complete_from == configured
                )
            else:
                assert current == replayed(log_events, max(configured, last)) and read_after == last


def test_without_a_durable_event_the_change_log_is_read_from_its_first_event_on():
    """Purges that are not in the configuration may have been received without ever becoming durable."""
    endpoint_rows = EndpointRows()
    assert endpoint_rows.starting_point(7, 0) == ([], 0) and endpoint_rows.complete_from == 7


def test_there_is_at_most_one_stored_row_per_backend():
    endpoint_rows = EndpointRows(complete_from=1)
    for number in range(2, 200):
        changes = endpoint_rows.apply("delta", [row("a", number % 3)], number)
        assert list(changes) == [b"a"]
    assert len(endpoint_rows.rows) == 1
    changes = endpoint_rows.apply("full", [row("b", 1)], 200)
    assert changes == {FULL_LIST_KEY: (200, ()), b"a": None, b"b": (200, row("b", 1))}
    assert list(endpoint_rows.rows) == ["b"]
    next_changes = endpoint_rows.apply("full", [row("b", 2)], 201)
    assert list(next_changes) == [FULL_LIST_KEY, b"b"] and next_changes[b"b"] == (201, row("b", 2))
