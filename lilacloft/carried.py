"""Owns the state of a gateway's decisions as it goes over to the next process, as plain values: what of each
record is kept, and how another module goes on with it.

It must never decide: what it carries was decided before, and counts the same after.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lilacloft.decide import TABLE, Limit, Router
from lilacloft.state import Backend, ObjectPart, Request

# What the next process goes on with, by record (give, take): what a rule counts, what takes long to learn.
# The rest is told anew, found by counting the open reqs (load, reqs, trial), or starts as at a start.
KEPT = {
    "router": ("late", "value", "work", "unit", "arrivals", "caught_up", "borne"),
    "vhost": ("work", "usual"),
    "limit": ("limit", "late", "calm", "ended", "took"),
    "be": ("crowd", "holds", "asked", "heard", "strikes", "late", "suspect", "retry_at", "backoff", "budget"),
    "obj": ("marked", "seen", "filled", "work"),
    "req": (
        "key",
        "part",
        "group",
        "kbytes",
        "arrived",
        "until",
        "vhost",
        "tenant",
        "write",
        "repeat",
        "flowing",
        "out",
        "tries",
        "sent",
        "units",
        "work",
        "fill",
        "first_ran",
        "renew",
        "rejoin",
        "looked",
        "send_by",
    ),
}


# Attributes whose key in the handed-over state has another name.
ATTRIBUTES = {
    "strikes": "consecutive_failures",
    "suspect": "ejected",
    "first_ran": "first_executed_at",
    "rejoin": "may_collapse",
}


def _kept(kind: str, of: Any) -> dict[str, Any]:
    return {name: getattr(of, ATTRIBUTES.get(name, name)) for name in KEPT[kind]}


def _set(kind: str, of: Any, kept: Mapping[str, Any]) -> None:
    for name in KEPT[kind]:
        if name in kept:
            setattr(of, ATTRIBUTES.get(name, name), kept[name])


def give(
    router: Router, requests: list[Request] | tuple[()], places: Iterable[tuple[str, int]]
) -> dict[str, Any]:
    """What the next process goes on with, as plain values: open reqs, and the table at some places."""
    index = {request: place for place, request in enumerate(requests)}
    backends = {
        backend.name: backend
        for request in requests
        for backend in (request.backend, request.source, request.first_executed_by, *request.avoid)
        if backend
    }
    backends.update((backend.name, backend) for backend in router.known)
    object_parts = [(place, router.object_parts[place]) for place in places if place in router.object_parts]
    return {
        "router": _kept("router", router),
        "vhosts": [_kept("vhost", vhost) for vhost in router.vhosts],
        "link": _kept("limit", router.link),
        "bes": {
            name: {
                **_kept("be", backend),
                "started": backend.started,
                "way": backend.way and _kept("limit", backend.way),
                "reqs": [index[request] for request in backend.requests if request in index],
                "trial": index.get(backend.trial),
            }
            for name, backend in backends.items()
        },
        "objs": [
            {"place": place, **_kept("obj", object_part), "home": object_part.home and object_part.home.name}
            for place, object_part in object_parts
        ],
        "purges": list(router.purges.items()),
        "reqs": [
            {
                **_kept("req", request),
                "be": request.backend and request.backend.name,
                "source": request.source and request.source.name,
                "ran_at": request.first_executed_by and request.first_executed_by.name,
                "avoid": [backend.name for backend in request.avoid],
                "cached": request.object_part is not None,
                "way": "" if request.way is router.link else request.way and request.source.name,
            }
            for request in requests
        ],
        "due": [
            (when, index[request], seq) for when, _, request, seq in sorted(router.due) if request in index
        ],
    }


def take(router: Router, given: Mapping[str, Any], backends: Mapping[str, Backend]) -> list[Request]:
    """Go on with what another gave, its list told; returns its reqs. What is of earlier lives is void."""
    _set("router", router, given["router"])
    for vhost, kept in zip(router.vhosts, given["vhosts"], strict=False):
        _set("vhost", vhost, kept)
    _set("limit", router.link, given["link"])
    for name, kept in given["bes"].items():
        backend = backends.get(name)
        if backend and backend.started == kept["started"]:
            _set("be", backend, kept)
            backend.budget = [(at, work) for at, work in backend.budget]
            if kept["way"]:
                backend.way = backend.way or Limit(1.0, 1 / router.gateways)
                _set("limit", backend.way, kept["way"])
    recall(router, given["objs"], backends)
    router.purges.update((what, max(at, router.purges.get(what, 0))) for what, at in given["purges"])
    requests = [_resume(router, kept, backends) for kept in given["reqs"]]
    for name, kept in given["bes"].items():
        if name in backends:
            backends[name].requests = {requests[place]: None for place in kept["reqs"]}
            backends[name].load = sum(request.units for request in backends[name].requests)
            backends[name].trial = None if kept["trial"] is None else requests[kept["trial"]]
    for when, place, seq in given["due"]:
        router._push(when, requests[place], seq)
    return requests


def recall(
    router: Router, object_parts: Iterable[Mapping[str, Any]], backends: Mapping[str, Backend]
) -> None:
    """Entries of the table that another process gave, least lately asked first."""
    for kept in object_parts:
        place = tuple(kept["place"])
        object_part = router.object_parts[place] = router.object_parts.pop(place, None) or ObjectPart()
        _set("obj", object_part, kept)
        object_part.home = backends.get(kept["home"])
        if len(router.object_parts) > TABLE:
            del router.object_parts[next(iter(router.object_parts))]


def _resume(router: Router, kept: Mapping[str, Any], backends: Mapping[str, Backend]) -> Request:
    """One open req of another process, with its dispatch if one is out: the counts it stands in."""
    request = Request(**{ATTRIBUTES.get(name, name): kept[name] for name in KEPT["req"]})
    request.backend, request.source, request.first_executed_by = (
        backends.get(kept["be"]),
        backends.get(kept["source"]),
        backends.get(kept["ran_at"]),
    )
    request.avoid = [backends[name] for name in kept["avoid"] if name in backends]
    if kept["cached"]:
        request.object_part = router.object_parts.setdefault((request.key, request.part), ObjectPart())
    request.way = router.link if kept["way"] == "" else request.source.way if kept["way"] else None
    if request.out:
        for way in (request.backend.way, request.way):
            if way:
                way.count += 1
    return request
