"""Owns the state of one gateway's summaries as columns: small enough to be passed on, quick to ask.

No I/O; Unix milliseconds. Rows are summaries in the order of their times.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import numpy as np
from numpy.typing import NDArray

Row = tuple[float, float, Any]  # begin, end, the SummaryRecord
VHOST = ("reqs", "done", "denied", "aborted", "left", "late", "dispatches", "hits")
ATTRIBUTES = {
    "reqs": "requests",
    "left": "abandoned",
    "late": "late_answers",
}  # of records, where a column is named otherwise
BE = ("dispatches", "done", "late", "fills", "waited", "waits", "flight")


class Columns:
    """The columns of one gateway."""

    def __init__(self, rows: Iterable[Row]) -> None:
        rows = list(rows)
        count = len(rows)
        self.begin = np.fromiter((row[0] for row in rows), np.float64, count)
        self.end = np.fromiter((row[1] for row in rows), np.float64, count)
        self.value = np.zeros(count, np.float32)
        self.refused = np.zeros(count, np.float32)
        self.vhosts: dict[str, dict[str, NDArray[Any]]] = {}
        self.backends: dict[str, dict[str, NDArray[Any]]] = {}
        took: list[tuple[int, str, str]] = []
        for place, (_, _, second) in enumerate(rows):
            for name, vhost in second.vhosts.items():
                mine = self.vhosts.get(name)
                if mine is None:
                    mine = self.vhosts[name] = {field: np.zeros(count, np.float32) for field in VHOST}
                for field in VHOST:
                    mine[field][place] = getattr(vhost, ATTRIBUTES.get(field, field))
                self.value[place] += vhost.value
                if vhost.durations:
                    took.append((place, name, vhost.durations))
            for name, backend in second.backends.items():
                mine = self.backends.get(name)
                if mine is None:
                    mine = self.backends[name] = {field: np.zeros(count, np.float32) for field in BE}
                    mine["util"] = np.full(count, np.nan, np.float32)
                    mine["limit"] = np.full(count, np.nan, np.float32)
                    mine["suspect"] = np.zeros(count, bool)
                    mine["ends"] = np.zeros(count, np.float32)
                (
                    mine["dispatches"][place],
                    mine["done"][place],
                    mine["late"][place],
                    mine["fills"][place],
                    mine["waited"][place],
                    mine["waits"][place],
                    mine["flight"][place],
                ) = (
                    backend.dispatches,
                    backend.done,
                    backend.late_answers,
                    backend.fills,
                    backend.source_wait_total,
                    backend.source_waits,
                    backend.in_flight,
                )
                mine["suspect"][place] = backend.ejected
                mine["ends"][place] = sum(backend.ends.values())
                if backend.utilization >= 0:
                    mine["util"][place] = backend.utilization
                if backend.limit:
                    mine["limit"][place] = backend.limit
            self.refused[place] = sum(second.refused.values())
        self.took = took

    def thin(self, most: int) -> None:
        """Keep so many histograms at most, evenly spread."""
        step = -(-len(self.took) // most) if most else 1
        self.took = self.took[::step] if step > 1 else self.took

    def covers(self, begin: float, end: float) -> bool:
        """Does any summary tell of a part of a stretch?"""
        return bool(np.any((self.begin < end) & (self.end > begin)))

    def answers(self, backend: str, begin: float, end: float) -> int:
        """Answers of a be in the summaries that lie within a stretch."""
        mine = self.backends.get(backend)
        if mine is None:
            return 0
        return int(mine["done"][(self.begin > begin) & (self.end < end)].sum())

    def worth(self, begin: float, end: float) -> tuple[float, float]:
        """Value done in a stretch, and how many milliseconds of it the summaries tell of."""
        part = np.clip(np.minimum(self.end, end) - np.maximum(self.begin, begin), 0.0, None)
        length = np.maximum(self.end - self.begin, 1.0)
        return float((self.value * part / length).sum()), float(part.sum())
