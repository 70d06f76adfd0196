"""A fleet of real processes with failing links between them:
`python -m rigs.fleet SCRIPT [--gateways 24 --planners 3 --seconds 30 --seed 1 --drawn 6] [--json FILE]`.

Runs real gateways and planners, stand-in backends in processes of their own (one for each location and
hub, and one for the origin), and a relay on every link: gateway to backend, to change log and to planner,
planner to planner, and cache to source, each direction separately. The script is one of `rigs.failover`,
in the fault language of the emulator, or drawn from the seed; the same script runs in virtual time and
here. The checker judges the accounts of clients, backends and change log. At the end of a run the planners
are asked for their decisions and when they made them.

Consequences of the script itself are counted as `beyond`, not as breaches. A request that is called back
from a backend behind a cut link is at two backends, as the first cannot be told. Requests are lost with a
gateway that is killed or stopped. A gateway that is cut off from the change log knows of no purge and no
cold start, and no gateway does at the moment of the event.
"""

from __future__ import annotations

import argparse
import contextlib
import copy
import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lilacloft.emulator import faults as language
from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.clients import Habits
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.planes import PlannedFleet, PlannerFault
from lilacloft.emulator.worlds import SECOND, World
from rigs.account import Account
from rigs.checker import Breach, check, received
from rigs.failover import SCRIPTS
from rigs.load import Load
from rigs.scene import FAMILY, STATES, VHOSTS, Gateway, Scene, Timers
from rigs.stands import ENV, Log, framed, record, unused
from rigs.told import tell
from rigs.upgrade_probes import histogram

KINDS = ("small", "large", "parent", "origin")
ORIGIN = "s-00000fff"
PROPAGATION_SECONDS = 0.5  # seconds until all reachable parties know of an event
MAX_START_SECONDS = 2.0  # seconds; the longest start of a process of backends
RESTART_DELAY = 0.3  # seconds from the end of a backend to its restart
FAULT_WEIGHTS = {
    "lone": 1,
    "unlogged": 1,
    "silent": 3,
    "deaf": 1,
    "mute": 1,
    "apart": 1,
    "slow": 1,
    "lossy": 1,
    "cold": 2,
    "drain": 1,
    "restart": 1,
    "stop": 1,
    "break": 1,
    "purge": 2,
}


@dataclass
class BackendInfo:
    """A backend as the script knows it."""

    name: str
    kind: str
    zone: int  # index among all locations; hubs follow the locations with caches
    port: int
    state: str = "active"
    started: float = 0.0


