"""Commands for a store: check it, print it, compact it and repair it.

The modules of the store are imported when a command runs, so that other commands start without them.
"""

from __future__ import annotations

import json
import os
import shutil
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

import click

if TYPE_CHECKING:
    from lilacloft.store.files import StoreDirectory
    from lilacloft.store.log import Store
    from lilacloft.store.recovery import RecoveryReport

MAX_BACKUPS = 1000
path_argument = click.argument("path", metavar="DIR")


class OpenStore(NamedTuple):
    """A store and the directory of its files."""

    directory: StoreDirectory
    store: Store


def open_store(path: str, lock: bool) -> OpenStore:
    """Open a store: with the lock for writing, or without it for reading.

    Raises click.ClickException if it does not exist, cannot be read, or is locked by another process.
    """
    from lilacloft.store.errors import StoreError
    from lilacloft.store.files import StoreDirectory
    from lilacloft.store.log import Store

    if not os.path.isdir(path):
        raise click.ClickException(f"{path}: no such directory")
    try:
        directory = StoreDirectory(path, lock)
    except (StoreError, OSError) as error:
        raise click.ClickException(str(error)) from error
    try:
        return OpenStore(directory, Store(directory))
    except (StoreError, OSError) as error:
        directory.close()
        raise click.ClickException(f"{path}: {error}") from error


@contextmanager
def locked_store(path: str) -> Iterator[OpenStore]:
    """Open a store for writing, and close it afterwards. An OSError within ends the command."""
    opened = open_store(path, True)
    try:
        yield opened
    except OSError as error:
        raise click.ClickException(str(error)) from error
    finally:
        opened.directory.close()


def read_store(path: str) -> OpenStore:
    """Read a store without locking it, as another process may be writing it. The directory of the returned
    store is closed already."""
    opened = open_store(path, False)
    opened.directory.close()
    return opened


def print_report(report: RecoveryReport) -> None:
    """Print what could not be read."""
    for line in report.damage:
        click.echo(f"damage: {line}")
    for line in report.torn:
        click.echo(f"torn: {line}")
    for line in report.ignored:
        click.echo(f"left over: {line}")


@click.group()
def store() -> None:
    """Inspect and repair a store."""


@store.command()
@path_argument
def check(path: str) -> int:
    """Report what a store holds. Exits with 1 if anything was lost; a torn end, which any crash leaves, is no
    loss."""
    directory, found = read_store(path)
    print_report(found.report)
    click.echo(
        f"{found.durable_sequence} records written, {found.record_count()} kept, in "
        f"{len(directory.names())} files"
    )
    return 1 if found.report.damage else 0


@store.command()
@path_argument
def dump(path: str) -> int:
    """Print the records of a store, one JSON object a line."""
    from lilacloft.store.record_types import KIND_NAMES, readable_value

    found = read_store(path).store
    for kind in sorted(found.records):
        for record in found.records_of(kind):
            line = {
                "kind": KIND_NAMES.get(kind, kind),
                "key": record.key.decode("utf-8", "replace"),
                "stamp": record.timestamp,
                "value": readable_value(record),
            }
            click.echo(json.dumps(line))
    return 0


@store.command()
@path_argument
def compact(path: str) -> int:
    """Rewrite the live records, and drop the rest. Refused while a gateway uses the store, or if it is
    damaged."""
    with locked_store(path) as (directory, found):
        if found.report.damage:
            print_report(found.report)
            raise click.ClickException("there is damage: repair first, which keeps the old files")
        before = total_size(path, directory)
        found.compact()
        click.echo(f"{before} bytes before, {total_size(path, directory)} after")
    return 0


@store.command()
@path_argument
def repair(path: str) -> int:
    """Keep all intact records, and report the damage. The old files are kept in a new subdirectory, whose
    name is printed."""
    with locked_store(path) as (directory, found):
        print_report(found.report)
        if not found.report.damage:
            click.echo("nothing to repair")
            return 0
        backup = back_up(path, directory)
        found.compact()
        click.echo(f"{found.record_count()} records kept; the files as they were are in {backup}")
    return 0


def total_size(path: str, directory: StoreDirectory) -> int:
    """Return the size of a store's files in bytes."""
    return sum(os.path.getsize(os.path.join(path, name)) for name in directory.names())


def back_up(path: str, directory: StoreDirectory) -> str:
    """Copy a store's files into a new subdirectory of the store, and return its path."""
    candidates = (os.path.join(path, f"before-repair-{number}") for number in range(1, MAX_BACKUPS))
    backup = next(candidate for candidate in candidates if not os.path.exists(candidate))
    os.mkdir(backup)
    for name in directory.names():
        shutil.copy2(os.path.join(path, name), backup)
    return backup


COMMANDS = (store,)
