"""An emulator world on sockets: `python -m rigs.bridge --world small --seconds 8 [--faults "..."]`.

Runs real gateway processes against the emulator's backends, which run in real time behind sockets with the
same links, copies, fills and faults. The load is that of the same clients. The same world is run in the
emulator as well, and the results of both are reported together: value of the answers and latency quantiles.
"""

from __future__ import annotations

import argparse
import contextlib
import copy
import json
import queue
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from lilacloft.emulator import faults as language
from lilacloft.emulator.boxes import ACTIVE, CACHE, LEAVING, PARENT, Dispatch, EmulatedServer
from lilacloft.emulator.events import NET
from lilacloft.emulator.fleet import START, Fleet
from lilacloft.emulator.gateway import Gateway
from lilacloft.emulator.worlds import SECOND, WORLDS, World
from lilacloft.load.driver import Load, quantiles, report
from lilacloft.load.schedule import name, schedule
from lilacloft.net.resp import encode, parse_fields
from lilacloft.record.summary import NOTES
from rigs.stands import ENV, Log, Stand, unused

REPEAT = {"replayable": "repeatable", "uniqued": "by_key", "non-replayable": "once"}
STATES = {ACTIVE: 0, LEAVING: 1}


class NullChecker:
    """Replaces the checker: nothing is checked here."""

    effects: dict[str, str] = {}

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


class RemoteGateway:
    """The counterpart of a real gateway in the emulator."""

    zone = 0
    mute = deaf = False
    loss = 0.0

    def __init__(self, fleet: RealTimeFleet) -> None:
        self.fleet = fleet

    def ended(self, dispatch: Dispatch, word: str, note: int, load: list[float]) -> None:
        """Send the answer of a backend on the connection that brought the dispatch."""
        sock, ref = dispatch.request
        details = f"remark={NOTES[note]}" if note else "-"
        if load:
            details = f"{details},report=inflight:{load[0]:g};util:{load[1]:.3f}".removeprefix("-,")
        with contextlib.suppress(OSError):
            if word in ("reset", "unreached"):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            else:
                wire = {"done": b"data", "miss": b"absent", "full": b"full", "error": b"failed"}[word]
                body = self.fleet.body if word == "done" else b""
                sock.sendall(encode(ref, wire, details.encode(), body))


