"""The receiver of a handover: the new process, which takes over from the process that started it.

Carries out the decisions of `phases.ReceiverStateMachine`. No transferred connection is read or written
before `commit` is acknowledged, no address is bound, and a receiver that does not become the gateway exits.
"""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import threading
import time
from typing import TYPE_CHECKING

from lilacloft import __version__
from lilacloft.errors import TakeoverAbortedError
from lilacloft.handover import messages
from lilacloft.handover.channel import Channel, ChannelError, Frame
from lilacloft.handover.counters import add_counters
from lilacloft.handover.framing import STATE_VERSION, FormatError, MessageKind
from lilacloft.handover.phases import ReceiverStateMachine
from lilacloft.handover.state_restore import GatewayRestorer
from lilacloft.log import logger

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

SENDER_TIMEOUT = 30.0  # seconds without a message; the sender's own time limits are much shorter
EXIT_DETECTION_SECONDS = 0.5  # within which the exit of a process is detected after its sockets were closed
EXIT_POLL_SECONDS = EXIT_DETECTION_SECONDS / 50
SYNCED_SEND_TIMEOUT = 0.1  # seconds
NO_DESCRIPTOR = -1


def make_hello(vhosts: list[str], store_folder: str = "") -> messages.Hello:
    """Return the receiver's first message. `store_folder`: empty if it has no store."""
    folder = os.path.realpath(store_folder) if store_folder else ""
    return messages.Hello(__version__, STATE_VERSION, vhosts, folder)


