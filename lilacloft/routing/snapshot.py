"""Owns the state of a gateway's decisions as it goes over to the next process, as plain values: what of each
record is kept, and how another module goes on with it.

It must never decide: what it carries was decided before, and counts the same after.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.model import Backend, ObjectPart, Request
from lilacloft.routing.router import Router

# What the next process goes on with, by record: attribute and the key under which it goes over. It is what a
# rule counts and what takes long to learn. The rest is told anew, found by counting the open requests, or
# starts as at a start.
ROUTER_KEYS = ("late", "value", "work", "unit", "arrivals", "caught_up", "borne")
VHOST_KEYS = {"mean_transfer_time": "work", "usual_answer_time": "usual"}
LIMIT_KEYS = {
    "limit": "limit",
    "late_share": "late",
    "next_cut_at": "calm",
    "last_ended_at": "ended",
    "last_duration": "took",
}
BACKEND_KEYS = {
    "reported_load": "crowd",
    "saturation_in_flight": "holds",
    "health_checked_at": "asked",
    "last_answer_at": "heard",
    "consecutive_failures": "strikes",
    "late_fill_share": "late",
    "ejected": "suspect",
    "retry_at": "retry_at",
    "backoff": "backoff",
    "recent_work": "budget",
}
OBJECT_PART_KEYS = {
    "revalidated_at": "marked",
    "request_count": "seen",
    "filled_at": "filled",
    "min_transfer_time": "work",
}
REQUEST_KEYS = {
    "key": "key",
    "part": "part",
    "purge_group": "group",
    "kbytes": "kbytes",
    "arrived_at": "arrived",
    "deadline": "until",
    "vhost": "vhost",
    "tenant": "tenant",
    "is_write": "write",
    "is_client_retry": "repeat",
    "streaming": "flowing",
    "in_flight": "out",
    "attempts": "tries",
    "sent_at": "sent",
    "load_units": "units",
    "transfer_time": "work",
    "expects_fill": "fill",
    "first_executed_at": "first_ran",
    "revalidates": "renew",
    "may_collapse": "rejoin",
    "cache_only": "looked",
    "send_by": "send_by",
}


def _export(record: Any, keys: Mapping[str, str]) -> dict[str, Any]:
    return {key: getattr(record, attribute) for attribute, key in keys.items()}


def _restore(record: Any, keys: Mapping[str, str], exported: Mapping[str, Any]) -> None:
    for attribute, key in keys.items():
        if key in exported:
            setattr(record, attribute, exported[key])


def _export_router(router: Router) -> dict[str, Any]:
    return {
        "late": router.outliers.late_share,
        "value": router.averages.value,
        "work": router.averages.transfer_time,
        "unit": router.averages.load,
        "arrivals": router.load_reports.request_count,
        "caught_up": router.caught_up_at,
        "borne": router.slow_start.learned_capacity,
    }


def _restore_router(router: Router, exported: Mapping[str, Any]) -> None:
    values = _export_router(router) | {key: exported[key] for key in ROUTER_KEYS if key in exported}
    router.outliers.late_share = values["late"]
    router.averages.value = values["value"]
    router.averages.transfer_time = values["work"]
    router.averages.load = values["unit"]
    router.load_reports.request_count = values["arrivals"]
    router.caught_up_at = values["caught_up"]
    router.slow_start.learned_capacity = values["borne"]


def give(
    router: Router, requests: list[Request] | tuple[()], places: Iterable[tuple[str, int]]
) -> dict[str, Any]:
    """What the next process goes on with, as plain values: open reqs, and the table at some places."""
    index = {request: place for place, request in enumerate(requests)}
    backends = {
        backend.name: backend
        for request in requests
        for backend in (request.backend, request.source, request.first_executed_by, *request.failed_backends)
        if backend
    }
    backends.update((backend.name, backend) for backend in router.pools.backends)
    object_parts = [
        (place, router.freshness.object_parts[place])
        for place in places
        if place in router.freshness.object_parts
    ]
    return {
        "router": _export_router(router),
        "vhosts": [_export(vhost, VHOST_KEYS) for vhost in router.virtual_hosts],
        "link": _export(router.link_limit, LIMIT_KEYS),
        "bes": {
            name: {
                **_export(backend, BACKEND_KEYS),
                "started": backend.started,
                "way": backend.concurrency_limit and _export(backend.concurrency_limit, LIMIT_KEYS),
                "reqs": [index[request] for request in backend.requests if request in index],
                "trial": index.get(backend.canary),
            }
            for name, backend in backends.items()
        },
        "objs": [
            {
                "place": place,
                **_export(object_part, OBJECT_PART_KEYS),
                "home": object_part.last_served_by and object_part.last_served_by.name,
            }
            for place, object_part in object_parts
        ],
        "purges": list(router.freshness.purges.items()),
        "reqs": [
            {
                **_export(request, REQUEST_KEYS),
                "be": request.backend and request.backend.name,
                "source": request.source and request.source.name,
                "ran_at": request.first_executed_by and request.first_executed_by.name,
                "avoid": [backend.name for backend in request.failed_backends],
                "cached": request.object_part is not None,
                "way": ""
                if request.fill_limit is router.link_limit
                else request.fill_limit and request.source.name,
            }
            for request in requests
        ],
        "due": [
            (when, index[request], seq)
            for when, _, request, seq in sorted(router.deadlines.deadlines)
            if request in index
        ],
    }


def take(router: Router, given: Mapping[str, Any], backends: Mapping[str, Backend]) -> list[Request]:
    """Go on with what another gave, its list told; returns its reqs. What is of earlier lives is void."""
    _restore_router(router, given["router"])
    for vhost, kept in zip(router.virtual_hosts, given["vhosts"], strict=False):
        _restore(vhost, VHOST_KEYS, kept)
    _restore(router.link_limit, LIMIT_KEYS, given["link"])
    for name, kept in given["bes"].items():
        backend = backends.get(name)
        if backend and backend.started == kept["started"]:
            _restore(backend, BACKEND_KEYS, kept)
            backend.recent_work = [(at, work) for at, work in backend.recent_work]
            if kept["way"]:
                backend.concurrency_limit = backend.concurrency_limit or AdaptiveLimit(
                    1.0, 1 / router.settings.gateways
                )
                _restore(backend.concurrency_limit, LIMIT_KEYS, kept["way"])
    recall(router, given["objs"], backends)
    router.freshness.purges.update(
        (what, max(at, router.freshness.purges.get(what, 0))) for what, at in given["purges"]
    )
    requests = [_resume(router, kept, backends) for kept in given["reqs"]]
    for name, kept in given["bes"].items():
        if name in backends:
            backends[name].requests = {requests[place]: None for place in kept["reqs"]}
            backends[name].in_flight_load = sum(request.load_units for request in backends[name].requests)
            backends[name].canary = None if kept["trial"] is None else requests[kept["trial"]]
    for when, place, seq in given["due"]:
        router.deadlines.add(when, requests[place], seq)
    return requests


def recall(
    router: Router, object_parts: Iterable[Mapping[str, Any]], backends: Mapping[str, Backend]
) -> None:
    """Entries of the table that another process gave, least lately asked first."""
    for kept in object_parts:
        place = tuple(kept["place"])
        object_part = router.freshness.entry(place)
        _restore(object_part, OBJECT_PART_KEYS, kept)
        object_part.last_served_by = backends.get(kept["home"])


def _resume(router: Router, kept: Mapping[str, Any], backends: Mapping[str, Backend]) -> Request:
    """One open req of another process, with its dispatch if one is out: the counts it stands in."""
    request = Request(**{attribute: kept[key] for attribute, key in REQUEST_KEYS.items()})
    request.backend, request.source, request.first_executed_by = (
        backends.get(kept["be"]),
        backends.get(kept["source"]),
        backends.get(kept["ran_at"]),
    )
    request.failed_backends = [backends[name] for name in kept["avoid"] if name in backends]
    if kept["cached"]:
        request.object_part = router.freshness.object_parts.setdefault(
            (request.key, request.part), ObjectPart()
        )
    request.fill_limit = (
        router.link_limit if kept["way"] == "" else request.source.concurrency_limit if kept["way"] else None
    )
    if request.in_flight:
        for way in (request.backend.concurrency_limit, request.fill_limit):
            if way:
                way.in_flight += 1
    return request
