"""Commands that run or check a gateway."""

from __future__ import annotations

from typing import Any

import click

from lilacloft import __version__, errors, serving

config = click.option(
    "--config", envvar="EDGE_CONFIG", metavar="FILE", show_envvar=True, help="the platform's JSON"
)


@click.command()
@config
@click.option(
    "--settings",
    metavar="FILE",
    help="operators' settings (deploy/lilacloft.sexp); without, all new parts are off",
)
@click.option("--handover", metavar="PATH", help="offer a handover on this Unix socket")
@click.option("--supervised", is_flag=True, help="run as the one foreground process over workers that change")
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
    chosen: dict[str, Any] = {}
    record: dict[str, Any] = {}
    store: dict[str, Any] = {}
    plan: dict[str, Any] = {}
    if settings:
        from lilacloft.config import reader

        found = reader.load(settings)
        chosen = found.get("upgrade", {})
        if "log" in found:
            serving.configure_logging(found["log"].get("format", "text"))
        record, store, plan = (found.get(part, {}) for part in ("record", "store", "plan"))
    handover = handover or chosen.get("handover")
    if supervised:
        if not handover:
            raise click.UsageError("--supervised needs --handover, or a handover in the settings")
        from lilacloft.handover.supervisor import Supervisor

        listen = serving.read_config(config).get("listen", "")
        host, _, port = str(listen).rpartition(":")
        try:
            return Supervisor((host, int(port))).run()
        except (OSError, ValueError) as wrong:
            raise errors.UnusableError(f"{listen} cannot be listened on: {wrong}") from wrong
    more = {
        "handover": handover or "",
        "takeover": takeover,
        "status": status,
        "listener": listener,
        "unserved_since": unserved_since,
        "limits": chosen.get("limits"),
        "mode": chosen.get("mode", "whole"),
        "record": record,
        "store": store,
        "plan": plan,
    }
    if not handover and takeover < 0 and listener < 0 and not (record or store or plan):
        more = {}
    return serving.serve(config, **more)


@click.command()
@config
@click.option("--settings", metavar="FILE", help="operators' settings to check as well")
def check(config: str | None, settings: str | None) -> int:
    """Read a configuration and say if it can be used."""
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
