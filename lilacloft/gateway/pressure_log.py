"""Logs what the process holds and refuses while it is short of memory, or while peers misbehave.

Counters come only at an ordinary end; a process that is killed leaves the lines of this module. In normal
operation nothing is logged.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from lilacloft.gateway.context import GatewayContext
from lilacloft.log import logger
from lilacloft.net.process_memory import anonymous_memory
from lilacloft.net.resource_limits import MEGABYTE
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

MIN_INTERVAL: Ticks = 5 * TICKS_PER_SECOND  # between two lines
MEMORY_WARNING_SHARE = 0.8  # of the limit
# counts of the downstream side that rise only where a limit binds or input is unusable
NOTABLE_COUNTS = ("not_taken", "turned_away", "choked", "unusable")
NOTABLE_CLOSES = ("GARBLED", "CHOKED", "FAULT")  # of clients' connections
NOTABLE_REJECTS = ("NO_ROOM", "GARBLED")


class PressureLog:
    """The log lines of one gateway on limits that bind."""

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.next_at: Ticks = 0
        self.logged: Counter[str] = Counter()  # the counts at the last line

    def check(self) -> None:
        """Log a line if a limit was reached since the last one, at most one each `MIN_INTERVAL`."""
        if self.gateway.clock.time < self.next_at:
            return
        self.next_at = self.gateway.clock.time + MIN_INTERVAL
        counts = self._counts()
        changes = counts - self.logged
        memory, limit = anonymous_memory(), int(self.gateway.limits["memory_mb"] * MEGABYTE)
        if changes or memory > MEMORY_WARNING_SHARE * limit:
            self._log(changes, memory, limit)
        self.logged = counts

    def _log(self, changes: Mapping[str, int], memory: int, limit: int) -> None:
        downstream, answers = self.gateway.downstream, self.gateway.upstream.reply_backlog
        logger.warning(
            "resources: {:.1f} of {:.1f} MB; {} of {} clients; requests {} of {} bytes; answers {} + {}"
            " unread of {} bytes; since the last such line: {}",
            memory / MEGABYTE,
            limit / MEGABYTE,
            len(downstream.clients),
            downstream.max_clients,
            downstream.request_ledger.reserved,
            downstream.request_ledger.budget,
            answers.size,
            answers.unsent,
            answers.max_total,
            " ".join(f"{name}={count}" for name, count in sorted(changes.items())) or "nothing refused",
        )

    def _counts(self) -> Counter[str]:
        """Return the counts that show a limit, or misbehaving peers, by name."""
        downstream, counters = self.gateway.downstream, self.gateway.counters
        counts = Counter({name: downstream.counts[name] for name in NOTABLE_COUNTS})
        for name in NOTABLE_CLOSES:
            counts[f"closed_{name.lower()}"] = downstream.closes[name]
        for name in NOTABLE_REJECTS:
            counts[f"refused_{name.lower()}"] = counters.rejects[name]
        counts["no_memory_for_requests"] = downstream.request_ledger.rejections
        counts["waits_for_answer_memory"] = self.gateway.upstream.reply_backlog.waits
        counts["faults"] = counters.answers["faults"]
        return counts
