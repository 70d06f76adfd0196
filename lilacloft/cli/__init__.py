"""The command line, one module for each group of commands. Commands only parse arguments and print results;
their work is done elsewhere."""

from __future__ import annotations

import sys

import click

from lilacloft import errors, log
from lilacloft.cli import experiment, gateway, load, plan, records, store, upgrade


@click.group(context_settings={"help_option_names": ["-h", "--help"], "show_default": True})
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", help="format of log lines")
def commands(log_format: str) -> None:
    """A gateway that decides where objects are served from."""
    log.configure(log_format)


for group in (gateway, upgrade, records, store, experiment, load, plan):
    for command in group.COMMANDS:
        commands.add_command(command)


def run(arguments: list[str]) -> int:
    """Run a command, and return its exit code."""
    try:
        return commands.main(arguments, prog_name="lilacloft", standalone_mode=False) or 0
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.Abort:
        return 130
    except errors.UnusableError as error:
        print(f"lilacloft: {error}", file=sys.stderr)
        return errors.UNUSABLE
    except Exception as error:
        if type(error).__name__ != "SettingsError":  # its module is only imported with settings
            raise
        print(f"lilacloft: {error}", file=sys.stderr)
        return errors.UNUSABLE
