"""State machines of a handover: the sender's phases with their time limits, and when the receiver may serve.

They do no I/O, and get the time from `SenderActions.now`. The phases of the sender, the process that is
replaced, are

    idle - starting - warming - ready - taking - committed - letting_go - gone

A failure in any phase up to `committed` leads back to `idle`, with the sender serving as before. A failure in
`letting_go` does so too, but the transferred connections and requests are lost with the receiver, as in any
crash. The `commit` message and its acknowledgement decide which process is the gateway: see
`SenderStateMachine.receiver_failed`.

Times are monotonic seconds as floats.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

from lilacloft.handover.resources import ResourceUsage, missing_capacity


class Phase(StrEnum):
    """A phase of the sender; the values are in settings, logs, records and the upgrade command's output."""

    IDLE = "idle"
    STARTING = "starting"
    WARMING = "warming"
    READY = "ready"
    TRANSFERRING = "taking"
    COMMITTED = "committed"
    DRAINING = "letting_go"
    DONE = "gone"

    @property
    def label(self) -> str:
        """The phase as it appears in messages."""
        return self.replace("_", " ")


class HandoverMode(StrEnum):
    """How open requests are handled."""

    WHOLE = "whole"  # they are transferred to the receiver
    DRAIN = "drain"  # the sender finishes them


# Seconds that each phase may take, unless overridden in the settings. No request is served from TRANSFERRING
# to COMMITTED.
DEFAULT_PHASE_LIMITS: Mapping[str, float] = {
    Phase.STARTING: 10.0,
    Phase.WARMING: 10.0,
    Phase.READY: 2.0,
    Phase.TRANSFERRING: 0.3,
    Phase.COMMITTED: 0.3,
    Phase.DRAINING: 8.0,
}
FLUSH_SECONDS = 1.0  # to write the answers to requests that are rejected at the end of DRAINING


class SenderActions(Protocol):
    """The actions of a `SenderStateMachine`. They do not wait: their outcome is reported as an event."""

    def now(self) -> float:
        """Return the time in seconds."""

    def start_receiver(self) -> None:
        """Start the receiver; it answers with `hello`."""

    def send_warm_up(self) -> None:
        """Send what the receiver can prepare while the sender serves; it answers with `ready`."""

    def transfer_state(self, mode: HandoverMode) -> None:
        """Quiesce, and send the state; the receiver answers once it has restored the state."""

    def send_commit(self) -> None:
        """Notify the receiver that it is the gateway; it acknowledges that."""

    def resume(self, transferred_is_lost: bool) -> None:
        """Serve again: all connections, or, if the transferred ones are lost, the remaining ones."""

    def drain(self, mode: HandoverMode) -> None:
        """Finish the requests that were not transferred."""

    def reject_open_requests(self) -> None:
        """Reject the requests that are still open in the sender, and stop reading from clients."""

    def exit(self) -> None:
        """End the sender: the receiver is the gateway, and no request is open in the sender."""

    def kill_receiver(self) -> None:
        """Kill the receiver and wait for its exit; messages that it sent before can still be read."""

    def was_acknowledged(self) -> bool:
        """Return whether the receiver, which has exited, had acknowledged `commit`."""

    def dismiss_receiver(self, reason: str) -> None:
        """Notify the receiver that the handover is aborted."""

    def report_phase(self, phase: Phase, reason: str, previous_phase_seconds: float) -> None:
        """Report that a phase has begun; `reason` says why a handover returned to IDLE."""


