"""The Unix socket on which a gateway accepts upgrade requests.

Only root and the gateway's own user may connect, and nobody who does can hold the serving up.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import threading
import time
from collections.abc import Callable

from loguru import logger

from lilacloft.handover.channel import Channel, ChannelError
from lilacloft.handover.framing import FormatError, MessageKind
from lilacloft.handover.messages import PhaseReport, UpgradeRequest

MAX_CONNECTIONS = 4  # at once; more are closed
REQUEST_TIMEOUT = 2.0  # seconds in which one that has connected sends its request
ACCEPT_TIMEOUT = 1.0  # seconds
PAUSE_AFTER_ERROR = 2.0  # seconds
OWNER_ONLY = 0o177  # umask of a socket that only its user may connect to
ROOT_UID = 0
PHASE_REFUSED = "refused"  # in place of a phase, if no handover begins

RequestHandler = Callable[[UpgradeRequest, Channel], None]


class UpgradeRefusedError(Exception):
    """A handover does not begin; the text says why."""


def bind_upgrade_socket(path: str) -> socket.socket:
    """Return a listening socket at a path; a stale one there is replaced.

    Raises OSError if the path is in use or cannot be had.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        try:
            probe.connect(path)
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
        else:
            raise OSError(errno.EADDRINUSE, "another gateway offers a handover there")
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    previous_mask = os.umask(OWNER_ONLY)  # not open to others for a moment
    try:
        sock.bind(path)
    finally:
        os.umask(previous_mask)
    sock.listen(MAX_CONNECTIONS)
    return sock


class UpgradeListener:
    """Accepts upgrade requests, each in a thread of its own."""

    def __init__(
        self, sock: socket.socket, handle: RequestHandler, on_fault: Callable[[str], object]
    ) -> None:
        """`handle` carries a request out, or raises UpgradeRefusedError; it gets the channel for its reports.

        `on_fault` is called with a reason if `handle` fails in any other way.
        """
        self.sock = sock
        self.handle = handle
        self.on_fault = on_fault
        self.slots = threading.BoundedSemaphore(MAX_CONNECTIONS)

    def start(self) -> None:
        """Accept requests from now on."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        self.sock.settimeout(ACCEPT_TIMEOUT)
        while True:
            try:
                sock, _ = self.sock.accept()
                if not self.slots.acquire(blocking=False):
                    sock.close()
                    continue
                threading.Thread(target=self._serve, args=(Channel(sock),), daemon=True).start()
            except TimeoutError:
                continue
            except (OSError, RuntimeError) as error:
                logger.error("handover: {}", error)
                time.sleep(PAUSE_AFTER_ERROR)

    def _serve(self, control: Channel) -> None:
        """Serve one that has connected; whatever it does, the gateway goes on."""
        pid = 0
        try:
            pid, uid = control.peer()
            if uid not in (ROOT_UID, os.getuid()):
                raise UpgradeRefusedError(f"user {uid} may not ask for an upgrade")
            frame = control.receive(REQUEST_TIMEOUT, (MessageKind.UPGRADE_REQUEST,))
            self.handle(frame.decode(UpgradeRequest), control)
        except (FormatError, ChannelError, OSError) as error:
            logger.warning("handover: process {} is let go: {}", pid, error)
        except UpgradeRefusedError as error:
            logger.warning("handover: process {} is refused: {}", pid, error)
            with contextlib.suppress(ChannelError):
                control.send(MessageKind.PHASE, PhaseReport(PHASE_REFUSED, str(error), is_final=True))
        except Exception:
            logger.exception("handover failed")
            self.on_fault("a fault of ours")
        finally:
            control.close()
            self.slots.release()
