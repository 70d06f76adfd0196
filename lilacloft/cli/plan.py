"""Commands of planners: one that runs, and what an operator asks it."""

from __future__ import annotations

import signal
from typing import Any

import click

from lilacloft import errors, serving


@click.group()
def plan() -> None:
    """Planners that see what all forwarders see."""


@plan.command()
@click.option("--config", envvar="EDGE_CONFIG", metavar="FILE", help="the platform's JSON, as a gateway's")
@click.option("--name", required=True)
@click.option("--planners", required=True, metavar="NAME=ADDR,...", help="all planners, this one among them")
@click.option("--store", "folder", default="", metavar="DIR", help="keeps epochs over its ends")
@click.option(
    "--leave",
    type=click.Choice(["past", "across", "never"]),
    default="never",
    show_default=True,
    help="leave whole locations that fail: past their caches, or to others' caches",
)
def serve(config: str | None, name: str, planners: str, folder: str, leave: str) -> int:
    """Run one planner until SIGTERM."""
    from lilacloft.config.addresses import named
    from lilacloft.control.planner_server import Process
    from lilacloft.store.form import StoreError

    try:
        places = named(planners)
    except ValueError as wrong:
        raise click.UsageError(str(wrong)) from wrong
    if name not in places:
        raise click.UsageError(f"{name} is none of the planners {', '.join(places)}")
    try:
        process = Process(name, serving.read(config), places, folder, leave)
    except (KeyError, ValueError, TypeError, OSError, StoreError) as wrong:
        raise errors.UnusableError(f"the planner cannot be started: {wrong}") from wrong

    def end(*_: Any) -> None:
        process.over = True

    signal.signal(signal.SIGTERM, end)
    process.run()
    return 0


def asked(place: str, what: str) -> int:
    """Ask a planner, and print its lines."""
    import queue

    from lilacloft.config.addresses import address
    from lilacloft.control import codec
    from lilacloft.control.transport import Dial

    heard: queue.SimpleQueue[Any] = queue.SimpleQueue()
    try:
        dial = Dial(
            address(place),
            lambda: codec.hello("operator", "operator", 1) + codec.show(what),
            lambda peer, message: heard.put(message),
        )
    except ValueError as wrong:
        raise click.UsageError(str(wrong)) from wrong
    try:
        while True:
            message = heard.get(timeout=3.0)
            if message.HasField("shown"):
                for line in message.shown.lines:
                    click.echo(line)
                return 0
    except queue.Empty:
        raise click.ClickException(f"{place}: no answer") from None
    finally:
        dial.close()


@plan.command()
@click.argument("address")
def show(address: str) -> int:
    """Show a planner's plan and members."""
    return asked(address, "plan")


@plan.command()
@click.argument("address")
def diff(address: str) -> int:
    """Show what its last plan changed."""
    return asked(address, "diff")


@plan.command()
@click.argument("address")
@click.argument("what")
def explain(address: str, what: str) -> int:
    """Say who decided what of a be, or of a whole location (`zone 3`, in quotes), and on what evidence."""
    return asked(address, f"explain {what}")


COMMANDS = (plan,)
