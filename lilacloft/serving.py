"""Runs one gateway process: reads its configuration, handles signals, and closes the gateway at exit."""

from __future__ import annotations

import json
import queue
import signal
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from lilacloft.errors import TAKEOVER_ABORTED, TakeoverAbortedError, UnusableError
from lilacloft.log import logger
from lilacloft.net import socket_errors
from lilacloft.protocol_settings import NAMES

if TYPE_CHECKING:
    import socket

    from lilacloft.gateway.gateway import Gateway

THREAD_STACK_BYTES = 256 * 1024
FAILED = 1  # exit code after an internal error


def read_config(path: str | None) -> dict[str, Any]:
    """Return the JSON object in the configuration file. Raises UnusableError if it cannot be read."""
    if not path:
        raise UnusableError("no configuration file given: use --config or set EDGE_CONFIG")
    try:
        with socket_errors.retry_transient(lambda: open(path, encoding="utf-8")) as file:
            config = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise UnusableError(f"{path} cannot be read: {error}") from error
    if not isinstance(config, dict):
        raise UnusableError(f"{path} does not contain a JSON object")
    return config


def make_gateway(
    config: dict[str, Any], sock: socket.socket | None = None, is_successor: bool = False
) -> Gateway:
    """Create a gateway from a configuration. It listens on `sock`, or else on the configured address.
    `is_successor`: the rest of its state comes from the previous process. Raises UnusableError if the
    configuration cannot be used."""
    from lilacloft.gateway.gateway import Gateway

    try:
        return Gateway(config, sock=sock, is_successor=is_successor)
    except KeyError as error:
        platform_names = {internal_name: name for name, internal_name in NAMES.items()}
        missing = platform_names.get(error.args[0], error.args[0])
        raise UnusableError(f"the configuration lacks {missing}") from error
    except OSError as error:
        raise UnusableError(f"{config['listen']} cannot be listened on: {error.strerror}") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise UnusableError(f"the configuration cannot be used: {error}") from error


def reload_on_request(path: str | None, requests: queue.SimpleQueue[bool], gateway: Gateway) -> None:
    """Reload the configuration for each item in a queue, one after the other, so that the last file takes
    effect. Runs as the main function of a thread."""
    while requests.get():
        try:
            gateway.post(gateway.reload, read_config(path))
        except UnusableError as error:
            logger.error("the old configuration stays: {}", error)


def serve(path: str | None, **options: Any) -> int:
    """Run one gateway until it stops, and return the exit code. With options, which are those of
    `lilacloft.handover.process.ProcessOptions`, it can be replaced by, or takes over from, another
    process."""
    threading.stack_size(THREAD_STACK_BYTES)
    # the `put` of a SimpleQueue is reentrant, as a signal handler requires
    reloads: queue.SimpleQueue[bool] = queue.SimpleQueue()
    signal.signal(signal.SIGHUP, lambda *_: reloads.put(True))
    gateway, begin = prepare(path, **options) if options else (make_gateway(read_config(path)), None)
    if gateway is None:
        return TAKEOVER_ABORTED
    threading.Thread(target=reload_on_request, args=(path, reloads, gateway), daemon=True).start()
    signal.signal(signal.SIGTERM, lambda *_: gateway.post(gateway.stop))
    signal.signal(signal.SIGUSR1, lambda *_: gateway.post(gateway.inspect))
    try:
        if begin:
            begin()
        gateway.run()
    except TakeoverAbortedError as error:
        gateway.end()
        gateway.recorder = None
        logger.error("upgrade: this process exits: {}", error)
        return TAKEOVER_ABORTED
    except Exception:
        logger.exception("the event loop failed")
        return FAILED
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # interpreter shutdown would restore the default
        close(gateway)
    return 0


def close(gateway: Gateway) -> None:
    """Close a gateway's resources other than its connections, and log its counters unless they were handed
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
    """Return a gateway that can be replaced, and a function to call right before it runs. The gateway is None
    if this process was started to take over and is not needed."""
    from lilacloft.handover import process

    try:
        return process.prepare(read_config(path), make_gateway, process.ProcessOptions(**options))
    except TakeoverAbortedError as error:
        logger.error("upgrade: this process exits: {}", error)
        return None, None
    except OSError as error:
        raise UnusableError(f"{options.get('handover')}: {error.strerror or error}") from error


def check(path: str | None) -> int:
    """Print that a configuration can be used, and return the exit code. Raises UnusableError if it cannot."""
    from lilacloft import settings_validation

    config = read_config(path)
    try:
        settings_validation.check_configuration(config)
    except ValueError as error:
        raise UnusableError(f"the configuration cannot be used: {error}") from error
    make_gateway({**config, "listen": "127.0.0.1:0"})
    print(f"{path}: usable")
    return 0
