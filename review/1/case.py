"""Bad clients send hundreds of requests at once. The gateway must stay within its memory limit."""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import BOOK, MAP, VIDEO, Depot  # noqa: E402
from world import BROKEN_PIPE, Cache, Client, Gateway, encode, encode_fields, main  # noqa: E402

BAD_CLIENTS = 20
CONNECTIONS = 10  # of one bad client
REQUESTS = 30  # on one connection; the protocol allows 32
WRITE = 48_000  # bytes of a write; the protocol allows as many
UNKNOWN = 1 << 40  # from here on are the ids that no cache knows
MB = 1 << 20


def unknown_fails(
    cache: Cache, sock: socket.socket, name: bytes, fields: dict[str, str], _body: bytes
) -> bool:
    """Answer `failed` for an id that no cache knows, as the protocol says."""
    if int(fields["thing"], 16) < UNKNOWN:
        return False
    cache.record.add("end", cache=cache.name, ref=name.decode(), word="failed")
    with contextlib.suppress(OSError):
        sock.sendall(encode(name, b"failed", b"-"))
    return True


class Platform:
    """Kills the gateway once its memory is over the limit: anonymous pages alone, no shared ones."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway, self.peak, self.killed_at = gateway, 0, 0.0
        self.done = threading.Event()
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def _watch(self) -> None:
        assert self.gateway.process is not None
        status = Path(f"/proc/{self.gateway.process.pid}/status")
        limit = self.gateway.config["limits"]["memory_mb"] * MB
        while not self.done.wait(0.01):
            try:
                used = int(status.read_text().split("RssAnon:")[1].split()[0]) * 1024
            except (OSError, IndexError):
                return
            self.peak = max(self.peak, used)
            if used > limit:
                self.gateway.process.kill()
                self.killed_at = self.gateway.record.add("platform", killed="memory", mb=used // MB)
                return


def much_at_once(chance: random.Random) -> bytes:
    """Return the requests of one connection of a bad client."""
    messages = []
    for tag in range(1, REQUESTS + 1):
        fields = encode_fields(
            ref=f"{chance.getrandbits(64):016x}",
            allow=3000,
            replay=f"{chance.getrandbits(128):032x}",
            lookup=f"{UNKNOWN + chance.getrandbits(40):016x}",
            nth=0,
            batch=chance.randrange(256),
            room=20.0,
        )
        messages.append(encode(b"EXEC", b"%d" % tag, BOOK.encode(), fields, bytes(WRITE)))
    return b"".join(messages)


def bad_client(depot: Depot, number: int, data: list[bytes]) -> None:
    """Send hundreds of requests at once, read the answers, and go."""

    def run(one: bytes) -> None:
        with (
            contextlib.suppress(*BROKEN_PIPE),
            socket.create_connection(("127.0.0.1", depot.gateway.port), 5) as sock,
        ):
            sock.settimeout(12)
            sock.sendall(one)
            depot.record.add("bad", client=number, sent=len(one))
            answers = 0
            while answers < REQUESTS and (got := sock.recv(1 << 16)):
                answers += got.count(b"*")

    for one in data:
        threading.Thread(target=run, args=(one,), daemon=True).start()


def case(depot: Depot, trouble: bool) -> list[str]:
    """Serve usual clients; beside them bad clients send much at once. Return what was lost."""
    for cache in depot.listed:
        cache.handler = unknown_fails
    chance = random.Random(1)
    data = [[much_at_once(chance) for _ in range(CONNECTIONS)] for _ in range(BAD_CLIENTS)]
    depot.gateway.start()
    depot.gateway.wait_ready()
    platform = Platform(depot.gateway)
    done = threading.Event()

    def ask() -> None:
        with contextlib.suppress(*BROKEN_PIPE):
            client = Client(depot.record, depot.gateway.port)
            number = 0
            while not done.wait(0.04):
                number += 1
                client.ask((VIDEO, MAP)[number % 2], 1 + number % 40, 2000)
            client.close()

    load = [threading.Thread(target=ask, daemon=True) for _ in range(2)]
    for thread in load:
        thread.start()
    time.sleep(3.0)
    if trouble:
        for number, one in enumerate(data):
            bad_client(depot, number, one)
    time.sleep(12.0)
    done.set()
    for thread in load:
        thread.join()
    time.sleep(2.5)
    platform.done.set()
    depot.record.add("platform", peak_mb=platform.peak // MB)
    if not platform.killed_at:
        return []
    limit = depot.gateway.config["limits"]["memory_mb"]
    lost = [details["ref"] for _, details in depot.record.of("lost")]
    return [
        f"killed {platform.killed_at - depot.record.began:.2f} s after the beginning,"
        f" with {platform.peak // MB} MB of {limit}; {len(lost)} requests of usual clients were open"
    ]


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent, Depot))
