"""Measures how soon restarted gateways are ready: `python -m rigs.restarts [--gateways 24 --waves 20]`.

In each wave all gateway processes are killed and started at once, while clients keep sending requests and
discovery is up, down (its port refuses connections) or silent (it accepts connections and never answers).
For each start the report has the time from just before the exec to the first answer to a health check, and
to the first answer to a request, served or rejected.
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
START_TIMEOUT = 30.0  # seconds
CONNECT_INTERVAL = 0.005  # seconds between two attempts to connect
WAVE_INTERVAL = 0.5  # seconds of service between two waves


class SilentChangeLog(Stand):
    """A change log that reads what it is sent and never answers."""

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while sock.recv(4096):
                pass


@dataclass(frozen=True)
class Start:
    """One start of a process; seconds since its exec."""

    checked: float  # first answer `serving` to a health check
    answered: float  # first answer to a request


def spread(durations: list[float]) -> dict[str, float]:
    """Return the median, the 90th percentile and the maximum of durations in seconds."""
    durations = sorted(durations)
    return {
        "median": round(durations[len(durations) // 2], 3),
        "p90": round(durations[-(-9 * len(durations) // 10) - 1], 3),
        "worst": round(durations[-1], 3),
    }


def connect_when_open(port: int, began: float) -> socket.socket:
    """Connect as soon as the port accepts connections; raise TimeoutError if it does not in time."""
    while time.monotonic() < began + START_TIMEOUT:
        with contextlib.suppress(OSError):
            return socket.create_connection(("127.0.0.1", port), 1.0)
        time.sleep(CONNECT_INTERVAL)
    raise TimeoutError(f"port {port}: no connection in {START_TIMEOUT} s")


def time_to_answer(port: int, began: float, message: bytes, answers: tuple[bytes, ...]) -> float:
    """Return the seconds until a message got one of the answers. It is sent again on a new connection if one
    ends."""
    while time.monotonic() < began + START_TIMEOUT:
        with contextlib.suppress(OSError), connect_when_open(port, began) as sock:
            sock.settimeout(START_TIMEOUT)
            sock.sendall(message)
            buffer = MessageBuffer()
            while buffer.read_from(sock):
                items = buffer.next_message()
                if items and items[1] in answers:
                    return time.monotonic() - began
    raise TimeoutError(f"port {port}: no answer in {START_TIMEOUT} s")


def timed_start(gateway: Gateway) -> Start:
    """Start a gateway that is not running, and wait until it is ready."""
    began = time.monotonic()
    gateway.spawn()
    checked = time_to_answer(gateway.port, began, encode(b"ALIVE", b"1", b""), (b"serving",))
    fields = {
        "ref": f"{time.monotonic_ns():016x}",
        "allow": 2500,
        "lookup": f"{1:016x}",
        "nth": 0,
        "batch": 7,
        "room": 400.0,
    }
    request = encode(b"EXEC", b"1", b"clip", encode_fields(fields.items()), b"")
    return Start(checked, time_to_answer(gateway.port, began, request, (b"200", b"503")))


@contextlib.contextmanager
def discovery_in_state(scene: Scene, state: str) -> Iterator[None]:
    """Keep discovery in a state during the waves."""
    if state == "up":
        yield
        return
    port = scene.log.port
    scene.log.close()
    scene.log.break_off()
    silent = SilentChangeLog(port=port) if state == "silent" else None
    yield
    if silent:
        silent.break_off()
        silent.close()


def run(state: str, gateways: int, waves: int, rate: float, seed: int) -> dict[str, Any]:
    """Restart all gateways in waves, with discovery in one state, and return the report."""
    starts: list[Start] = []
    with tempfile.TemporaryDirectory(prefix="restarts") as folder:
        scene = Scene(Path(folder), seed, gateways=gateways)
        try:
            with ThreadPoolExecutor(gateways) as pool:
                list(pool.map(Gateway.start, scene.gateways))
                load = Load(scene, rate)
                load.start()
                with discovery_in_state(scene, state):
                    for _ in range(waves):
                        time.sleep(WAVE_INTERVAL)
                        for gateway in scene.gateways:
                            assert gateway.process is not None
                            gateway.process.kill()
                            gateway.process.wait()
                        starts += pool.map(timed_start, scene.gateways)
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
        "checked_s": spread([start.checked for start in starts]),
        "answered_s": spread([start.answered for start in starts]),
    }


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.restarts", description=__doc__)
    parser.add_argument(
        "--discovery", choices=DISCOVERY, action="append", help="may be repeated; default: all"
    )
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--waves", type=int, default=20)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args(argv)
    states = args.discovery or DISCOVERY
    tell(
        {"runs": [run(state, args.gateways, args.waves, args.rate, args.seed) for state in states]},
        args.json,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
