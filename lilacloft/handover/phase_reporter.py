"""Reports the phases of a handover to the log, the event records and the upgrade command."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from lilacloft.handover.channel import Channel, ChannelError
from lilacloft.handover.framing import FormatError, MessageKind
from lilacloft.handover.messages import MAX_REASON_CHARACTERS, PhaseReport
from lilacloft.handover.phases import Phase
from lilacloft.log import logger

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

SEND_TIMEOUT = 0.02  # seconds; short, because an upgrade command that does not read must not delay serving


class PhaseReporter:
    """Reports the phases of one gateway's handovers."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.command_channel: Channel | None = None  # to the upgrade command; None after the final report

    def report(self, phase: Phase, reason: str, previous_phase_seconds: float, pid: int) -> None:
        """Report that a phase has begun. `pid`: of the new process; 0: not started."""
        log = logger.bind(phase=str(phase), why=reason, took=round(previous_phase_seconds, 4), new=pid)
        text = f"upgrade: {phase.label}" + f": {reason}" * bool(reason)
        (log.warning if phase == Phase.IDLE else log.info)("{}", text)
        if self.gateway.recorder:
            self.gateway.recorder.upgrade_phase(str(phase), reason)
        if self.command_channel is not None:
            self._send(phase, reason, previous_phase_seconds, pid)

    def _send(self, phase: Phase, reason: str, previous_phase_seconds: float, pid: int) -> None:
        """Send a phase to the upgrade command; the last phase of a handover is marked as final."""
        assert self.command_channel is not None
        is_final = phase in (Phase.IDLE, Phase.DONE)
        reason = reason[:MAX_REASON_CHARACTERS]
        report = PhaseReport(phase, reason, previous_phase_seconds, pid, is_final, phase == Phase.DONE)
        with contextlib.suppress(ChannelError, FormatError):
            self.command_channel.send(MessageKind.PHASE, report, timeout=SEND_TIMEOUT)
        if is_final:
            self.command_channel = None
