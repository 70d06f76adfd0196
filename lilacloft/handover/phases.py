"""State machines of a handover: the sender's phases with their time limits, and when the receiver may serve.

No I/O, and no clock but the host's. The phases of the sender, the process that is replaced, are

    idle - starting - warming - ready - taking - committed - letting_go - gone

From each phase up to `committed` a failure leads back to idle, with the sender serving as before. From
`letting_go` it does so too, but what was transferred is lost with the receiver, as with any process that
dies. `commit` with its acknowledgement is the one message that decides: see `SenderStateMachine.lost`.

Times are seconds as floats, by a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

from lilacloft.handover.resources import ResourceUsage, missing_capacity


class Phase(StrEnum):
    """A phase of the sender; its value is in settings, logs, records and the upgrade command's output."""

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
        """The phase as it is printed."""
        return self.replace("_", " ")


class HandoverMode(StrEnum):
    """What happens to open requests."""

    WHOLE = "whole"  # they go over
    DRAIN = "drain"  # the sender finishes them


# Seconds that each phase may take unless settings say otherwise. Nothing is served from TRANSFERRING to
# COMMITTED.
DEFAULT_PHASE_LIMITS: Mapping[str, float] = {
    Phase.STARTING: 10.0,
    Phase.WARMING: 10.0,
    Phase.READY: 2.0,
    Phase.TRANSFERRING: 0.3,
    Phase.COMMITTED: 0.3,
    Phase.DRAINING: 8.0,
}
FLUSH_SECONDS = 1.0  # for the answers of requests that were rejected at the end of DRAINING to be written


class SenderActions(Protocol):
    """What a `SenderStateMachine` does. Each call returns at once; what follows comes back as an event."""

    def now(self) -> float:
        """Return the time in seconds."""

    def start_receiver(self) -> None:
        """Start the new process; it answers with `hello`."""

    def send_warm_up(self) -> None:
        """Send what the receiver can prepare while this process serves; it answers with `ready`."""

    def transfer_state(self, mode: HandoverMode) -> None:
        """Quiesce and send the state; the receiver answers that it has restored it."""

    def send_commit(self) -> None:
        """Notify the receiver that it is the gateway; it acknowledges."""

    def resume(self, transferred_is_lost: bool) -> None:
        """Serve again: everything at rest, or only what had not been transferred."""

    def drain(self, mode: HandoverMode) -> None:
        """Finish what was not transferred."""

    def reject_open_requests(self) -> None:
        """Reject what is still open here, and read nothing more."""

    def exit(self) -> None:
        """End this process: the receiver is the gateway, and nothing is open here."""

    def kill_receiver(self) -> None:
        """Kill the new process and return once it has ended; its earlier messages can still be read."""

    def was_acknowledged(self) -> bool:
        """Return whether the receiver, which has ended, had acknowledged `commit`."""

    def dismiss_receiver(self, reason: str) -> None:
        """Notify the receiver that it is not wanted."""

    def report_phase(self, phase: Phase, reason: str, previous_phase_seconds: float) -> None:
        """Report that a phase has begun; for IDLE with the reason."""


