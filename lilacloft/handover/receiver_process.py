"""The sender's handle of the receiver: a child process, and the channel to it."""

from __future__ import annotations

import contextlib
import socket
import subprocess
from collections.abc import Sequence
from typing import Any

from lilacloft.handover import process_arguments
from lilacloft.handover.channel import Channel, ChannelClosedError, ChannelError, Frame
from lilacloft.handover.framing import FormatError, MessageKind
from lilacloft.handover.messages import MAX_REASON_CHARACTERS, Reason

NO_DESCRIPTOR = -1
SHORT_TIMEOUT = 0.02  # seconds, for a process that may have exited
EXIT_CODE_TIMEOUT = 0.2  # seconds to wait for the exit of a process that has closed its channel
SEND_TIMEOUT = 5.0  # seconds

HANDOVER_ERRORS = (FormatError, ChannelError, OSError)  # failures of the receiver, not faults in the sender


class ReceiverProcess:
    """The receiver of the current handover; one object is used for successive handovers."""

    def __init__(self, status: int = NO_DESCRIPTOR) -> None:
        """`status`: descriptor of the pipe to a supervisor, which the receiver inherits."""
        self.status = status
        self.start_error = ""  # why the receiver could not be started
        self._process: subprocess.Popen[bytes] | None = None
        self._channel: Channel | None = None

    @property
    def pid(self) -> int:
        """The receiver's process id; 0: not started."""
        return self._process.pid if self._process else 0

    def start(self, arguments: Sequence[str]) -> None:
        """Start the receiver with a channel to it; if that fails, `start_error` gives the reason."""
        own_end, receivers_end = socket.socketpair()
        self._channel, self._process, self.start_error = Channel(own_end), None, ""
        descriptors = [receivers_end.fileno()]
        command = [*arguments, process_arguments.TAKEOVER, str(receivers_end.fileno())]
        if self.status >= 0:
            descriptors.append(self.status)
            command += [process_arguments.STATUS, str(self.status)]
        try:
            self._process = subprocess.Popen(command, stdin=subprocess.DEVNULL, pass_fds=tuple(descriptors))
        except (OSError, ValueError) as error:
            self.start_error = f"{arguments[0] if arguments else '--to'} cannot be run: {error}"
        finally:
            receivers_end.close()

    def send(
        self,
        kind: MessageKind,
        message: Any = None,
        descriptors: tuple[int, ...] = (),
        timeout: float = SEND_TIMEOUT,
    ) -> None:
        """Send a message; see `Channel.send`."""
        assert self._channel is not None
        self._channel.send(kind, message, descriptors, timeout)

    def receive(self, timeout: float, kinds: tuple[MessageKind, ...] = ()) -> Frame:
        """Return the receiver's next frame; see `Channel.receive`."""
        assert self._channel is not None
        return self._channel.receive(timeout, kinds)

    def close_channel(self) -> None:
        """Close the channel to the receiver."""
        assert self._channel is not None
        self._channel.close()

    def dismiss(self, reason: str) -> None:
        """Notify the receiver that the handover is aborted, if it still reads."""
        if self._channel is not None:
            with contextlib.suppress(ChannelError, FormatError):
                self.send(MessageKind.DISMISS, Reason(reason[:MAX_REASON_CHARACTERS]), timeout=SHORT_TIMEOUT)

    def kill(self) -> None:
        """Kill the receiver and wait for its exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def has_acknowledged(self) -> bool:
        """Return whether the receiver acknowledged `commit` before it exited."""
        try:
            while True:
                if self.receive(SHORT_TIMEOUT).kind is MessageKind.COMMIT_ACKNOWLEDGED:
                    return True
        except HANDOVER_ERRORS:
            return False

    def describe_failure(self, error: Exception) -> str:
        """Return why the receiver failed: its exit code if it has exited, else the text of the error."""
        if self._process is not None and isinstance(error, ChannelClosedError):
            with contextlib.suppress(subprocess.TimeoutExpired):
                return f"the new process exited with code {self._process.wait(EXIT_CODE_TIMEOUT)}"
        return str(error)
