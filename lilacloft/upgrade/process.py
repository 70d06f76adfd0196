"""Puts a gateway process together that can be replaced, or that takes over from another; a shell, and no
more."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger

from lilacloft.errors import NotWantedError, UnusableError
from lilacloft.net.connection import Connection
from lilacloft.settings import TENTHS
from lilacloft.upgrade import form
from lilacloft.upgrade.channel import BrokenError
from lilacloft.upgrade.offer import Offer, listen
from lilacloft.upgrade.take import Taking

Make = Callable[[dict[str, Any], socket.socket | None, bool], Any]


def prepare(
    config: dict[str, Any],
    make: Make,
    handover: str = "",
    takeover: int = -1,
    status: int = -1,
    listener: int = -1,
    unserved_since: float = 0.0,
    limits: Mapping[str, float] | None = None,
    mode: str = "whole",
    record: Mapping[str, Any] | None = None,
    store: Mapping[str, Any] | None = None,
    plan: Mapping[str, Any] | None = None,
) -> tuple[Any, Callable[[], None]]:
    """An owner that can be replaced, and what is left to do right before it runs. With `takeover` (a
    descriptor) everything comes from the process that started this one; with `listener` only the bound
    socket is given, at which nobody was let in since a time of the steady clock in seconds
    (`unserved_since`). Raises NotWantedError where the other process goes on as the gateway, OSError where
    a path cannot be had."""
    Connection.movable = bool(handover) or takeover >= 0
    if takeover >= 0:
        return _follow(Taking(takeover), config, make, handover, (limits, status, mode), record, store, plan)
    owner = make(config, socket.socket(fileno=listener) if listener >= 0 else None, False)
    offer = Offer(owner, listen(handover), limits, status, mode) if handover else None
    recorder = _recorder(owner, config, record)
    guard = _guard(owner, store)
    agent = _agent(owner, config, plan)

    def begin() -> None:
        if listener >= 0 and unserved_since:
            owner.record_pause(int(unserved_since * TENTHS))
        if guard:
            owner.post(guard.start)
        if agent:
            owner.post(agent.start)
        if recorder:
            owner.post(recorder.start)
        if offer:
            offer.open()

    return owner, begin


def _guard(owner: Any, store: Mapping[str, Any] | None, **more: Any) -> Any:
    """What keeps effects over a crash, where the settings name a folder for it."""
    if not store or "folder" not in store:
        return None
    from lilacloft.store.form import StoreError
    from lilacloft.store.guard import Guard

    try:
        return Guard(owner, store["folder"], int(store.get("patience", 0.05) * 10_000), **more)
    except StoreError as wrong:
        raise UnusableError(str(wrong)) from wrong


def _agent(owner: Any, config: dict[str, Any], plan: Mapping[str, Any] | None) -> Any:
    """What talks to planners, where the settings name some."""
    if not plan or not plan.get("planners"):
        return None
    from lilacloft.plan.agent import Agent

    return Agent(
        owner,
        str(config.get("name", "gateway")),
        plan["planners"],
        plan.get("zones", {}).get("leave", "never"),
    )


def _reader(folder: str) -> Any:
    """Most of a store, read while the old process still writes it."""
    if not folder or not os.path.isdir(folder):
        return None
    from lilacloft.store.guard import Reader

    return Reader(folder)


def _recorder(owner: Any, config: dict[str, Any], record: Mapping[str, Any] | None) -> Any:
    """What writes down what happens, where the settings name a folder for it."""
    if not record or "folder" not in record:
        return None
    from lilacloft.record.writer import Recorder

    return Recorder(
        owner,
        record["folder"],
        str(config.get("name", "gateway")),
        record,
        record.get("prometheus", ""),
        record.get("connect", ""),
    )


def _follow(
    taking: Taking,
    config: dict[str, Any],
    make: Make,
    handover: str,
    more: tuple[Any, ...],
    record: Mapping[str, Any] | None,
    store: Mapping[str, Any] | None,
    plan: Mapping[str, Any] | None,
) -> tuple[Any, Callable[[], None]]:
    folder = str((store or {}).get("folder", ""))
    try:
        taking.hello([vhost["name"] for vhost in config["settings"]["classes"]], folder)
        taking.warm()
        taking.owner = make(config, taking.listener, True)
        taking.table()
        reader = _reader(folder)
        taking.ready()
        taking.state()
        given = taking.told.state.store
        guard = (
            _guard(taking.owner, store, reader=reader, given=form.plain(given), lock=taking.lock)
            if given
            else _guard(taking.owner, store)
        )
        taking.have()
    except NotWantedError:
        raise
    except (form.FormError, BrokenError) as wrong:
        taking.refuse(str(wrong))
        raise NotWantedError(str(wrong)) from wrong
    except Exception as wrong:
        taking.refuse(f"{type(wrong).__name__}: {wrong}")
        raise
    owner, told = taking.owner, taking.told
    offer = Offer(owner, taking.handover, *more) if handover else None
    recorder = _recorder(owner, config, record)
    agent = _agent(owner, config, plan)

    def begin() -> None:
        # all else stands: between the answer to `commit` and the first read nothing is left that could fail
        taking.commit()
        if guard:
            owner.post(guard.start)
        told.start()
        logger.bind(requests=len(owner.open_requests), connections=len(told.conns)).info(
            "upgrade: this process is the gateway, with {} open reqs and {} connections",
            len(owner.open_requests),
            len(told.conns),
        )
        owner.post(taking.serving)
        if agent:
            owner.post(agent.start)
        if recorder:
            owner.post(recorder.start, "upgrade")
        if told.state.reload:
            os.kill(os.getpid(), signal.SIGHUP)
        if offer:
            offer.open()

    return owner, begin
