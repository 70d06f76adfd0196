"""Runs one gateway process: reads its configuration, handles its signals and closes it at its end."""

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
from lilacloft.protocol_settings import NAMES

if TYPE_CHECKING:
    import socket

    from lilacloft.gateway.gateway import Gateway

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
THREAD_STACK_BYTES = 256 * 1024
FAILED = 1  # exit code after a fault of ours


def configure_logging(form: str = "text") -> None:
    """Log to standard error, as text or (`json`) with one JSON object a line, whose `record.extra` has the
    named fields."""
    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, diagnose=False, serialize=form == "json")


def read_config(path: str | None) -> dict[str, Any]:
    """Return the configuration file's JSON object. Raises UnusableError where there is none."""
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


def make_gateway(config: dict[str, Any], sock: socket.socket | None = None, follows: bool = False) -> Gateway:
    """Make a gateway of a configuration, bound to its address or with a socket that is; `follows`: the rest
    comes from the process before. Raises UnusableError where the configuration cannot be used."""
    from lilacloft.gateway.gateway import Gateway

    try:
        return Gateway(config, sock=sock, follows=follows)
    except KeyError as wrong:
        platform_names = {ours: theirs for theirs, ours in NAMES.items()}
        missing = platform_names.get(wrong.args[0], wrong.args[0])
        raise UnusableError(f"the configuration lacks {missing}") from wrong
    except OSError as wrong:
        raise UnusableError(f"{config['listen']} cannot be listened on: {wrong.strerror}") from wrong
    except (ValueError, TypeError, AttributeError, IndexError) as wrong:
        raise UnusableError(f"the configuration cannot be used: {wrong}") from wrong


def reload_on_request(path: str | None, requests: queue.SimpleQueue[bool], gateway: Gateway) -> None:
    """Read the configuration again for each item of a queue, one after the other: the last file wins. A
    thread's main function."""
    while requests.get():
        try:
            gateway.post(gateway.reload, read_config(path))
        except UnusableError as wrong:
            logger.error("the old configuration stays: {}", wrong)


def serve(path: str | None, **options: Any) -> int:
    """Run one gateway to its end; returns the exit code. With options, those of
    `lilacloft.handover.process.ProcessOptions`, it can be replaced or takes over from another process."""
    threading.stack_size(THREAD_STACK_BYTES)
    reloads: queue.SimpleQueue[bool] = queue.SimpleQueue()  # its put may interrupt itself, as a signal does
    signal.signal(signal.SIGHUP, lambda *_: reloads.put(True))
    gateway, begin = prepare(path, **options) if options else (make_gateway(read_config(path)), None)
    if gateway is None:
        return NOT_WANTED
    threading.Thread(target=reload_on_request, args=(path, reloads, gateway), daemon=True).start()
    signal.signal(signal.SIGTERM, lambda *_: gateway.post(gateway.stop))
    signal.signal(signal.SIGUSR1, lambda *_: gateway.post(gateway.inspect))
    try:
        if begin:
            begin()
        gateway.run()
    except NotWantedError as wrong:
        gateway.end()
        gateway.recorder = None
        logger.error("upgrade: this process ends: {}", wrong)
        return NOT_WANTED
    except Exception:
        logger.exception("the module's thread failed")
        return FAILED
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # the interpreter's end would put back the default
        close(gateway)
    return 0


def close(gateway: Gateway) -> None:
    """Close what a gateway holds besides its connections, and log its counters unless they were handed
    over."""
    if gateway.store:
        gateway.store.close()
    if gateway.agent and not gateway.has_ended:
        gateway.agent.close()
    if gateway.recorder:
        gateway.recorder.end("upgrade" if gateway.has_ended else "stop")
    if not gateway.has_ended:
        gateway.report()


def prepare(path: str | None, **options: Any) -> tuple[Gateway | None, Callable[[], None] | None]:
    """Return a gateway that can be replaced, and what to call right before it runs; None where it was to take
    over and is not wanted."""
    from lilacloft.handover import process

    try:
        return process.prepare(read_config(path), make_gateway, process.ProcessOptions(**options))
    except NotWantedError as wrong:
        logger.error("upgrade: this process ends: {}", wrong)
        return None, None
    except OSError as wrong:
        raise UnusableError(f"{options.get('handover')}: {wrong.strerror or wrong}") from wrong


def check(path: str | None) -> int:
    """Print whether a configuration can be used; returns the exit code. Raises UnusableError where it
    cannot."""
    from lilacloft import settings_validation

    config = read_config(path)
    try:
        settings_validation.check_configuration(config)
    except ValueError as wrong:
        raise UnusableError(f"the configuration cannot be used: {wrong}") from wrong
    make_gateway({**config, "listen": "127.0.0.1:0"})
    print(f"{path}: usable")
    return 0
