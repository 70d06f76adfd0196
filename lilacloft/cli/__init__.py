"""Owns the commands' words, one file a group of them. It must never do a command's work itself."""

from __future__ import annotations

import sys

import click

from lilacloft import errors, serving
from lilacloft.cli import experiment, gateway, load, plan, records, store, upgrade


@click.group(context_settings={"help_option_names": ["-h", "--help"], "show_default": True})
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", help="form of log lines")
def commands(log_format: str) -> None:
    """Decides where objects are served from."""
    serving.configure_logging(log_format)


for group in (gateway, upgrade, records, store, experiment, load, plan):
    for command in group.COMMANDS:
        commands.add_command(command)


def run(words: list[str]) -> int:
    """Run one command; returns its code."""
    try:
        return commands.main(words, prog_name="lilacloft", standalone_mode=False) or 0
    except click.ClickException as wrong:
        wrong.show()
        return wrong.exit_code
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.Abort:
        return 130
    except errors.UnusableError as wrong:
        print(f"lilacloft: {wrong}", file=sys.stderr)
        return errors.UNUSABLE
    except Exception as wrong:
        if type(wrong).__name__ != "SettingsError":  # its module is imported only where settings are
            raise
        print(f"lilacloft: {wrong}", file=sys.stderr)
        return errors.UNUSABLE
