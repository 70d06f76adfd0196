"""The summaries of one gateway as columns: compact enough to be sent between processes, and fast to query.

No I/O; times are Unix milliseconds. Rows are summaries in the order of their times.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import numpy as np
from numpy.typing import NDArray

Row = tuple[float, float, Any]  # begin, end, the SummaryRecord
VHOST_COLUMNS = ("reqs", "done", "denied", "aborted", "left", "late", "dispatches", "hits")
ATTRIBUTES = {
    "reqs": "requests",
    "left": "abandoned",
    "late": "late_answers",
}  # by column: the attribute of `VhostCounts`, where its name differs
BACKEND_COLUMNS = ("dispatches", "done", "late", "fills", "waited", "waits", "flight")


class SummaryColumns:
    """The summaries of one gateway, a NumPy array for each column."""

    def __init__(self, rows: Iterable[Row]) -> None:
        rows = list(rows)
        count = len(rows)
        self.begin = np.fromiter((row[0] for row in rows), np.float64, count)
        self.end = np.fromiter((row[1] for row in rows), np.float64, count)
        self.value = np.zeros(count, np.float32)
        self.refused = np.zeros(count, np.float32)
        self.vhosts: dict[str, dict[str, NDArray[Any]]] = {}
        self.backends: dict[str, dict[str, NDArray[Any]]] = {}
        histograms: list[tuple[int, str, str]] = []
        for index, (_, _, summary) in enumerate(rows):
            for name, vhost in summary.vhosts.items():
                columns = self.vhosts.get(name)
                if columns is None:
                    columns = self.vhosts[name] = {
                        field: np.zeros(count, np.float32) for field in VHOST_COLUMNS
                    }
                for field in VHOST_COLUMNS:
                    columns[field][index] = getattr(vhost, ATTRIBUTES.get(field, field))
                self.value[index] += vhost.value
                if vhost.durations:
                    histograms.append((index, name, vhost.durations))
            for name, backend in summary.backends.items():
                columns = self.backends.get(name)
                if columns is None:
                    columns = self.backends[name] = {
                        field: np.zeros(count, np.float32) for field in BACKEND_COLUMNS
                    }
                    columns["util"] = np.full(count, np.nan, np.float32)
                    columns["limit"] = np.full(count, np.nan, np.float32)
                    columns["suspect"] = np.zeros(count, bool)
                    columns["ends"] = np.zeros(count, np.float32)
                (
                    columns["dispatches"][index],
                    columns["done"][index],
                    columns["late"][index],
                    columns["fills"][index],
                    columns["waited"][index],
                    columns["waits"][index],
                    columns["flight"][index],
                ) = (
                    backend.dispatches,
                    backend.done,
                    backend.late_answers,
                    backend.fills,
                    backend.source_wait_total,
                    backend.source_waits,
                    backend.in_flight,
                )
                columns["suspect"][index] = backend.ejected
                columns["ends"][index] = sum(backend.ends.values())
                if backend.utilization >= 0:
                    columns["util"][index] = backend.utilization
                if backend.limit:
                    columns["limit"][index] = backend.limit
            self.refused[index] = sum(summary.refused.values())
        self.histograms = histograms

    def thin_histograms(self, limit: int) -> None:
        """Keep at most `most` histograms, evenly spaced."""
        step = -(-len(self.histograms) // limit) if limit else 1
        self.histograms = self.histograms[::step] if step > 1 else self.histograms

    def covers(self, begin: float, end: float) -> bool:
        """Return whether any summary covers a part of an interval."""
        return bool(np.any((self.begin < end) & (self.end > begin)))

    def count_answers(self, backend: str, begin: float, end: float) -> int:
        """Return the number of answers of a backend in the summaries that lie within an interval."""
        columns = self.backends.get(backend)
        if columns is None:
            return 0
        return int(columns["done"][(self.begin > begin) & (self.end < end)].sum())

    def value_between(self, begin: float, end: float) -> tuple[float, float]:
        """Return the value of the answers in an interval, and how many milliseconds of it the summaries
        cover."""
        overlap = np.clip(np.minimum(self.end, end) - np.maximum(self.begin, begin), 0.0, None)
        length = np.maximum(self.end - self.begin, 1.0)
        return float((self.value * overlap / length).sum()), float(overlap.sum())
