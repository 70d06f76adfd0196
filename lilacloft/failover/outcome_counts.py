"""Counts of the outcomes of attempts at a location, as reported by gateways."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

AnswerQuality: TypeAlias = Literal["well", "late", "failed"]  # well: within the latency objective


@dataclass(frozen=True)
class OutcomeCounts:
    """The number of completed attempts at a location's backends, by outcome."""

    on_time: int = 0
    late: int = 0
    failed: int = 0
    cache_hits: int = 0  # of the answered attempts

    @classmethod
    def of(cls, quality: AnswerQuality, is_hit: bool) -> OutcomeCounts:
        """Return the counts of one attempt."""
        if quality == "failed":
            return cls(failed=1)
        return cls(on_time=int(quality == "well"), late=int(quality == "late"), cache_hits=int(is_hit))

    def since(self, earlier: OutcomeCounts) -> OutcomeCounts:
        """Return what was counted since earlier counts of the same process."""
        return OutcomeCounts(
            max(0, self.on_time - earlier.on_time),
            max(0, self.late - earlier.late),
            max(0, self.failed - earlier.failed),
            max(0, self.cache_hits - earlier.cache_hits),
        )

    def plus(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the sum of two counts."""
        return OutcomeCounts(
            self.on_time + other.on_time,
            self.late + other.late,
            self.failed + other.failed,
            self.cache_hits + other.cache_hits,
        )

    @property
    def answered(self) -> int:
        """The number of answered attempts, on time or late."""
        return self.on_time + self.late

    @property
    def total(self) -> int:
        """The number of completed attempts."""
        return self.on_time + self.late + self.failed