@dataclass
class Worker:
    """A process of the rig that takes commands on standard input."""

    words: list[str]
    log: Path
    process: subprocess.Popen[bytes] | None = None
    lock: threading.Lock = field(default_factory=threading.Lock)

    def start(self) -> None:
        with self.log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, *self.words], stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=file
            )
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if line != b"ready\n":
            raise RuntimeError(
                f"{self.words} did not start, it printed {line!r}: {self.log.read_text()[-2000:]}"
            )

    def say(self, command: dict[str, Any]) -> None:
        with self.lock, contextlib.suppress(BrokenPipeError):
            assert self.process is not None and self.process.stdin is not None
            self.process.stdin.write(json.dumps(command).encode() + b"\n")
            self.process.stdin.flush()

    def halt(self) -> None:
        """Stop the process and wait until none of its threads runs; it may have ended by itself."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class PartyChangeLog(Log):
    """The change log as seen by one party: backends are listed at the relay ports of that party."""

    beats_at_once = False

    def __init__(self, ports: dict[str, int]) -> None:
        self.ports = ports
        super().__init__()

    def tell(self, number: int, backend: BackendInfo) -> None:
        """Send the state of a backend, unless the party does not reach it."""
        if backend.name in self.ports:
            payload = bytearray(
                record(
                    int(backend.name[2:], 16),
                    self.ports[backend.name],
                    STATES[backend.state],
                    KINDS.index(backend.kind),
                    int(backend.started * 1000),
                )
            )
            payload[11] = backend.zone  # record() supports two locations only
            self.add(number, 2, bytes(payload))

    def _serve(self, sock: Any) -> None:
        super()._serve(sock)
        with contextlib.suppress(OSError):
            while True:
                time.sleep(0.5)
                sock.sendall(framed(0, 0))


class Fleet:
    """The complete environment of a run."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        gateways: int,
        planners: int,
        zones: int = 4,
        caches: int = 4,
        hubs: int = 2,
        parents: int = 4,
        leaves: bool = True,
    ) -> None:
        self.folder, self.seed, self.program, self.leaves = folder, seed, ("lilacloft",), leaves
        self.account, self.timers, self.lock = Account(), Timers(), threading.Lock()
        self.zones, self.hubs = zones, hubs
        self.number = 1
        self.sockets, self.memory_mb = 1024, 192
        self.backends: dict[str, BackendInfo] = {}
        for number in range(zones * caches):
            self._add_backend(number + 1, "small", number // caches)
        for number in range(parents):
            self._add_backend(1000 + number, "parent", zones + number % hubs)
        self._add_backend(int(ORIGIN[2:], 16), "origin", zones)
        self.caches = [backend for backend in self.backends.values() if backend.kind == "small"]
        self.parents = [backend for backend in self.backends.values() if backend.kind == "parent"]
        self.gateways = [Gateway(self, number) for number in range(gateways)]  # type: ignore[arg-type]
        self.zone_of = {
            gateway.name: place * zones // gateways for place, gateway in enumerate(self.gateways)
        }
        self.planner_names = [f"p{number}" for number in range(planners)]
        self.real = {name: unused() for name in self.planner_names}
        self.planners: dict[str, subprocess.Popen[bytes]] = {}
        # by (from, to): relay, number of the link in that relay, port
        self.links: dict[tuple[str, str], tuple[int, int, int]] = {}
        self.spec: list[list[tuple[int, int]]] = [[] for _ in range(zones + 1)]
        self.cuts: list[tuple[str, str, float, float]] = []
        self.births: list[tuple[str, float]] = []  # backend and time at which its restart was published
        # gateway port, and start and end of the period in which it is stopped or killed
        self.halted: list[tuple[int, float, float]] = []
        self._wire()
        self.relays = [self._relay(place, ports) for place, ports in enumerate(self.spec)]
        self.sites = {place: self._site(place) for place in range(zones + hubs + 1)}

    def _add_backend(self, number: int, kind: str, zone: int) -> None:
        name = f"s-{number:08x}"
        self.backends[name] = BackendInfo(name, kind, zone, unused())

    # --- links ---

    def _link(self, relay: int, who: str, whom: str, port: int) -> int:
        mine = unused()
        self.links[who, whom] = (relay, len(self.spec[relay]), mine)
        self.spec[relay].append((mine, port))
        return mine

    def _wire(self) -> None:
        """Create the links, each with a relay."""
        self.feeds: dict[str, PartyChangeLog] = {}
        for gateway in self.gateways:
            zone = self.zone_of[gateway.name]
            ports = {
                backend.name: self._link(zone, gateway.name, backend.name, backend.port)
                for backend in self.backends.values()
                if backend.kind != "small" or backend.zone == zone
            }
            feed = self.feeds[gateway.name] = PartyChangeLog(ports)
            self._link(zone, gateway.name, "log", feed.port)
            for name, port in self.real.items():
                self._link(zone, gateway.name, name, port)
        for name in self.planner_names:
            self.feeds[name] = PartyChangeLog(
                {backend.name: backend.port for backend in self.backends.values()}
            )
            for other, port in self.real.items():
                if other != name:
                    self._link(self.zones, name, other, port)
        for backend in self.caches:
            for source in [*self.parents, self.backends[ORIGIN]]:
                self._link(self.zones, backend.name, source.name, source.port)
        for backend in self.parents:
            self._link(self.zones, backend.name, ORIGIN, self.backends[ORIGIN].port)

    def _relay(self, place: int, ports: list[tuple[int, int]]) -> Worker:
        path = self.folder / f"relay-{place}.json"
        path.write_text(json.dumps({"ports": ports, "seed": self.seed * 100 + place}))
        return Worker(["-m", "rigs.relay", str(path)], self.folder / f"relay-{place}.log")

    def cut(
        self,
        pairs: Iterable[tuple[str, str]],
        way: str = "both",
        broken: bool = False,
        seconds: float = 0.0,
        **settings: Any,
    ) -> None:
        """Set faults on links. `seconds`: how long the checker is to assume that nothing passes."""
        by: dict[int, list[int]] = {}
        now = time.time()
        for pair in pairs:
            if pair in self.links:
                relay, number, _ = self.links[pair]
                by.setdefault(relay, []).append(number)
                if seconds:
                    self.cuts.append((*pair, now, now + seconds))
        for relay, numbers in by.items():
            self.relays[relay].say({"links": numbers, "way": way, "set": settings, "break": broken})

    # --- backends ---

    def of(self, site: int) -> list[BackendInfo]:
        """The backends of a process: those of a location or hub; the last process has the origin."""
        if site == self.zones + self.hubs:
            return [self.backends[ORIGIN]]
        return [
            backend for backend in self.backends.values() if backend.zone == site and backend.kind != "origin"
        ]

    def _site(self, place: int) -> Worker:
        return Worker(
            ["-m", "rigs.boxes", str(self.folder / f"site-{place}.json")], self.folder / f"site-{place}.log"
        )

    def start_site(self, place: int) -> None:
        mine = self.of(place)
        names = {backend.name for backend in mine}
        spec = {
            "seed": self.seed,
            "account": str(self.folder / f"account-{place}.jsonl"),
            "origin": ORIGIN,
            "boxes": {
                backend.name: {"kind": backend.kind, "port": backend.port, "started": backend.started}
                for backend in mine
            },
            "sources": {
                name: {whom: port for (who, whom), (_, _, port) in self.links.items() if who == name}
                for name in names
            },
        }
        (self.folder / f"site-{place}.json").write_text(json.dumps(spec))
        self.sites[place].start()

    def kill_site(self, place: int) -> None:
        """Kill the process of some backends, which cannot record that their dispatches are over. It is
        stopped first, as a dispatch that it accepts after the entry of its death would never be over, and
        as the dispatches that gateways resend once they notice the death must come after the entry."""
        self.sites[place].halt()
        for backend in self.of(place):
            self.account.write(backend.name, "died")
        self.sites[place].kill()

    def box(self, names: Iterable[str], **command: Any) -> None:
        names = list(names)
        for place, site in self.sites.items():
            mine = [backend.name for backend in self.of(place) if backend.name in names]
            if mine:
                site.say({"boxes": mine, **command})

    # --- the change log ---

    def listed(self, backend: BackendInfo) -> None:
        self.account.write(
            "log",
            "listed",
            backend=backend.name,
            state=backend.state,
            started=backend.started,
            capacity=5.0,
            kind=backend.kind,
        )

    def tell(self, backends: Iterable[BackendInfo]) -> None:
        """Publish the changed states of backends."""
        for backend in backends:
            self.number += 1
            self.listed(backend)
            for feed in self.feeds.values():
                feed.tell(self.number, backend)

    def purge(self, key: str) -> None:
        self.number += 1
        now = time.time()
        self.account.write("log", "purge", at=now, key=key, group=0)
        for feed in self.feeds.values():
            feed.add(self.number, 3, struct.pack(">QQ", int(key, 16), int(now * 1000)))
        self.timers.after(5.0, lambda: self.box(self.backends, drop=[key, now]))

    # --- gateways and planners ---

    chance, limits = Scene.chance, Scene.limits  # the part of a scene that loads and the checker use

    def settings(self, zone: int, slot: int) -> dict[str, Any]:
        out = copy.deepcopy(ENV)
        out["classes"] = copy.deepcopy(VHOSTS)
        out["familyInfo"].update(FAMILY)
        mine = [sum(of == one for of in self.zone_of.values()) for one in range(self.zones)]
        out.update(
            zones=[f"z{one}" for one in range(self.zones)] + [f"h{one}" for one in range(self.hubs)],
            zone=zone,
            balancers=len(self.gateways),
            slotNo=slot,
        )
        out["familyInfo"].update(
            zoneBalancers=mine + [0] * self.hubs,
            passThroughOk=True,
            feedKbPerS=[40_000.0] * self.zones + [0] * self.hubs,
        )
        return out

    def config(self, gateway: Any) -> dict[str, Any]:
        """The platform configuration file of a gateway, or of a planner given by name."""
        name = gateway if isinstance(gateway, str) else gateway.name
        feed, zone = self.feeds[name], self.zone_of.get(name, 0)
        names = [one for one in self.zone_of if self.zone_of[one] == zone]
        targets = [
            {
                "uid": backend.name,
                "endpoint": f"127.0.0.1:{feed.ports[backend.name]}",
                "model": backend.kind,
                "state": backend.state,
                "az": f"z{backend.zone}" if backend.zone < self.zones else f"h{backend.zone - self.zones}",
                "pod_group": 0,
                "capacity_hint": 5,
                "boot_ms": int(backend.started * 1000),
            }
            for backend in self.backends.values()
            if backend.name in feed.ports
        ]
        port = self.links[name, "log"][2] if (name, "log") in self.links else feed.port
        known = {"seq": self.number, "fleet": {"rev": 1, "all": True, "targets": targets}}
        listen = f"127.0.0.1:{unused() if isinstance(gateway, str) else gateway.port}"
        return {
            "name": name,
            "listen": listen,
            "seed": "00",
            "changelog": f"127.0.0.1:{port}",
            "settings": self.settings(zone, names.index(name) if name in names else 0),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"seq": self.number, "results": [known]},
        }

    def places(self, who: str) -> str:
        """Return the addresses at which a gateway or planner reaches all planners: its own port for itself,
        and the relay of the link for each other planner."""
        return ",".join(
            f"{name}=127.0.0.1:{port if name == who else self.links[who, name][2]}"
            for name, port in self.real.items()
        )

    def start_gateway(self, gateway: Gateway) -> None:
        words: tuple[str, ...] = ()
        if self.planner_names:
            leave = " (zones (leave past))" if self.leaves else ""
            words = gateway.settings(f'(plan (planners "{self.places(gateway.name)}"){leave})')
        gateway.start(*words)

    def start_planner(self, name: str) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.config(name)))
        words = [
            "--config",
            str(path),
            "--name",
            name,
            "--planners",
            self.places(name),
            "--store",
            str(self.folder / f"store-{name}"),
            *(["--leave", "past"] if self.leaves else []),
        ]
        with (self.folder / f"{name}.log").open("ab") as file:
            self.planners[name] = subprocess.Popen(
                [sys.executable, "-m", "lilacloft", "plan", "serve", *words],
                stderr=file,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )

    def query(self, name: str, *words: str) -> list[str]:
        completed = subprocess.run(
            [sys.executable, "-m", "lilacloft", "plan", words[0], f"127.0.0.1:{self.real[name]}", *words[1:]],
            capture_output=True,
            text=True,
            timeout=20,
        )
        return completed.stdout.splitlines()

    def start(self) -> None:
        """Start all processes, relays and backends first."""
        for backend in self.backends.values():
            self.listed(backend)
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda one: one.start(), self.relays))
            list(pool.map(self.start_site, self.sites))
            list(pool.map(self.start_planner, self.planner_names))
            list(pool.map(self.start_gateway, self.gateways))

    def close(self) -> None:
        self.timers.over = True
        for process in [*self.planners.values(), *(one.process for one in self.gateways if one.process)]:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for worker in [*self.sites.values(), *self.relays]:
            worker.kill()
        for feed in self.feeds.values():
            feed.break_off()
            feed.close()

    def entries(self) -> list[dict[str, Any]]:
        """The entries of all parties, in order of time."""
        out = list(self.account.entries)
        for path in sorted(self.folder.glob("account-*.jsonl")):
            out += [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]
        return sorted(out, key=lambda entry: entry["at"])

    # --- the script ---

    def affected_backends(self, fault: Fault) -> list[BackendInfo]:
        number = int(fault.which) if fault.which.isdigit() else 0
        return {
            "cache": self.caches[number : number + 1],
            "parent": self.parents[number : number + 1],
            "zone": [backend for backend in self.caches if backend.zone == number],
            "hub": [backend for backend in self.parents if backend.zone == self.zones + number],
            "origin": [self.backends[ORIGIN]],
        }.get(fault.whom, [])

    def actions(self, fault: Fault) -> list[tuple[float, Callable[[], None]]]:
        """The actions that implement a fault, each with its time in seconds."""
        at, span, end = fault.at / SECOND, fault.span / SECOND, fault.end / SECOND
        names = [backend.name for backend in self.affected_backends(fault)]
        number = int(fault.which) if fault.which.isdigit() else 0
        to = [(gateway.name, name) for gateway in self.gateways for name in names]
        gateways = self.gateways[int(fault.which) : int(fault.which) + 1] if fault.whom == "gateway" else []
        of = [
            (who, whom)
            for who, whom in self.links
            if who in {one.name for one in gateways} and whom in self.backends
        ]
        if fault.kind == "silent":
            return [
                (at, lambda: self.box(names, set={"silent": True})),
                (end, lambda: self.box(names, set={"silent": False})),
            ]
        if fault.kind == "slow":
            return [
                (at, lambda: self.box(names, set={"slow": (fault.hard - 1) * 0.03})),
                (end, lambda: self.box(names, set={"slow": 0.0})),
            ]
        if fault.kind in ("deaf", "mute"):
            way = "up" if (fault.kind == "deaf") == bool(names) else "down"
            return [
                (at, lambda: self.cut(to + of, way, seconds=span + 1, stall=True)),
                (end, lambda: self.cut(to + of, way, True, stall=False)),
            ]
        if fault.kind == "lossy":
            return [
                (at, lambda: self.cut(to + of, seconds=span + 1, lossy=fault.hard)),
                (end, lambda: self.cut(to + of, lossy=0.0)),
            ]
        if fault.kind == "apart":
            mine = {one for one, zone in self.zone_of.items() if zone == int(fault.which)}
            mine |= {backend.name for backend in self.caches if backend.zone == int(fault.which)}
            pairs = [
                (who, whom)
                for who, whom in self.links
                if who in mine and whom in self.backends and self.backends[whom].kind != "small"
            ]
            return [
                (at, lambda: self.cut(pairs, seconds=span + 1, stall=True)),
                (end, lambda: self.cut(pairs, "both", True, stall=False)),
            ]
        if fault.kind in ("cold", "down") and fault.whom in ("zone", "hub"):
            place = int(fault.which) + (self.zones if fault.whom == "hub" else 0)
            return [
                (at, lambda: self.kill_site(place)),
                (max(end, at + RESTART_DELAY), lambda: self._restart_site(place)),
            ]
        if fault.kind == "drain":
            return [(at, lambda: self._state(names, "leaving")), (end, lambda: self._state(names, "active"))]
        if fault.kind == "purge" and fault.whom == "object":
            key = f"{int(fault.which[1:]):016x}"
            return [(at + 0.1 * nth, lambda: self.purge(key)) for nth in range(int(fault.hard))]
        if fault.kind == "restart":
            return [(at, lambda: [self._restart_gateway(one) for one in gateways] and None)]
        if fault.kind == "stop":
            return [
                (at, lambda: self._record_halt(gateways, span + 1)),
                (at, lambda: self._signal(gateways, signal.SIGSTOP)),
                (end, lambda: self._signal(gateways, signal.SIGCONT)),
            ]
        mine = [one for one in self.gateways if fault.whom == "zone" and self.zone_of[one.name] == number]
        if fault.kind == "lone":
            pairs = [(one.name, planner) for one in gateways or mine for planner in self.planner_names]
            return [
                (at, lambda: self.cut(pairs, stall=True)),
                (end, lambda: self.cut(pairs, "both", True, stall=False)),
            ]
        if fault.kind in ("break", "unlogged"):
            pairs = [(one.name, "log") for one in gateways or mine or self.gateways]
            return [
                (at, lambda: self.cut(pairs, seconds=span + 1, stall=True)),
                (end, lambda: self.cut(pairs, stall=False)),
            ]
        return []

    def _restart_site(self, place: int) -> None:
        now = time.time()
        for backend in self.of(place):
            backend.started = now
        self.start_site(place)
        self.tell(self.of(place))
        self.births += [(backend.name, time.time()) for backend in self.of(place)]

    def _state(self, names: list[str], state: str) -> None:
        backends = [self.backends[name] for name in names]
        for backend in backends:
            backend.state = state
        self.tell(backends)

    def _record_halt(self, gateways: list[Gateway], seconds: float) -> None:
        now = time.time()
        self.halted += [(gateway.port, now, now + seconds) for gateway in gateways]

    def _restart_gateway(self, gateway: Gateway) -> None:
        self._record_halt([gateway], 3.0)
        assert gateway.process is not None
        gateway.process.kill()
        gateway.process.wait()
        threading.Thread(target=self.start_gateway, args=(gateway,), daemon=True).start()

    @staticmethod
    def _signal(gateways: list[Gateway], number: int) -> None:
        for gateway in gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(number)

    def planner_actions(self, trouble: PlannerFault) -> list[tuple[float, Callable[[], None]]]:
        if trouble.planner >= len(self.planner_names):
            return []
        name, at, end = (
            self.planner_names[trouble.planner],
            trouble.at / SECOND,
            (trouble.at + trouble.span) / SECOND,
        )
        if trouble.kind == "kill":

            def kill() -> None:
                self.planners[name].kill()
                self.planners[name].wait()

            return [(at, kill), (end, lambda: self.start_planner(name))]
        if trouble.kind == "old":
            return []
        pairs = [(who, whom) for who, whom in self.links if whom == name or who == name]
        if trouble.kind == "cut":
            pairs = [pair for pair in pairs if pair[0] in self.zone_of][::2]
        else:
            pairs = [pair for pair in pairs if pair[0] in self.planner_names]
        return [(at, lambda: self.cut(pairs, stall=True)), (end, lambda: self.cut(pairs, stall=False))]

    def judged(self, entries: list[dict[str, Any]]) -> tuple[list[Breach], int]:
        """The breaches, and the number of further ones that the script itself causes: a dispatch that is
        called back behind a cut link, where its backend cannot be told; a request whose gateway the script
        had stopped or killed; a purge of which its gateway could not know. The rule for cold backends is
        checked on the dispatches of gateways that knew of the start, as these must keep the limit."""
        requests = {entry["ref"]: entry for entry in entries if entry["what"] == "req"}
        names = {gateway.port: gateway.name for gateway in self.gateways}
        informed = [
            entry
            for entry in entries
            if entry["what"] != "do"
            or not self._was_uninformed(entry, names.get(requests.get(entry["ref"], {}).get("gateway")))
        ]
        all_ = check(entries, self.limits())
        real = [one for one in all_ if one.rule != 4 and not self._is_caused_by_script(one, requests, names)]
        real += [one for one in check(informed, self.limits()) if one.rule == 4]
        return sorted(real, key=lambda one: one.at), len(all_) - len(real)

    def _was_cut_from_log(self, name: str | None, begin: float, end: float) -> bool:
        """Whether a gateway was cut off from the change log at any time between the two."""
        return any(
            who == name and whom == "log" and since <= end and begin <= until
            for who, whom, since, until in self.cuts
        )

    def _was_uninformed(self, entry: dict[str, Any], name: str | None) -> bool:
        """Whether the gateway that sent a dispatch could not know of the last start of its backends."""
        sent_at = received(entry)
        for backend in (entry["who"], entry.get("next")):
            births = [
                at for other, at in self.births if other == backend and at - MAX_START_SECONDS <= sent_at
            ]
            if births and (
                sent_at <= births[-1] + PROPAGATION_SECONDS
                or self._was_cut_from_log(name, sent_at - PROPAGATION_SECONDS, sent_at)
            ):
                return True
        return False

    def _is_caused_by_script(self, breach: Breach, requests: dict[str, Any], names: dict[int, str]) -> bool:
        words = breach.text.split()
        if breach.rule == 2 and "out twice" in breach.text:
            return any(whom == words[-1] and begin <= breach.at <= end for _, whom, begin, end in self.cuts)
        if " told " in breach.text or " begun " in breach.text:  # the dispatch was on a link that was cut
            return any(
                whom == breach.who and since <= breach.at <= over for _, whom, since, over in self.cuts
            )
        request = requests.get(words[0])
        if request is None:
            return False
        if breach.rule == 1:
            return any(word in breach.text for word in ("lost", "too late", "never")) and any(
                port == request["gateway"] and begin <= breach.at and request["at"] <= end
                for port, begin, end in self.halted
            )
        return breach.rule == 5 and self._was_cut_from_log(
            names[request["gateway"]], request["at"], breach.at
        )


