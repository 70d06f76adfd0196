"""The command that sends gateways the load of an emulated world's clients."""

from __future__ import annotations

import json

import click


@click.command()
@click.argument("world")
@click.option("--gateways", required=True, metavar="ADDR,...", help="HOST:PORT of each, separated by commas")
@click.option("--rate", type=float, default=0.0, help="requests a second; default: the world's rate")
@click.option("--seconds", type=float, default=0.0, help="duration; default: that of the world")
@click.option("--seed", default=1)
def load(world: str, gateways: str, rate: float, seconds: float, seed: int) -> int:
    """Send gateways the requests of a world's clients at predetermined times, and print the results."""
    from lilacloft.config.addresses import address
    from lilacloft.emulator.worlds import WORLDS
    from lilacloft.load.driver import Load, report
    from lilacloft.load.schedule import schedule

    if world not in WORLDS:
        raise click.UsageError(f"no world {world}: {', '.join(WORLDS)}")
    chosen = WORLDS[world]
    chosen = chosen.at(rate or chosen.habits.rate)
    if seconds:
        chosen = chosen.lasting(seconds)
    try:
        addresses = [address(text) for text in gateways.split(",")]
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    tally = Load(chosen, addresses, seed).run(schedule(chosen, seed, len(addresses)))
    click.echo(json.dumps(report(tally), indent=1))
    return 0 if not tally.open() else 1


COMMANDS = (load,)
