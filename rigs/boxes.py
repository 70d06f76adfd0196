"""Stand-in backends in a process of their own: `python -m rigs.boxes SPEC`.

The process runs the backends of one location (its caches, the parents of a hub, or the origin). They
behave as those of `rigs.scene`, but a cache requests what it lacks from its source over the network,
through whatever lies between. Commands arrive on standard input, one JSON object per line:

    {"boxes": [...], "set": {"silent": true}}

Each entry of the account is written to a file at once, one per line.
The process exits at the end of standard input.
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

SOURCE_TIMEOUT = 2.0  # seconds


class FileAccount:
    """An account that is written to a file."""

    def __init__(self, path: str) -> None:
        self.file, self.lock = Path(path).open("a", encoding="utf-8"), threading.Lock()  # noqa: SIM115

    def write(self, who: str, what: str, at: float | None = None, **fields: Any) -> None:
        line = (
            json.dumps({"at": time.time() if at is None else at, "who": who, "what": what, **fields}) + "\n"
        )
        with self.lock:
            self.file.write(line)
            self.file.flush()


class Site:
    """The part of a scene that the backends of one process share."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.seed, self.account, self.timers, self.lock = (
            spec["seed"],
            FileAccount(spec["account"]),
            Timers(),
            threading.Lock(),
        )
        self.seen: set[str] = set()
        self.sources = spec["sources"]  # for each cache the port of each source, by name
        self.origin_name, self.origin = spec["origin"], None
        self.workers = ThreadPoolExecutor(24)
        self.boxes: dict[str, RemoteSourceBox] = {}
        for name, box_spec in spec["boxes"].items():
            box = self.boxes[name] = RemoteSourceBox(
                self, int(name[2:], 16), box_spec["kind"], box_spec["port"]
            )
            box.started = box_spec["started"]
        self._note_processor_wait()

    def _note_processor_wait(self) -> None:
        """Write each second how long the threads of this process have waited for a processor."""
        self.account.write("site", "waited", **asdict(processor_wait()))
        self.timers.after(1.0, self._note_processor_wait)

    chance = Scene.chance


class RemoteSourceBox(Box):
    """A backend whose sources are in other processes."""

    def _handle_dispatch(self, sock: socket.socket, number: int, ref: bytes, fields: dict[str, str]) -> None:
        key, part, age = self._register_dispatch(sock, number, ref, fields, of_gateway="fill" not in fields)
        if self.silent or (self.resets and self._reset_at_random(sock, number)):
            return
        wait = self.slow + self.chance.expovariate(250)
        if EFFECTS[fields["profile"]] != "replayable":
            self._handle_write(sock, number, ref, fields, wait)
            return
        now, born = time.time(), self.copies.get((key, part))
        if self.kind == "origin":
            data = body(key, part, now, 2000)
            self.scene.timers.after(
                wait + FILL,
                lambda: self._send_answer(sock, number, ref, b"data", b"remark=TCP_MISS_ROOT", data),
            )
        elif born is not None and now - born <= age:
            data = body(key, part, born, 2000)
            self.scene.timers.after(
                wait + HIT, lambda: self._send_answer(sock, number, ref, b"data", b"remark=TCP_HIT", data)
            )
            if "swr" in fields.get("ways", "") and now - born > 6.4:
                self.scene.workers.submit(self._fetch, fields, key, part, 1.0)
        elif "peek" in fields.get("ways", "") and (self.kind == "parent" or not fields.get("next")):
            self.scene.timers.after(
                wait + HIT, lambda: self._send_answer(sock, number, ref, b"absent", b"remark=PEER_MISS", b"")
            )
        else:
            self.scene.workers.submit(self._fill, sock, number, ref, fields, key, part, age)

    def _handle_write(
        self, sock: socket.socket, number: int, ref: bytes, fields: dict[str, str], wait: float
    ) -> None:
        """Apply a write at the origin, which keeps the keys that it has seen; other backends forward it
        there."""
        if self.kind == "origin":
            self.scene.timers.after(wait + WRITE / 2, lambda: self._apply_effect(number, ref, fields))
            data = body(fields["thing"], int(fields["nth"]), 0.0, 64)
            self.scene.timers.after(
                wait + WRITE, lambda: self._send_answer(sock, number, ref, b"data", b"remark=TCP_MISS", data)
            )
        else:
            self.scene.workers.submit(self._forward_write, sock, number, ref, fields)

    def _forward_write(self, sock: socket.socket, number: int, ref: bytes, fields: dict[str, str]) -> None:
        got = self._request_source(self.scene.origin_name, {**fields, "fill": "1"}, ref)
        with contextlib.suppress(OSError):
            if got is None:
                self._send_answer(sock, number, ref, b"failed", b"remark=ROOT_FAIL", b"")
            else:
                self._send_answer(sock, number, ref, b"data", b"remark=TCP_MISS", got)

    def _fill(
        self,
        sock: socket.socket,
        number: int,
        ref: bytes,
        fields: dict[str, str],
        key: str,
        part: int,
        age: float,
    ) -> None:
        data = self._fetch(fields, key, part, age)
        with contextlib.suppress(OSError):
            if data is None:
                self._send_answer(sock, number, ref, b"failed", b"remark=PEER_DEAD", b"")
            else:
                self._send_answer(sock, number, ref, b"data", b"remark=TCP_MISS", data)

    def _fetch(self, fields: dict[str, str], key: str, part: int, age: float) -> bytes | None:
        """Fetch a part from the source; the source of a parent is the origin."""
        source = fields.get("next") if self.kind != "parent" else self.scene.origin_name
        fill = {
            "profile": "clip",
            "thing": key,
            "nth": str(part),
            "agelim": str(int(age * 1000)),
            "next": self.scene.origin_name,
            "fill": "1",
        }
        data = self._request_source(source or self.scene.origin_name, fill, b"f")
        born = whole(data, key, part) if data is not None else None
        if born is None:
            return None
        self.copies[key, part] = born
        return data

    def _request_source(self, source: str, fields: dict[str, str], ref: bytes) -> bytes | None:
        """Send one request to another backend; returns None if it does not answer in time."""
        port = self.scene.sources.get(self.name, {}).get(source)
        if port is None:
            return None
        with (
            contextlib.suppress(OSError),
            socket.create_connection(("127.0.0.1", port), SOURCE_TIMEOUT) as sock,
        ):
            sock.settimeout(SOURCE_TIMEOUT)
            sock.sendall(encode(b"do", ref, encode_fields(fields.items())))
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
        command = json.loads(line)
        for name in command["boxes"]:
            for what, value in command.get("set", {}).items():
                setattr(site.boxes[name], what, value)
            if command.get("drop"):  # removes copies that are older than a purge
                site.boxes[name].drop(*command["drop"])
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
