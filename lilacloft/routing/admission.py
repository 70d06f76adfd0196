"""Admission control and load shedding: which requests are served under overload."""

from __future__ import annotations

from lilacloft.routing.averages import TrafficAverages
from lilacloft.routing.concurrency import INITIAL_FACTOR
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.rendezvous import shed_order
from lilacloft.routing.virtual_host import VirtualHost

MAX_PRIORITY = 4.0  # bounds the priority weight of a request to the range 1/4 to 4
# Large requests are boosted while their answered share is below this fraction of the virtual host's.
FAIR_LARGE_SHARE = 0.9
LARGE_BOOST = 0.8  # priority of boosted large requests; at 1 a few of them would displace too many others


def priority_weight(vhost: VirtualHost, request: Request, averages: TrafficAverages) -> float:
    """Return the factor by which limits are widened for a request: its value per unit of transfer time,
    relative to the average request."""
    relative = vhost.value / request.transfer_time * averages.transfer_time / (averages.value or 1.0)
    weight = min(max(relative, 1 / MAX_PRIORITY), MAX_PRIORITY)
    is_large = request.transfer_time > vhost.large_threshold
    if is_large and vhost.large_answered_share < FAIR_LARGE_SHARE * vhost.answered_share:
        weight = max(weight, LARGE_BOOST)
    return weight


def is_overloaded(backend: Backend, request: Request, weight: float) -> bool:
    """Return whether a backend reports too much load to take a request. Object parts are shed in a fixed
    order, so that all gateways move the same ones."""
    return backend.reported_load > max(1.0, INITIAL_FACTOR * weight) * shed_order(request, backend)