class SenderStateMachine:
    """The sender's phases. After a failed handover another one may begin."""

    def __init__(self, actions: SenderActions, limits: Mapping[str, float] | None = None) -> None:
        """`limits`: seconds by phase, overriding DEFAULT_PHASE_LIMITS."""
        self.actions = actions
        self.limits = {**DEFAULT_PHASE_LIMITS, **(limits or {})}
        self.phase = Phase.IDLE
        self.mode = HandoverMode.WHOLE
        self.requested_mode = HandoverMode.WHOLE
        self.phase_began_at = 0.0
        self.deadline = 0.0
        self.is_stopping = False  # SIGTERM was received
        self.has_rejected = False  # requests that were still open at the end of DRAINING

    # --- events ---

    def upgrade_requested(self, mode: str, used: ResourceUsage, limits: Mapping[str, float]) -> str:
        """Begin a handover; returns why it cannot begin, or an empty string.

        `used`: the sender's use of the resources that `limits` limits.
        """
        if self.phase != Phase.IDLE:
            return f"another upgrade is in progress (phase: {self.phase.label})"
        if self.is_stopping:
            return "this gateway is shutting down"
        if mode not in tuple(HandoverMode):
            return f"unknown mode {mode!r}: {HandoverMode.WHOLE} or {HandoverMode.DRAIN} expected"
        missing = missing_capacity(used, limits)
        if missing:
            return missing
        self.requested_mode = HandoverMode(mode)
        self.has_rejected = False
        self._enter(Phase.STARTING)
        self.actions.start_receiver()
        return ""

    def hello_received(self, accepts_requests: bool, reason: str = "") -> None:
        """The receiver has started. `reason`: why it does not accept open requests, if so."""
        if self.phase != Phase.STARTING:
            return self.receiver_failed("unexpected HELLO message")
        self.mode = self.requested_mode if accepts_requests else HandoverMode.DRAIN
        downgraded = self.mode != self.requested_mode
        self._enter(Phase.WARMING, f"falling back to drain mode: {reason}" if downgraded else "")
        return self.actions.send_warm_up()

    def ready_received(self) -> None:
        """The receiver has processed the warm-up data, and waits for the state."""
        if self.phase != Phase.WARMING:
            return self.receiver_failed("unexpected READY message")
        self._enter(Phase.READY)
        return None

    def begin_transfer(self) -> None:
        """The event loop begins the transfer: it serves no requests until the handover is decided."""
        if self.phase == Phase.READY:
            self._enter(Phase.TRANSFERRING)
            self.actions.transfer_state(self.mode)

    def quiesce_failed(self, reason: str) -> None:
        """The connections or the store could not be quiesced in time."""
        self.receiver_failed(reason)

    def state_restored(self) -> None:
        """The receiver has restored the state."""
        if self.phase != Phase.TRANSFERRING:
            return self.receiver_failed("unexpected STATE_RESTORED message")
        self._enter(Phase.COMMITTED)
        return self.actions.send_commit()

    def commit_acknowledged(self) -> None:
        """The receiver has become the gateway."""
        if self.phase != Phase.COMMITTED:
            return self.receiver_failed("unexpected COMMIT_ACKNOWLEDGED message")
        self._enter(Phase.DRAINING)
        return self.actions.drain(self.mode)

    def check_drained(self, receiver_is_serving: bool, is_empty: bool) -> None:
        """End the sender once the receiver serves and the sender has no open requests or clients.

        Requests that are still open when the phase's time limit expires are rejected; FLUSH_SECONDS are
        allowed for writing the answers.
        """
        if self.phase != Phase.DRAINING or not receiver_is_serving:
            return
        is_late = self.actions.now() >= self.deadline
        if is_empty or (is_late and self.has_rejected):
            self._enter(Phase.DONE)
            self.actions.exit()
        elif is_late:
            self.has_rejected = True
            self.deadline = self.actions.now() + FLUSH_SECONDS
            self.actions.reject_open_requests()

    def receiver_failed(self, reason: str) -> None:
        """The receiver has exited, closed the channel, refused, timed out, or sent an unexpected message.

        Until `commit` is sent the receiver is not the gateway, whatever part of the state it has. If it exits
        after that without an acknowledgement, it has neither read nor written on the transferred
        connections, because it acknowledges first: the sender resumes all of them. Once it has acknowledged,
        it was the gateway: the transferred connections are lost with it, and the sender serves the others.
        """
        if self.phase in (Phase.IDLE, Phase.DONE):
            return
        phase = self.phase
        self.actions.dismiss_receiver(reason)
        self.actions.kill_receiver()
        if phase == Phase.COMMITTED and self.actions.was_acknowledged():
            phase = Phase.DRAINING  # the acknowledgement was sent but not read yet
        self._enter(Phase.IDLE, f"{reason} while {phase.label}")
        if phase in (Phase.TRANSFERRING, Phase.COMMITTED, Phase.DRAINING):
            self.actions.resume(transferred_is_lost=phase == Phase.DRAINING)

    def stop_requested(self) -> None:
        """SIGTERM was received.

        Before the commit the handover is aborted, and the sender shuts down as usual. After it the receiver
        is the gateway, and the signal is forwarded to it.
        """
        self.is_stopping = True
        if self.phase in (Phase.STARTING, Phase.WARMING, Phase.READY, Phase.TRANSFERRING):
            self.receiver_failed("the gateway received SIGTERM")

    def check_time_limit(self) -> None:
        """Abort the handover if the phase has exceeded its time limit."""
        if self.phase not in (Phase.IDLE, Phase.DONE) and self.actions.now() >= self.deadline:
            self.receiver_failed(f"time limit of {self.limits[self.phase]:g} s exceeded")

    def remaining_seconds(self) -> float:
        """Return the seconds until the phase's time limit; infinite in a phase without one."""
        if self.phase in (Phase.IDLE, Phase.DONE):
            return math.inf
        return max(0.0, self.deadline - self.actions.now())

    def _enter(self, phase: Phase, reason: str = "") -> None:
        now = self.actions.now()
        previous_phase_seconds = now - self.phase_began_at if self.phase != Phase.IDLE else 0.0
        self.phase_began_at = now
        self.phase = phase
        self.deadline = now + self.limits.get(phase, math.inf)
        self.actions.report_phase(phase, reason, previous_phase_seconds)


class ReceiverStateMachine:
    """Decides when the receiver is the gateway, also if the sender exits during the handover."""

    def __init__(self) -> None:
        self.has_state = False
        self.is_gateway = False
        self.is_aborted = False  # the receiver will not become the gateway
        self.reason = ""  # why it was aborted, or why the receiver serves without a commit

    def state_restored(self) -> bool:
        """The state is restored; returns False if the handover has been aborted."""
        self.has_state = not self.is_aborted
        return self.has_state

    def commit_received(self) -> bool:
        """The sender has committed; returns whether the receiver is the gateway.

        The commit is acknowledged before the receiver reads or writes on any connection: without an
        acknowledgement the sender knows that all connections are unchanged.
        """
        self.is_gateway = self.has_state and not self.is_aborted
        return self.is_gateway

    def dismissed(self, reason: str) -> None:
        """The sender has aborted the handover, and remains the gateway."""
        if not self.is_gateway:
            self.is_aborted, self.reason = True, reason

    def channel_broken(self, sender_is_running: bool) -> bool:
        """The channel broke without a dismissal; returns whether the receiver is the gateway.

        A receiver that is dismissed is notified or killed, so if the sender no longer runs, it has crashed.
        A receiver with the whole state then takes over; the listening socket would be closed otherwise. The
        connections are still quiesced, so no request is sent or answered twice.
        """
        if not self.is_gateway:
            self.is_gateway = self.has_state and not self.is_aborted and not sender_is_running
            self.is_aborted = not self.is_gateway
            default = "the old process closed the channel" if sender_is_running else "the old process exited"
            self.reason = self.reason or default
        return self.is_gateway
