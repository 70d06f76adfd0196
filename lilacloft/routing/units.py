"""The unit of time used by the router and most of the program."""

from __future__ import annotations

from typing import TypeAlias

Ticks: TypeAlias = int  # a time or a duration, in tenths of a millisecond
TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
