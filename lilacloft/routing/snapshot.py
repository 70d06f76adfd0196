"""Snapshots of a router's state: export as plain values for the next process or a store, and restore.

A snapshot contains the state that rules depend on and that takes long to learn. The rest is sent again by
discovery, is derived from the open requests, or starts with its defaults. Nothing is decided here.

The keys of the exported values are stored and sent; the tables below map attributes to keys, so that an
attribute may be renamed while its key stays. All times are `Ticks` of the gateway's own time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.model import Backend, ObjectPart, PartKey, Request
from lilacloft.routing.router import Router

# For each record type, the exported attributes and the keys under which they are stored and sent.
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


# The value of a request's key "way" if its fill counts towards the link limit; otherwise "way" is the name of
# its source if the fill counts towards the limit of the source, or None.
LINK_FILL_LIMIT = ""


def _export(record: Any, keys: Mapping[str, str]) -> dict[str, Any]:
    """Return a record's exported attributes under their keys."""
    return {key: getattr(record, attribute) for attribute, key in keys.items()}


def _restore(record: Any, keys: Mapping[str, str], exported: Mapping[str, Any]) -> None:
    """Set a record's attributes to exported values; attributes that were not exported keep their values."""
    for attribute, key in keys.items():
        if key in exported:
            setattr(record, attribute, exported[key])


# --- export ---


def export_state(
    router: Router, requests: list[Request] | tuple[()], part_keys: Iterable[PartKey]
) -> dict[str, Any]:
    """Return a router's state as plain values.

    `requests`: the open requests to export; other exported values refer to them by their index. `part_keys`:
    the object parts to export.
    """
    index = {request: position for position, request in enumerate(requests)}
    return {
        "router": _export_router(router),
        "vhosts": [_export(vhost, VHOST_KEYS) for vhost in router.virtual_hosts],
        "link": _export(router.link_limit, LIMIT_KEYS),
        "bes": {
            name: _export_backend(backend, index)
            for name, backend in _backends_by_name(router, requests).items()
        },
        "objs": export_object_parts(router, part_keys),
        "purges": list(router.freshness.purges.items()),
        "reqs": [_export_request(request, router.link_limit) for request in requests],
        "due": [
            (due_at, index[request], attempt)
            for due_at, _, request, attempt in sorted(router.deadlines.deadlines)
            if request in index
        ],
    }


def export_object_parts(router: Router, part_keys: Iterable[PartKey]) -> list[dict[str, Any]]:
    """Return the given object parts as plain values, except those that the router does not have."""
    object_parts = router.freshness.object_parts
    return [
        {
            "place": part_key,
            **_export(object_parts[part_key], OBJECT_PART_KEYS),
            "home": _name(object_parts[part_key].last_served_by),
        }
        for part_key in part_keys
        if part_key in object_parts
    ]


def _name(backend: Backend | None) -> str | None:
    return backend and backend.name


def _backends_by_name(router: Router, requests: Iterable[Request]) -> dict[str, Backend]:
    """Return all listed backends and all, including unlisted ones, that open requests refer to."""
    backends = {
        backend.name: backend
        for request in requests
        for backend in (request.backend, request.source, request.first_executed_by, *request.failed_backends)
        if backend
    }
    backends.update((backend.name, backend) for backend in router.pools.backends)
    return backends


def _export_router(router: Router) -> dict[str, Any]:
    return {
        "late": router.outliers.late_share,
        "value": router.averages.value,
        "work": router.averages.transfer_time,
        "unit": router.averages.load,
        "arrivals": router.load_reports.request_count,
        "caught_up": router.lagging_until,
        "borne": router.slow_start.learned_capacity,
    }


def _export_backend(backend: Backend, index: Mapping[Request, int]) -> dict[str, Any]:
    """Return a backend as plain values. `index`: the index of each exported request."""
    return {
        **_export(backend, BACKEND_KEYS),
        "started": backend.started,
        "way": backend.concurrency_limit and _export(backend.concurrency_limit, LIMIT_KEYS),
        "reqs": [index[request] for request in backend.requests if request in index],
        "trial": index.get(backend.canary),
    }


def _export_request(request: Request, link_limit: AdaptiveLimit) -> dict[str, Any]:
    return {
        **_export(request, REQUEST_KEYS),
        "be": _name(request.backend),
        "source": _name(request.source),
        "ran_at": _name(request.first_executed_by),
        "avoid": [backend.name for backend in request.failed_backends],
        "cached": request.object_part is not None,
        "way": LINK_FILL_LIMIT
        if request.fill_limit is link_limit
        else request.fill_limit and request.source.name,
    }


