"""The sender of a handover: the process that is replaced starts the receiver and transfers its state to it.

Carries out the decisions of `phases.SenderStateMachine`. Until the receiver is ready, a separate thread
drives the handover while the event loop serves; after that the event loop's thread does. The time without
service is limited, and the channel stays open for as long as the receiver runs.
"""

from __future__ import annotations

import contextlib
import os
import shlex
import socket
import sys
import threading
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from lilacloft.handover import messages, process_arguments
from lilacloft.handover.channel import Channel, ChannelError, ChannelTimeoutError, Frame
from lilacloft.handover.counters import GroupedCounts, counted_since
from lilacloft.handover.event_loop import Result, run_on_event_loop
from lilacloft.handover.framing import OLDEST_READER_VERSION, STATE_VERSION, FormatError, MessageKind
from lilacloft.handover.phase_reporter import PhaseReporter
from lilacloft.handover.phases import HandoverMode, Phase, SenderStateMachine
from lilacloft.handover.quiesce import Quiescer
from lilacloft.handover.receiver_process import HANDOVER_ERRORS, NO_DESCRIPTOR, ReceiverProcess
from lilacloft.handover.resources import current_usage
from lilacloft.handover.state_export import export_backends, export_gateway
from lilacloft.handover.upgrade_listener import UpgradeListener, UpgradeRefusedError
from lilacloft.log import logger
from lilacloft.net.connection import Connection
from lilacloft.routing.model import RejectReason
from lilacloft.routing.units import TICKS_PER_SECOND

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

DRAIN_POLL_SECONDS = 0.02  # between two checks for idle clients
STORE_RECORD_TIMEOUT = 0.1  # seconds
MAX_DRAIN_WAIT = 2.0  # seconds to wait for one message of a receiver that serves
MAX_RECEIVE_SECONDS = 3600.0
OBJECT_PARTS_PER_MESSAGE = 2000  # exported in one event; the event loop serves between these events
INTERNAL_ERROR = "internal error in the old process"


