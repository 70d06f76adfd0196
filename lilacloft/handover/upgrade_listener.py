"""The Unix socket on which a gateway accepts upgrade requests.

Only root and the gateway's own user may connect, and a client of this socket cannot delay serving.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import threading
import time
from collections.abc import Callable

from lilacloft.handover.channel import Channel, ChannelError
from lilacloft.handover.framing import FormatError, MessageKind
from lilacloft.handover.messages import PhaseReport, UpgradeRequest
from lilacloft.log import logger

MAX_CONNECTIONS = 4  # at the same time; further connections are closed
REQUEST_TIMEOUT = 2.0  # seconds within which a client must send its request
ACCEPT_TIMEOUT = 1.0  # seconds
PAUSE_AFTER_ERROR = 2.0  # seconds
OWNER_ONLY = 0o177  # umask for a socket to which only its owner may connect
ROOT_UID = 0
PHASE_REFUSED = "refused"  # sent instead of a phase if no handover begins

RequestHandler = Callable[[UpgradeRequest, Channel], None]


class UpgradeRefusedError(Exception):
    """An upgrade request is refused; the text gives the reason."""


def bind_upgrade_socket(path: str) -> socket.socket:
    """Return a listening socket at a path; a stale socket file there is replaced.

    Raises OSError if the path is in use or cannot be bound.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        try:
            probe.connect(path)
        except OSError:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
        else:
            raise OSError(errno.EADDRINUSE, "another gateway accepts upgrade requests on this socket")
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    previous_mask = os.umask(OWNER_ONLY)  # so that the socket is never accessible to other users
    try:
        sock.bind(path)
    finally:
        os.umask(previous_mask)
    sock.listen(MAX_CONNECTIONS)
    return sock


class UpgradeListener:
    """Accepts upgrade requests; each is handled in its own thread."""

    def __init__(
        self, sock: socket.socket, handle: RequestHandler, on_internal_error: Callable[[str], object]
    ) -> None:
        """`handle` carries out a request, reporting on the channel, or raises UpgradeRefusedError.

        `on_internal_error` is called with a reason if `handle` fails unexpectedly.
        """
        self.sock = sock
        self.handle = handle
        self.on_internal_error = on_internal_error
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
                logger.error("handover: cannot accept an upgrade request: {}", error)
                time.sleep(PAUSE_AFTER_ERROR)

    def _serve(self, command_channel: Channel) -> None:
        """Serve one connection; errors on it do not affect the gateway."""
        pid = 0
        try:
            pid, uid = command_channel.peer()
            if uid not in (ROOT_UID, os.getuid()):
                raise UpgradeRefusedError(f"user {uid} is not allowed to request an upgrade")
            frame = command_channel.receive(REQUEST_TIMEOUT, (MessageKind.UPGRADE_REQUEST,))
            self.handle(frame.decode(UpgradeRequest), command_channel)
        except (FormatError, ChannelError, OSError) as error:
            logger.warning("handover: closing the connection of process {}: {}", pid, error)
        except UpgradeRefusedError as error:
            logger.warning("handover: refused the request of process {}: {}", pid, error)
            with contextlib.suppress(ChannelError):
                command_channel.send(MessageKind.PHASE, PhaseReport(PHASE_REFUSED, str(error), is_final=True))
        except Exception:
            logger.exception("handover failed")
            self.on_internal_error("internal error in the old process")
        finally:
            command_channel.close()
            self.slots.release()