# --- restore ---


def restore_state(
    router: Router, exported: Mapping[str, Any], backends: Mapping[str, Backend]
) -> list[Request]:
    """Restore an exported state, and return its requests in order.

    `backends`: by name, those that the endpoint list or a request refers to. The exported values of a backend
    that has restarted since are ignored.
    """
    _restore_router(router, exported["router"])
    for vhost, values in zip(router.virtual_hosts, exported["vhosts"], strict=False):
        _restore(vhost, VHOST_KEYS, values)
    _restore(router.link_limit, LIMIT_KEYS, exported["link"])
    for name, values in exported["bes"].items():
        backend = backends.get(name)
        if backend and backend.started == values["started"]:
            _restore_backend(backend, values, 1 / router.settings.gateways)
    restore_object_parts(router, exported["objs"], backends)
    purges = router.freshness.purges
    purges.update((purged, max(at, purges.get(purged, 0))) for purged, at in exported["purges"])
    requests = [_restore_request(router, values, backends) for values in exported["reqs"]]
    for name, values in exported["bes"].items():
        if name in backends:
            _restore_in_flight(backends[name], values, requests)
    for due_at, position, attempt in exported["due"]:
        router.deadlines.add(due_at, requests[position], attempt)
    return requests


def restore_object_parts(
    router: Router, object_parts: Iterable[Mapping[str, Any]], backends: Mapping[str, Backend]
) -> None:
    """Add exported object parts to the router's, least recently requested first."""
    for values in object_parts:
        part_key = tuple(values["place"])
        object_part = router.freshness.entry(part_key)
        _restore(object_part, OBJECT_PART_KEYS, values)
        object_part.last_served_by = backends.get(values["home"])


def _restore_router(router: Router, exported: Mapping[str, Any]) -> None:
    values = _export_router(router) | {key: exported[key] for key in ROUTER_KEYS if key in exported}
    router.outliers.late_share = values["late"]
    router.averages.value = values["value"]
    router.averages.transfer_time = values["work"]
    router.averages.load = values["unit"]
    router.load_reports.request_count = values["arrivals"]
    router.lagging_until = values["caught_up"]
    router.slow_start.learned_capacity = values["borne"]


def _restore_backend(backend: Backend, exported: Mapping[str, Any], gateway_share: float) -> None:
    """Restore the learned state of a backend. `gateway_share`: this gateway's share of its capacity."""
    _restore(backend, BACKEND_KEYS, exported)
    backend.recent_work = [(at, work) for at, work in backend.recent_work]
    if exported["way"]:
        backend.concurrency_limit = backend.concurrency_limit or AdaptiveLimit(1.0, gateway_share)
        _restore(backend.concurrency_limit, LIMIT_KEYS, exported["way"])


def _restore_in_flight(backend: Backend, exported: Mapping[str, Any], requests: list[Request]) -> None:
    """Restore the exported requests that are in flight at a backend."""
    backend.requests = {requests[position]: None for position in exported["reqs"]}
    backend.in_flight_load = sum(request.load_units for request in backend.requests)
    backend.canary = None if exported["trial"] is None else requests[exported["trial"]]


def _restore_request(router: Router, exported: Mapping[str, Any], backends: Mapping[str, Backend]) -> Request:
    """Restore one open request; an attempt in flight is counted in its limits."""
    request = Request(**{attribute: exported[key] for attribute, key in REQUEST_KEYS.items()})
    request.backend = backends.get(exported["be"])
    request.source = backends.get(exported["source"])
    request.first_executed_by = backends.get(exported["ran_at"])
    request.failed_backends = [backends[name] for name in exported["avoid"] if name in backends]
    if exported["cached"]:
        part_key = (request.key, request.part)
        request.object_part = router.freshness.object_parts.setdefault(part_key, ObjectPart())
    if exported["way"] == LINK_FILL_LIMIT:
        request.fill_limit = router.link_limit
    else:
        request.fill_limit = request.source.concurrency_limit if exported["way"] else None
    if request.in_flight:
        for limit in (request.backend.concurrency_limit, request.fill_limit):
            if limit:
                limit.in_flight += 1
    return request
