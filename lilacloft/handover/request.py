"""The upgrade command's side: asks a gateway to be replaced and tells how it went. It never touches a
gateway."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

from lilacloft.handover import messages
from lilacloft.handover.channel import BrokenError, Channel
from lilacloft.handover.messages import FormError, Kind

CONNECT = 2.0


def ask(
    path: str, to: str, mode: str, tell: Callable[[messages.Phase], None], wait: float = 120.0
) -> tuple[bool, str]:
    """Replace the gateway that offers a handover at a path; tells each phase as it comes. Returns whether the
    new process serves and the old one has ended, and else why not."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(CONNECT)
    try:
        sock.connect(path)
    except OSError as wrong:
        sock.close()
        return False, f"{path}: {wrong.strerror or wrong}"
    channel, until, last = Channel(sock), time.monotonic() + wait, "nothing"
    try:
        channel.send(Kind.ASK, messages.Ask(to, mode))
        while True:
            _, payload = channel.receive(max(0.0, until - time.monotonic()), (Kind.PHASE,))
            phase = messages.read(payload, messages.Phase)
            tell(phase)
            last = phase.phase
            if phase.done and not phase.ok:
                return False, phase.why or phase.phase
            if phase.done:
                break
        try:
            channel.receive(max(0.0, until - time.monotonic()))
        except BrokenError as wrong:
            return "ended" in str(wrong), "" if "ended" in str(wrong) else "the old process does not end"
        return False, "the old process goes on talking"
    except (BrokenError, FormError) as wrong:
        return False, f"{wrong} after {last}"
    finally:
        channel.close()
