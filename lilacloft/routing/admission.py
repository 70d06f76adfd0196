"""Admission and load shedding: which requests are served at all when there is more work than can be done."""

from __future__ import annotations

from lilacloft.routing.averages import TrafficAverages
from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.rendezvous import shed_order
from lilacloft.routing.virtual_host import VirtualHost

MAX_PRIORITY = 4.0  # a request far above (below) the usual value for its work meets limits so much wider
FAIR_LARGE_SHARE = 0.9  # of its virtual host's answered share, below which large requests are boosted
LARGE_BOOST = 0.8  # priority of boosted large requests; at 1 a few of them would displace too many others


def priority_weight(vhost: VirtualHost, request: Request, averages: TrafficAverages) -> float:
    """Return by how much limits are wider for a request: its value for its work, over the usual one."""
    relative = vhost.value / request.transfer_time * averages.transfer_time / (averages.value or 1.0)
    weight = min(max(relative, 1 / MAX_PRIORITY), MAX_PRIORITY)
    is_large = request.transfer_time > vhost.large_threshold
    if is_large and vhost.large_answered_share < FAIR_LARGE_SHARE * vhost.answered_share:
        weight = max(weight, LARGE_BOOST)
    return weight


def is_overloaded(backend: Backend, request: Request, weight: float) -> bool:
    """Return whether a backend reports too much load to take a request. Object parts leave it in a fixed
    order, so that all gateways move the same ones."""
    return backend.reported_load > max(1.0, INITIAL_FACTOR * weight) * shed_order(request, backend)
