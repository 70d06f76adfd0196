"""All observations of one gateway. No I/O."""

from __future__ import annotations

from lilacloft.timeline import event_observations, summary_observations
from lilacloft.timeline.observations import GatewayHistory, Observation


def observe(history: GatewayHistory) -> list[Observation]:
    """Return all observations of one gateway."""
    return [
        *event_observations.ejections(history),
        *event_observations.endpoint_changes(history),
        *event_observations.purges(history),
        *summary_observations.slow_sources(history),
        *summary_observations.slow_caches(history),
        *summary_observations.fleet_troubles(history),
        *event_observations.plan_outages(history),
        *event_observations.location_failovers(history),
    ]
