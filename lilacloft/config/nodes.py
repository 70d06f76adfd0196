"""The parse tree of settings: positions, nodes, and numbers with units. Independent of the syntax and of the
individual settings."""

from __future__ import annotations

import re
from dataclasses import dataclass

QUANTITY = re.compile(r"([+-]?\d+(?:\.\d+)?)([^\d\s]*)")
UNITS = {  # by kind: each unit as a multiple of the base unit
    "span": {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0},
    "size": {"B": 1, "KB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1 << 10, "MiB": 1 << 20},
    "rate": {"/s": 1.0, "/min": 1 / 60},
    "part": {"%": 0.01},
}


@dataclass(frozen=True)
class Position:
    """A position in a file."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True)
class Node:
    """A word, a string or a list, with its position."""

    place: Position
    kind: str  # word, string, list
    text: str = ""
    items: tuple[Node, ...] = ()

    def __str__(self) -> str:
        if self.kind == "list":
            return f"({self.items[0]} ...)" if self.items else "()"
        return f'"{self.text}"' if self.kind == "string" else self.text


def parse_quantity(text: str, kind: str) -> float:
    """Parse a number with a unit; returns it in the base unit of its kind (seconds, bytes, per second,
    fraction). A number without a unit is rejected, as `2` would be ambiguous. Raises ValueError with a
    message for the operator."""
    match = QUANTITY.fullmatch(text)
    units = UNITS[kind]
    if not match:
        raise ValueError(f"found {text}, expected a number with a unit ({', '.join(units)})")
    if match[2] not in units:
        problem = f"unit {match[2]}" if match[2] else f"{text} without a unit"
        raise ValueError(f"found {problem}, expected one of {', '.join(units)}")
    return float(match[1]) * units[match[2]]