def drawn(seed: int, seconds: float, count: int, sizes: dict[str, int]) -> list[Fault]:
    """Draw faults from a seed, of the kinds that can be applied to processes."""
    stream = RandomStreams(seed).stream("fleet")
    return [
        fault
        for fault in language.draw(stream, sizes, int(seconds * SECOND), count, dict(FAULT_WEIGHTS))
        if fault.whom not in ("shelf", "version", "group")
        and not (fault.kind in ("cold", "down") and fault.whom not in ("zone", "hub"))
    ]


def run(
    script: str,
    gateways: int,
    planners: int,
    seconds: float,
    rate: float,
    seed: int,
    count: int = 0,
    leaves: bool = True,
    caches: int = 4,
) -> dict[str, Any]:
    """Run a script of `rigs.failover`, or `drawn` faults."""
    with tempfile.TemporaryDirectory(prefix="fleet") as name:
        fleet = Fleet(Path(name), seed, gateways, planners, caches=caches, leaves=leaves)
        sizes = {"zone": 4, "hub": 2, "cache": 4 * caches, "parent": 4, "gateway": gateways, "object": 40}
        scripted = None if script == "drawn" else SCRIPTS.get(script)
        faults = language.parse(scripted.faults) if scripted else drawn(seed, seconds, count, sizes)
        due = [action for fault in faults for action in fleet.actions(fault)]
        due += [
            action
            for trouble in (scripted.troubles if scripted else ())
            for action in fleet.planner_actions(trouble)
        ]
        try:
            fleet.start()
            load = Load(fleet, rate, held=1)  # type: ignore[arg-type]
            load.start()
            time.sleep(3.0)
            load.times.clear()
            before, began = dict(load.counts), time.monotonic()
            for at, action in sorted(due, key=lambda one: one[0]):
                if at >= seconds:
                    continue
                time.sleep(max(0.0, began + at - time.monotonic()))
                action()
            time.sleep(max(0.0, began + seconds - time.monotonic()))
            load.stop()
            counts = {key: load.counts[key] - before[key] for key in before}
            said = (
                {
                    f"{name} {zone}": fleet.query(name, "explain", f"zone {zone}")
                    for name in fleet.planner_names
                    if fleet.planners[name].poll() is None
                    for zone in range(6)
                }
                if leaves
                else {}
            )
            entries = fleet.entries()
            breaches, beyond = fleet.judged(entries)
            logs = [path.read_text() for path in sorted(fleet.folder.glob("*.log"))]
        finally:
            fleet.close()
    left = {place: lines for place, lines in said.items() if any("left, 0" in line for line in lines)}
    answered = sum(counts[what] for what in ("done", "denied", "aborted"))
    return {
        "script": script,
        "faults": [str(fault) for fault in faults],
        "gateways": gateways,
        "planners": planners,
        "seconds": seconds,
        "rate": rate,
        "seed": seed,
        "leaves": leaves,
        "counts": counts,
        "done": counts["done"] / max(1, answered),
        "breaches": len(breaches),
        "all": [str(one) for one in breaches],
        "beyond": beyond,
        "faults_seen": sum(text.count("Traceback") for text in logs),
        "left": left,
        "latency_ms": histogram([took for _, took, _, word in load.times if word == "200"]),
        "tail": [text[-1500:] for text in logs if "Traceback" in text][:3],
    }


