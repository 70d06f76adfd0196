"""Assembles a gateway process that can be replaced, or that takes over from another."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from loguru import logger

from lilacloft.errors import NotWantedError, UnusableError
from lilacloft.handover.channel import ChannelError
from lilacloft.handover.framing import FormatError, to_plain
from lilacloft.handover.receiver import NO_DESCRIPTOR, HandoverReceiver
from lilacloft.handover.sender import HandoverSender
from lilacloft.handover.upgrade_listener import bind_upgrade_socket
from lilacloft.net.connection import Connection
from lilacloft.routing.units import TICKS_PER_SECOND

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

MakeGateway = Callable[[dict[str, Any], socket.socket | None, bool], "Gateway"]
DEFAULT_STORE_TIMEOUT = 0.05  # seconds that an attempt waits for the store


@dataclass(frozen=True)
class ProcessOptions:
    """What a gateway process is started with besides its configuration.

    From the command line: `handover`, the path of the Unix socket for upgrade requests; `takeover`, `status`
    and `listener`, descriptors (lilacloft/handover/process_arguments.py); `unserved_since`, in monotonic
    seconds.
    From the settings: `limits`, seconds by phase; `mode`, a HandoverMode; `record`, `store` and `plan`, the
    sections of these names.
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
    """A gateway that is ready to run, and what is left to do right before it does."""

    gateway: Gateway
    begin: Callable[[], None]


@dataclass(frozen=True)
class _Assembly:
    """What the two ways to start a gateway have in common."""

    config: dict[str, Any]
    options: ProcessOptions

    def open_store(self, gateway: Gateway, **restored: Any) -> Any:
        """Return the writer of the store, if the settings name a folder for one.

        `restored`: what a process that takes over continues with.
        """
        store = self.options.store
        if not store or "folder" not in store:
            return None
        from lilacloft.store.errors import StoreError
        from lilacloft.store.gateway_store import GatewayStore, InheritedStore

        timeout = int(store.get("patience", DEFAULT_STORE_TIMEOUT) * TICKS_PER_SECOND)
        try:
            inherited = InheritedStore(**restored) if restored else None
            return GatewayStore(gateway, store["folder"], timeout, inherited)
        except StoreError as error:
            raise UnusableError(str(error)) from error

    def agent(self, gateway: Gateway) -> Any:
        """Return what talks to planners, if the settings name some."""
        plan = self.options.plan
        if not plan or not plan.get("planners"):
            return None

        from lilacloft.control.gateway_agent import GatewayAgent

        name = str(self.config.get("name", "gateway"))
        return GatewayAgent(gateway, name, plan["planners"], plan.get("zones", {}).get("leave", "never"))

    def recorder(self, gateway: Gateway) -> Any:
        """Return what records events, if the settings name a folder for them."""
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

    def sender(self, gateway: Gateway, upgrade_socket: socket.socket) -> HandoverSender:
        """Return what lets a gateway be replaced."""
        options = self.options
        return HandoverSender(gateway, upgrade_socket, options.limits, options.status, options.mode)


def prepare(config: dict[str, Any], make_gateway: MakeGateway, options: ProcessOptions) -> PreparedGateway:
    """Prepare a gateway: one that takes over, if the options name a channel to a sender, else a fresh one.

    `make_gateway`: makes one from a configuration, a listening socket (None: it binds its own), and whether
    it takes over. Raises NotWantedError if the sender goes on as the gateway, OSError if the path for upgrade
    requests cannot be had, UnusableError if a store cannot be used.
    """
    Connection.movable = bool(options.handover) or options.takeover >= 0
    assembly = _Assembly(config, options)
    if options.takeover >= 0:
        return _prepare_takeover(HandoverReceiver(options.takeover), make_gateway, assembly)
    return _prepare_fresh(make_gateway, assembly)


def _prepare_fresh(make_gateway: MakeGateway, assembly: _Assembly) -> PreparedGateway:
    """Prepare a gateway without state; a supervisor may have given it the listening socket."""
    options = assembly.options
    has_listener = options.listener >= 0
    listener = socket.socket(fileno=options.listener) if has_listener else None
    gateway = make_gateway(assembly.config, listener, False)
    sender = assembly.sender(gateway, bind_upgrade_socket(options.handover)) if options.handover else None
    recorder = assembly.recorder(gateway)
    store = assembly.open_store(gateway)
    agent = assembly.agent(gateway)

    def begin() -> None:
        """Serve from here on."""
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
    receiver: HandoverReceiver, make_gateway: MakeGateway, assembly: _Assembly
) -> PreparedGateway:
    """Prepare a gateway with the state of the process that started this one."""
    store = _receive(receiver, make_gateway, assembly)
    gateway, restorer = receiver.gateway, receiver.restorer
    sender = assembly.sender(gateway, receiver.upgrade_socket) if assembly.options.handover else None
    recorder = assembly.recorder(gateway)
    agent = assembly.agent(gateway)

    def begin() -> None:
        """Take over, or raise NotWantedError if the sender goes on."""
        # all else is ready: nothing can fail between the acknowledgement and the first read
        receiver.receive_commit()
        if store:
            gateway.post(store.start)
        restorer.start()
        logger.bind(reqs=len(gateway.open_requests), connections=len(restorer.connections)).info(
            "upgrade: this process is the gateway, with {} open reqs and {} connections",
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


def _receive(receiver: HandoverReceiver, make_gateway: MakeGateway, assembly: _Assembly) -> Any:
    """Receive the state into a gateway; returns the writer of its store, or None.

    Whatever fails, the sender is notified of it, and goes on.
    """
    folder = str((assembly.options.store or {}).get("folder", ""))
    config = assembly.config
    try:
        receiver.send_hello([vhost["name"] for vhost in config["settings"]["classes"]], folder)
        receiver.receive_warm_up()
        receiver.gateway = make_gateway(config, receiver.listener, True)
        receiver.receive_object_parts()
        reader = _store_reader(folder)
        receiver.send_ready()
        receiver.receive_state()
        store = _restore_store(receiver, assembly, reader)
        receiver.send_state_restored()
    except NotWantedError:
        raise
    except (FormatError, ChannelError) as error:
        receiver.refuse(str(error))
        raise NotWantedError(str(error)) from error
    except Exception as error:
        receiver.refuse(f"{type(error).__name__}: {error}")
        raise
    return store


def _store_reader(folder: str) -> Any:
    """Return a reader that reads most of a store while the sender still writes it; None without a store."""
    if not folder or not os.path.isdir(folder):
        return None
    from lilacloft.store.gateway_store import StoreReader

    return StoreReader(folder)


def _restore_store(receiver: HandoverReceiver, assembly: _Assembly, reader: Any) -> Any:
    """Return the writer of the store, with the sender's open effects if it had a store."""
    store = receiver.restorer.state.store
    if not store:
        return assembly.open_store(receiver.gateway)
    return assembly.open_store(
        receiver.gateway, reader=reader, state=to_plain(store), lock_fd=receiver.store_lock
    )
