"""Reads operators' settings: S-expressions with units, with the position of each part in the file.

    (lilacloft
      (log (format json))              ; a comment
      (upgrade (handover "run/handover.sock") (limits (taking 300ms))))

The schema is in lilacloft/config/forms.py. Nothing is guessed: whatever is not understood is an error with
file, line and column, what was found and what was expected. All errors of a file are reported at once.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF

from lilacloft.config.forms import SCHEMA, check
from lilacloft.config.nodes import Node, Position

GRAMMAR = r"""
start: list*
list: "(" item* ")"
?item: list | STRING | ATOM
STRING: /"(\\.|[^"\\\n])*"/
ATOM: /[^\s()";]+/
COMMENT: /;[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""
PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True)
MAX_DEPTH = 32  # nested lists
MAX_FILE_BYTES = 1 << 20


class SettingsError(Exception):
    """The settings cannot be used. `faults` has the position and the message of each error, in file order."""

    def __init__(self, faults: list[tuple[Position, str]]) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault[0].line, fault[0].column))
        super().__init__("\n".join(f"{position}: {text}" for position, text in self.faults))


def parse(text: str, file: str) -> list[Node]:
    """Parse a text into its top-level lists. Raises SettingsError."""
    depth = deepest = 0
    for char in re.sub(r'"(\\.|[^"\\\n])*"|;[^\n]*', "", text):
        depth += (char == "(") - (char == ")")
        deepest = max(deepest, depth)
    if deepest > MAX_DEPTH:
        raise SettingsError([(Position(file, 1, 1), f"lists {deepest} deep, {MAX_DEPTH} at most expected")])
    try:
        tree = PARSER.parse(text)
    except UnexpectedEOF as error:
        raise SettingsError([_unclosed_list(text, file)]) from error
    except UnexpectedCharacters as error:
        problem = "a string without its end" if error.char == '"' else f"unexpected {error.char!r}"
        raise SettingsError([(Position(file, error.line, error.column), problem)]) from error
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        if token is not None and token.type == "$END":
            raise SettingsError([_unclosed_list(text, file)]) from error
        found = ") without its (" if token == ")" else f"{str(token)!r} outside of a list"
        raise SettingsError([(Position(file, error.line, error.column), f"found {found}")]) from error
    return [_node(child, file) for child in tree.children]


def _unclosed_list(text: str, file: str) -> tuple[Position, str]:
    """Return the error for an unclosed list: the innermost one that is open at the end."""
    stack: list[tuple[int, int]] = []
    for number, line in enumerate(text.split("\n"), 1):
        for match in re.finditer(r'"(?:\\.|[^"\\])*"|;.*|[()]', line):
            if match.group() == "(":
                stack.append((number, match.start() + 1))
            elif match.group() == ")" and stack:
                stack.pop()
    line, column = stack[-1] if stack else (1, 1)
    return Position(file, line, column), "this ( is never closed"


def _node(parsed: Tree[Token] | Token, file: str) -> Node:
    if isinstance(parsed, Tree):
        place = Position(file, parsed.meta.line, parsed.meta.column)
        return Node(place, "list", items=tuple(_node(child, file) for child in parsed.children))
    place = Position(file, parsed.line or 0, parsed.column or 0)
    if parsed.type == "STRING":
        return Node(place, "string", re.sub(r"\\(.)", r"\1", parsed[1:-1]))
    return Node(place, "word", str(parsed))


def load(path: str) -> dict[str, Any]:
    """Read and validate a file. Raises SettingsError."""
    file_start = Position(path, 1, 1)
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError([(file_start, f"{len(data)} bytes, {MAX_FILE_BYTES} at most expected")])
        text = data.decode("utf-8")
    except OSError as error:
        raise SettingsError([(file_start, f"cannot be read: {error.strerror}")]) from error
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise SettingsError([(Position(path, line, 1), "found bytes that are not UTF-8")]) from error
    nodes = parse(text, path)
    if len(nodes) != 1 or not nodes[0].items or str(nodes[0].items[0]) != "lilacloft":
        place = nodes[1].place if len(nodes) > 1 else nodes[0].place if nodes else file_start
        raise SettingsError([(place, "expected one list (lilacloft ...) and nothing else")])
    faults: list[tuple[Position, str]] = []
    settings = check(nodes[0], SCHEMA, faults, Path(path).parent)
    if faults:
        raise SettingsError(faults)
    return settings
