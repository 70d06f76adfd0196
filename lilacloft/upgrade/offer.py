"""The old process: offers a handover on a Unix socket, starts the new process, and hands everything over.

Carries out what `phases.Leaving` decides. Up to `ready` a thread of its own drives it beside the serving;
from there on the owner's thread does. It must never let a stranger ask, never hold serving up without a
limit, and never give up the channel to a new process that still runs.
"""

from __future__ import annotations

import contextlib
import os
import queue
import shlex
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from lilacloft import __version__
from lilacloft.routing.model import RejectReason
from lilacloft.upgrade import carry, form, phases
from lilacloft.upgrade.channel import BrokenError, Channel
from lilacloft.upgrade.form import FormError, Kind
from lilacloft.upgrade.rest import SLICE, Rest
from lilacloft.upgrade.words import command

ASKERS = 4  # connections to the socket at once; more are closed
SAYS = 2.0  # seconds in which one that has connected says what it wants
LOOK = 0.02  # seconds between two looks at what has become free


class RefusedError(Exception):
    """An upgrade that is not begun; the text says why."""


def held(supervised: bool = False) -> dict[str, float]:
    """What this process has of what is limited; of memory also what its supervisor has."""
    pages = 0
    for pid in (os.getpid(), *((os.getppid(),) if supervised else ())):
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages += int(file.read().split()[1])
    return {"memory_mb": pages * os.sysconf("SC_PAGESIZE") / 1e6, "sockets": len(os.listdir("/proc/self/fd"))}


