"""Commands that run or check a gateway."""

from __future__ import annotations

from typing import Any

import click

from lilacloft import __version__, errors, log, serving

config = click.option(
    "--config",
    envvar="EDGE_CONFIG",
    metavar="FILE",
    show_envvar=True,
    help="the platform's JSON configuration",
)


@click.command()
@config
@click.option(
    "--settings",
    metavar="FILE",
    help="operators' settings, as deploy/lilacloft.sexp; without it, all optional features are off",
)
@click.option("--handover", metavar="PATH", help="Unix socket on which a handover is offered")
@click.option("--supervised", is_flag=True, help="stay in the foreground as a supervisor of worker processes")
@click.option("--takeover", type=int, default=-1, hidden=True)
@click.option("--status", type=int, default=-1, hidden=True)
@click.option("--listener", type=int, default=-1, hidden=True)
@click.option("--unserved-since", type=float, default=0.0, hidden=True)
def serve(
    config: str | None,
    settings: str | None,
    handover: str | None,
    supervised: bool,
    takeover: int,
    status: int,
    listener: int,
    unserved_since: float,
) -> int:
    """Run one gateway until SIGTERM."""
    upgrade: dict[str, Any] = {}
    record: dict[str, Any] = {}
    store: dict[str, Any] = {}
    plan: dict[str, Any] = {}
    if settings:
        from lilacloft.config import reader

        loaded = reader.load(settings)
        upgrade = loaded.get("upgrade", {})
        if "log" in loaded:
            log.configure(loaded["log"].get("format", "text"))
        record, store, plan = (loaded.get(part, {}) for part in ("record", "store", "plan"))
    handover = handover or upgrade.get("handover")
    if supervised:
        if not handover:
            raise click.UsageError("--supervised needs --handover, or a handover in the settings")
        from lilacloft.handover.supervisor import Supervisor

        listen = serving.read_config(config).get("listen", "")
        host, _, port = str(listen).rpartition(":")
        try:
            return Supervisor((host, int(port))).run()
        except (OSError, ValueError) as error:
            raise errors.UnusableError(f"{listen} cannot be listened on: {error}") from error
    options = {
        "handover": handover or "",
        "takeover": takeover,
        "status": status,
        "listener": listener,
        "unserved_since": unserved_since,
        "limits": upgrade.get("limits"),
        "mode": upgrade.get("mode", "whole"),
        "record": record,
        "store": store,
        "plan": plan,
    }
    if not handover and takeover < 0 and listener < 0 and not (record or store or plan):
        options = {}
    return serving.serve(config, **options)


@click.command()
@config
@click.option("--settings", metavar="FILE", help="operators' settings to check as well")
def check(config: str | None, settings: str | None) -> int:
    """Check whether a configuration can be used."""
    if settings:
        from lilacloft.config import reader

        reader.load(settings)
        print(f"{settings}: usable")
        if not config:
            return 0
    return serving.check(config)


@click.command()
def version() -> None:
    """Print the version."""
    print(f"lilacloft {__version__}")


COMMANDS = (serve, check, version)
