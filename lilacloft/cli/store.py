"""Commands on a store: what is in it, what is wrong with it, and what can be done."""

from __future__ import annotations

import json
import os
import shutil
from typing import Any

import click

path = click.argument("path", metavar="DIR")


def opened(path: str, lock: bool) -> tuple[Any, Any]:
    """A folder and the store in it; a usage error in words where there is none, or another process writes."""
    from lilacloft.store.errors import StoreError
    from lilacloft.store.files import StoreDirectory
    from lilacloft.store.log import Store

    if not os.path.isdir(path):
        raise click.ClickException(f"{path}: there is no such folder")
    try:
        folder = StoreDirectory(path, lock)
    except (StoreError, OSError) as wrong:
        raise click.ClickException(str(wrong)) from wrong
    try:
        return folder, Store(folder)
    except (StoreError, OSError) as wrong:
        folder.close()
        raise click.ClickException(f"{path}: {wrong}") from wrong


def told(found: Any) -> None:
    for line in found.damage:
        click.echo(f"damage: {line}")
    for line in found.torn:
        click.echo(f"torn: {line}")
    for line in found.ignored:
        click.echo(f"left over: {line}")


@click.group()
def store() -> None:
    """Look at a store, and mend it."""


@store.command()
@path
def check(path: str) -> int:
    """Say what is there. Code 1 where anything was lost; a torn end is what any crash leaves."""
    folder, found = opened(path, False)
    folder.close()
    told(found.report)
    click.echo(
        f"{found.durable_sequence} records written, {found.record_count()} kept, in "
        f"{len(folder.names())} files"
    )
    return 1 if found.report.damage else 0


@store.command()
@path
def dump(path: str) -> int:
    """Print what is kept, one JSON object a line."""
    from lilacloft.store.record_types import KIND_NAMES, readable_value

    folder, found = opened(path, False)
    folder.close()
    for kind in sorted(found.records):
        for record in found.records_of(kind):
            key = record.key.decode("utf-8", "replace")
            click.echo(
                json.dumps(
                    {
                        "kind": KIND_NAMES.get(kind, kind),
                        "key": key,
                        "stamp": record.timestamp,
                        "value": readable_value(record),
                    }
                )
            )
    return 0


@store.command()
@path
def compact(path: str) -> int:
    """Write what is kept anew, and drop the rest. Refused while a gateway writes there, or with damage."""
    folder, found = opened(path, True)
    try:
        if found.report.damage:
            told(found.report)
            raise click.ClickException("there is damage: repair first, which keeps the old files")
        before = sum(os.path.getsize(os.path.join(path, name)) for name in folder.names())
        found.compact()
        after = sum(os.path.getsize(os.path.join(path, name)) for name in folder.names())
        click.echo(f"{before} bytes before, {after} after")
    except OSError as wrong:
        raise click.ClickException(str(wrong)) from wrong
    finally:
        folder.close()
    return 0


@store.command()
@path
def repair(path: str) -> int:
    """Keep all that is whole, and say what is not. The old files stay beside, in a folder that is named."""
    folder, found = opened(path, True)
    try:
        told(found.report)
        if not found.report.damage:
            click.echo("nothing to repair")
            return 0
        aside = next(
            name
            for number in range(1, 1000)
            if not os.path.exists(name := os.path.join(path, f"before-repair-{number}"))
        )
        os.mkdir(aside)
        for name in folder.names():
            shutil.copy2(os.path.join(path, name), aside)
        found.compact()
        count = found.record_count()
        click.echo(f"{count} records kept; the files as they were are in {aside}")
    except OSError as wrong:
        raise click.ClickException(str(wrong)) from wrong
    finally:
        folder.close()
    return 0


COMMANDS = (store,)