class HandoverReceiver:
    """One takeover. Its steps are methods, in the order in which they are called."""

    def __init__(self, descriptor: int) -> None:
        """`descriptor`: of the channel to the sender."""
        self.channel = Channel(socket.socket(fileno=descriptor))
        self.state_machine = ReceiverStateMachine()
        self.sender_pid = 0
        self.gateway: Gateway | None = None  # set by the caller before `receive_object_parts`
        self.restorer: GatewayRestorer | None = None
        self.backends: list[messages.ListedBackend] = []
        self.listener: socket.socket | None = None
        self.upgrade_socket: socket.socket | None = None
        self.store_lock = NO_DESCRIPTOR

    def send_hello(self, vhosts: list[str], store_folder: str = "") -> None:
        """Send this process's version, virtual hosts and store folder to the sender."""
        self.channel.send(MessageKind.HELLO, make_hello(vhosts, store_folder))

    def receive_warm_up(self) -> None:
        """Receive the listening sockets and the endpoint list."""
        warm_up = self._receive(MessageKind.WARM_UP).decode(messages.WarmUp)
        if warm_up.oldest_reader > STATE_VERSION:
            raise FormatError(
                f"the old process requires a reader of state version {warm_up.oldest_reader}, "
                f"this process reads {STATE_VERSION}"
            )
        self.sender_pid, self.backends = warm_up.sender_pid, warm_up.backends
        self.listener, self.upgrade_socket = self.channel.pop_sockets(2)

    def receive_object_parts(self) -> None:
        """Restore the endpoint list and the object parts, while the sender still serves."""
        self.restorer = GatewayRestorer(self.gateway)
        self.restorer.prepare(self.backends, iter(self._receive_batch, []))

    def _receive_batch(self) -> list[messages.ObjectPartState]:
        return self._receive(MessageKind.OBJECT_PARTS).decode(list[messages.ObjectPartState])

    def send_ready(self) -> None:
        """Notify the sender that this process is ready for the state."""
        self.channel.send(MessageKind.READY)

    def receive_state(self) -> None:
        """Receive the state and restore the gateway from it; the gateway does not start yet."""
        frame = self._receive(MessageKind.STATE)
        began_at = time.monotonic()
        state = frame.decode(messages.GatewayState)
        if state.oldest_reader > STATE_VERSION:
            raise FormatError(f"the state has version {state.version}, this process reads {STATE_VERSION}")
        has_store = state.store is not None
        sockets = self.channel.pop_sockets(state.descriptor_count - has_store)
        if has_store:  # the store's lock is sent after all connections
            self.store_lock = self.channel.pop_descriptors(1)[0]
        read_at = time.monotonic()
        self.restorer.restore(state, sockets.__getitem__)
        logger.debug(
            "upgrade: state decoded in {:.1f} ms, restored in {:.1f} ms",
            1000 * (read_at - began_at),
            1000 * (time.monotonic() - read_at),
        )
        self.state_machine.state_restored()

    def send_state_restored(self) -> None:
        """Notify the sender that the state is restored.

        If the sender has crashed meanwhile, `receive_commit` detects that.
        """
        with contextlib.suppress(ChannelError):
            self.channel.send(MessageKind.STATE_RESTORED)

    def receive_commit(self) -> None:
        """Wait for the commit, and acknowledge it; raises TakeoverAbortedError if this process must not
        serve.

        If the sender has crashed after it sent the state, this process becomes the gateway without a commit.
        """
        try:
            self._receive(MessageKind.COMMIT)
        except ChannelError as error:
            if not self.state_machine.channel_broken(self._sender_is_running()):
                raise TakeoverAbortedError(f"{error}; {self.state_machine.reason}") from error
            logger.warning("upgrade: {}: this process goes on", self.state_machine.reason)
            return
        if not self.state_machine.commit_received():
            raise TakeoverAbortedError(self.state_machine.reason)
        try:
            self.channel.send(MessageKind.COMMIT_ACKNOWLEDGED)
        except ChannelError:
            logger.warning("upgrade: the old process exited before it got the acknowledgement of the commit")

    def send_serving(self) -> None:
        """Notify the sender that this process serves, and handle its further messages in a thread."""
        try:
            self.channel.send(MessageKind.SERVING)
        except ChannelError as error:
            logger.warning("upgrade: {}", error)
        threading.Thread(target=self._follow_sender, daemon=True).start()

    def refuse(self, reason: str) -> None:
        """Notify the sender that this process cannot take over."""
        try:
            self.channel.send(MessageKind.REFUSE, messages.Reason(reason[: messages.MAX_REASON_CHARACTERS]))
        except (ChannelError, FormatError):
            logger.error("upgrade: cannot notify the old process of the refusal: {}", reason)

    def _receive(self, kind: MessageKind) -> Frame:
        """Return the next frame, which must be of a kind; raises TakeoverAbortedError if it is a
        dismissal."""
        frame = self.channel.receive(SENDER_TIMEOUT, (kind, MessageKind.DISMISS))
        if frame.kind is MessageKind.DISMISS:
            reason = frame.decode(messages.Reason).reason
            self.state_machine.dismissed(reason)
            raise TakeoverAbortedError(reason)
        return frame

    def _sender_is_running(self) -> bool:
        """Return whether the sender still runs.

        Polled for a while: an exiting process closes its sockets shortly before its exit can be observed.
        """
        deadline = time.monotonic() + EXIT_DETECTION_SECONDS
        while os.getppid() == self.sender_pid:
            if time.monotonic() > deadline:
                return True
            time.sleep(EXIT_POLL_SECONDS)
        return False

    # --- after the commit, in a thread of its own ---

    def _follow_sender(self) -> None:
        """Handle the messages of a draining sender until it closes the channel."""
        try:
            while True:
                self._handle(
                    self.channel.receive(
                        SENDER_TIMEOUT,
                        (
                            MessageKind.IDLE_CLIENT,
                            MessageKind.DRAINED,
                            MessageKind.RELOAD,
                            MessageKind.STOP,
                            MessageKind.STORE_RECORD,
                        ),
                    )
                )
        except (ChannelError, FormatError, OSError) as error:
            logger.info("upgrade: the channel to the old process has ended: {}", error)
        finally:
            self.channel.close()

    def _handle(self, frame: Frame) -> None:
        """Pass one message of a draining sender to the event loop."""
        gateway = self.gateway
        if frame.kind is MessageKind.IDLE_CLIENT:
            state = frame.decode(messages.ClientConnectionState)
            gateway.post(self._start_client, state, self.channel.pop_sockets(1)[0])
        elif frame.kind is MessageKind.STORE_RECORD:
            record = frame.decode(messages.StoreRecord)
            if gateway.store:
                gateway.post(
                    gateway.store.write_relayed,
                    record.ticket,
                    record.kind,
                    record.key,
                    record.value,
                    self._send_synced,
                )
        elif frame.kind is MessageKind.DRAINED:
            gateway.post(add_counters, gateway, frame.decode(messages.FinalCounters).counts)
        elif frame.kind is MessageKind.RELOAD:
            os.kill(os.getpid(), signal.SIGHUP)
        else:
            gateway.post(gateway.stop)

    def _send_synced(self, ticket: int) -> None:
        """Notify the sender that its store records up to a ticket are on disk."""
        with contextlib.suppress(ChannelError):
            self.channel.send(MessageKind.STORE_RECORDS_SYNCED, ticket, timeout=SYNCED_SEND_TIMEOUT)

    def _start_client(self, state: messages.ClientConnectionState, sock: socket.socket) -> None:
        """Serve a client's connection that became idle in the sender."""
        self.restorer.restore_client(state, sock).start()
