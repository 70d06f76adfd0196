"""Transient failures of system calls, as documented for Linux: no request is lost or sent twice because of
them, and no cache is ejected. Real sockets, with forced failures."""

import errno
import socket
import time
from types import SimpleNamespace

import pytest

from lilacloft import serving
from lilacloft.errors import UnusableError
from lilacloft.gateway.lifecycle import Phase
from lilacloft.net import downstream
from lilacloft.net.resp import encode
from lilacloft.routing.model import RejectReason
from rigs.failing import PATH_ERRORS, Failures, inject_failures
from rigs.inprocess import cancel_all, until
from rigs.stands import serves, silent


@pytest.fixture
def failing():
    """Makes system calls of the gateways in this process fail as a test specifies."""
    with inject_failures(Failures()) as failures:
        yield failures


def test_a_transient_read_failure_loses_no_request(in_process, failing):
    world = in_process(silent)
    asker = world.asker()
    asker.send(b"ALIVE", b"99", b"")
    assert asker.answer() == [b"99", b"serving"]  # its reader is in the next read already
    failing.next("recv", errno.ENOMEM, errno.ENOMEM)
    tag = asker.ask()
    _, sock, items = world.caches[0].next()
    until(lambda: not failing.due["recv"])
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"ok"))
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    world.wait_until_idle()


def test_a_transient_write_failure_loses_no_answer(in_process, failing):
    world = in_process(silent)
    asker = world.asker()
    tag = asker.ask()
    world.caches[0].next()
    failing.next("send", errno.ENOBUFS, errno.ENOMEM, errno.ENOBUFS)
    world.run_on_owner(
        lambda: world.owner.router.reject(next(iter(world.owner.open_requests)), RejectReason.ENDING)
    )
    assert asker.answer()[:2] == [tag, b"503"]
    until(lambda: not failing.due["send"])
    world.wait_until_idle()


def test_after_a_broken_network_path_the_next_attempt_waits_until_the_cache_must_know(in_process, failing):
    """The gateway closes that connection: attempts in flight on it may run until the cache has read the
    close."""
    slack = 0.3

    def changes(settings):
        settings["obligations"]["answerSlackNs"] = slack * 1e9

    for error in PATH_ERRORS:
        world = in_process(silent, changes=changes)
        world.owner.upstream.connections_per_pool = lambda: 1
        asker = world.asker()
        asker.ask(key=1, allow=3000)
        _, sock, items = world.caches[0].next()
        asker.ask(key=2, allow=3000)
        _, _, second = world.caches[0].next()
        failing.next("recv", error)
        broken_at = time.monotonic()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"ok"))
        at, _, again = world.caches[0].next()
        assert again[1] == second[1]
        assert at >= broken_at + slack - 0.01
        cancel_all(asker)
        world.wait_until_idle()


def test_a_transient_poll_failure_ends_no_request(in_process, failing):
    """The router checks whether a client may have disconnected, in the event loop's thread."""
    world = in_process(serves(b"ok"))
    asker = world.asker()
    for key in range(5):
        failing.next("poll", errno.ENOMEM)
        tag = asker.ask(key=key)
        assert asker.answer()[:2] in ([tag, b"200"], [tag, b"503"])
    assert world.owner.answer_counts["faults"] == 0
    world.wait_until_idle()


def test_a_shutdown_completes_despite_failing_polls(in_process, failing):
    world = in_process(serves(b"ok"))
    asker = world.asker()
    world.owner.post(world.owner.stop)
    until(lambda: world.owner.lifecycle.shutdown_started)
    failing.rates["poll"] = 0.5
    tag = asker.ask()
    assert asker.answer()[:2] in ([tag, b"200"], [tag, b"503"])
    asker.sock.close()
    world.thread.join(5)
    assert not world.thread.is_alive()
    assert failing.seen["poll"] > 0
    assert world.owner.lifecycle.phase in (Phase.CLOSING, Phase.ENDED)  # it ended in an orderly way
    assert not any(world.owner.open_resources().values())


def test_a_client_that_aborts_before_the_accept_closes_no_other(in_process, failing):
    """ECONNABORTED concerns one client; idle clients were closed for it, as if descriptors were short."""
    world = in_process(serves(b"ok"))
    idle = world.asker()
    idle.send(b"ALIVE", b"99", b"")
    assert idle.answer() == [b"99", b"serving"]
    failing.next("accept", errno.ECONNABORTED, errno.EPROTO, errno.ENFILE, errno.ENOBUFS)
    world.asker().sock.close()  # makes the accepting thread return from its current call
    until(lambda: not failing.due["accept"])
    newcomer = world.asker()
    for asker, key in ((newcomer, 1), (idle, 2)):
        tag = asker.ask(key=key)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert world.owner.downstream.counts["closed_idle"] == 0


