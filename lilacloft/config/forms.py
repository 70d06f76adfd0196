"""The schema of the operators' settings, and the conversion of parsed settings into a plain dictionary. It
reads no files and knows nothing of the syntax.

Durations become seconds, and sizes bytes. An unknown name is an error that suggests the closest known one.
"""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lilacloft.config.addresses import parse_named_addresses
from lilacloft.config.nodes import Node, Position, parse_quantity

Faults = list[tuple[Position, str]]


@dataclass(frozen=True)
class Quantity:
    """A number with a unit, within bounds that are written as in settings."""

    kind: str
    minimum: str
    maximum: str

    def read(self, node: Node, directory: Path) -> float:
        if node.kind != "word":
            raise ValueError(f"found {node}, expected {self.minimum} to {self.maximum}")
        value = parse_quantity(node.text, self.kind)
        if not parse_quantity(self.minimum, self.kind) <= value <= parse_quantity(self.maximum, self.kind):
            raise ValueError(f"found {node}, expected {self.minimum} to {self.maximum}")
        return value


@dataclass(frozen=True)
class Choice:
    """One of several words."""

    choices: tuple[str, ...]

    def read(self, node: Node, directory: Path) -> str:
        if node.kind != "word" or node.text not in self.choices:
            raise ValueError(f"found {node}, expected {' or '.join(self.choices)}")
        return node.text


@dataclass(frozen=True)
class FilePath:
    """A path, relative to the directory of the settings file. A Unix socket's path may have 107 bytes."""

    max_bytes: int = 4096

    def read(self, node: Node, directory: Path) -> str:
        if node.kind != "string" or not node.text or "\0" in node.text:
            raise ValueError(f"found {node}, expected a path in quotes")
        path = str(directory / node.text)
        if len(path.encode()) > self.max_bytes:
            raise ValueError(f"found a path of {len(path.encode())} bytes, expected {self.max_bytes} at most")
        return path


@dataclass(frozen=True)
class Addresses:
    """A quoted list of NAME=HOST:PORT, separated by commas."""

    def read(self, node: Node, directory: Path) -> dict[str, tuple[str, int]]:
        try:
            if node.kind != "string":
                raise ValueError
            return parse_named_addresses(",".join(part.strip() for part in node.text.split(",")))
        except ValueError:
            raise ValueError(f'found {node}, expected "NAME=HOST:PORT,...", each name once') from None


Schema = Mapping[str, Any]
SCHEMA: Schema = {
    "log": {"format": Choice(("text", "json"))},
    "record": {
        "folder": FilePath(),
        "file": Quantity("size", "10KB", "1GB"),
        "age": Quantity("span", "1s", "720h"),
        "total": Quantity("size", "20KB", "100GB"),
        "prometheus": FilePath(),
        "connect": FilePath(107),
    },
    "plan": {"planners": Addresses(), "zones": {"leave": Choice(("past", "across", "never"))}},
    "store": {
        "folder": FilePath(),
        "patience": Quantity("span", "1ms", "1s"),
    },
    "upgrade": {
        "handover": FilePath(107),
        "mode": Choice(("whole", "drain")),
        "limits": {
            "starting": Quantity("span", "100ms", "5min"),
            "warming": Quantity("span", "100ms", "5min"),
            "ready": Quantity("span", "100ms", "1min"),
            "taking": Quantity("span", "10ms", "2s"),  # nothing is served during this phase
            "committed": Quantity("span", "10ms", "2s"),
            "letting-go": Quantity("span", "100ms", "10min"),
        },
    },
}


def check(node: Node, schema: Schema, faults: Faults, directory: Path) -> dict[str, Any]:
    """Return a list `(name (key ...) ...)` as a dictionary. Errors are added to `faults`, and the entries
    with errors left out."""
    out: dict[str, Any] = {}
    for item in node.items[1:]:
        if item.kind != "list" or not item.items or item.items[0].kind != "word":
            faults.append((item.place, f"found {item}, expected a list ({' or '.join(schema)} ...)"))
            continue
        name, key = item.items[0].text, item.items[0].text.replace("-", "_")
        if name not in schema:
            closest = difflib.get_close_matches(name, schema, 1)
            hint = f"; did you mean {closest[0]}?" if closest else f", expected {', '.join(schema)}"
            faults.append((item.items[0].place, f"found {name}{hint}"))
            continue
        if key in out:
            faults.append((item.items[0].place, f"found {name} a second time"))
            continue
        expected = schema[name]
        if isinstance(expected, Mapping):
            out[key] = check(item, expected, faults, directory)
        elif len(item.items) != 2:
            faults.append((item.place, f"found {len(item.items) - 1} values of {name}, expected 1"))
        else:
            try:
                out[key] = expected.read(item.items[1], directory)
            except ValueError as error:
                faults.append((item.items[1].place, f"{name}: {error}"))
    return out
