"""Command line: serve, check a configuration, version."""

from __future__ import annotations

import argparse
import json
import os
import queue
import signal
import sys
import threading
from typing import Any

from loguru import logger

from lilacloft import __version__
from lilacloft.settings import WORDS


class UnusableError(Exception):
    """The configuration cannot be used; the text names what is wrong."""


def read(path: str | None) -> dict[str, Any]:
    """Read the configuration."""
    if not path:
        raise UnusableError("no configuration: name one with --config or in EDGE_CONFIG")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
    except (OSError, ValueError, RecursionError) as wrong:
        raise UnusableError(f"{path} cannot be read: {wrong}") from wrong
    if not isinstance(config, dict):
        raise UnusableError(f"{path} holds no object")
    return config


def make(config: dict[str, Any]) -> Any:
    """Make a gateway of it, bound to its address."""
    from lilacloft.net.owner import Owner

    try:
        return Owner(config)
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


def serve(path: str | None) -> int:
    threading.stack_size(256 * 1024)
    asked: queue.SimpleQueue[bool] = queue.SimpleQueue()  # its put may interrupt itself, as a signal does
    signal.signal(signal.SIGHUP, lambda *_: asked.put(True))
    owner = make(read(path))
    threading.Thread(target=reread, args=(path, asked, owner), daemon=True).start()
    signal.signal(signal.SIGTERM, lambda *_: owner.post(owner.stop))
    signal.signal(signal.SIGUSR1, lambda *_: owner.post(owner.report))
    try:
        owner.run()
    except Exception:
        logger.exception("the module's thread failed")
        return 1
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # the interpreter's end would put back the default
        owner.report()
    return 0


def check(path: str | None) -> int:
    config = read(path)
    make({**config, "listen": "127.0.0.1:0"})
    print(f"{path}: usable")
    return 0


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="lilacloft", description="Decides where objects are served from.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("serve", "run one gateway until SIGTERM"),
        ("check", "read a configuration and say if it can be used"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", default=os.environ.get("EDGE_CONFIG"), help="default: EDGE_CONFIG")
    commands.add_parser("version", help="print the version")
    given = parser.parse_args(words)
    if given.command == "version":
        print(f"lilacloft {__version__}")
        return 0
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", diagnose=False)
    try:
        return {"serve": serve, "check": check}[given.command](given.config)
    except UnusableError as wrong:
        print(f"lilacloft: {wrong}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
