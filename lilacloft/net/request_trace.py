"""A bounded trace of recent steps of requests, by request id, for diagnosis.

It costs one append per step, and is logged only on request or with a violated invariant.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from lilacloft.routing.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND, Ticks

MAX_STEPS = 4096  # some hundred bytes each
NOTABLE_WAIT: Ticks = 10 * TICKS_PER_MILLISECOND  # a longer wait is noted in the trace


class Step(NamedTuple):
    """One change of a request's state."""

    at: Ticks  # by the monotonic clock
    name: str  # the request's id
    what: str  # arrived, sent, ended, left, or a final answer: done, denied, aborted
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.at / TICKS_PER_SECOND:.4f} {self.what} {self.detail}".rstrip()


class Trace:
    """The latest steps of all requests. Any thread may add a step."""

    def __init__(self, max_steps: int = MAX_STEPS) -> None:
        self.steps: deque[Step] = deque(maxlen=max_steps)

    def add(self, at: Ticks, name: str, what: str, detail: str = "") -> None:
        """Add a step; the oldest one is dropped if the trace is full."""
        self.steps.append(Step(at, name, what, detail))

    def add_late(self, at: Ticks, name: str, what: str, detail: str, waited: Ticks) -> None:
        """Add a step that the event loop handled `waited` ticks later than it could have; a long wait is
        noted in the detail."""
        if waited > NOTABLE_WAIT:
            detail = f"{detail}, taken {waited / TICKS_PER_MILLISECOND:.1f} ms late"
        self.add(at, name, what, detail)

    def steps_of(self, name: str) -> list[Step]:
        """Return the steps of one request, oldest first."""
        return [step for step in list(self.steps) if step.name == name]
