"""Commands on records: report, watch, and a group to check, show and export them."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime, tzinfo
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import click

paths = click.argument("paths", nargs=-1, required=True, metavar="DIR...")


class Zone(click.ParamType):
    """A time zone by name."""

    name = "zone"

    def convert(self, value: Any, param: Any, ctx: Any) -> tzinfo:
        try:
            return UTC if value in (UTC, "UTC") else ZoneInfo(value)
        except (ZoneInfoNotFoundError, ValueError):
            self.fail(f"{value} is no time zone that is known here", param, ctx)


class Moment(click.ParamType):
    """A moment: ISO 8601, in the report's zone where it names none."""

    name = "time"

    def convert(self, value: Any, param: Any, ctx: Any) -> datetime:
        try:
            return value if isinstance(value, datetime) else datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value} is no time: as in 2026-12-01T18:00:00 expected", param, ctx)


def bound(moment: datetime | None, zone: tzinfo) -> float | None:
    if moment is None:
        return None
    return (moment if moment.tzinfo else moment.replace(tzinfo=zone)).timestamp() * 1000


class Progress:
    """A line on a terminal, where it takes over a second."""

    def __init__(self) -> None:
        import time

        self.clock, self.began, self.shown = time.monotonic, time.monotonic(), False

    def __call__(self, text: str, part: float) -> None:
        if sys.stderr.isatty() and self.clock() - self.began > 1:
            self.shown = True
            print(f"\r{text} {part:4.0%} ", end="", file=sys.stderr, flush=True)

    def over(self) -> None:
        if self.shown:
            print("\r" + " " * 40 + "\r", end="", file=sys.stderr)


@click.command()
@paths
@click.option("--out", metavar="FILE", default="-", help="where to; - is standard output")
@click.option("--format", "form", type=click.Choice(["html", "json", "text"]), default="html")
@click.option("--from", "begin", type=Moment(), help="leave out what was over before")
@click.option("--to", "end", type=Moment(), help="leave out what began after")
@click.option("--tz", "zone", type=Zone(), default=UTC, show_default="UTC", help="for the times shown")
def report(
    paths: tuple[str, ...], out: str, form: str, begin: datetime | None, end: datetime | None, zone: tzinfo
) -> int:
    """Tell what happened, in order, from gateways' records."""
    from lilacloft.report.facts import facts
    from lilacloft.report.load import load

    progress = Progress()
    found, damage = load(paths, bound(begin, zone), bound(end, zone), progress)
    if not found.gateways:
        progress.over()
        for one in damage:
            click.echo(str(one), err=True)
        raise click.ClickException("there are no records")
    if form == "html":
        from lilacloft.report.page import page

        told = page(found, damage, zone, progress=progress)
    elif form == "json":
        told = json.dumps(facts(found, damage, zone), indent=1) + "\n"
    else:
        from lilacloft.report.page import text

        told = text(facts(found, damage, zone))
    progress.over()
    try:
        with click.open_file(out, "w", encoding="utf-8") as file:
            file.write(told)
    except OSError as wrong:
        raise click.ClickException(f"{out}: {wrong.strerror}") from wrong
    return 0


@click.command()
@click.argument("paths", nargs=-1, metavar="[DIR...]")
@click.option("--connect", multiple=True, metavar="PATH", help="a gateway's (record (connect PATH)) instead")
@click.option("--every", default=1.0, metavar="SECONDS", help="between two looks")
@click.option("--sort", type=click.Choice(["name", "load", "trouble"]), default="trouble", help="of bes")
@click.option("--filter", "only", default="", metavar="TEXT", help="bes whose names or kinds have it")
@click.option("--once", is_flag=True, help="show it once and end")
def watch(
    paths: tuple[str, ...], connect: tuple[str, ...], every: float, sort: str, only: str, once: bool
) -> int:
    """Show a fleet as it is, from records that are being written, or from gateways' sockets."""
    from lilacloft.record.reader import read
    from lilacloft.report.console import Console
    from lilacloft.report.follow import Follow

    if bool(paths) == bool(connect):
        raise click.UsageError("name folders of records, or sockets with --connect")
    follow = Follow(connect) if connect else None
    if follow and once:
        follow.settle()
    return Console(follow.read if follow else lambda: read(paths), every, sort, only).run(once)


@click.group()
def records() -> None:
    """Check, show or export records."""


@records.command()
@paths
def check(paths: tuple[str, ...]) -> int:
    """Say what can be read, and what cannot. Code 1 where anything cannot."""
    from lilacloft.record.reader import read

    runs, damage = read(paths)
    for name, mine in runs.items():
        for run in mine:
            click.echo(
                f"{name} {run.head.run}: {len(run.records)} records in {len(run.files)} files, "
                f"version {run.head.version}, schema {run.head.schema}"
            )
    for one in damage:
        click.echo(str(one), err=True)
    return 1 if damage or not runs else 0


def chosen(
    paths: tuple[str, ...], kind: str, gateway: str, backend: str
) -> list[tuple[str, str, dict[str, Any]]]:
    """Records as plain maps, in the order of their times, by filters."""
    import msgspec

    from lilacloft.record.reader import read

    out = []
    for name, mine in read(paths)[0].items():
        if gateway and name != gateway:
            continue
        for run in mine:
            for record in run.records:
                plain = msgspec.to_builtins(record)
                if kind and plain["kind"] != kind:
                    continue
                if (
                    backend
                    and backend not in (plain.get("be"), *(plain.get("bes") or ()))
                    and not any(isinstance(row, list) and row[0] == backend for row in plain.get("bes") or ())
                ):
                    continue
                out.append((name, run.head.run, plain))
    return sorted(out, key=lambda row: row[2].get("wall", 0))


filters = [
    click.option("--kind", default="", help="belief, purge, listed, second, ..."),
    click.option("--gateway", default="", help="of one gateway"),
    click.option("--be", "backend", default="", help="that tell of one be"),
]


def filtered(command: Any) -> Any:
    for option in filters:
        command = option(command)
    return command


@records.command()
@paths
@filtered
def cat(paths: tuple[str, ...], kind: str, gateway: str, backend: str) -> int:
    """Show records, one JSON object a line, in the order of the gateways' own clocks."""
    for name, run, plain in chosen(paths, kind, gateway, backend):
        click.echo(json.dumps({"gateway": name, "run": run, **plain}))
    return 0


@records.command()
@paths
@filtered
@click.option("--out", required=True, metavar="FILE", help="by its ending: .csv or .sqlite")
def export(paths: tuple[str, ...], kind: str, gateway: str, backend: str, out: str) -> int:
    """Export: a CSV of the summaries by vhost and be, or a SQLite file of everything."""
    from lilacloft.report.export import to_csv, to_sqlite

    rows = chosen(paths, kind, gateway, backend)
    if not out.endswith((".csv", ".sqlite")):
        raise click.UsageError(f"--out {out}: a name that ends in .csv or .sqlite expected")
    try:
        (to_csv if out.endswith(".csv") else to_sqlite)(rows, out)
    except OSError as wrong:
        raise click.ClickException(f"{out}: {wrong.strerror}") from wrong
    click.echo(f"{len(rows)} records to {out}")
    return 0


COMMANDS = (report, watch, records)
