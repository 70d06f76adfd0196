"""The lifecycle of a gateway process: its phase, and its graceful shutdown.

After SIGTERM clients may still connect for a while, as the protocol specifies; every request that was read is
answered before the process may be killed. Then the listener and all connections are closed.
"""

from __future__ import annotations

from enum import Enum, auto

from lilacloft.gateway.context import GatewayContext
from lilacloft.log import logger
from lilacloft.routing.model import RejectReason
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

ARRIVALS_AFTER_STOP = 0.7  # seconds after SIGTERM in which clients may still send requests, by the protocol
MAX_ARRIVAL_GAP = 0.2  # seconds without a request, after those, until no more are expected
LATEST_CLOSING = 1.5  # seconds after SIGTERM from which connections are closed although requests still arrive
CLIENT_CLOSE_GRACE = 0.3  # seconds for clients to close their halves once ours are closed
CLOSING_SHARE = 0.5  # of the longest deadline: with short deadlines connections are closed earlier than that
EARLIEST_KILL = 3.0  # seconds from the end of `ARRIVALS_AFTER_STOP` until the process may be killed
MIN_CLOSING_INTERVAL: Ticks = 10  # between two checks of connections that are closing


class Phase(Enum):
    """The phases of a process, which only advance. docs/gateway.md specifies the duties of each."""

    STARTING = auto()  # bound; no client accepted yet
    SERVING = auto()
    DRAINING = auto()  # shutting down: clients may still connect, and are answered
    CLOSING = auto()  # the listener is closed, and our half of each idle connection
    ENDED = auto()  # everything is closed, or another process is the gateway


class Lifecycle:
    """The phase of one gateway process."""

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.phase = Phase.STARTING
        self.shutdown_started: Ticks = 0  # when SIGTERM was received; 0: not yet
        self.shutdown_deadline: Ticks = 0  # by when all requests must be answered
        self.latest_closing: Ticks = 0  # from when on connections are closed although requests still arrive
        self.listener_closed_at: Ticks = 0
        self.last_arrival: Ticks = 0  # when the last request arrived

    def enter(self, phase: Phase) -> None:
        """Advance to a phase, unless it was reached already. Only this method changes the phase."""
        if phase.value > self.phase.value:
            self.phase = phase

    def stop(self) -> None:
        """Start the graceful shutdown, after SIGTERM."""
        gateway = self.gateway
        if self.phase not in (Phase.STARTING, Phase.SERVING) or (
            gateway.upgrade and gateway.upgrade.forward_stop()
        ):
            return
        self.enter(Phase.DRAINING)
        logger.info("told to stop: {} requests are open", len(gateway.open_requests))
        self.shutdown_started = now = gateway.clock.time
        arrivals = int(ARRIVALS_AFTER_STOP * TICKS_PER_SECOND)
        longest = min(gateway.max_client_timeout, int(EARLIEST_KILL * TICKS_PER_SECOND))
        self.shutdown_deadline = now + arrivals + longest - gateway.maintenance_interval
        latest = int(LATEST_CLOSING * TICKS_PER_SECOND)
        self.latest_closing = now + min(latest, arrivals + int(CLOSING_SHARE * longest))
        gateway.loop.call_at(self.shutdown_deadline, self._reject_open_requests)

    def is_finished(self) -> bool:
        """Advance the shutdown if possible, and return whether the process has nothing left to do."""
        if self.phase not in (Phase.DRAINING, Phase.CLOSING):
            return self.phase is Phase.ENDED
        is_busy = self._is_busy()
        if self.phase is Phase.DRAINING:
            self._close_listener(is_busy)
        is_settled = self.phase is Phase.CLOSING and self._clients_are_closed(is_busy)
        # what is busy gets some time to write its answers; the rest is for the exit, before a kill could come
        grace = self.gateway.maintenance_interval // 2 if is_busy else 0
        last_moment = self.shutdown_deadline + grace
        if not is_settled and self.gateway.clock.time <= last_moment:
            return False
        self.gateway.downstream.stop_accepting()
        self.gateway.downstream.close_remaining()  # the process may run on, but answers nothing more
        return True

    def _is_busy(self) -> bool:
        """Return whether a request is open or an answer unwritten. A request that its reader has accepted may
        not be in `open_requests` yet."""
        gateway = self.gateway
        return bool(gateway.open_requests) or any(
            client.open or client.unsent_bytes() for client in list(gateway.downstream.clients)
        )

    def _arrivals_are_over(self) -> bool:
        return self.gateway.clock.time >= max(
            self.shutdown_started + ARRIVALS_AFTER_STOP * TICKS_PER_SECOND,
            self.last_arrival + MAX_ARRIVAL_GAP * TICKS_PER_SECOND,
        )

    def _is_overdue(self) -> bool:
        """Return whether clients have gone on sending for longer than the protocol allows."""
        return self.gateway.clock.time >= self.latest_closing

    def _close_listener(self, is_busy: bool) -> None:
        """Stop accepting clients once arrivals are over and no connection or message is unread. Clients that
        keep sending do not delay this: their connections are closed when idle."""
        downstream = self.gateway.downstream
        is_quiet = self._arrivals_are_over() and not is_busy and not downstream.has_unread()
        if is_quiet or (self._is_overdue() and not downstream.has_unaccepted()):
            self.enter(Phase.CLOSING)
            self.listener_closed_at = self.gateway.clock.time
            downstream.stop_accepting()

    def _clients_are_closed(self, is_busy: bool) -> bool:
        """Close our halves of idle connections; return whether all are closed and clients had time to close
        theirs. Requests that cross our close are sent again elsewhere by their clients, and answers already
        sent still arrive."""
        gateway = self.gateway
        connections_remain = gateway.downstream.close_idle()
        grace_is_over = gateway.clock.time > self.listener_closed_at + CLIENT_CLOSE_GRACE * TICKS_PER_SECOND
        if not is_busy and (
            not connections_remain or (grace_is_over and not gateway.downstream.has_unread())
        ):
            return True
        next_check = gateway.clock.time + max(gateway.granularity, MIN_CLOSING_INTERVAL)
        gateway.loop.call_at(next_check, lambda: None)  # wakes the loop, which checks again
        return False

    def _reject_open_requests(self) -> None:
        """Reject the requests that are still open at the shutdown's deadline."""
        for client_request in list(self.gateway.open_requests.values()):
            self.gateway.router.reject(client_request.request, RejectReason.ENDING)
