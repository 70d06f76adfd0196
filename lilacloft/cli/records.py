"""Commands for records: report, watch, and a group to check, print and export them."""

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
            self.fail(f"{value} is not a known time zone", param, ctx)


class Time(click.ParamType):
    """An ISO 8601 time, in the report's time zone if it names none."""

    name = "time"

    def convert(self, value: Any, param: Any, ctx: Any) -> datetime:
        try:
            return value if isinstance(value, datetime) else datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value} is not a time; expected for example 2026-12-01T18:00:00", param, ctx)


def unix_ms(moment: datetime | None, zone: tzinfo) -> float | None:
    if moment is None:
        return None
    return (moment if moment.tzinfo else moment.replace(tzinfo=zone)).timestamp() * 1000


class Progress:
    """A progress line on a terminal, shown when a command takes over a second."""

    def __init__(self) -> None:
        import time

        self.clock, self.started, self.shown = time.monotonic, time.monotonic(), False

    def __call__(self, text: str, fraction: float) -> None:
        if sys.stderr.isatty() and self.clock() - self.started > 1:
            self.shown = True
            print(f"\r{text} {fraction:4.0%} ", end="", file=sys.stderr, flush=True)

    def clear(self) -> None:
        if self.shown:
            print("\r" + " " * 40 + "\r", end="", file=sys.stderr)


@click.command()
@paths
@click.option("--out", metavar="FILE", default="-", help="output file; - is standard output")
@click.option("--format", "form", type=click.Choice(["html", "json", "text"]), default="html")
@click.option("--from", "begin", type=Time(), help="leave out what ended before")
@click.option("--to", "end", type=Time(), help="leave out what began after")
@click.option(
    "--tz", "zone", type=Zone(), default=UTC, show_default="UTC", help="time zone of the times shown"
)
def report(
    paths: tuple[str, ...], out: str, form: str, begin: datetime | None, end: datetime | None, zone: tzinfo
) -> int:
    """Report the incidents that gateways' records show, in order."""
    from lilacloft.report.facts import facts
    from lilacloft.report.load import load

    progress = Progress()
    timeline, damage = load(paths, unix_ms(begin, zone), unix_ms(end, zone), progress)
    if not timeline.gateways:
        progress.clear()
        for item in damage:
            click.echo(str(item), err=True)
        raise click.ClickException("there are no records")
    if form == "html":
        from lilacloft.report.page import page

        output = page(timeline, damage, zone, progress=progress)
    elif form == "json":
        output = json.dumps(facts(timeline, damage, zone), indent=1) + "\n"
    else:
        from lilacloft.report.page import text

        output = text(facts(timeline, damage, zone))
    progress.clear()
    try:
        with click.open_file(out, "w", encoding="utf-8") as file:
            file.write(output)
    except OSError as error:
        raise click.ClickException(f"{out}: {error.strerror}") from error
    return 0


@click.command()
@click.argument("paths", nargs=-1, metavar="[DIR...]")
@click.option(
    "--connect",
    multiple=True,
    metavar="PATH",
    help="socket of a gateway, its (record (connect PATH)), instead of files",
)
@click.option("--every", default=1.0, metavar="SECONDS", help="refresh interval")
@click.option(
    "--sort", type=click.Choice(["name", "load", "trouble"]), default="trouble", help="order of the backends"
)
@click.option(
    "--filter", "only", default="", metavar="TEXT", help="only backends whose name, role or state contains it"
)
@click.option("--once", is_flag=True, help="show one view and exit")
def watch(
    paths: tuple[str, ...], connect: tuple[str, ...], every: float, sort: str, only: str, once: bool
) -> int:
    """Show the current state of a fleet, from record files or from gateways' sockets."""
    from lilacloft.record.reader import read
    from lilacloft.report.console import Console
    from lilacloft.report.follow import RecordFollower

    if bool(paths) == bool(connect):
        raise click.UsageError("name either directories of records, or sockets with --connect")
    follower = RecordFollower(connect) if connect else None
    if follower and once:
        follower.wait_for_records()
    return Console(follower.read if follower else lambda: read(paths), every, sort, only).run(once)


@click.group()
def records() -> None:
    """Check, print or export records."""


@records.command()
@paths
def check(paths: tuple[str, ...]) -> int:
    """Report what can be read and what is damaged. Exits with 1 if anything is damaged."""
    from lilacloft.record.reader import read

    runs, damage = read(paths)
    for name, gateway_runs in runs.items():
        for run in gateway_runs:
            click.echo(
                f"{name} {run.head.run}: {len(run.records)} records in {len(run.files)} files, "
                f"version {run.head.version}, schema {run.head.schema}"
            )
    for item in damage:
        click.echo(str(item), err=True)
    return 1 if damage or not runs else 0


def select_records(
    paths: tuple[str, ...], kind: str, gateway: str, backend: str
) -> list[tuple[str, str, dict[str, Any]]]:
    """Return the records that match the filters as dictionaries, in time order."""
    import msgspec

    from lilacloft.record.reader import read

    out = []
    for name, gateway_runs in read(paths)[0].items():
        if gateway and name != gateway:
            continue
        for run in gateway_runs:
            for record in run.records:
                fields = msgspec.to_builtins(record)
                if kind and fields["kind"] != kind:
                    continue
                if (
                    backend
                    and backend not in (fields.get("be"), *(fields.get("bes") or ()))
                    and not any(
                        isinstance(row, list) and row[0] == backend for row in fields.get("bes") or ()
                    )
                ):
                    continue
                out.append((name, run.head.run, fields))
    return sorted(out, key=lambda row: row[2].get("wall", 0))


filters = [
    click.option("--kind", default="", help="belief, purge, listed, second, ..."),
    click.option("--gateway", default="", help="only of this gateway"),
    click.option("--be", "backend", default="", help="only those that mention this backend"),
]


def add_filters(command: Any) -> Any:
    for option in filters:
        command = option(command)
    return command


@records.command()
@paths
@add_filters
def cat(paths: tuple[str, ...], kind: str, gateway: str, backend: str) -> int:
    """Print records, one JSON object a line, ordered by the gateways' own clocks."""
    for name, run, fields in select_records(paths, kind, gateway, backend):
        click.echo(json.dumps({"gateway": name, "run": run, **fields}))
    return 0


@records.command()
@paths
@add_filters
@click.option(
    "--out",
    required=True,
    metavar="FILE",
    help="output file; its suffix, .csv or .sqlite, selects the format",
)
def export(paths: tuple[str, ...], kind: str, gateway: str, backend: str, out: str) -> int:
    """Export the summaries by virtual host and backend as CSV, or all records as SQLite."""
    from lilacloft.report.export import to_csv, to_sqlite

    rows = select_records(paths, kind, gateway, backend)
    if not out.endswith((".csv", ".sqlite")):
        raise click.UsageError(f"--out {out}: expected a name that ends in .csv or .sqlite")
    try:
        (to_csv if out.endswith(".csv") else to_sqlite)(rows, out)
    except OSError as error:
        raise click.ClickException(f"{out}: {error.strerror}") from error
    click.echo(f"{len(rows)} records to {out}")
    return 0


COMMANDS = (report, watch, records)
