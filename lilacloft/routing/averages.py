"""Moving averages over the requests of one gateway."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 1 / 16  # weight of one observation in a moving average


@dataclass(slots=True)
class TrafficAverages:
    """Properties of the average request of this gateway; 0 before the first request."""

    value: float = 0.0  # of an answer, in the unit of the settings
    transfer_time: float = 0.0  # ticks
    load: float = 0.0  # KB, or 1 where sizes are unknown

    def record(self, value: float, load: float) -> None:
        """Record the value and the load of a new request."""
        self.load += SMOOTHING * (load - self.load) if self.load else load
        self.value += SMOOTHING * (value - self.value)

    def record_transfer_time(self, transfer_time: float) -> None:
        """Record the known or estimated transfer time of a new request."""
        self.transfer_time += SMOOTHING * (transfer_time - self.transfer_time)
