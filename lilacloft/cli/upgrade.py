"""The command that replaces a gateway."""

from __future__ import annotations

import click
from loguru import logger


@click.command()
@click.option("--handover", metavar="PATH", required=True, help="where the gateway offers it")
@click.option("--to", metavar="COMMAND", default="", help="what to start; else the command it was started by")
@click.option(
    "--mode",
    type=click.Choice(["whole", "drain"]),
    help="open reqs go over, or the old process finishes them; else as its settings say",
)
@click.option("--wait", type=float, default=120.0, metavar="SECONDS", help="for all of it")
def upgrade(handover: str, to: str, mode: str | None, wait: float) -> int:
    """Replace a gateway while it serves. Code 0 once the new one serves and the old one has ended."""
    from lilacloft.handover.messages import Phase
    from lilacloft.handover.request import ask

    def tell(phase: Phase) -> None:
        why = f": {phase.why}" * bool(phase.why)
        logger.bind(phase=phase.phase, why=phase.why, took=phase.took, pid=phase.pid).info(
            "{}{} (the last took {:.0f} ms)", phase.phase.replace("_", " "), why, 1000 * phase.took
        )

    done, why = ask(handover, to, mode or "", tell, wait)
    if not done:
        logger.error("not upgraded: {}", why)
    return 0 if done else 1


COMMANDS = (upgrade,)
