"""Stand-in boxes in a process of their own: `python -m rigs.boxes SPEC`.

The boxes of one location (its caches, or a hub's parents, or the origin), as `rigs.scene` has them, but what
a cache does not hold it asks of its source over the wire, by way of whatever lies between. Commands come one
JSON object a line on standard input (`{"boxes": [...], "set": {"silent": true}}`); the account goes to a
file, a line an entry, as it is written. It ends with standard input.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from lilacloft.net.processor_wait import processor_wait
from lilacloft.net.resp import MessageBuffer, encode, encode_fields
from rigs.scene import EFFECTS, FILL, HIT, WRITE, Box, Scene, Timers, body, whole

PATIENCE = 2.0  # for a source


class Written:
    """An account that is a file."""

    def __init__(self, path: str) -> None:
        self.file, self.lock = Path(path).open("a", encoding="utf-8"), threading.Lock()  # noqa: SIM115

    def write(self, who: str, what: str, at: float | None = None, **told: Any) -> None:
        line = json.dumps({"at": time.time() if at is None else at, "who": who, "what": what, **told}) + "\n"
        with self.lock:
            self.file.write(line)
            self.file.flush()


class Site:
    """What the boxes of one process share: the part of a scene that they use."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.seed, self.account, self.timers, self.lock = (
            spec["seed"],
            Written(spec["account"]),
            Timers(),
            threading.Lock(),
        )
        self.seen: set[str] = set()
        self.sources = spec["sources"]  # by cache, where to reach each source: by name, a port
        self.origin_name, self.origin = spec["origin"], None
        self.workers = ThreadPoolExecutor(24)
        self.boxes: dict[str, FarBox] = {}
        for name, told in spec["boxes"].items():
            box = self.boxes[name] = FarBox(self, int(name[2:], 16), told["kind"], told["port"])
            box.started = told["started"]
        self._note_processor_wait()

    def _note_processor_wait(self) -> None:
        """Tell each second how long the threads of this process have waited for a processor."""
        self.account.write("site", "waited", **asdict(processor_wait()))
        self.timers.after(1.0, self._note_processor_wait)

    chance = Scene.chance


class FarBox(Box):
    """A box whose sources are elsewhere."""

    def _do(self, sock: socket.socket, number: int, ref: bytes, told: dict[str, str]) -> None:
        key, part, age = self._taken(sock, number, ref, told, of_gateway="fill" not in told)
        if self.silent or (self.resets and self._answers_by_reset(sock, number)):
            return
        wait = self.slow + self.chance.expovariate(250)
        if EFFECTS[told["profile"]] != "replayable":
            self._write(sock, number, ref, told, wait)
            return
        now, born = time.time(), self.copies.get((key, part))
        if self.kind == "origin":
            data = body(key, part, now, 2000)
            self.scene.timers.after(
                wait + FILL, lambda: self._answer(sock, number, ref, b"data", b"remark=TCP_MISS_ROOT", data)
            )
        elif born is not None and now - born <= age:
            data = body(key, part, born, 2000)
            self.scene.timers.after(
                wait + HIT, lambda: self._answer(sock, number, ref, b"data", b"remark=TCP_HIT", data)
            )
            if "swr" in told.get("ways", "") and now - born > 6.4:
                self.scene.workers.submit(self._fetch, told, key, part, 1.0)
        elif "peek" in told.get("ways", "") and (self.kind == "parent" or not told.get("next")):
            self.scene.timers.after(
                wait + HIT, lambda: self._answer(sock, number, ref, b"absent", b"remark=PEER_MISS", b"")
            )
        else:
            self.scene.workers.submit(self._filled, sock, number, ref, told, key, part, age)

    def _write(self, sock: socket.socket, number: int, ref: bytes, told: dict[str, str], wait: float) -> None:
        """An effect is the origin's: it keeps which keys it has seen."""
        if self.kind == "origin":
            self.scene.timers.after(wait + WRITE / 2, lambda: self._effect(number, ref, told))
            data = body(told["thing"], int(told["nth"]), 0.0, 64)
            self.scene.timers.after(
                wait + WRITE, lambda: self._answer(sock, number, ref, b"data", b"remark=TCP_MISS", data)
            )
        else:
            self.scene.workers.submit(self._passed, sock, number, ref, told)

    def _passed(self, sock: socket.socket, number: int, ref: bytes, told: dict[str, str]) -> None:
        got = self._ask(self.scene.origin_name, {**told, "fill": "1"}, ref)
        with contextlib.suppress(OSError):
            if got is None:
                self._answer(sock, number, ref, b"failed", b"remark=ROOT_FAIL", b"")
            else:
                self._answer(sock, number, ref, b"data", b"remark=TCP_MISS", got)

    def _filled(
        self,
        sock: socket.socket,
        number: int,
        ref: bytes,
        told: dict[str, str],
        key: str,
        part: int,
        age: float,
    ) -> None:
        data = self._fetch(told, key, part, age)
        with contextlib.suppress(OSError):
            if data is None:
                self._answer(sock, number, ref, b"failed", b"remark=PEER_DEAD", b"")
            else:
                self._answer(sock, number, ref, b"data", b"remark=TCP_MISS", data)

    def _fetch(self, told: dict[str, str], key: str, part: int, age: float) -> bytes | None:
        """A part from the source; a parent's is the origin."""
        source = told.get("next") if self.kind != "parent" else self.scene.origin_name
        asked = {
            "profile": "clip",
            "thing": key,
            "nth": str(part),
            "agelim": str(int(age * 1000)),
            "next": self.scene.origin_name,
            "fill": "1",
        }
        data = self._ask(source or self.scene.origin_name, asked, b"f")
        born = whole(data, key, part) if data is not None else None
        if born is None:
            return None
        self.copies[key, part] = born
        return data

    def _ask(self, source: str, told: dict[str, str], ref: bytes) -> bytes | None:
        """One question to another box; none where it does not answer in time."""
        port = self.scene.sources.get(self.name, {}).get(source)
        if port is None:
            return None
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), PATIENCE) as sock:
            sock.settimeout(PATIENCE)
            sock.sendall(encode(b"do", ref, encode_fields(told.items())))
            buffer = MessageBuffer()
            while buffer.read_from(sock):
                items = buffer.next_message()
                if items is not None:
                    return items[3] if items[1] == b"data" else None
        return None


def main() -> int:
    site = Site(json.loads(Path(sys.argv[1]).read_text()))
    print("ready", flush=True)
    for line in sys.stdin:
        told = json.loads(line)
        for name in told["boxes"]:
            for what, value in told.get("set", {}).items():
                setattr(site.boxes[name], what, value)
            if told.get("drop"):  # a purge's copies are gone everywhere
                site.boxes[name].drop(*told["drop"])
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
