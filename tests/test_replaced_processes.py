"""New processes at the address of a cache that has gone, before and after the change log lists them."""

import contextlib
import socket
import struct
import time

import pytest

from lilacloft.net.resp import encode
from rigs.inprocess import next_dispatch, until
from rigs.stands import Stand, record, serves, silent

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"  # an idempotency key


def scope(name):
    """A function that sets which backends recognize an idempotency key."""
    return lambda settings: settings["classes"][1].update(dedupScope=name)


def replace(world, says):
    """End the process of the first cache, which resets its connections, and start another at its address. The
    other listens before the connections end: a connection that is refused is another case."""
    old = world.caches[0]
    old.sock.shutdown(socket.SHUT_RDWR)
    old.sock.close()
    new = Stand(says, port=old.port)
    for sock in list(old.socks):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RD)
        sock.close()
    world.caches.append(new)
    return new


@pytest.mark.parametrize("name, repeats", [("cell", 0), ("zone", 0), ("all", 1)])
def test_a_keyed_request_runs_twice_at_the_process_that_came_up_in_place_of_the_first(
    in_process, name, repeats
):
    """Guards against a repeat at an address whose new process does not know the key of the old one."""
    world = in_process(silent, changes=scope(name))
    client = world.asker()
    tag = client.ask(b"pay", body=b"x", replay=KEY)
    assert next_dispatch(world.caches[0]) is not None
    new = replace(world, serves())
    answer = client.answer()
    assert answer[:2] == [tag, b"200" if repeats else b"500"]
    assert sum(next_dispatch(new, 0.2) is not None for _ in range(2)) == repeats


def test_a_keyed_request_is_not_repeated_where_another_cache_of_its_cell_knows_the_key(in_process):
    """Guards against a process that may be new being asked before one that knows the key."""
    world = in_process(silent, serves(), changes=scope("cell"))
    client = world.asker()
    for key in range(1, 40):
        tag = client.ask(b"pay", key=key, body=b"x", replay=KEY)
        if next_dispatch(world.caches[0], 0.2) is not None:
            break
        assert client.answer()[1] == b"200"
    new = replace(world, serves())
    assert client.answer()[:2] == [tag, b"200"]
    assert next_dispatch(new, 0.2) is None and next_dispatch(world.caches[1]) is not None


def test_work_for_a_cache_goes_to_the_one_that_is_listed_at_its_address(in_process):
    """Guards against two listed caches at one address, of which the older has gone."""
    world = in_process(serves(b"old"), serves(b"other"))
    client = world.asker()
    new = replace(world, serves(b"new"))
    world.log.add(2, 2, record(9, new.port, kind=1, started=int(time.time() * 1000) - 60_000))
    until(lambda: "s-00000009" in world.owner.backends)
    world.run_on_owner(lambda: None)
    assert (
        world.run_on_owner(
            lambda: world.owner.backends["s-00000001"].status if "s-00000001" in world.owner.backends else 0
        )
        == 0
    )
    for key in range(1, 30):
        tag = client.ask(b"clip", key=key)
        assert client.answer()[:2] == [tag, b"200"]
    names = {
        connection.pool.backend.name
        for pool in world.owner.upstream.pools.values()
        for connection in pool.connections
    }
    assert "s-00000001" not in names


def test_a_dispatch_that_waits_for_a_connection_reaches_the_process_that_took_its_address(in_process, late):
    """Guards against work for a cache that has gone being sent to the new one at its address."""
    world = in_process(silent)
    client = world.asker()
    client.ask(b"clip", key=1)
    assert late.begun.acquire(timeout=5)
    port = world.caches[0].port
    world.log.add(2, 2, record(1, port, state=2) + record(9, port, kind=0))
    until(lambda: world.owner.discovery_watch.last == 2)
    world.run_on_owner(lambda: None)
    late.set()
    found = next_dispatch(world.caches[0])
    assert found is not None
    names = [
        connection.pool.backend.name
        for pool in world.owner.upstream.pools.values()
        for connection in pool.connections
        if connection.in_flight
    ]
    assert names == ["s-00000009"]
    assert next_dispatch(world.caches[0], 0.2) is None
    found[1].sendall(encode(found[2][1], b"data", b"remark=TCP_HIT", b"x"))
    assert client.answer()[1] == b"200"