@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENOBUFS], ids=errno.errorcode.get)
@pytest.mark.parametrize("times", [1, 1000])
def test_a_connect_that_fails_locally_ejects_no_cache(in_process, failing, error, times):
    world = in_process(serves(b"ok"))
    asker = world.asker()
    failing.next("connect", *[error] * times)
    tag = asker.ask()
    word = asker.answer()[:2]
    failing.due["connect"].clear()
    assert word == [tag, b"200" if times == 1 else b"503"]
    (backend,) = world.run_on_owner(lambda: world.owner.router.pools.caches)
    assert not backend.ejected
    assert backend.consecutive_failures == 0
    tag = asker.ask(key=2)
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    world.wait_until_idle()


def test_an_answer_is_written_later_if_no_writing_thread_can_be_started(in_process, failing):
    """The socket is full, and the process cannot start a thread for a moment."""
    body = b"x" * 200_000
    world = in_process(serves(body))
    asker = world.asker()
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    asker.send(b"ALIVE", b"99", b"")
    assert asker.answer() == [b"99", b"serving"]
    (client,) = world.owner.downstream.clients
    asker.ask(key=1)
    world.caches[0].next()
    failing.next("thread that writes", *[errno.EAGAIN] * 2)
    tags = [b"1"] + [asker.ask(key=key) for key in range(2, 9)]
    until(lambda: client.unsent_bytes() and not failing.due["thread that writes"])
    answers = [asker.answer() for _ in tags]
    assert sorted(answer[0] for answer in answers) == sorted(tags)
    assert all(answer[1] == b"200" and answer[3] == body for answer in answers)
    world.wait_until_idle()


def test_an_answer_is_not_late_if_the_first_thread_start_fails(in_process, failing):
    """The next maintenance round is up to half a second later, past some clients' deadlines."""
    world = in_process(silent)
    asker = world.asker()
    tag = asker.ask(allow=150)
    _, sock, items = world.caches[0].next()
    failing.next("send", *[errno.ENOBUFS] * 4)
    failing.next("thread that writes", errno.EAGAIN, errno.EAGAIN)
    started_at = time.monotonic()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"ok"))
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert time.monotonic() - started_at < 0.08
    assert not failing.due["thread that writes"]
    world.wait_until_idle()


def test_a_client_is_read_later_if_no_reading_thread_can_be_started(in_process, failing):
    world = in_process(serves(b"ok"))
    failing.next("thread", *[errno.EAGAIN] * 5)
    asker = world.asker()
    tag = asker.ask()
    answer = asker.answer()
    assert not failing.due["thread"]
    assert answer == [tag, b"200", b"", b"ok"]
    world.wait_until_idle()


def test_descriptors_count_as_released_if_their_close_fails(in_process, failing):
    world = in_process(serves(b"ok"))
    failing.next("close", errno.EIO, errno.EINTR)
    for _ in range(2):
        asker = world.asker()
        tag = asker.ask()
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        asker.sock.close()
    until(lambda: not world.owner.downstream.unclosed)
    assert not failing.due["close"]
    world.wait_until_idle(but=("checks",))


def test_a_configuration_is_read_despite_transient_open_failures(tmp_path, monkeypatch):
    path, errors = tmp_path / "config.json", [errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EINTR]
    path.write_text('{"name": "n0"}')

    def fail(*arguments, **keywords):
        if errors:
            raise OSError(errors.pop(), "open fails on purpose")
        return open(*arguments, **keywords)

    monkeypatch.setattr(serving, "open", fail, raising=False)
    assert serving.read_config(str(path)) == {"name": "n0"}
    assert not errors
    with pytest.raises(UnusableError, match="cannot be read"):
        serving.read_config(str(tmp_path / "none.json"))  # a permanent error is reported at once


def test_the_listening_socket_is_created_despite_transient_failures(in_process, monkeypatch):
    make_socket, errors = socket.socket, [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]

    def fail(*arguments, **keywords):
        if errors:
            raise OSError(errors.pop(), "socket fails on purpose")
        return make_socket(*arguments, **keywords)

    monkeypatch.setattr(downstream, "socket", SimpleNamespace(**{**vars(socket), "socket": fail}))
    world = in_process(serves(b"ok"))
    asker = world.asker()
    tag = asker.ask()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert not errors
