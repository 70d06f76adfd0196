"""Owns a bounded memory of what has lately become of requests, by their ids, for whoever looks into one.

It costs one append a step and is written nowhere unless it is asked for. It must never decide or grow.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

STEPS = 4096  # some hundred bytes each


class Step(NamedTuple):
    """One change of a request's state."""

    at: int  # tenths of a millisecond by the steady clock
    name: str  # the request's id
    what: str  # arrived, sent, ended, answered, refused, left
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.at / 10_000:.4f} {self.what} {self.detail}".rstrip()


class Trace:
    """The last steps of all requests. Any thread may add."""

    def __init__(self, steps: int = STEPS) -> None:
        self.steps: deque[Step] = deque(maxlen=steps)

    def add(self, at: int, name: str, what: str, detail: str = "") -> None:
        self.steps.append(Step(at, name, what, detail))

    def trail(self, name: str) -> list[Step]:
        """What is remembered of one request, oldest first."""
        return [step for step in list(self.steps) if step.name == name]
