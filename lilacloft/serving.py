"""Puts a gateway process together: its configuration, its signals, its end. It decides nothing."""

from __future__ import annotations

import json
import queue
import signal
import sys
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from lilacloft.errors import NOT_WANTED, NotWantedError, UnusableError
from lilacloft.net import socket_errors
from lilacloft.settings import WORDS

if TYPE_CHECKING:
    import socket

TEXT = "{time:HH:mm:ss.SSS} {level} {message}"


def log(form: str = "text") -> None:
    """Log to standard error, as text or with one JSON object a line, named fields under `record.extra`."""
    logger.remove()
    logger.add(sys.stderr, format=TEXT, diagnose=False, serialize=form == "json")


def read(path: str | None) -> dict[str, Any]:
    """Read the configuration."""
    if not path:
        raise UnusableError("no configuration: name one with --config or in EDGE_CONFIG")
    try:
        with socket_errors.retry_transient(lambda: open(path, encoding="utf-8")) as file:
            config = json.load(file)
    except (OSError, ValueError, RecursionError) as wrong:
        raise UnusableError(f"{path} cannot be read: {wrong}") from wrong
    if not isinstance(config, dict):
        raise UnusableError(f"{path} holds no object")
    return config


def make(config: dict[str, Any], sock: socket.socket | None = None, follows: bool = False) -> Any:
    """Make a gateway of it, bound to its address, or with a socket that is."""
    from lilacloft.net.owner import Owner

    try:
        return Owner(config, sock=sock, follows=follows)
    except KeyError as wrong:
        lacks = {ours: theirs for theirs, ours in WORDS.items()}.get(wrong.args[0], wrong.args[0])
        raise UnusableError(f"the configuration lacks {lacks}") from wrong
    except OSError as wrong:
        raise UnusableError(f"{config['listen']} cannot be listened on: {wrong.strerror}") from wrong
    except (ValueError, TypeError, AttributeError, IndexError) as wrong:
        raise UnusableError(f"the configuration cannot be used: {wrong}") from wrong


def reread(path: str | None, asked: queue.SimpleQueue[bool], owner: Any) -> None:
    """The thread that reads the configuration again at each SIGHUP, in order: the last file wins."""
    while asked.get():
        try:
            owner.post(owner.reload, read(path))
        except UnusableError as wrong:
            logger.error("the old configuration stays: {}", wrong)


def serve(path: str | None, **more: Any) -> int:
    """Run one gateway to its end; returns the code. With more than a configuration it can be replaced, or
    takes over: `lilacloft.upgrade.process.prepare` says what there is."""
    threading.stack_size(256 * 1024)
    asked: queue.SimpleQueue[bool] = queue.SimpleQueue()  # its put may interrupt itself, as a signal does
    signal.signal(signal.SIGHUP, lambda *_: asked.put(True))
    owner, begin = prepare(path, **more) if more else (make(read(path)), None)
    if owner is None:
        return NOT_WANTED
    threading.Thread(target=reread, args=(path, asked, owner), daemon=True).start()
    signal.signal(signal.SIGTERM, lambda *_: owner.post(owner.stop))
    signal.signal(signal.SIGUSR1, lambda *_: owner.post(owner.inspect))
    try:
        if begin:
            begin()
        owner.run()
    except NotWantedError as wrong:
        owner.gone, owner.recorder = True, None
        logger.error("upgrade: this process ends: {}", wrong)
        return NOT_WANTED
    except Exception:
        logger.exception("the module's thread failed")
        return 1
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # the interpreter's end would put back the default
        if owner.guard:
            owner.guard.close()
        if owner.agent and not owner.gone:
            owner.agent.close()
        if owner.recorder:
            owner.recorder.end("upgrade" if owner.gone else "stop")
        if not owner.gone:  # else the counters have gone over
            owner.report()
    return 0


def prepare(path: str | None, **more: Any) -> tuple[Any, Callable[[], None] | None]:
    """A gateway that can be replaced; none where it was to take over and is not wanted."""
    from lilacloft.upgrade import process

    try:
        return process.prepare(read(path), make, **more)
    except NotWantedError as wrong:
        logger.error("upgrade: this process ends: {}", wrong)
        return None, None
    except OSError as wrong:
        raise UnusableError(f"{more.get('handover')}: {wrong.strerror or wrong}") from wrong


def check(path: str | None) -> int:
    """Say whether a configuration can be used."""
    from lilacloft import needed

    config = read(path)
    try:
        needed.config(config)
    except ValueError as wrong:
        raise UnusableError(f"the configuration cannot be used: {wrong}") from wrong
    make({**config, "listen": "127.0.0.1:0"})
    print(f"{path}: usable")
    return 0
