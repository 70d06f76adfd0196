"""State shared by the components of one gateway. `gateway.Gateway` fills it in; components keep no copies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacloft.gateway.clock import GatewayClock
from lilacloft.gateway.configuration import Configuration
from lilacloft.gateway.counters import Counters
from lilacloft.gateway.event_loop import EventLoop
from lilacloft.invariants import Invariants
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.discovery_watch import DiscoveryWatch
from lilacloft.net.downstream import Downstream
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.net.request_trace import Trace
from lilacloft.net.resource_limits import Budgets
from lilacloft.net.upstream import Upstream
from lilacloft.routing.executed_requests import ExecutedRequests
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.router import Router
from lilacloft.routing.units import Ticks


class GatewayContext:
    """The shared components. All but the queue and the trace are used by the event loop's thread only."""

    downstream: Downstream  # the clients' connections
    upstream: Upstream  # the connections to caches, parents and the origin
    discovery_watch: DiscoveryWatch  # the change log
    router: Router  # decides where requests are sent
    invariants: Invariants
    budgets: Budgets
    maintenance_interval: Ticks

    def __init__(self, configuration: Configuration, unix_clock: Callable[[], int]) -> None:
        """`unix_clock`: returns the Unix time in nanoseconds."""
        self.configuration = configuration
        self.settings = configuration.settings
        self.vhosts = configuration.vhosts
        self.granularity = configuration.granularity
        self.max_client_timeout = configuration.max_client_timeout
        self.limits = configuration.limits
        self.clock = GatewayClock(unix_clock)
        self.counters = Counters()
        self.lags = GatewayLags()
        self.loop = EventLoop(self.clock, self.counters, configuration.answer_slack, self.lags)
        self.lag_margin = self.loop.lag_margin
        self.trace = Trace()
        # includes finished requests whose attempt is still in flight
        self.open_requests: dict[Request, ClientRequest] = {}
        self.executed_requests = ExecutedRequests()
        self.backends: dict[str, Backend] = {}  # by name
        self.store: Any = None  # lilacloft.store.gateway_store.GatewayStore, if effects must survive a crash
        self.recorder: Any = None  # lilacloft.record.recorder.Recorder, if records are written
        self.agent: Any = None  # lilacloft.control.gateway_agent.GatewayAgent, if planners are used
        self.upgrade: Any = None  # lilacloft.handover.sender.HandoverSender, if this process may be replaced
