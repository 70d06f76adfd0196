"""Plans which backends are ejected by all gateways, and which gateway sends canary requests to each of
them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lilacloft.control.fleet_state import CACHE, PARENT, Backends
from lilacloft.control.health_aggregation import Verdict, canary_turns
from lilacloft.routing.units import Ticks


def plan_ejections(verdicts: Mapping[str, Verdict], backends: Backends) -> dict[str, str]:
    """Return the backends to eject, with the reasons."""
    failing = [
        backend
        for backend, verdict in sorted(verdicts.items())
        if verdict.is_ejected and backend in backends and backends[backend].is_ready
    ]
    return {backend: verdicts[backend].reason for backend in _without_shared_causes(failing, backends)}


def _without_shared_causes(failing: Sequence[str], backends: Backends) -> list[str]:
    """Return the failing backends without those of a kind and location of which more than half of the ready
    backends fail: such a failure has a cause outside of the backends, and ejecting them would not help."""
    result = []
    for zone in sorted({backends[backend].zone for backend in failing}):
        for kind in (CACHE, PARENT):
            ready = sum(
                backend.zone == zone and backend.kind == kind and backend.is_ready
                for backend in backends.values()
            )
            affected = [
                name for name in failing if backends[name].zone == zone and backends[name].kind == kind
            ]
            if 2 * len(affected) <= ready:
                result += affected
    return result


def assign_canaries(
    ejections: Mapping[str, str],
    backends: Backends,
    gateways: Sequence[str],
    by_zone: Mapping[int, Sequence[str]],
    now: Ticks,
) -> dict[str, str]:
    """Return for each ejected backend the gateway that may send it canary requests now: for a cache one of
    its own location (`by_zone`), for other backends any gateway."""
    assigned: dict[str, str] = {}
    for name in ejections:
        backend = backends[name]
        candidates = by_zone.get(backend.zone, []) if backend.kind == CACHE else gateways
        turns = canary_turns([name], candidates, now)
        assigned.update((ejected, gateway) for ejected, (gateway, _) in turns.items())
    return assigned
