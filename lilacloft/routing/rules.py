"""Creates the routing rules of one gateway and the state that they share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lilacloft.routing.averages import TrafficAverages
from lilacloft.routing.concurrency import INITIAL_FACTOR, AdaptiveLimit
from lilacloft.routing.deadlines import DeadlineQueue
from lilacloft.routing.fleet_plan import FleetPlan
from lilacloft.routing.freshness import Freshness
from lilacloft.routing.host import Host
from lilacloft.routing.load_reports import LoadReports
from lilacloft.routing.outliers import OutlierDetector
from lilacloft.routing.pools import BackendPools
from lilacloft.routing.rendezvous import MIN_BOUND, Rendezvous
from lilacloft.routing.settings import RoutingSettings
from lilacloft.routing.slow_start import SlowStart
from lilacloft.routing.virtual_host import VirtualHost


def initial_link_limit(settings: RoutingSettings) -> AdaptiveLimit:
    """Return the initial limit on a gateway's likely fills through its location's link."""
    transfers = settings.zone_link_rates[settings.zone] / settings.transfer_rate or MIN_BOUND
    limit = max(1.0, INITIAL_FACTOR * transfers / settings.zone_gateways)
    return AdaptiveLimit(limit, 1 / settings.gateways)


@dataclass(slots=True)
class Rules:
    """The rules of one gateway, each of which may be replaced (lilacloft/emulator/policies.py)."""

    host: Host
    settings: RoutingSettings
    virtual_hosts: list[VirtualHost]
    averages: TrafficAverages
    pools: BackendPools
    plan: FleetPlan
    placement: Rendezvous
    slow_start: SlowStart
    freshness: Freshness
    load_reports: LoadReports
    deadlines: DeadlineQueue
    link_limit: AdaptiveLimit
    outliers: OutlierDetector

    @classmethod
    def make(cls, host: Host, mapping: Mapping[str, Any]) -> Rules:
        """Create the rules from validated settings with internal names (lilacloft/protocol_settings.py)."""
        settings = RoutingSettings.from_mapping(mapping)
        virtual_hosts = [
            VirtualHost(config, mapping["family"], index) for index, config in enumerate(mapping["vhosts"])
        ]
        pools, plan = BackendPools(settings), FleetPlan()
        link_limit = initial_link_limit(settings)
        return cls(
            host=host,
            settings=settings,
            virtual_hosts=virtual_hosts,
            averages=TrafficAverages(),
            pools=pools,
            plan=plan,
            placement=Rendezvous(),
            slow_start=SlowStart(settings, pools, virtual_hosts, plan),
            freshness=Freshness(virtual_hosts, settings.purge_lifetime, settings.purge_grace),
            load_reports=LoadReports(settings),
            deadlines=DeadlineQueue(host),
            link_limit=link_limit,
            outliers=OutlierDetector(host, pools, virtual_hosts, plan, link_limit),
        )
