"""A gateway that breaks one of the five rules on purpose: `python -m rigs.broken [guarded-]RULE serve ...`.

It is there to see the checker name the rule, and, with its own checks (lilacloft/invariants.py) in place, to
see those find it; nothing else may use it.
"""

from __future__ import annotations

import sys
from typing import Any

from lilacloft.__main__ import main
from lilacloft.invariants import Invariants
from lilacloft.net.front import Front
from lilacloft.routing import router as decide
from lilacloft.routing.router import Router


def answers_twice() -> None:
    once = Front.answer

    def twice(client: Any, *told: Any) -> None:
        once(client, *told)
        once(client, *told)

    Front.answer = staticmethod(twice)


def sends_again() -> None:
    decide.RAN = ()  # nothing is taken to have run


def hears_no_drain() -> None:
    listed = Router.listed

    def ready(self: Router, mode: str, entries: Any) -> None:
        listed(
            self,
            mode,
            [
                (backend, zone, kind, cell, 1 if status == 2 else status, size, started)
                for backend, zone, kind, cell, status, size, started in entries
            ],
        )

    Router.listed = ready


def spares_no_cold_one() -> None:
    Router._room = lambda self, backend, work: True


def knows_no_purge() -> None:
    Router.purged = lambda self, key, group, age: None


RULES = {
    "1": answers_twice,
    "2": sends_again,
    "3": hears_no_drain,
    "4": spares_no_cold_one,
    "5": knows_no_purge,
}


def unguarded() -> None:
    """Its own checks let everything pass."""
    Invariants.sends = lambda self, history, backend, source, work, now: True
    Invariants.begins = lambda self, begun: True


if __name__ == "__main__":
    guarded, _, rule = sys.argv[1].rpartition("-")
    RULES[rule]()
    if not guarded:
        unguarded()
    sys.exit(main(sys.argv[2:]))
