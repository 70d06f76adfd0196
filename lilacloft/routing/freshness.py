"""Freshness: how old a copy may be, where one is likely to lie, and which request has it revalidated.

A copy older than a known purge is never served, nor one that may be older than a purge not read yet
(catch_up.py). One request an object part and fresh time revalidates the copy behind its answer; the others
take copies within the grace time.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lilacloft.routing.catch_up import CatchUp
from lilacloft.routing.model import Backend, ObjectPart, PartKey, Request
from lilacloft.routing.units import Ticks
from lilacloft.routing.virtual_host import VirtualHost

TABLE_SIZE = 1 << 15  # object parts remembered; one that is dropped merely counts as new
REVALIDATE_AFTER = 0.8  # share of the fresh time after which a copy may be revalidated again


class Freshness:
    """The table of object parts and the purges that this gateway knows."""

    def __init__(
        self, virtual_hosts: Sequence[VirtualHost], purge_lifetime: Ticks, purge_grace: Ticks = 0
    ) -> None:
        """Make an empty table. A purge is remembered for `purge_lifetime`, and must be heeded from
        `purge_grace` after it was told."""
        self.virtual_hosts = virtual_hosts
        self.purge_lifetime = purge_lifetime
        self.object_parts: dict[PartKey, ObjectPart] = {}  # least recently asked for first
        self.purges: dict[str | int, Ticks] = {}  # when purged; objects by key, groups by number
        self.catch_up = CatchUp(purge_grace)

    def record_request(self, part_key: PartKey) -> ObjectPart:
        """Return the entry of an object part that is asked for, which is now the most recent one."""
        object_part = self.entry(part_key)
        object_part.request_count += 1
        return object_part

    def entry(self, part_key: PartKey) -> ObjectPart:
        """Return the entry of an object part, made the most recent one; the least recent may be dropped."""
        object_part = self.object_parts.pop(part_key, None) or ObjectPart()
        self.object_parts[part_key] = object_part
        if len(self.object_parts) > TABLE_SIZE:
            del self.object_parts[next(iter(self.object_parts))]
        return object_part

    def purge(self, key: str, group: int, at: Ticks) -> None:
        """Take in a purge: of an object, or without a key of a whole group."""
        self.purges[key or group] = max(at, self.purges.get(key or group, 0))

    def drop_expired(self, now: Ticks) -> None:
        """Forget the purges that no copy can be older than any more."""
        self.purges = {what: at for what, at in self.purges.items() if now - at <= self.purge_lifetime}

    def max_age(self, request: Request, now: Ticks) -> Ticks:
        """Return the age of the oldest copy that will do; 0: any will."""
        vhost = self.virtual_hosts[request.vhost]
        age = vhost.fresh + vhost.grace if vhost.fresh else 0
        purges = [
            at
            for at in (self.purges.get(request.key), self.purges.get(request.purge_group))
            if at is not None
        ]
        if purges and now - max(purges) <= self.purge_lifetime:
            age = min(age or math.inf, max(1, now - max(purges) - 1))
        unread_limit = self._max_age_unread(request, now)
        return min(age or unread_limit, unread_limit) if unread_limit else age

    def _max_age_unread(self, request: Request, now: Ticks) -> Ticks:
        """Return the age of the oldest copy that will do for the sake of unread purges; 0: any will."""
        return 0 if request.object_part is None else self.catch_up.max_age(now)

    def likely_cached(self, request: Request, backend: Backend, now: Ticks) -> bool:
        """Return whether a backend likely has a copy that will do, by this gateway's own requests."""
        object_part, vhost = request.object_part, self.virtual_hosts[request.vhost]
        if object_part is None or object_part.last_served_by is not backend:
            return False
        if backend.started > object_part.filled_at:
            return False
        if vhost.fresh and now - object_part.filled_at > vhost.fresh + vhost.grace:
            return False
        unread_limit = self._max_age_unread(request, now)
        if unread_limit and now - object_part.filled_at > unread_limit:
            return False
        purged_at = max(self.purges.get(request.key, 0), self.purges.get(request.purge_group, 0))
        return purged_at < object_part.filled_at

    def needs_revalidation(self, request: Request, now: Ticks) -> bool:
        """Return whether a request is the one to have its copy revalidated."""
        object_part, vhost = request.object_part, self.virtual_hosts[request.vhost]
        if object_part is None or not vhost.fresh:
            return False
        last = object_part.revalidated_at
        return last is None or now - last >= REVALIDATE_AFTER * vhost.fresh

    @staticmethod
    def record_answer(request: Request, backend: Backend, duration: Ticks) -> None:
        """Take in which backend now has a copy, and how fast it was sent."""
        object_part = request.object_part
        if object_part is None:
            return
        if request.expects_fill or request.revalidates or object_part.last_served_by is not backend:
            object_part.last_served_by, object_part.filled_at = backend, request.sent_at
        object_part.min_transfer_time = min(duration, object_part.min_transfer_time or duration)

    @staticmethod
    def undo_revalidation(request: Request) -> None:
        """Let the next request have the copy revalidated: the attempt in flight has not."""
        object_part = request.object_part
        if object_part is not None and object_part.revalidated_at == request.sent_at:
            object_part.revalidated_at = None
