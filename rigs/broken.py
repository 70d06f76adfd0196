"""A gateway that breaks one of the five rules on purpose: `python -m rigs.broken [guarded-]RULE serve ...`.

It is there to see the checker name the rule, and, with its own checks (lilacloft/invariants.py) in place, to
see those find it; nothing else may use it.
"""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import Any

from lilacloft.__main__ import main
from lilacloft.invariants import Invariants
from lilacloft.net.downstream import Downstream
from lilacloft.routing import retries
from lilacloft.routing.model import BackendStatus
from lilacloft.routing.router import Router
from lilacloft.routing.slow_start import SlowStart


def answers_twice() -> None:
    once = Downstream.answer

    def twice(client: Any, *told: Any) -> None:
        once(client, *told)
        once(client, *told)

    Downstream.answer = staticmethod(twice)


def sends_again() -> None:
    retries.MAY_HAVE_EXECUTED = ()  # nothing is taken to have run


def hears_no_drain() -> None:
    listed = Router.endpoints_changed

    def ready(self: Router, mode: str, entries: Any) -> None:
        listed(
            self,
            mode,
            [
                replace(entry, status=BackendStatus.READY if entry.status else BackendStatus.GONE)
                for entry in entries
            ],
        )

    Router.endpoints_changed = ready


def spares_no_cold_one() -> None:
    SlowStart.allows = lambda self, backend, work, now: True


def knows_no_purge() -> None:
    Router.object_purged = lambda self, key, group, age: None


RULES = {
    "1": answers_twice,
    "2": sends_again,
    "3": hears_no_drain,
    "4": spares_no_cold_one,
    "5": knows_no_purge,
}


def unguarded() -> None:
    """Its own checks let everything pass."""
    Invariants.may_send = lambda self, history, backend, source, work, now: True
    Invariants.may_begin = lambda self, begun: True


if __name__ == "__main__":
    guarded, _, rule = sys.argv[1].rpartition("-")
    RULES[rule]()
    if not guarded:
        unguarded()
    sys.exit(main(sys.argv[2:]))
