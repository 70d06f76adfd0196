"""Requests an upgrade of a gateway and follows its phases, for the upgrade command."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import NamedTuple

from lilacloft.handover.channel import Channel, ChannelClosedError, ChannelError
from lilacloft.handover.framing import FormatError, MessageKind
from lilacloft.handover.messages import PhaseReport, UpgradeRequest

CONNECT_TIMEOUT = 2.0  # seconds
DEFAULT_TIMEOUT = 120.0  # seconds, for the whole handover


class UpgradeResult(NamedTuple):
    """Whether the new process serves and the old one has exited; if not, the reason."""

    succeeded: bool
    reason: str


def request_upgrade(
    path: str,
    command: str,
    mode: str,
    on_phase: Callable[[PhaseReport], None],
    timeout: float = DEFAULT_TIMEOUT,
) -> UpgradeResult:
    """Replace the gateway that accepts upgrade requests at a path, and wait until the old process has exited.

    `command` starts the new process; empty: the command that started the old one. `mode`: a HandoverMode;
    empty: the mode from the gateway's settings. `on_phase` is called when a phase begins. `timeout`: seconds.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(CONNECT_TIMEOUT)
    try:
        sock.connect(path)
    except OSError as error:
        sock.close()
        return UpgradeResult(False, f"{path}: {error.strerror or error}")
    channel = Channel(sock)
    try:
        return _follow(channel, UpgradeRequest(command, mode), on_phase, time.monotonic() + timeout)
    finally:
        channel.close()


def _follow(
    channel: Channel, request: UpgradeRequest, on_phase: Callable[[PhaseReport], None], deadline: float
) -> UpgradeResult:
    """Send a request and follow the phases to the final one. `deadline`: monotonic seconds."""
    last_phase = "the request"
    try:
        channel.send(MessageKind.UPGRADE_REQUEST, request)
        while True:
            frame = channel.receive(_seconds_until(deadline), (MessageKind.PHASE,))
            report = frame.decode(PhaseReport)
            on_phase(report)
            last_phase = report.phase
            if report.is_final:
                break
        if not report.succeeded:
            return UpgradeResult(False, report.reason or report.phase)
        return _wait_for_end(channel, deadline)
    except (ChannelError, FormatError) as error:
        return UpgradeResult(False, f"{error} after {last_phase}")


def _wait_for_end(channel: Channel, deadline: float) -> UpgradeResult:
    """Wait until the old process closes the channel by its exit."""
    try:
        channel.receive(_seconds_until(deadline))
    except ChannelClosedError:
        return UpgradeResult(True, "")
    except ChannelError:
        return UpgradeResult(False, "the old process did not exit in time")
    return UpgradeResult(False, "the old process sent a message after its final report")


def _seconds_until(deadline: float) -> float:
    return max(0.0, deadline - time.monotonic())
