"""A small deployment: its settings, its stand-ins, and the project's processes, started by the deploy file."""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

from stand.parties import Backend, ChangeLog, Client, Dispatch, Record

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, UNUSABLE = 0, 1, 2
MAX_SECONDS = 110  # of a case; after that it could not run
S = 1_000_000_000
PANLOR: dict[str, Any] = {  # of the operators' deployment panlor-depots
    "balancers": 3,
    "discovery": "automatic",
    "granularityNs": 2_000_000,
    "zone": 0,
    "zones": ["north", "south"],
    "kinds": ["type-a", "type-b", "parent", "origin"],
    "weightSource": "rough",
    "slotNo": 0,
    "classes": [
        {"name": "video-part", "promiseNs": S // 2, "deadlineNs": 5 * S, "gain": 2.0, "lateWorth": 0.15}
        | {"repeat": "repeatable", "aimStretch": 1.6},
        {"name": "map-image", "promiseNs": S // 4, "deadlineNs": 3 * S, "gain": 1.0, "lateWorth": 0.2}
        | {"repeat": "repeatable", "aimStretch": 2.0},
        {"name": "ride-book", "promiseNs": 7 * S // 10, "deadlineNs": 3 * S, "gain": 3.0, "lateWorth": 0.0}
        | {"repeat": "by_key", "dedupScope": "all", "repeatWindowNs": 2 * S},
    ],
    "clients": {"marksRetry": False},
    "familyInfo": {
        "freshForNs": [0, 12 * S, 0],
        "staleForNs": [0, 0, 0],
        "passOn": [False, False, True],
        "multiPart": [True, False, False],
        "zoneBalancers": [3, 0],
        "hubByZone": [0, 1],
        "parentKind": 2,
        "sourceKind": 3,
        "joins": True,
        "paceKbPerS": 8000.0,
        "feedKbPerS": [0.0, 0.0],
        "passThroughOk": False,
        "purgeDoneNs": 6 * S,
        "obeyAfterNs": 3 * S // 10,
        "parentFloor": 0.072,
        "parentBreaksAt": 2.0,
        "parentWarmsInNs": 19 * S,
        "sideways": "location",
        "notesGiven": "all",
        "originStopsAt": 0.0,
        "originBearsNs": 0,
    },
    "stats": {"names": ["inflight", "util"], "source": "pull"},
    "limits": {
        "maxAttempts": 8,
        "cancel": True,
        "mayDuplicate": False,
        "peerMessages": False,
        "probes": True,
        "retryAfter": True,
        "streamsPerConn": 32,
        "maxRetryAfterNs": S // 2,
        "connectTimeoutNs": 4 * S // 10,
        "keepaliveNs": 30 * S,
    },
    "obligations": {
        "startCapacity": 0.21,
        "coldNs": 17 * S,
        "tipMultiple": 2.5,
        "fallNs": 3 * S // 2,
        "answerSlackNs": 8_000_000,
        "drainGraceNs": 2 * S,
    },
}


def _west() -> dict[str, Any]:
    """Return the settings of the operators' deployment west-terminals."""
    west = json.loads(json.dumps(PANLOR))
    west["kinds"] = ["small-box", "large-box", "parent", "origin"]
    west["weightSource"] = "silent"
    west["classes"] = [
        {"name": "deck-media", "promiseNs": 4 * S // 10, "deadlineNs": 5 * S, "gain": 2.0, "lateWorth": 0.15}
        | {"repeat": "repeatable", "aimStretch": 2.0},
        {
            "name": "manifest",
            "promiseNs": 4 * S // 10,
            "deadlineNs": 5 * S // 2,
            "gain": 1.0,
            "lateWorth": 0.2,
        }
        | {"repeat": "repeatable", "aimStretch": 2.0},
    ]
    west["familyInfo"] |= {"freshForNs": [0, 8 * S], "staleForNs": [0, 0], "passOn": [False, False]}
    west["familyInfo"] |= {"multiPart": [False, False], "passThroughOk": True, "paceKbPerS": 6000.0}
    west["familyInfo"] |= {"parentFloor": 0.061, "parentWarmsInNs": 21 * S, "notesGiven": "silent"}
    west["limits"] |= {"maxAttempts": 6, "peerMessages": True, "keepaliveNs": 15 * S}
    west["obligations"] |= {"startCapacity": 0.2, "coldNs": 15 * S, "tipMultiple": 2.0, "fallNs": S}
    west["obligations"] |= {"drainGraceNs": S}
    return west


SETTINGS = {"panlor-depots": PANLOR, "west-terminals": _west()}


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Site:
    """The stand-ins of one case, a configuration, and the processes that the case has started."""

    def __init__(
        self,
        folder: Path,
        deployment: str = "panlor-depots",
        caches: int = 3,
        memory_mb: int = 64,
        sockets: int = 512,
    ) -> None:
        settings = json.loads(json.dumps(SETTINGS[deployment]))
        self.folder = folder
        self.record = Record(str(folder / "record.txt"))
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.groups: list[subprocess.Popen[bytes]] = []
        self.handle: Callable[[Dispatch], None] = lambda dispatch: dispatch.backend.answer(dispatch)
        kinds = [0] * caches + [2, 3]
        names = [f"cache{index}" for index in range(1, caches + 1)] + ["parent", "origin"]
        self.backends = [Backend(name, self.record, lambda one: self.handle(one)) for name in names]
        self.rows = [
            {
                "uid": f"s-{index:08x}",
                "endpoint": backend.address,
                "az": "north",
                "zone": 0,
                "model": settings["kinds"][kind],
                "kind": kind,
                "pod_group": 0,
                "state": "active",
                "capacity_hint": 1,
                "boot_ms": 0,
            }
            for index, (backend, kind) in enumerate(zip(self.backends, kinds, strict=True), 1)
        ]
        self.caches = self.backends[:caches]
        for backend in self.backends:
            backend.tells = settings["familyInfo"]["notesGiven"] == "all"
        self.log = ChangeLog(self.record, last=1)
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": self.log.address,
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"rev": 1, "all": True, "targets": []}}]},
            "settings": settings,
        }
        targets = self.config["known"]["results"][0]["fleet"]["targets"]
        hidden = ("zone", "kind")
        targets += [{name: row[name] for name in row if name not in hidden} for row in self.rows]

    @property
    def handover(self) -> str:
        """The Unix socket for upgrades."""
        return str(self.temporary / "handover.sock")

    def write_config(self) -> str:
        """Write the configuration file; return its path."""
        path = self.temporary / "config.json"
        path.write_text(json.dumps(self.config))
        return str(path)

    def start(self, more: str = "", log: str = "gateway.log") -> subprocess.Popen[bytes]:
        """Start a gateway with the deploy file's `run`, as its page says; `more`: further options of
        `serve`."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.write_config()
        return self.spawn(f"{run} --config {path} {more}", log, EDGE_CONFIG=path)

    def command(self, words: str, log: str) -> subprocess.Popen[bytes]:
        """Start another command of the project."""
        return self.spawn(f"exec .venv/bin/python -m lilacloft {words}", log)

    def spawn(self, command: str, log: str, **environment: str) -> subprocess.Popen[bytes]:
        """Start a shell command from the root, in a process group of its own."""
        self.record.write("case", "starts", command=command)
        tmp = self.temporary / f"tmp{len(self.groups)}"
        tmp.mkdir()
        names = {"EDGE_NAME": "n0", "EDGE_LISTEN": self.config["listen"], "TMPDIR": str(tmp)}
        with open(self.temporary / log, "ab") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **names, **environment},
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                start_new_session=True,
            )
        self.groups.append(process)
        return process

    def log_text(self, name: str = "gateway.log") -> str:
        """Return what processes have logged."""
        path = self.temporary / name
        return path.read_text(errors="replace") if path.exists() else ""

    def wait_for(self, what: Callable[[], bool], seconds: float, name: str) -> None:
        """Wait until something holds. Raises RuntimeError if it does not in time."""
        until = time.monotonic() + seconds
        while not what():
            if time.monotonic() > until:
                raise RuntimeError(f"not within {seconds} s: {name}")
            time.sleep(0.01)

    def serving(self, port: int = 0) -> bool:
        """Return whether a gateway answers a health check on a new connection with `serving`."""
        try:
            client = Client(self.record, port or self.port)
            client.ask_alive()
        except OSError:
            return False
        until = time.monotonic() + 1.0
        while not client.alive and not client.ended.is_set() and time.monotonic() < until:
            time.sleep(0.005)
        client.close()
        return client.alive == ["serving"]

    def ready(self, seconds: float = 20) -> None:
        """Wait until the gateway answers `serving`."""
        self.wait_for(self.serving, seconds, "the gateway serves")

    def close(self) -> None:
        """End all processes that were started, and keep the logs in the case's folder."""
        for process in self.groups:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(process.pid, signal.SIGKILL)
        for process in self.groups:
            process.wait()
        for path in self.temporary.glob("*.log"):
            lines = path.read_text(errors="replace").splitlines()
            for line in lines[-400:]:
                self.record.write("logged", path.name, line=line)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(case: Callable[[Site, bool], list[str]], file: str, **options: Any) -> None:
    """Run a case, which returns how the rule was broken, and exit with its code."""

    def stop(number: int, _frame: object) -> None:
        raise SystemExit(UNUSABLE)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(MAX_SECONDS)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site: Site | None = None
    code = UNUSABLE
    try:
        site = Site(Path(file).resolve().parent, **options)
        breaches = case(site, trouble)
        for breach in breaches:
            print(breach)
            site.record.write("case", "breach", text=breach)
        code = BROKEN if breaches else HELD
        print("rule broken" if breaches else "rule held")
    except SystemExit:
        print("ended before its end")
    except Exception:
        traceback.print_exc()
        if site:
            site.record.write("case", "failed", why=traceback.format_exc().replace("\n", " | "))
    finally:
        signal.alarm(0)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)  # the processes are ended first
        if site:
            site.record.write("case", "ends", code=code)
            site.close()
    sys.stdout.flush()
    os._exit(code)
