"""The command that replaces a gateway."""

from __future__ import annotations

import click

from lilacloft.log import logger


@click.command()
@click.option("--handover", metavar="PATH", required=True, help="Unix socket on which the gateway offers it")
@click.option(
    "--to", metavar="COMMAND", default="", help="command to start; default: the one that started the gateway"
)
@click.option(
    "--mode",
    type=click.Choice(["whole", "drain"]),
    help="open requests are handed over (whole) or finished by the old process (drain); default: as set",
)
@click.option("--wait", type=float, default=120.0, metavar="SECONDS", help="time limit of the upgrade")
def upgrade(handover: str, to: str, mode: str | None, wait: float) -> int:
    """Replace a gateway while it serves. Exits with 0 once the new process serves and the old one has
    ended."""
    from lilacloft.handover.messages import PhaseReport
    from lilacloft.handover.request import request_upgrade

    def log_phase(report: PhaseReport) -> None:
        seconds = report.previous_phase_seconds
        reason = f": {report.reason}" * bool(report.reason)
        logger.bind(phase=report.phase, why=report.reason, took=seconds, pid=report.pid).info(
            "{}{} (previous phase took {:.0f} ms)", report.phase.replace("_", " "), reason, 1000 * seconds
        )

    result = request_upgrade(handover, to, mode or "", log_phase, wait)
    if not result.succeeded:
        logger.error("not upgraded: {}", result.reason)
    return 0 if result.succeeded else 1


COMMANDS = (upgrade,)