class SenderStateMachine:
    """One gateway process that can be replaced, again and again until a handover succeeds."""

    def __init__(self, actions: SenderActions, limits: Mapping[str, float] | None = None) -> None:
        """`limits`: seconds by phase, where they are not those of DEFAULT_PHASE_LIMITS."""
        self.actions = actions
        self.limits = {**DEFAULT_PHASE_LIMITS, **(limits or {})}
        self.phase = Phase.IDLE
        self.mode = HandoverMode.WHOLE
        self.requested_mode = HandoverMode.WHOLE
        self.phase_began_at = 0.0
        self.deadline = 0.0
        self.is_stopping = False  # SIGTERM came
        self.has_rejected = False  # what was still open at the end of DRAINING

    # --- events ---

    def upgrade_requested(self, mode: str, used: ResourceUsage, limits: Mapping[str, float]) -> str:
        """Begin a handover; returns why it does not begin, or an empty text.

        `used`: what this process uses of the resources that `limits` names.
        """
        if self.phase != Phase.IDLE:
            return f"another upgrade is {self.phase.label}"
        if self.is_stopping:
            return "this gateway is about to end"
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
        """The receiver runs. `reason`: why it cannot continue with open requests, if it cannot."""
        if self.phase != Phase.STARTING:
            return self.lost(f"hello while {self.phase}")
        self.mode = self.requested_mode if accepts_requests else HandoverMode.DRAIN
        downgraded = self.mode != self.requested_mode
        self._enter(Phase.WARMING, f"drain: {reason}" if downgraded else "")
        return self.actions.send_warm_up()

    def ready_received(self) -> None:
        """The receiver has prepared what it was sent, and waits for the state."""
        if self.phase != Phase.WARMING:
            return self.lost(f"ready while {self.phase}")
        self._enter(Phase.READY)
        return None

    def begin_transfer(self) -> None:
        """The event loop has come to it: nothing is served from here until the handover is decided."""
        if self.phase == Phase.READY:
            self._enter(Phase.TRANSFERRING)
            self.actions.transfer_state(self.mode)

    def quiesce_failed(self, reason: str) -> None:
        """Not everything could be brought to rest in time."""
        self.lost(reason)

    def state_restored(self) -> None:
        """The receiver has the whole state."""
        if self.phase != Phase.TRANSFERRING:
            return self.lost(f"have while {self.phase}")
        self._enter(Phase.COMMITTED)
        return self.actions.send_commit()

    def commit_acknowledged(self) -> None:
        """The receiver is the gateway."""
        if self.phase != Phase.COMMITTED:
            return self.lost(f"taken while {self.phase}")
        self._enter(Phase.DRAINING)
        return self.actions.drain(self.mode)

    def check_drained(self, receiver_serves: bool, is_empty: bool) -> None:
        """End this process once the receiver serves and nothing is open here.

        What is still open at the end of the phase is rejected; its answers get FLUSH_SECONDS to be written.
        """
        if self.phase != Phase.DRAINING or not receiver_serves:
            return
        is_late = self.actions.now() >= self.deadline
        if is_empty or (is_late and self.has_rejected):
            self._enter(Phase.DONE)
            self.actions.exit()
        elif is_late:
            self.has_rejected = True
            self.deadline = self.actions.now() + FLUSH_SECONDS
            self.actions.reject_open_requests()

    def lost(self, reason: str) -> None:
        """The receiver has ended, broken off, refused, or sent what was not expected.

        Before `commit` was sent it is not the gateway, whatever it has. After that, if it ended without an
        acknowledgement, it has read and written nothing on what it was sent, as it acknowledges first:
        everything resumes here. After the acknowledgement it was the gateway: what it had is lost with it,
        and this process serves without.
        """
        if self.phase in (Phase.IDLE, Phase.DONE):
            return
        phase = self.phase
        self.actions.dismiss_receiver(reason)
        self.actions.kill_receiver()
        if phase == Phase.COMMITTED and self.actions.was_acknowledged():
            phase = Phase.DRAINING  # it acknowledged before it ended
        self._enter(Phase.IDLE, f"{reason} while {phase.label}")
        if phase in (Phase.TRANSFERRING, Phase.COMMITTED, Phase.DRAINING):
            self.actions.resume(transferred_is_lost=phase == Phase.DRAINING)

    def stop_requested(self) -> None:
        """SIGTERM came.

        Before the commit the handover is aborted, and this process ends as without one. After it the receiver
        is the gateway, and is notified.
        """
        self.is_stopping = True
        if self.phase in (Phase.STARTING, Phase.WARMING, Phase.READY, Phase.TRANSFERRING):
            self.lost("the gateway was told to stop")

    def check_time_limit(self) -> None:
        """Abort the handover if the phase takes longer than it may."""
        if self.phase not in (Phase.IDLE, Phase.DONE) and self.actions.now() >= self.deadline:
            self.lost(f"more than {self.limits[self.phase]:g} s")

    def remaining_seconds(self) -> float:
        """Return the seconds until the phase's limit; infinite in a phase without one."""
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
    """The new process: when it is the gateway, and what follows if the sender ends."""

    def __init__(self) -> None:
        self.has_state = False
        self.is_gateway = False
        self.is_over = False  # it will never be the gateway
        self.reason = ""  # why it is over, or why it serves without a commit

    def state_restored(self) -> bool:
        """The whole state is here; returns whether it is of use."""
        self.has_state = not self.is_over
        return self.has_state

    def commit_received(self) -> bool:
        """The sender says that this process is the gateway; returns whether it is.

        It is acknowledged before anything is read or written, so that no acknowledgement means that nothing
        was touched.
        """
        self.is_gateway = self.has_state and not self.is_over
        return self.is_gateway

    def dismissed(self, reason: str) -> None:
        """The sender goes on as the gateway."""
        if not self.is_gateway:
            self.is_over, self.reason = True, reason

    def channel_broken(self, sender_lives: bool) -> bool:
        """The channel has ended without a message; returns whether this process is the gateway.

        Whoever is dismissed is notified or killed, so the sender has died. With its whole state this process
        is all that remains of the gateway, and the listening socket would be closed otherwise. What was at
        rest is still at rest, so that nothing is done twice.
        """
        if not self.is_gateway:
            self.is_gateway = self.has_state and not self.is_over and not sender_lives
            self.is_over = not self.is_gateway
            default = "the old process broke off" if sender_lives else "the old process ended"
            self.reason = self.reason or default
        return self.is_gateway
