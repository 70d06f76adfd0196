"""One gateway's counters of requests and attempts. The keys are logged, recorded and handed over."""

from __future__ import annotations

from dataclasses import dataclass, field

from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.routing.model import RejectReason

ANSWER_KINDS = ("done", "denied", "aborted", "left", "faults")


@dataclass(slots=True)
class Counters:
    """Counts since the start of the process."""

    answers: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ANSWER_KINDS, 0))
    ends: dict[str, int] = field(default_factory=lambda: dict.fromkeys((end.name for end in CloseReason), 0))
    rejects: dict[str, int] = field(default_factory=lambda: {reason.name: 0 for reason in RejectReason})
    retries: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(sorted(set(OUTCOMES.values())), 0)
    )  # by the outcome of the previous attempt