class HandoverSender:
    """Lets one gateway be replaced; carries out the actions of its `SenderStateMachine`."""

    def __init__(
        self,
        gateway: Gateway,
        upgrade_socket: socket.socket,
        limits: Mapping[str, float] | None = None,
        status: int = NO_DESCRIPTOR,
        mode: str = HandoverMode.WHOLE,
    ) -> None:
        """Upgrade requests are accepted once `start` is called.

        `upgrade_socket`: where they are accepted. `limits`: seconds by phase. `status`: descriptor of the
        pipe to a supervisor. `mode`: a HandoverMode, for requests that name none.
        """
        self.gateway = gateway
        self.upgrade_socket = upgrade_socket
        self.status = status
        self.default_mode = mode
        self.state_machine = SenderStateMachine(self, limits)
        self.listener = UpgradeListener(upgrade_socket, self._upgrade, self._on_internal_error)
        self.lock = threading.RLock()  # held by the driving thread, and by the event loop's thread on SIGTERM
        self.quiescer = Quiescer(gateway)
        self.command: list[str] = []  # the command that starts the receiver
        self.receiver = ReceiverProcess(status)
        self.reporter = PhaseReporter(gateway)
        self.connections: list[Connection] = []  # connections that are transferred
        self.exported_counts: GroupedCounts = {}
        self.receiver_is_serving = False
        self.was_reloaded = False  # SIGHUP was received during the handover
        gateway.upgrade = self

    def start(self) -> None:
        """Report that this process is the gateway, and accept upgrade requests from now on."""
        self._report_gateway()
        self.listener.start()

    # --- the driving thread ---

    def _upgrade(self, request: messages.UpgradeRequest, command_channel: Channel) -> None:
        """Carry out an upgrade request; the phases are reported on `command_channel`."""
        self._begin(request, command_channel)
        try:
            if self.receiver.start_error:
                raise ChannelError(self.receiver.start_error)
            self._drive()
        except HANDOVER_ERRORS as error:
            self._run_on_event_loop(self._receiver_failed, self.receiver.describe_failure(error))
        finally:
            if self.state_machine.phase == Phase.IDLE:
                self.receiver.close_channel()

    def _begin(self, request: messages.UpgradeRequest, command_channel: Channel) -> None:
        """Start the receiver; raises UpgradeRefusedError if no handover may begin."""
        if self.gateway.discovery.is_reconciling:  # only this process can tell which backends are restricted
            raise UpgradeRefusedError("the change log has not been read to its end since the start")
        with self.lock:
            if self.state_machine.phase == Phase.IDLE:
                self.reporter.command_channel = command_channel
                self.receiver_is_serving = self.was_reloaded = False
                self.command = self._command_of(request)
            refusal = self.state_machine.upgrade_requested(
                request.mode or self.default_mode,
                current_usage(is_supervised=self.status >= 0),
                self.gateway.limits,
            )
        if refusal:
            raise UpgradeRefusedError(refusal)

    @staticmethod
    def _command_of(request: messages.UpgradeRequest) -> list[str]:
        """Return the command that starts the receiver."""
        if not request.command:
            return process_arguments.original_command(sys.orig_argv)
        try:
            return shlex.split(request.command)
        except ValueError as error:
            raise UpgradeRefusedError(f"--to {request.command!r}: {error}") from None

    def _on_internal_error(self, reason: str) -> None:
        """Abort the handover after an internal error in the driving thread."""
        self._run_on_event_loop(self._receiver_failed, reason)

    def _drive(self) -> None:
        """Drive the handover, from the start of the receiver until it fails or this process exits."""
        frame = self._receive(MessageKind.HELLO, MessageKind.REFUSE)
        if frame.kind is MessageKind.REFUSE:
            return self._handle_refusal(frame)
        self._check_hello(frame.decode(messages.Hello))
        self._send_warm_up()
        frame = self._receive(MessageKind.READY, MessageKind.REFUSE)
        if frame.kind is MessageKind.REFUSE:
            return self._handle_refusal(frame)
        with self.lock:
            self.state_machine.ready_received()
        self._run_on_event_loop(self._transfer)
        # from here on the event loop's thread acts; this one reads, to detect an exit of the receiver at once
        while self.state_machine.phase == Phase.DRAINING:
            self._follow_receiver()
        return None

    def _handle_refusal(self, frame: Frame) -> None:
        self._run_on_event_loop(self._receiver_failed, frame.decode(messages.Reason).reason)

    def _check_hello(self, hello: messages.Hello) -> None:
        """Accept a receiver; raises FormatError if it cannot take over at all."""
        vhosts = [vhost["name"] for vhost in self.gateway.vhosts]
        reason = ""  # why the receiver cannot take over open requests
        if hello.state_version < STATE_VERSION:
            reason = f"state version {hello.state_version} cannot contain open requests"
        elif hello.vhosts != vhosts:
            reason = f"the new process has virtual hosts {hello.vhosts}, the old one {vhosts}"
        store = self.gateway.store.path if self.gateway.store else ""
        if store and hello.store_folder != store:  # the new gateway needs the record of what was sent
            raise FormatError(f"the new process keeps {hello.store_folder or 'no store'} instead of {store}")
        if hello.state_version < OLDEST_READER_VERSION:
            raise FormatError(
                f"lilacloft {hello.version} reads state version {hello.state_version}, "
                f"not {OLDEST_READER_VERSION} or later"
            )
        with self.lock:
            self.state_machine.hello_received(not reason, reason)

    def _send_warm_up(self) -> None:
        """Send the sockets, the endpoint list and the object parts, while this process serves."""
        gateway, receiver = self.gateway, self.receiver
        backends = self._run_on_event_loop(lambda: list(export_backends(gateway)))
        receiver.send(
            MessageKind.WARM_UP,
            messages.WarmUp(os.getpid(), mode=self.state_machine.mode, backends=backends),
            (gateway.downstream.sock.fileno(), self.upgrade_socket.fileno()),
        )
        part_keys = self._run_on_event_loop(self.quiescer.list_object_parts)
        for start in range(0, len(part_keys), OBJECT_PARTS_PER_MESSAGE):
            batch = part_keys[start : start + OBJECT_PARTS_PER_MESSAGE]
            exported = self._run_on_event_loop(self.quiescer.export_object_parts, batch)
            receiver.send(MessageKind.OBJECT_PARTS, exported)
        receiver.send(MessageKind.OBJECT_PARTS, [])  # ends the table

    def _follow_receiver(self) -> None:
        """Handle one message of a receiver that is the gateway."""
        timeout = max(DRAIN_POLL_SECONDS, min(self.state_machine.remaining_seconds(), MAX_DRAIN_WAIT))
        try:
            frame = self.receiver.receive(timeout, (MessageKind.SERVING, MessageKind.STORE_RECORDS_SYNCED))
            if frame.kind is MessageKind.STORE_RECORDS_SYNCED:
                self.gateway.post(self.gateway.store.relayed_records_durable, frame.decode(int))
                return
            self.receiver_is_serving = True
            self._run_on_event_loop(self._check_drained, False)
        except ChannelTimeoutError:
            pass
        except HANDOVER_ERRORS as error:
            self._run_on_event_loop(self._receiver_failed, str(error))

    def _run_on_event_loop(self, function: Callable[..., Result], *arguments: Any) -> Result | None:
        return run_on_event_loop(self.gateway, function, *arguments)

    def _receive(self, *kinds: MessageKind) -> Frame:
        """Return the receiver's next frame, within the time limit of the phase."""
        timeout = min(self.state_machine.remaining_seconds(), MAX_RECEIVE_SECONDS)
        return self.receiver.receive(timeout, kinds)

    # --- the event loop's thread; no request is served meanwhile ---

    def _transfer(self) -> None:
        """Quiesce, send the state, commit, and begin to drain."""
        with self.lock:
            self.state_machine.begin_transfer()
        if self.state_machine.phase != Phase.TRANSFERRING:
            return
        try:
            failure = self._quiesce()
            if failure:
                return self.state_machine.quiesce_failed(failure)
            self._send_state()
            self._commit()
        except HANDOVER_ERRORS as error:
            return self._receiver_failed(self.receiver.describe_failure(error))
        except Exception:
            self._receiver_failed(INTERNAL_ERROR)
            raise
        return self._check_drained()

    def _quiesce(self) -> str:
        """Quiesce the connections and the store; returns why that failed, or an empty string."""
        machine = self.state_machine
        deadline = time.monotonic() + machine.remaining_seconds()
        failure = self.quiescer.quiesce(deadline, lambda: machine.phase == Phase.TRANSFERRING)
        if not failure and self.gateway.store:
            failure = self.gateway.store.quiesce(machine.remaining_seconds() / 2)
        return failure

    def _send_state(self) -> None:
        """Send the state with all descriptors."""
        changed = self.quiescer.changed_object_parts()
        exported = export_gateway(self.gateway, self.state_machine.mode, changed)
        state, self.connections = exported.state, exported.connections
        self.exported_counts, state.must_reload = state.counts, self.was_reloaded
        descriptors = [conn.sock.fileno() for conn in self.connections]
        if state.store is not None:
            descriptors.append(self.gateway.store.directory.lock_fd)
        timeout = self.state_machine.remaining_seconds()
        self.receiver.send(MessageKind.STATE, state, tuple(descriptors), timeout)

    def _commit(self) -> None:
        """Commit once the receiver has restored the state; in WHOLE mode, wait until it serves."""
        machine = self.state_machine
        frame = self._receive(MessageKind.STATE_RESTORED, MessageKind.REFUSE)
        if frame.kind is MessageKind.REFUSE:
            raise FormatError(frame.decode(messages.Reason).reason)
        machine.state_restored()
        self._receive(MessageKind.COMMIT_ACKNOWLEDGED)
        machine.commit_acknowledged()
        if machine.mode == HandoverMode.WHOLE and not self.receiver_is_serving:
            # reports of synced store records need no handling here any more
            while frame.kind is not MessageKind.SERVING:
                frame = self._receive(MessageKind.SERVING, MessageKind.STORE_RECORDS_SYNCED)
            self.receiver_is_serving = True
            self.quiescer.discard_transferred_requests()
            self.quiescer.resume_connections()

    def _check_drained(self, repeat: bool = True) -> None:
        """Transfer idle clients, and end this process once no request is open; else check again later."""
        machine, gateway = self.state_machine, self.gateway
        if machine.phase != Phase.DRAINING:
            return
        try:
            for client in self.quiescer.quiesce_idle_clients():
                descriptor = client.connection.sock.fileno()
                self.receiver.send(MessageKind.IDLE_CLIENT, client.state, (descriptor,))
                self.quiescer.mark_transferred([client.connection])
        except HANDOVER_ERRORS as error:
            return self._receiver_failed(str(error))
        machine.check_drained(
            self.receiver_is_serving, not (gateway.open_requests or gateway.downstream.clients)
        )
        if repeat and machine.phase == Phase.DRAINING:
            gateway.call_at(gateway.time + int(DRAIN_POLL_SECONDS * TICKS_PER_SECOND), self._check_drained)

    def _receiver_failed(self, reason: str) -> None:
        with self.lock:
            self.state_machine.receiver_failed(reason)

    # --- signals, in the event loop's thread ---

    def forward_stop(self) -> bool:
        """Handle SIGTERM; returns whether it was forwarded because the receiver is the gateway."""
        with self.lock:
            self.state_machine.stop_requested()
        return self._forward(MessageKind.STOP)

    def forward_reload(self) -> None:
        """Handle SIGHUP: forward it if the receiver is the gateway.

        If it comes before the state is sent, the receiver reads the configuration again once it serves.
        """
        self.was_reloaded = True
        self._forward(MessageKind.RELOAD)

    def _forward(self, kind: MessageKind) -> bool:
        if self.state_machine.phase not in (Phase.DRAINING, Phase.DONE):
            return False
        with contextlib.suppress(ChannelError, FormatError):
            self.receiver.send(kind)
        return True

    # --- SenderActions ---

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def start_receiver(self) -> None:
        """Start the receiver."""
        self.receiver.start(self.command)

    def send_warm_up(self) -> None:
        """Do nothing: the driving thread does this in `_send_warm_up`, without holding the lock."""

    def transfer_state(self, mode: HandoverMode) -> None:
        """Do nothing: the event loop's thread does this in `_transfer`."""

    def send_commit(self) -> None:
        """Notify the receiver that it is the gateway."""
        self.receiver.send(MessageKind.COMMIT)

    def was_acknowledged(self) -> bool:
        """Return whether the receiver, which has exited, had acknowledged `commit`."""
        return self.receiver.has_acknowledged()

    def kill_receiver(self) -> None:
        """Kill the receiver and wait for its exit."""
        self.receiver.kill()

    def dismiss_receiver(self, reason: str) -> None:
        """Notify the receiver that the handover is aborted."""
        self.receiver.dismiss(reason)

    def resume(self, transferred_is_lost: bool) -> None:
        """Serve again; transferred connections that are lost with the receiver are closed."""
        if transferred_is_lost:
            self.quiescer.close_transferred(
                list(dict.fromkeys([*self.connections, *self.quiescer.transferred]))
            )
            self.gateway.router.set_standby(False)
        self.connections = []
        if self.gateway.store:
            self.gateway.store.resume(transferred_is_lost)
        self.quiescer.resume_all()
        self._report_gateway()

    def drain(self, mode: HandoverMode) -> None:
        """Remove the transferred connections, and in DRAIN mode serve the remaining ones.

        Only then are requests sent here, which takes following the change log.
        """
        self.quiescer.mark_transferred(self.connections)
        if self.gateway.store:
            self.gateway.store.delegate_writes(self._send_store_record)
        if mode == HandoverMode.DRAIN:
            self.gateway.router.set_standby(True)
            self.quiescer.resume_discovery()
            self.quiescer.resume_connections()

    def _send_store_record(self, ticket: int, kind: int, key: bytes, value: bytes | None) -> None:
        """Send a record of a request that is still open here to the receiver, which owns the store."""
        record = messages.StoreRecord(ticket, kind, key, value)
        try:
            self.receiver.send(MessageKind.STORE_RECORD, record, timeout=STORE_RECORD_TIMEOUT)
        except (ChannelError, FormatError) as error:
            # an attempt that waits for the record is rejected at its deadline
            logger.warning("upgrade: a store record could not be sent to the new process: {}", error)

    def reject_open_requests(self) -> None:
        """Reject the requests that are still open here, and stop reading from clients."""
        for client_request in list(self.gateway.open_requests.values()):
            self.gateway.router.reject(client_request.request, RejectReason.ENDING)
        for client in list(self.gateway.downstream.clients):
            client.pause_reading()  # unread data is transferred with the connection
            self.quiescer.quiesced[client] = False

    def exit(self) -> None:
        """Send the final counters, and end this process."""
        counters = messages.FinalCounters(counted_since(self.gateway, self.exported_counts))
        with contextlib.suppress(ChannelError, FormatError):
            self.receiver.send(MessageKind.DRAINED, counters)
        self.gateway.end()

    def report_phase(self, phase: Phase, reason: str, previous_phase_seconds: float) -> None:
        """Log a phase, record it, and send it to the upgrade command."""
        self.reporter.report(phase, reason, previous_phase_seconds, self.receiver.pid)

    def _report_gateway(self) -> None:
        """Report to the supervisor, if there is one, that this process is the gateway."""
        if self.status >= 0:
            with contextlib.suppress(OSError):
                os.write(self.status, b"gateway %d\n" % os.getpid())