def run_in_emulator(
    script: str,
    faults: list[Fault],
    gateways: int,
    planners: int,
    seconds: float,
    rate: float,
    seed: int,
    caches: int,
    leave: str,
) -> dict[str, Any]:
    """Run the same script in the emulator, in a world of the same size."""
    habits = Habits(
        rate=rate,
        objects=300,
        zipf=0.9,
        parts=1,
        size=400.0,
        spread=0.05,
        mix=(0.8, 0.0, 0.1, 0.1),
        retries=0,
    )
    place = World(
        "fleet",
        zones=4,
        caches=caches,
        gateways=max(1, gateways // 4),
        parents=4,
        hubs=2,
        cells=1,
        span=int(seconds * SECOND),
        habits=habits,
        service=300.0,
    )
    scripted = None if script == "drawn" else SCRIPTS.get(script)
    result = PlannedFleet(
        place, seed, faults, planners=planners, troubles=scripted.troubles if scripted else (), leave=leave
    ).run()
    answered = result.done + result.denied + result.aborted
    return {"done": result.done / max(1, answered), "asked": result.asked, "breaches": len(result.breaches)}


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m rigs.fleet", description=__doc__)
    parser.add_argument("script", choices=[*SCRIPTS])
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--planners", type=int, default=3)
    parser.add_argument("--caches", type=int, default=4, help="number in each location")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--drawn", type=int, default=6, help="number of faults if the script is `drawn`")
    parser.add_argument(
        "--kept",
        action="store_true",
        help="never divert traffic from a location (behaviour of the earlier version)",
    )
    parser.add_argument("--beside", action="store_true", help="also run the same script in virtual time")
    parser.add_argument("--json", metavar="FILE")
    given = parser.parse_args(words)
    report = run(
        given.script,
        given.gateways,
        given.planners,
        given.seconds,
        given.rate,
        given.seed,
        given.drawn,
        not given.kept,
        given.caches,
    )
    if given.beside:
        faults = [fault for text in report["faults"] for fault in language.parse(text)]
        report["beside"] = run_in_emulator(
            given.script,
            faults,
            given.gateways,
            given.planners,
            given.seconds,
            given.rate,
            given.seed,
            given.caches,
            "never" if given.kept else "past",
        )
    tell(report, given.json)
    return 0 if not (report["breaches"] or report["faults_seen"]) else 1


if __name__ == "__main__":
    sys.exit(main())
