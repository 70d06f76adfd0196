"""Large elements of messages: read where admitted, dropped where not, and continued by another process."""

import random

import pytest

from lilacloft.net.resp import (
    BUFFER_SIZE,
    CLIENT_MESSAGE_SIZES,
    IDLE_CLIENT_BUFFER,
    INVALID_VERB,
    MAX_WRITE_SIZE,
    GarbledError,
    MessageBuffer,
    encode,
)


def client_buffer():
    return MessageBuffer(CLIENT_MESSAGE_SIZES, IDLE_CLIENT_BUFFER, admits_all=False)


def message(tag, size):
    return [b"EXEC", b"%d" % tag, b"pay", b"ref=1", random.Random(tag).randbytes(size)]


def feed(buffer, data, decide):
    """Add bytes as a reader does; return the messages that are complete by that, each with whether it is not
    whole."""
    found = []
    while True:
        view = buffer.writable()
        count = min(len(view), len(data))
        view[:count] = data[:count]
        view.release()
        buffer.received(count)
        data = data[count:]
        while True:
            while (items := buffer.next_message()) is not None:
                found.append((items, buffer.is_incomplete))
            if not buffer.wanted:
                break
            decide(buffer)
        if not data:
            return found


@pytest.mark.parametrize("seed", range(40))
def test_a_large_element_is_lost_or_spoilt_by_how_its_bytes_come(seed):
    """Guards the parser: any split, any decision, and a new process at any point."""
    rng, buffer, found = random.Random(seed), client_buffer(), []
    sizes = [rng.choice([0, 1, 500, 2047, 2048, 2049, 4096, 20_000, MAX_WRITE_SIZE]) for _ in range(12)]
    stream = b"".join(encode(*message(tag, size)) for tag, size in enumerate(sizes, 1))
    admitted = {}

    def decide(one):
        tag = int(one.elements[1])
        admitted[tag] = rng.random() < 0.6
        one.admit() if admitted[tag] else one.discard()

    while stream:
        count = min(len(stream), rng.choice([1, 3, 50, 479, 480, 4096, 30_000]))
        found += feed(buffer, stream[:count], decide)
        stream = stream[count:]
        assert buffer.has_partial() == (buffer.unread_size() > 0)
        if rng.random() < 0.2:
            successor, partial = client_buffer(), buffer.unread()
            successor.append(partial)
            found += feed(successor, b"", decide)
            buffer = successor
    assert len(found) == len(sizes)
    for (items, is_incomplete), (tag, size) in zip(found, enumerate(sizes, 1), strict=True):
        assert items[1] == b"%d" % tag
        if items[0] == INVALID_VERB:
            assert size > 2048, "it was being dropped when another process went on"
        elif is_incomplete:
            assert items[4] == b"" and size > 2048
        else:
            assert items == message(tag, size)


def test_a_dropped_element_takes_up_memory():
    buffer, dropped = client_buffer(), encode(*message(1, MAX_WRITE_SIZE))
    for begin in range(0, len(dropped) - 1, 1000):
        assert feed(buffer, dropped[begin : begin + 1000], MessageBuffer.discard) in (
            [],
            [([b"EXEC", b"1", b"pay", b"ref=1", b""], True)],
        )
        assert len(buffer.data) <= BUFFER_SIZE and not buffer.large_data
    assert len(buffer.unread()) < 100


def test_an_element_longer_than_it_says_is_taken():
    data = encode(*message(1, 5_000))[:-2] + b"xy"
    with pytest.raises(GarbledError):
        feed(client_buffer(), data, MessageBuffer.admit)
