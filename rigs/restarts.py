"""How soon restarted gateways are ready: `python -m rigs.restarts [--gateways 24 --waves 20]`.

All gateway processes of a scene are killed and started at once, wave by wave, while clients keep asking and
discovery is up, down (its port refuses) or silent (it accepts, and says nothing). For each start the span
from just before the exec to the first answer: to a health check, and to a request, served or refused.
"""

from __future__ import annotations

import argparse
import contextlib
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lilacloft.net.resp import MessageBuffer, encode, encode_fields
from rigs.load import Load
from rigs.scene import Gateway, Scene
from rigs.stands import Stand
from rigs.told import tell

DISCOVERY = ("up", "down", "silent")
GIVEN_UP = 30.0  # seconds after which a start has failed
KNOCK = 0.005  # seconds between two tries to connect
BETWEEN = 0.5  # seconds of service between two waves


class Silent(Stand):
    """A change log that takes what is written to it, and never says anything."""

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while sock.recv(4096):
                pass


@dataclass(frozen=True)
class Start:
    """One start of a process; spans in seconds since its exec."""

    checked: float  # the first health check answered `serving`
    answered: float  # the first request with an answer


def spread(spans: list[float]) -> dict[str, float]:
    """Median, the span that nine in ten keep within, and the worst; in seconds."""
    spans = sorted(spans)
    return {
        "median": round(spans[len(spans) // 2], 3),
        "p90": round(spans[-(-9 * len(spans) // 10) - 1], 3),
        "worst": round(spans[-1], 3),
    }


def knock(port: int, began: float) -> socket.socket:
    """A connection, as soon as there is one; TimeoutError where there is none in time."""
    while time.monotonic() < began + GIVEN_UP:
        with contextlib.suppress(OSError):
            return socket.create_connection(("127.0.0.1", port), 1.0)
        time.sleep(KNOCK)
    raise TimeoutError(f"port {port}: no connection in {GIVEN_UP} s")


def asked(port: int, began: float, message: bytes, words: tuple[bytes, ...]) -> float:
    """The span until a message has one of the answers; asked again on a new connection where one ends."""
    while time.monotonic() < began + GIVEN_UP:
        with contextlib.suppress(OSError), knock(port, began) as sock:
            sock.settimeout(GIVEN_UP)
            sock.sendall(message)
            buffer = MessageBuffer()
            while buffer.read_from(sock):
                items = buffer.next_message()
                if items and items[1] in words:
                    return time.monotonic() - began
    raise TimeoutError(f"port {port}: no answer in {GIVEN_UP} s")


def started(gateway: Gateway) -> Start:
    """Start a gateway that is not running, and wait until it is ready."""
    began = time.monotonic()
    gateway.spawn()
    checked = asked(gateway.port, began, encode(b"ALIVE", b"1", b""), (b"serving",))
    told = {
        "ref": f"{time.monotonic_ns():016x}",
        "allow": 2500,
        "lookup": f"{1:016x}",
        "nth": 0,
        "batch": 7,
        "room": 400.0,
    }
    request = encode(b"EXEC", b"1", b"clip", encode_fields(told.items()), b"")
    return Start(checked, asked(gateway.port, began, request, (b"200", b"503")))


@contextlib.contextmanager
def discovery(scene: Scene, state: str) -> Iterator[None]:
    """Discovery as it is to be while the waves last."""
    if state == "up":
        yield
        return
    port = scene.log.port
    scene.log.close()
    scene.log.break_off()
    silent = Silent(port=port) if state == "silent" else None
    yield
    if silent:
        silent.break_off()
        silent.close()


def run(state: str, gateways: int, waves: int, rate: float, seed: int) -> dict[str, Any]:
    """Waves of restarts of all gateways with discovery in one state."""
    starts: list[Start] = []
    with tempfile.TemporaryDirectory(prefix="restarts") as folder:
        scene = Scene(Path(folder), seed, gateways=gateways)
        try:
            with ThreadPoolExecutor(gateways) as pool:
                list(pool.map(Gateway.start, scene.gateways))
                load = Load(scene, rate)
                load.start()
                with discovery(scene, state):
                    for _ in range(waves):
                        time.sleep(BETWEEN)
                        for gateway in scene.gateways:
                            assert gateway.process is not None
                            gateway.process.kill()
                            gateway.process.wait()
                        starts += pool.map(started, scene.gateways)
                load.stop()
        finally:
            scene.close()
    return {
        "discovery": state,
        "gateways": gateways,
        "waves": waves,
        "rate": rate,
        "seed": seed,
        "starts": len(starts),
        "asked": load.counts["asked"],
        "checked_s": spread([one.checked for one in starts]),
        "answered_s": spread([one.answered for one in starts]),
    }


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.restarts", description=__doc__)
    parser.add_argument("--discovery", choices=DISCOVERY, action="append", help="may be repeated; else all")
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--waves", type=int, default=20)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    states = given.discovery or DISCOVERY
    tell(
        {"runs": [run(state, given.gateways, given.waves, given.rate, given.seed) for state in states]},
        given.json,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
