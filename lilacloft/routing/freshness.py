"""Freshness: how old a copy may be, which backend likely has one, and which request triggers revalidation.

A copy older than a known purge is never served, nor one that may be older than a purge that has not been read
yet (catch_up.py). In each freshness period, one request per object part revalidates the copy in the
background; the others accept stale copies within the grace period.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lilacloft.routing.catch_up import CatchUp
from lilacloft.routing.model import Backend, ObjectPart, PartKey, Request
from lilacloft.routing.units import Ticks
from lilacloft.routing.virtual_host import VirtualHost

TABLE_SIZE = 1 << 15  # maximum number of object parts; an evicted one is treated as new
REVALIDATE_AFTER = 0.8  # share of the freshness period after which a copy may be revalidated again


class Freshness:
    """The object parts and purges known to this gateway."""

    def __init__(
        self, virtual_hosts: Sequence[VirtualHost], purge_lifetime: Ticks, purge_grace: Ticks = 0
    ) -> None:
        """Create an empty table. Purges are kept for `purge_lifetime`, and must be applied within
        `purge_grace` of their publication."""
        self.virtual_hosts = virtual_hosts
        self.table_size = TABLE_SIZE  # less in a gateway with little memory
        self.purge_lifetime = purge_lifetime
        self.object_parts: dict[PartKey, ObjectPart] = {}  # least recently used first
        self.purges: dict[str | int, Ticks] = {}  # time of the last purge, by object key or group number
        self.catch_up = CatchUp(purge_grace, purge_lifetime)

    def record_request(self, part_key: PartKey) -> ObjectPart:
        """Count a request for an object part and return its entry, now the most recently used one."""
        object_part = self.entry(part_key)
        object_part.request_count += 1
        return object_part

    def entry(self, part_key: PartKey) -> ObjectPart:
        """Return the entry of an object part, which is created if there is none, and mark it as the most
        recently used one. Evicts the least recently used entry if the table is full."""
        object_part = self.object_parts.pop(part_key, None) or ObjectPart()
        self.object_parts[part_key] = object_part
        while len(self.object_parts) > self.table_size:
            del self.object_parts[next(iter(self.object_parts))]
        return object_part

    def purge(self, key: str, group: int, at: Ticks) -> None:
        """Record the purge of an object or, if `key` is empty, of a whole group."""
        self.purges[key or group] = max(at, self.purges.get(key or group, 0))

    def drop_expired(self, now: Ticks) -> None:
        """Drop the purges that no remaining copy can be older than."""
        self.purges = {purged: at for purged, at in self.purges.items() if now - at <= self.purge_lifetime}

    def max_age(self, request: Request, now: Ticks) -> Ticks:
        """Return the maximum acceptable age of a copy; 0: no limit."""
        vhost = self.virtual_hosts[request.vhost]
        age = vhost.fresh + vhost.grace if vhost.fresh else 0
        purges = [
            at
            for at in (self.purges.get(request.key), self.purges.get(request.purge_group))
            if at is not None
        ]
        if purges and now - max(purges) <= self.purge_lifetime:
            age = min(age or math.inf, max(1, now - max(purges) - 1))
        unread_limit = self._max_age_unread(request)
        return min(age or unread_limit, unread_limit) if unread_limit else age

    def _max_age_unread(self, request: Request) -> Ticks:
        """Return the maximum age of a copy that no unread purge can apply to; 0: no limit."""
        return 0 if request.object_part is None else self.catch_up.max_age()

    def likely_cached(self, request: Request, backend: Backend, now: Ticks) -> bool:
        """Return whether a backend likely has an acceptable copy, judging by this gateway's own requests."""
        object_part, vhost = request.object_part, self.virtual_hosts[request.vhost]
        if object_part is None or object_part.last_served_by is not backend:
            return False
        if backend.started > object_part.filled_at:
            return False
        if vhost.fresh and now - object_part.filled_at > vhost.fresh + vhost.grace:
            return False
        unread_limit = self._max_age_unread(request)
        if unread_limit and now - object_part.filled_at > unread_limit:
            return False
        purged_at = max(self.purges.get(request.key, 0), self.purges.get(request.purge_group, 0))
        return purged_at < object_part.filled_at

    def needs_revalidation(self, request: Request, now: Ticks) -> bool:
        """Return whether a request should trigger revalidation of its copy."""
        object_part, vhost = request.object_part, self.virtual_hosts[request.vhost]
        if object_part is None or not vhost.fresh:
            return False
        last = object_part.revalidated_at
        return last is None or now - last >= REVALIDATE_AFTER * vhost.fresh

    @staticmethod
    def record_answer(request: Request, backend: Backend, duration: Ticks) -> None:
        """Record which backend now has a copy, and how long the answer took."""
        object_part = request.object_part
        if object_part is None:
            return
        if request.expects_fill or request.revalidates or object_part.last_served_by is not backend:
            object_part.last_served_by, object_part.filled_at = backend, request.sent_at
        object_part.min_transfer_time = min(duration, object_part.min_transfer_time or duration)

    @staticmethod
    def undo_revalidation(request: Request) -> None:
        """Let the next request trigger revalidation, as the ended attempt did not."""
        object_part = request.object_part
        if object_part is not None and object_part.revalidated_at == request.sent_at:
            object_part.revalidated_at = None
