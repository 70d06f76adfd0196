"""Commands for planners: run one, or query one as an operator."""

from __future__ import annotations

import signal
from typing import Any

import click

from lilacloft import errors, serving

ANSWER_TIMEOUT = 3.0  # seconds


@click.group()
def plan() -> None:
    """Planners, which combine the reports of all gateways into one plan."""


@plan.command()
@click.option(
    "--config",
    envvar="EDGE_CONFIG",
    metavar="FILE",
    help="the platform's JSON configuration, as for a gateway",
)
@click.option("--name", required=True)
@click.option("--planners", required=True, metavar="NAME=ADDR,...", help="all planners, including this one")
@click.option("--store", "folder", default="", metavar="DIR", help="keeps epochs across restarts")
@click.option(
    "--leave",
    type=click.Choice(["past", "across", "never"]),
    default="never",
    show_default=True,
    help="fail over whole locations: past their caches, or to the caches of others",
)
def serve(config: str | None, name: str, planners: str, folder: str, leave: str) -> int:
    """Run one planner until SIGTERM."""
    from lilacloft.config.addresses import parse_named_addresses
    from lilacloft.control.planner_server import PlannerServer
    from lilacloft.store.errors import StoreError

    try:
        addresses = parse_named_addresses(planners)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    if name not in addresses:
        raise click.UsageError(f"{name} is not one of the planners {', '.join(addresses)}")
    try:
        server = PlannerServer(name, serving.read_config(config), addresses, folder, leave)
    except (KeyError, ValueError, TypeError, OSError, StoreError) as error:
        raise errors.UnusableError(f"the planner cannot be started: {error}") from error

    def stop(*_: Any) -> None:
        server.is_closed = True

    signal.signal(signal.SIGTERM, stop)
    server.run()
    return 0


def print_answer(planner: str, query: str) -> int:
    """Send a query to a planner's address, and print the lines of its answer."""
    import queue

    from lilacloft.config.addresses import address
    from lilacloft.control import codec
    from lilacloft.control.transport import Client

    messages: queue.SimpleQueue[Any] = queue.SimpleQueue()
    try:
        client = Client(
            address(planner),
            lambda: codec.encode_hello("operator", "operator", 1) + codec.encode_query(query),
            lambda connection, message: messages.put(message),
        )
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    try:
        while True:
            message = messages.get(timeout=ANSWER_TIMEOUT)
            if message.HasField("shown"):
                for line in message.shown.lines:
                    click.echo(line)
                return 0
    except queue.Empty:
        raise click.ClickException(f"{planner}: no answer") from None
    finally:
        client.close()


@plan.command()
@click.argument("address")
def show(address: str) -> int:
    """Show a planner's plan and members."""
    return print_answer(address, "plan")


@plan.command()
@click.argument("address")
def diff(address: str) -> int:
    """Show what a planner's last plan changed."""
    return print_answer(address, "diff")


@plan.command()
@click.argument("address")
@click.argument("what")
def explain(address: str, what: str) -> int:
    """Show who decided what about a backend, or about a whole location (`zone 3`, in quotes), and on what
    evidence."""
    return print_answer(address, f"explain {what}")


COMMANDS = (plan,)