class RealTimeFleet(Fleet):
    """A world whose backends answer on sockets, in real time."""

    def __init__(self, world: World, seed: int, faults: list[language.Fault], size: int = 2000) -> None:
        self.body = b"." * size
        super().__init__(world, seed, faults)
        self.checker = NullChecker()
        self.remote = RemoteGateway(self)
        self.queue: queue.SimpleQueue[tuple[Any, ...]] = queue.SimpleQueue()
        self.over = threading.Event()
        self.out: dict[tuple[Any, bytes], Dispatch] = {}
        self.numbered = {f"s-{place:08x}": box for place, box in enumerate(self.boxes, 1)}
        self.stands = {uid: Stand(self._handler(box)) for uid, box in self.numbered.items()}
        self.keys = {name(key): key for key in self.clients.ranked}
        self.change = Log()
        self.number = 1
        self.began = 0.0

    def _make_gateway(self, number: int, policy: Any) -> Gateway:
        # used only to order the homes of a part
        return Gateway(self, number, number // self.world.gateways, policy)

    def _make_servers(self) -> None:
        super()._make_servers()
        for place, box in enumerate(self.boxes, 1):
            box.name = f"s-{place:08x}"  # the name that the gateways know, so that the homes are the same

    def _homes(self, router: Any, pool: list[Any], key: str) -> list[str]:
        object_, _, part = key.partition(" ")
        return super()._homes(router, pool, f"{name(object_)} {part}".strip())

    def _schedule_arrival(self, after: int) -> None:
        """Not used: clients connect over sockets."""

    def tell(self, *event: Any) -> None:
        """Send the events of the change log to the real gateways."""
        self.number += 1
        if event[0] == "boxes":
            data = b"".join(self._record(box) for box, _, _ in event[1])
            self.change.add(self.number, 2, data)
        else:
            _, key, group, _ = event
            at = int(time.time() * 1000)
            payload = struct.pack(">QQ", int(name(key), 16), at) if key else struct.pack(">HQ", group, at)
            self.change.add(self.number, 3 if key else 4, payload)

    def _record(self, box: EmulatedServer) -> bytes:
        uid = next(uid for uid, one in self.numbered.items() if one is box)
        started = int((self.began + (box.started - START) / SECOND) * 1000) if box.started else 0
        kind = {CACHE: 0, PARENT: 2}.get(box.kind, 3)
        return struct.pack(
            ">I4sHBBBHIQ",
            int(uid[2:], 16),
            socket.inet_aton("127.0.0.1"),
            self.stands[uid].port,
            STATES[box.status],
            int(kind > 1),
            kind,
            box.cell,
            5000,
            started,
        )

    # --- sockets ---

    def _handler(self, box: EmulatedServer) -> Any:
        def handle(stand: Stand, sock: socket.socket, items: list[bytes]) -> None:
            self.queue.put((box, sock, items))

        return handle

    def _handle_message(self, box: EmulatedServer, sock: socket.socket, items: list[bytes]) -> None:
        verb, ref = items[0], items[1]
        if verb in (b"top", b"ping"):
            if not (box.silent or box.dead):
                util = box.out.used() / max(box.out.capacity, 1e-9)
                load = f"report=inflight:{len(box.open)};util:{util:.2f}"
                with contextlib.suppress(OSError):
                    sock.sendall(encode(ref, b"well", load.encode()))
        elif verb == b"undo":
            dispatch = self.out.pop((sock, ref), None)
            if dispatch:
                dispatch.over = True
                self.events.at(self.events.now + self.hop(self.remote, box), NET, box.undo, dispatch)
        elif verb == b"do":
            fields = parse_fields(items[2])
            key = self.keys.get(fields["thing"], fields["thing"])
            place = next(at for at, one in enumerate(self.world.vhosts) if one.name == fields["profile"])
            vhost, part, now = self.world.vhosts[place], int(fields["nth"]), self.events.now
            ways, age = fields.get("ways", "").split("+"), int(fields.get("agelim") or 0) * 10
            small = vhost.passes or vhost.effect != "replayable"
            self.sends += 1
            dispatch = Dispatch(
                self.sends,
                self.remote,
                (sock, ref),
                None,
                0,
                box,
                (key, part),
                self.clients.group(key),
                2.0 if small else self.clients.size(key, part),
                self.numbered.get(fields.get("next", "")),
                int(fields.get("admit") or 0),
                now - age if age else 0,
                now - vhost.fresh if vhost.fresh else 0,
                "share" in ways,
                "peek" in ways,
                "swr" in ways,
                vhost.passes,
                "" if vhost.effect == "replayable" else fields.get("replay") or ref.decode(),
                now,
            )
            self.out[sock, ref] = dispatch
            self.events.at(
                now + self.hop(self.remote, box),
                NET,
                self._dispatch_arrives,
                dispatch,
                dispatch.kbytes / self.pace,
            )

    def effect(self, dispatch: Dispatch, origin: EmulatedServer) -> None:
        """Effects are not counted here."""

    # --- real time ---

    def run_backends(self) -> None:
        """The thread that runs all backends: handles messages and due events."""
        while not self.over.is_set():
            now = START + int((time.time() - self.began) * SECOND)
            self.events.run(now)
            wait = (self.events.heap[0][0] - now) / SECOND if self.events.heap else 0.1
            try:
                message = self.queue.get(timeout=min(0.1, max(0.0, wait)))
            except queue.Empty:
                continue
            self.events.run(START + int((time.time() - self.began) * SECOND))
            self._handle_message(*message)

    def config(self, number: int, port: int) -> dict[str, Any]:
        """The platform configuration file of a gateway."""
        world, settings = self.world, copy.deepcopy(ENV)
        ns = 100_000
        settings["classes"] = [
            {
                "name": one.name,
                "promiseNs": one.target * ns,
                "deadlineNs": one.timeout * ns,
                "gain": one.value,
                "repeat": REPEAT[one.effect],
                "dedupScope": one.where,
                "repeatWindowNs": one.window * ns,
                "aimStretch": 2.0,
            }
            for one in world.vhosts
        ]
        settings["familyInfo"].update(
            freshForNs=[one.fresh * ns for one in world.vhosts],
            passThroughOk=True,
            staleForNs=[one.grace * ns for one in world.vhosts],
            passOn=[one.passes for one in world.vhosts],
            zoneBalancers=[world.gateways, 0],
            paceKbPerS=world.pace,
            feedKbPerS=[world.way_in, 0],
            purgeDoneNs=(world.drops + SECOND) * ns,
            parentFloor=world.cold_parent[0],
            parentWarmsInNs=world.cold_parent[1] * ns,
            parentBreaksAt=world.cold_parent[2],
        )
        settings["obligations"].update(
            startCapacity=world.cold_cache[0],
            coldNs=world.cold_cache[1] * ns,
            tipMultiple=world.cold_cache[2],
            fallNs=world.fall * ns,
        )
        settings.update(balancers=world.gateways, slotNo=number, weightSource="silent")
        targets = [
            {
                "uid": uid,
                "endpoint": f"127.0.0.1:{self.stands[uid].port}",
                "model": {CACHE: "small", PARENT: "parent"}.get(box.kind, "origin"),
                "state": "active",
                "az": "here" if box.kind == CACHE else "hub",
                "pod_group": box.cell,
                "capacity_hint": 5,
                "boot_ms": 0,
            }
            for uid, box in self.numbered.items()
        ]
        return {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "seed": "00",
            "settings": settings,
            "changelog": f"127.0.0.1:{self.change.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
            "known": {
                "seq": 1,
                "results": [{"seq": 1, "fleet": {"rev": 1, "all": True, "targets": targets}}],
            },
        }


def sockets(
    world: World, seed: int, faults: list[language.Fault], folder: Path, size: int = 2000
) -> dict[str, Any]:
    """Run the world on sockets with real gateways, in real time."""
    live = RealTimeFleet(world, seed, faults, size)
    processes, places = [], []
    try:
        live.began = time.time() + 3600  # no event is due before the gateways serve
        threading.Thread(target=live.run_backends, daemon=True).start()
        threading.Thread(target=live.change.send_heartbeats, args=(live.over,), daemon=True).start()
        for number in range(world.gateways):
            port = unused()
            path = folder / f"n{number}.json"
            path.write_text(json.dumps(live.config(number, port)))
            words = [sys.executable, "-m", "lilacloft", "serve", "--config", str(path)]
            process = subprocess.Popen(words, stderr=subprocess.PIPE, text=True)
            processes.append(process)
            for line in process.stderr:
                if "serving on" in line:
                    break
            threading.Thread(target=process.stderr.read, daemon=True).start()
            places.append(("127.0.0.1", port))
        live.began = time.time()
        return report(Load(world, places, seed).run(schedule(world, seed, len(places))))
    finally:
        live.over.set()
        for process in processes:
            process.kill()
            process.wait()
        for stand in [*live.stands.values(), live.change]:
            stand.break_off()
            stand.close()


def run_in_emulator(world: World, seed: int, faults: list[language.Fault]) -> dict[str, Any]:
    """Run the same world in the emulator, without client retries, as the clients on sockets send none."""
    alone = replace(world, habits=replace(world.habits, retries=0))
    fleet = Fleet(alone, seed, faults)
    result = fleet.run()
    return {
        "asked": result.asked,
        "worth": round(result.worth, 4),
        "done": result.done,
        "denied": result.denied,
        "aborted": result.aborted,
        "hits": round(result.hits, 3),
        "all_ms": quantiles(fleet.took),
    }


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.bridge", description=__doc__)
    names = [one.name for one in WORLDS.values() if one.zones == 1]
    parser.add_argument("--world", default="small", choices=names)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--size", type=int, default=2000, help="bytes of each body")
    parser.add_argument("--faults", default="")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    world = WORLDS[given.world].lasting(given.seconds)
    world = world.at(given.rate or world.habits.rate)
    faults = language.parse(given.faults)
    with tempfile.TemporaryDirectory(prefix="bridge") as folder:
        both = {
            "world": given.world,
            "seed": given.seed,
            "rate": world.habits.rate,
            "emulator": run_in_emulator(world, given.seed, faults),
            "sockets": sockets(world, given.seed, faults, Path(folder), given.size),
        }
    text = json.dumps(both, indent=1)
    if given.json:
        Path(given.json).write_text(text + "\n")
    print(text)
    return 0 if not both["sockets"]["unanswered"] else 1


if __name__ == "__main__":
    sys.exit(main())
