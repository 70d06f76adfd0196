"""What the decision module is handed at start: the only way in which it acts."""

from __future__ import annotations

from typing import Protocol

from lilacloft.routing.model import Backend, Request


class Host(Protocol):
    """One gateway's means of acting. Times and spans are whole tenths of a millisecond."""

    def now(self) -> int:
        """Tell the time."""

    def look(self, request: Request, backend: Backend, limit: int) -> None:
        """Dispatch a req to a be, which answers from its own fresh copy or misses."""

    def fetch(
        self,
        request: Request,
        backend: Backend,
        limit: int,
        source: Backend,
        rank: int,
        age: int,
        join: bool,
        held_only: bool,
        no_trace: bool,
        renew: bool,
    ) -> None:
        """Dispatch a req to a be: who fills a miss, the rank it is kept at, the oldest copy that will do."""

    def departed(self, request: Request) -> int | None:
        """Since when nobody may wait for a req any more, as far as can be known without writing to its
        client: its input has ended, it is cancelled, or what may say so lies unread. None: it waits."""

    def cancel(self, request: Request, seq: int) -> None:
        """Stop waiting on a dispatch, counted from 0 within its req."""

    def withdraw(self, request: Request, seq: int) -> None:
        """Take a dispatch back if nothing of it has gone out: its outcome is then `unsent`. What allowed it
        holds no more. Nothing happens where it has gone out, or where all goes out at once."""

    def deny(self, request: Request, after: int) -> None:
        """Final answer: unserved, and safe to ask again after the given span (0: none named)."""

    def abort(self, request: Request) -> None:
        """Final answer: failed, with nothing promised."""

    def wake(self, at: int, token: str) -> None:
        """Ask for one `woke` event at or after a time."""

    def check(self, backend: Backend) -> None:
        """Send a health check."""

    def disconnect(self, backend: Backend) -> None:
        """Give back idle connections."""

    def tell(self, peer: int, text: str) -> None:
        """Send a short message to a peer, or to all (-1)."""

    def subscribe(self, on: bool) -> None:
        """Ask discovery for changes, or stop asking."""

    def snapshot(self) -> None:
        """Ask discovery for the whole list once."""

    def log(self, text: str) -> None:
        """Add a line to the report."""

    def believe(self, backend: Backend, what: str, why: str) -> None:
        """Tell that the gateway thinks otherwise of a be: `left alone` or `back`, and why."""

    def limited(self, backend: Backend, was: float, limit: float, late: float) -> None:
        """Tell that a limit was looked at: that on a be's dispatches, or, where the be is one that fills come
        from, the one on likely fills; what it was and is, and the part of answers late on that way."""