def listen(path: str) -> socket.socket:
    """The socket on which an upgrade is asked for; a stale one is replaced, one in use is not."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        try:
            probe.connect(path)
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
        else:
            raise OSError(98, "another gateway offers a handover there")
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    mask = os.umask(0o177)  # never open to others, not for a moment
    try:
        sock.bind(path)
    finally:
        os.umask(mask)
    sock.listen(ASKERS)
    return sock


class Offer:
    """One gateway's readiness to be replaced; the Ways of its phases."""

    def __init__(
        self,
        owner: Any,
        sock: socket.socket,
        limits: Mapping[str, float] | None = None,
        status: int = -1,
        mode: str = phases.WHOLE,
    ) -> None:
        self.owner, self.sock, self.status, self.mode = owner, sock, status, mode
        self.leaving = phases.Leaving(self, limits)
        self.lock = threading.RLock()  # the thread that drives, and the owner's when it is told to stop
        self.askers = threading.BoundedSemaphore(ASKERS)
        self.to: list[str] = []
        self.process: subprocess.Popen[bytes] | None = None
        self.channel: Channel | None = None
        self.control: Channel | None = None
        self.rest = Rest(owner)
        self.conns: list[Any] = []
        self.serves = self.reloaded = False
        self.failed = ""
        self.counted: dict[str, dict[str, int]] = {}
        owner.upgrade = self

    def open(self) -> None:
        """Take upgrades from now on: this process is the gateway."""
        self._status()
        threading.Thread(target=self._accept, daemon=True).start()

    # --- who asks ---

    def _accept(self) -> None:
        self.sock.settimeout(1.0)
        while True:
            try:
                sock, _ = self.sock.accept()
                if not self.askers.acquire(blocking=False):
                    sock.close()
                    continue
                threading.Thread(target=self._asked, args=(Channel(sock),), daemon=True).start()
            except TimeoutError:
                continue
            except (OSError, RuntimeError) as wrong:
                logger.error("handover: {}", wrong)
                time.sleep(SAYS)

    def _asked(self, control: Channel) -> None:
        """One that has connected; whatever it is, the gateway goes on."""
        pid = 0
        try:
            pid, uid = control.peer()
            if uid not in (0, os.getuid()):
                raise RefusedError(f"user {uid} may not ask for an upgrade")
            _, payload = control.receive(SAYS, (Kind.ASK,))
            ask = form.read(payload, form.Ask)
            self._upgrade(ask, control)
        except (FormError, BrokenError, OSError) as wrong:
            logger.warning("handover: process {} is let go: {}", pid, wrong)
        except RefusedError as wrong:
            logger.warning("handover: process {} is refused: {}", pid, wrong)
            with contextlib.suppress(BrokenError):
                control.send(Kind.PHASE, form.Phase("refused", str(wrong), done=True))
        except Exception:
            logger.exception("handover failed")
            self.on_owner(self._lost, "a fault of ours")
        finally:
            control.close()
            self.askers.release()

    def _upgrade(self, ask: form.Ask, control: Channel) -> None:
        with self.lock:
            busy = self.leaving.phase != phases.IDLE
            if not busy:
                self.control, self.serves, self.reloaded = control, False, False
                try:
                    self.to = shlex.split(ask.to) if ask.to else command(sys.orig_argv)
                except ValueError as wrong:
                    raise RefusedError(f"--to {ask.to!r}: {wrong}") from None
            why = self.leaving.asked(ask.mode or self.mode, held(self.status >= 0), self.owner.limits)
        if why:
            raise RefusedError(why)
        try:
            if self.failed:
                raise BrokenError(self.failed)
            self._drive()
        except (FormError, BrokenError, OSError) as wrong:
            self.on_owner(self._lost, self._why(wrong))
        finally:
            if self.leaving.phase == phases.IDLE:
                self.channel.close()

    def _why(self, wrong: Exception) -> str:
        """What is known of why the new process is lost."""
        if self.process is not None and "ended" in str(wrong):
            with contextlib.suppress(subprocess.TimeoutExpired):
                return f"the new process ended with code {self.process.wait(LOOK * 10)}"
        return str(wrong)

    def _drive(self) -> None:
        """From the start of the new process to its end or ours."""
        kind, payload = self._receive(Kind.HELLO, Kind.REFUSE)
        if kind is Kind.REFUSE:
            return self.on_owner(self._lost, form.read(payload, form.Said).why)
        hello = form.read(payload, form.Hello)
        own = [vhost["name"] for vhost in self.owner.vhosts]
        why = ""
        if hello.form < form.VERSION:
            why = f"form {hello.form} cannot hold open reqs"
        elif hello.vhosts != own:
            why = f"vhosts {hello.vhosts} are not {own}"
        store = self.owner.guard.path if self.owner.guard else ""
        if store and hello.store != store:  # what was sent there must be known to who goes on
            raise FormError(f"the new process keeps {hello.store or 'no store'} instead of {store}")
        if hello.form < form.LEAST:
            raise FormError(f"lilacloft {hello.version} reads form {hello.form}, not {form.LEAST} or later")
        with self.lock:
            self.leaving.hello(not why, why)
        self._warm()
        kind, payload = self._receive(Kind.READY, Kind.REFUSE)
        if kind is Kind.REFUSE:
            return self.on_owner(self._lost, form.read(payload, form.Said).why)
        with self.lock:
            self.leaving.ready()
        self.on_owner(self._swap)
        # from here on the owner's thread acts; this one reads, so that an end is seen at once
        while self.leaving.phase == phases.LETTING_GO:
            try:
                kind, payload = self.channel.receive(
                    max(LOOK, min(self.leaving.left(), SAYS)), (Kind.SERVING, Kind.DOWN)
                )
                if kind is Kind.DOWN:
                    self.owner.post(self.owner.guard.relay_down, form.read(payload, int))
                    continue
                self.serves = True
                self.on_owner(self._look, False)
            except BrokenError as wrong:
                if "in time" not in str(wrong):
                    self.on_owner(self._lost, str(wrong))
            except (FormError, OSError) as wrong:
                self.on_owner(self._lost, str(wrong))
        return None

    def on_owner(self, what: Callable[..., Any], *told: Any) -> Any:
        """Have the owner's thread do something, and wait until it has."""
        box: queue.SimpleQueue[Any] = queue.SimpleQueue()

        def do() -> None:
            found = None
            try:
                found = what(*told)
            finally:
                box.put(found)

        self.owner.post(do)
        while True:
            try:
                return box.get(timeout=SAYS)
            except queue.Empty:
                if self.owner.has_ended:
                    return None

    def _receive(self, *kinds: Kind) -> tuple[Kind, bytes]:
        assert self.channel is not None
        return self.channel.receive(min(self.leaving.left(), 3600.0), kinds)

    # --- beside the serving ---

    def _warm(self) -> None:
        owner, channel = self.owner, self.channel
        channel.send(
            Kind.WARM,
            form.Warm(
                os.getpid(), mode=self.leaving.mode, listed=self.on_owner(lambda: list(carry.listed(owner)))
            ),
            (owner.front.sock.fileno(), self.sock.fileno()),
        )
        places = self.on_owner(self.rest.table)
        for at in range(0, len(places), SLICE):
            channel.send(Kind.TABLE, self.on_owner(self.rest.slice, places[at : at + SLICE]))
        channel.send(Kind.TABLE, [])

    # --- the owner's thread, nothing being served ---

    def _swap(self) -> None:
        with self.lock:
            self.leaving.turn()
        leaving, channel, rest = self.leaving, self.channel, self.rest
        if leaving.phase != phases.TAKING:
            return
        try:
            why = rest.bring(time.monotonic() + leaving.left(), lambda: leaving.phase == phases.TAKING)
            if not why and self.owner.guard:
                why = self.owner.guard.rest(leaving.left() / 2)
            if why:
                return leaving.unheld(why)
            state, self.conns = carry.tell(self.owner, leaving.mode, rest.since())
            self.counted, state.reload = state.counts, self.reloaded
            fds = [conn.sock.fileno() for conn in self.conns]
            if state.store is not None:
                fds.append(self.owner.guard.folder.lock)
            channel.send(Kind.STATE, state, tuple(fds), leaving.left())
            kind, payload = self._receive(Kind.HAVE, Kind.REFUSE)
            if kind is Kind.REFUSE:
                raise FormError(form.read(payload, form.Said).why)
            leaving.have()
            self._receive(Kind.TAKEN)
            leaving.taken()
            if leaving.mode == phases.WHOLE and not self.serves:
                while self._receive(Kind.SERVING, Kind.DOWN)[0] is Kind.DOWN:
                    pass  # of records that nobody here waits for any more
                self.serves = True
                rest.forgets()
                rest.release(doors=False)
        except (FormError, BrokenError, OSError) as wrong:
            return self._lost(self._why(wrong))
        except Exception:
            self._lost("a fault of ours")
            raise
        return self._look()

    def _look(self, again: bool = True) -> None:
        """What stays here, until nothing does."""
        leaving, owner = self.leaving, self.owner
        if leaving.phase != phases.LETTING_GO:
            return
        try:
            for client, told in self.rest.free_later():
                self.channel.send(Kind.LATER, told, (client.sock.fileno(),))
                self.rest.moves([client])
        except (FormError, BrokenError, OSError) as wrong:
            return self._lost(str(wrong))
        leaving.remains(self.serves, not (owner.open_requests or owner.front.clients))
        if again and leaving.phase == phases.LETTING_GO:
            owner.call_at(owner.time + int(LOOK * 10_000), self._look)

    def _lost(self, why: str) -> None:
        with self.lock:
            self.leaving.lost(why)

    # --- signals, in the owner's thread ---

    def stops(self) -> bool:
        """SIGTERM; True where the new process is the gateway, and is told."""
        with self.lock:
            self.leaving.stop()
        return self._told(Kind.STOP)

    def reloads(self) -> bool:
        """SIGHUP, and the file was read: the same. Before, the new one reads it again once it serves."""
        self.reloaded = True
        return self._told(Kind.RELOAD)

    def _told(self, kind: Kind) -> bool:
        if self.leaving.phase not in (phases.LETTING_GO, phases.GONE):
            return False
        with contextlib.suppress(BrokenError, FormError):
            self.channel.send(kind)
        return True

    # --- Ways: what the phases call ---

    def now(self) -> float:
        return time.monotonic()

    def start(self) -> None:
        ours, theirs = socket.socketpair()
        self.channel, self.process, self.failed = Channel(ours), None, ""
        fds = (theirs.fileno(), *((self.status,) if self.status >= 0 else ()))
        words = [*self.to, "--takeover", str(theirs.fileno())]
        if self.status >= 0:
            words += ["--status", str(self.status)]
        try:
            self.process = subprocess.Popen(words, stdin=subprocess.DEVNULL, pass_fds=fds)
        except (OSError, ValueError) as wrong:
            self.failed = f"{self.to[0] if self.to else '--to'} cannot be run: {wrong}"
        finally:
            theirs.close()

    def report(self, phase: str, why: str, took: float) -> None:
        pid = self.process.pid if self.process else 0
        log = logger.bind(phase=phase, why=why, took=round(took, 4), new=pid)
        text = f"upgrade: {phase.replace('_', ' ')}" + f": {why}" * bool(why)
        (log.warning if phase == phases.IDLE else log.info)("{}", text)
        if self.owner.recorder:
            self.owner.recorder.phase(phase, why)
        if self.control is not None:
            done = phase in (phases.IDLE, phases.GONE)
            with contextlib.suppress(BrokenError, FormError):
                told = form.Phase(phase, why[:4096], took, pid, done, phase == phases.GONE)
                self.control.send(Kind.PHASE, told, wait=LOOK)
            if done:
                self.control = None

    def warm(self) -> None:
        """The thread that drives does it, outside the lock."""

    def take(self, mode: str) -> None:
        """The owner's thread does it, in `_swap`."""

    def commit(self) -> None:
        self.channel.send(Kind.COMMIT)

    def go_on(self, emptied: bool) -> None:
        if emptied:
            self.rest.back(list(dict.fromkeys([*self.conns, *self.rest.moved])))
            self.owner.router.set_standby(False)
        self.conns = []
        if self.owner.guard:
            self.owner.guard.go_on(emptied)
        self.rest.release()
        self._status()

    def let_go(self, mode: str) -> None:
        self.rest.moves(self.conns)
        if self.owner.guard:
            self.owner.guard.hand_on(self._keep)
        if mode == phases.DRAIN:
            self.owner.router.set_standby(True)
            self.rest.release(doors=False)

    def _keep(self, ticket: int, kind: int, key: bytes, value: bytes | None) -> None:
        """A record of what is still open here."""
        try:
            self.channel.send(Kind.KEEP, form.Keep(ticket, kind, key, value), wait=0.1)
        except (BrokenError, FormError) as wrong:  # what waits for it is refused when its time is up
            logger.warning("upgrade: a record cannot be handed on: {}", wrong)

    def cut(self) -> None:
        for call in list(self.owner.open_requests.values()):
            self.owner.router.reject(call.request, RejectReason.ENDING)
        for client in list(self.owner.front.clients):
            client.pause_reading()  # nothing more is read, so what is unread goes over with the connection
            self.rest.held[client] = False

    def end(self) -> None:
        left = {
            part: {name: count - self.counted.get(part, {}).get(name, 0) for name, count in own.items()}
            for part, own in carry.counts(self.owner).items()
        }
        with contextlib.suppress(BrokenError, FormError):
            self.channel.send(Kind.LEFT, form.Left(left))
        self.owner.end()

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def heard(self) -> bool:
        try:
            while True:
                kind, _ = self.channel.receive(LOOK)
                if kind is Kind.TAKEN:
                    return True
        except (BrokenError, FormError, OSError):
            return False

    def dismiss(self, why: str) -> None:
        if self.channel is not None:
            with contextlib.suppress(BrokenError, FormError):
                self.channel.send(Kind.DISMISS, form.Said(why[:4096]), wait=LOOK)

    def _status(self) -> None:
        """Tell a supervisor who the gateway is."""
        if self.status >= 0:
            with contextlib.suppress(OSError):
                os.write(self.status, b"gateway %d\n" % os.getpid())


def hello(vhosts: list[str], store: str = "") -> form.Hello:
    """What a new process says first."""
    return form.Hello(__version__, form.VERSION, vhosts, os.path.realpath(store) if store else "")
