"""The new process: takes over from the old one that has started it, over the channel that it was given.

Carries out what `phases.Coming` decides. It must never read or write on what it was handed before it has
answered `commit`, never bind an address, and never stay when it is not the gateway.
"""

from __future__ import annotations

import contextlib
import os
import socket
import threading
import time
from typing import Any

from loguru import logger

from lilacloft.errors import NotWantedError
from lilacloft.handover import messages, state_transfer
from lilacloft.handover.channel import BrokenError, Channel
from lilacloft.handover.messages import FormError, Kind
from lilacloft.handover.phases import Coming
from lilacloft.handover.sender import hello

PATIENCE = 30.0  # seconds without a word from the old process: its own limits are far below
DEAD = 0.5  # seconds in which the end of a process that has closed everything is seen


class Taking:
    """One takeover; each step may be where this process dies, so each is a method of its own."""

    def __init__(self, fd: int) -> None:
        self.channel = Channel(socket.socket(fileno=fd))
        self.coming = Coming()
        self.parent = 0
        self.owner: Any = None
        self.told: state_transfer.Told | None = None
        self.listed: list[messages.Listed] = []
        self.listener: socket.socket | None = None
        self.handover: socket.socket | None = None
        self.lock = -1  # of the store

    def hello(self, vhosts: list[str], store: str = "") -> None:
        """Say what this one is."""
        self.channel.send(Kind.HELLO, hello(vhosts, store))

    def warm(self) -> None:
        """Take the listeners."""
        _, payload = self._next(Kind.WARM)
        warm = messages.read(payload, messages.Warm)
        if warm.least > messages.VERSION:
            raise FormError(f"the old process writes form {warm.least}, {messages.VERSION} is read here")
        self.parent, self.listed = warm.parent, warm.listed
        self.listener, self.handover = self.channel.sockets(2)

    def table(self) -> None:
        """Take the list and the module's table into the owner made meanwhile, while the old one serves."""
        self.told = state_transfer.Told(self.owner)
        self.told.warm(self.listed, iter(self._part, []))

    def _part(self) -> list[messages.ObjectPart]:
        _, payload = self._next(Kind.TABLE)
        return messages.read(payload, list[messages.ObjectPart])

    def ready(self) -> None:
        """Ready for the rest."""
        self.channel.send(Kind.READY)

    def state(self) -> None:
        """Take everything else, and make a whole gateway of it, which does not begin yet."""
        kind, payload = self._next(Kind.STATE)
        began = time.monotonic()
        state = messages.read(payload, messages.State)
        if state.least > messages.VERSION:
            raise FormError(f"the state is of form {state.version}, {messages.VERSION} is read here")
        socks = self.channel.sockets(state.sockets - (state.store is not None))
        if state.store is not None:  # after all connections
            self.lock = self.channel.descriptors(1)[0]
        read = time.monotonic()
        self.told.make(state, socks.__getitem__)
        logger.debug(
            "upgrade: read in {:.1f} ms, made in {:.1f} ms",
            1000 * (read - began),
            1000 * (time.monotonic() - read),
        )
        self.coming.state()

    def have(self) -> None:
        """Say that all is here. If the old process has just died, the wait for its word finds that out."""
        with contextlib.suppress(BrokenError):
            self.channel.send(Kind.HAVE)

    def commit(self) -> None:
        """Wait for the word that decides, and answer it."""
        try:
            self._next(Kind.COMMIT)
        except BrokenError as wrong:
            # the old one has died with everything at rest, or it is we who are not wanted
            if not self.coming.broken(self._lives()):
                raise NotWantedError(f"{wrong}; {self.coming.why}") from wrong
            logger.warning("upgrade: {}: this process goes on", self.coming.why)
            return
        if not self.coming.commit():
            raise NotWantedError(self.coming.why)
        try:
            self.channel.send(Kind.TAKEN)
        except BrokenError:
            logger.warning("upgrade: the old process has ended just before the answer")

    def serving(self) -> None:
        """The first turn is over."""
        try:
            self.channel.send(Kind.SERVING)
        except BrokenError as wrong:
            logger.warning("upgrade: {}", wrong)
        threading.Thread(target=self._follow, daemon=True).start()

    def refuse(self, why: str) -> None:
        """Say why this one cannot go on."""
        try:
            self.channel.send(Kind.REFUSE, messages.Said(why[:4096]))
        except (BrokenError, FormError):
            logger.error("upgrade: {}", why)

    def _next(self, kind: Kind) -> tuple[Kind, bytes]:
        found, payload = self.channel.receive(PATIENCE, (kind, Kind.DISMISS))
        if found is Kind.DISMISS:
            why = messages.read(payload, messages.Said).why
            self.coming.dismissed(why)
            raise NotWantedError(why)
        return found, payload

    def _lives(self) -> bool:
        """Is the old process still there? Its end closes its sockets a moment before it is seen."""
        until = time.monotonic() + DEAD
        while os.getppid() == self.parent:
            if time.monotonic() > until:
                return True
            time.sleep(DEAD / 50)
        return False

    def _follow(self) -> None:
        """What the old process still sends: connections that have become free, its last counters, and signals
        that were meant for the gateway."""
        owner = self.owner
        try:
            while True:
                kind, payload = self.channel.receive(
                    PATIENCE, (Kind.LATER, Kind.LEFT, Kind.RELOAD, Kind.STOP, Kind.KEEP)
                )
                if kind is Kind.LATER:
                    told = messages.read(payload, messages.Client)
                    owner.post(self._later, told, self.channel.sockets(1)[0])
                elif kind is Kind.KEEP:
                    keep = messages.read(payload, messages.Keep)
                    if owner.guard:
                        owner.post(
                            owner.guard.relayed, keep.ticket, keep.kind, keep.key, keep.value, self._down
                        )
                elif kind is Kind.LEFT:
                    owner.post(state_transfer.add, owner, messages.read(payload, messages.Left).counts)
                elif kind is Kind.RELOAD:
                    os.kill(os.getpid(), 1)
                else:
                    owner.post(owner.stop)
        except (BrokenError, FormError, OSError) as wrong:
            logger.info("upgrade: the old process is done ({})", wrong)
        finally:
            self.channel.close()

    def _down(self, ticket: int) -> None:
        with contextlib.suppress(BrokenError):
            self.channel.send(Kind.DOWN, ticket, wait=0.1)

    def _later(self, told: messages.Client, sock: socket.socket) -> None:
        client = self.told.client(told, sock)
        client.start()
