"""Prepares a gateway process that can be replaced, or that takes over from another."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from lilacloft.errors import TakeoverAbortedError, UnusableError
from lilacloft.handover import process_arguments
from lilacloft.handover.channel import ChannelError
from lilacloft.handover.framing import FormatError, to_plain
from lilacloft.handover.receiver import NO_DESCRIPTOR, HandoverReceiver
from lilacloft.handover.sender import HandoverSender
from lilacloft.handover.upgrade_listener import bind_upgrade_socket
from lilacloft.log import logger
from lilacloft.net.connection import Connection
from lilacloft.routing.units import TICKS_PER_SECOND

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

MakeGateway = Callable[[dict[str, Any], socket.socket | None, bool], "Gateway"]
DEFAULT_STORE_TIMEOUT = 0.05  # seconds for which an attempt waits for the store


@dataclass(frozen=True)
class ProcessOptions:
    """The options of a gateway process besides its configuration.

    From the command line: `handover`, the path of the Unix socket for upgrade requests; `takeover`, `status`
    and `listener`, descriptors (lilacloft/handover/process_arguments.py); `unserved_since`, in monotonic
    seconds.
    From the settings: `limits`, seconds by phase; `mode`, a HandoverMode; `record`, `store` and `plan`, the
    sections with these names.
    """

    handover: str = ""
    takeover: int = NO_DESCRIPTOR
    status: int = NO_DESCRIPTOR
    listener: int = NO_DESCRIPTOR
    unserved_since: float = 0.0
    limits: Mapping[str, float] | None = None
    mode: str = "whole"
    record: Mapping[str, Any] | None = None
    store: Mapping[str, Any] | None = None
    plan: Mapping[str, Any] | None = None


class PreparedGateway(NamedTuple):
    """A gateway that is ready to run, and a function to be called right before it runs."""

    gateway: Gateway
    begin: Callable[[], None]


@dataclass(frozen=True)
class _ComponentFactory:
    """Makes the optional components of a gateway, for a fresh start and for a takeover."""

    config: dict[str, Any]
    options: ProcessOptions

    def open_store(self, gateway: Gateway, **restored: Any) -> Any:
        """Return the store's writer; None if the settings name no folder for a store.

        `restored`: fields of an InheritedStore, in a process that takes over.
        """
        store = self.options.store
        if not store or "folder" not in store:
            return None
        from lilacloft.store.errors import StoreError
        from lilacloft.store.gateway_store import GatewayStore, InheritedStore

        timeout = int(store.get("patience", DEFAULT_STORE_TIMEOUT) * TICKS_PER_SECOND)
        try:
            inherited = InheritedStore(**restored) if restored else None
            takes_over = self.options.takeover >= 0
            return GatewayStore(gateway, store["folder"], timeout, inherited, list_is_inherited=takes_over)
        except StoreError as error:
            raise UnusableError(str(error)) from error

    def make_agent(self, gateway: Gateway) -> Any:
        """Return the agent that connects to planners; None if the settings name no planners."""
        plan = self.options.plan
        if not plan or not plan.get("planners"):
            return None

        from lilacloft.control.gateway_agent import GatewayAgent

        name = str(self.config.get("name", "gateway"))
        return GatewayAgent(gateway, name, plan["planners"], plan.get("zones", {}).get("leave", "never"))

    def make_recorder(self, gateway: Gateway) -> Any:
        """Return the event recorder; None if the settings name no folder for records."""
        record = self.options.record
        if not record or "folder" not in record:
            return None
        from lilacloft.record.recorder import Recorder, RecorderOptions

        options = RecorderOptions(
            record["folder"],
            str(self.config.get("name", "gateway")),
            record,
            record.get("prometheus", ""),
            record.get("connect", ""),
        )
        return Recorder(gateway, options)

    def make_sender(self, gateway: Gateway, upgrade_socket: socket.socket) -> HandoverSender:
        """Return the sender that lets the gateway be replaced."""
        options = self.options
        return HandoverSender(gateway, upgrade_socket, options.limits, options.status, options.mode)


def prepare(config: dict[str, Any], make_gateway: MakeGateway, options: ProcessOptions) -> PreparedGateway:
    """Prepare a gateway: one that takes over if the options give a channel to a sender, else a fresh one.

    `make_gateway`: makes a gateway from a configuration, a listening socket (None: it binds its own), and
    whether it takes over. Raises TakeoverAbortedError if the sender remains the gateway, OSError if the
    socket for upgrade requests cannot be bound, UnusableError if the store cannot be used.
    """
    Connection.movable = bool(options.handover) or options.takeover >= 0
    factory = _ComponentFactory(config, options)
    if options.takeover >= 0:
        return _prepare_takeover(HandoverReceiver(options.takeover), make_gateway, factory)
    return _prepare_fresh(make_gateway, factory)


def _prepare_fresh(make_gateway: MakeGateway, factory: _ComponentFactory) -> PreparedGateway:
    """Prepare a gateway without inherited state; a supervisor may provide the listening socket."""
    options = factory.options
    has_listener = options.listener >= 0
    listener = socket.socket(fileno=options.listener) if has_listener else None
    gateway = make_gateway(factory.config, listener, False)
    sender = factory.make_sender(gateway, bind_upgrade_socket(options.handover)) if options.handover else None
    recorder = factory.make_recorder(gateway)
    store = factory.open_store(gateway)
    agent = factory.make_agent(gateway)
    is_restart = has_listener and process_arguments.worker_start(os.environ) > 1
    if is_restart and not (store and store.list_is_stored):
        # the configuration is as old as the supervisor, and what earlier workers heard is not known
        gateway.discovery.reconcile([], is_complete=True)

    def begin() -> None:
        """Start the components; the gateway serves from now on."""
        if has_listener and options.unserved_since:
            gateway.record_pause(int(options.unserved_since * TICKS_PER_SECOND))
        if store:
            gateway.post(store.start)
        if agent:
            gateway.post(agent.start)
        if recorder:
            gateway.post(recorder.start)
        if sender:
            sender.start()

    return PreparedGateway(gateway, begin)


def _prepare_takeover(
    receiver: HandoverReceiver, make_gateway: MakeGateway, factory: _ComponentFactory
) -> PreparedGateway:
    """Prepare a gateway with the state of the sender, which started this process."""
    store = _receive(receiver, make_gateway, factory)
    gateway, restorer = receiver.gateway, receiver.restorer
    sender = factory.make_sender(gateway, receiver.upgrade_socket) if factory.options.handover else None
    recorder = factory.make_recorder(gateway)
    agent = factory.make_agent(gateway)

    def begin() -> None:
        """Take over; raises TakeoverAbortedError if the sender remains the gateway."""
        # everything else is ready, so nothing can fail between the acknowledgement and the first read
        receiver.receive_commit()
        if store:
            gateway.post(store.start)
        restorer.start()
        logger.bind(reqs=len(gateway.open_requests), connections=len(restorer.connections)).info(
            "upgrade: this process is the gateway, with {} open requests and {} connections",
            len(gateway.open_requests),
            len(restorer.connections),
        )
        gateway.post(receiver.send_serving)
        if agent:
            gateway.post(agent.start)
        if recorder:
            gateway.post(recorder.start, "upgrade")
        if restorer.state.must_reload:
            os.kill(os.getpid(), signal.SIGHUP)
        if sender:
            sender.start()

    return PreparedGateway(gateway, begin)


def _receive(receiver: HandoverReceiver, make_gateway: MakeGateway, factory: _ComponentFactory) -> Any:
    """Receive and restore the state; returns the writer of the gateway's store, or None.

    On any failure the sender is notified, and remains the gateway.
    """
    folder = str((factory.options.store or {}).get("folder", ""))
    config = factory.config
    try:
        receiver.send_hello([vhost["name"] for vhost in config["settings"]["classes"]], folder)
        receiver.receive_warm_up()
        receiver.gateway = make_gateway(config, receiver.listener, True)
        receiver.receive_object_parts()
        reader = _store_reader(folder)
        receiver.send_ready()
        receiver.receive_state()
        store = _restore_store(receiver, factory, reader)
        receiver.send_state_restored()
    except TakeoverAbortedError:
        raise
    except (FormatError, ChannelError) as error:
        receiver.refuse(str(error))
        raise TakeoverAbortedError(str(error)) from error
    except Exception as error:
        receiver.refuse(f"{type(error).__name__}: {error}")
        raise
    return store


def _store_reader(folder: str) -> Any:
    """Return a reader of the store, which the sender still writes; None without a store.

    Most of the store is read here, before the state is transferred.
    """
    if not folder or not os.path.isdir(folder):
        return None
    from lilacloft.store.gateway_store import StoreReader

    return StoreReader(folder)


def _restore_store(receiver: HandoverReceiver, factory: _ComponentFactory, reader: Any) -> Any:
    """Return the store's writer, with the sender's open effects if the sender had a store."""
    store = receiver.restorer.state.store
    if not store:
        return factory.open_store(receiver.gateway)
    return factory.open_store(
        receiver.gateway, reader=reader, state=to_plain(store), lock_fd=receiver.store_lock
    )
