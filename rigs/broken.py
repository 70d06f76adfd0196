"""Runs a gateway that breaks a rule on purpose: `python -m rigs.broken [guarded-]RULE serve ...`.

It serves to test that the checker finds the rule and, with the gateway's own checks
(lilacloft/invariants.py) left on, that those find it. Nothing else may use it.
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


def answer_twice() -> None:
    answer = Downstream.answer

    def twice(client: Any, *arguments: Any) -> None:
        answer(client, *arguments)
        answer(client, *arguments)

    Downstream.answer = staticmethod(twice)


def retry_executed_requests() -> None:
    retries.MAY_HAVE_EXECUTED = ()  # all requests count as not executed


def ignore_draining() -> None:
    endpoints_changed = Router.endpoints_changed

    def list_all_as_ready(self: Router, mode: str, entries: Any) -> None:
        endpoints_changed(
            self,
            mode,
            [
                replace(entry, status=BackendStatus.READY if entry.status else BackendStatus.GONE)
                for entry in entries
            ],
        )

    Router.endpoints_changed = list_all_as_ready


def ignore_slow_start() -> None:
    SlowStart.allows = lambda self, backend, work, now: True


def ignore_purges() -> None:
    Router.object_purged = lambda self, key, group, age: None


RULES = {
    "1": answer_twice,
    "2": retry_executed_requests,
    "3": ignore_draining,
    "4": ignore_slow_start,
    "5": ignore_purges,
}


def disable_own_checks() -> None:
    """Make the gateway's own checks pass everything."""
    Invariants.may_send = lambda self, history, backend, source, work, now: True
    Invariants.may_send_first_byte = lambda self, begun: True


if __name__ == "__main__":
    guarded, _, rule = sys.argv[1].rpartition("-")
    RULES[rule]()
    if not guarded:
        disable_own_checks()
    sys.exit(main(sys.argv[2:]))
