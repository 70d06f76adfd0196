"""Shared by the tests: a host that writes down what the module does, the plain model of the rules, and
stand-ins for what a real gateway talks to."""

import contextlib
import copy
import itertools
import json
import os
import queue
import socket
import struct
import subprocess
import sys
import threading
import time
import zlib

from loguru import logger

from lilacloft.decide import Router
from lilacloft.net.resp import Buffer, encode, listed
from lilacloft.state import Be, Req

SEC = 10_000
logger.remove()  # threads of earlier tests may log when the test runner's standard error is gone


def vhost(effect="replayable", **more):
    return {"first_byte_target": 4000, "client_timeout": 5 * SEC, "value": 1.0, "effect": effect,
            "repeat_group": "all", "repeat_window": 2 * SEC, "aim_stretch": 2.0, **more}


def settings(vhosts=None, fresh=(0,), grace=(0,), uncacheable=(False,), **more):
    base = {
        "vhosts": vhosts or [vhost()], "zone": 0, "gateways": 2, "granularity": 20, "discovery": "automatic",
        "weight_source": "rough", "slot_no": 1, "stats": {"names": ["inflight", "util"]},
        "family": {"zone_gateways": [2], "parent_kind": 1, "source_kind": 2, "pace_kb_per_s": 4000.0,
                   "feed_kb_per_s": [40000.0], "pass_through_ok": True, "joins": True, "purge_done": 6 * SEC,
                   "parent_floor": 0.06, "parent_warms_in": 20 * SEC, "parent_breaks_at": 2.0,
                   "fresh": fresh, "grace": grace, "uncacheable": uncacheable},
        "rules": {"start_capacity": 0.2, "cold": 15 * SEC, "tip_multiple": 2.0, "fall": SEC,
                  "drain_grace": SEC},
        "limits": {"max_dispatches": 6, "cancel": True, "retry_after": True, "probes": True,
                   "max_retry_after": 5000},
    }
    for name, value in more.items():
        base[name] = {**base[name], **value} if isinstance(value, dict) else value
    return base


class Model:
    """The host, and beside it the rules in their plainest words; each breach is a line in `wrong`."""

    def __init__(self, config, caches=4, parents=2):
        self.config, self.time = config, 1000 * SEC
        self.wakes, self.wrong, self.sends, self.finals = [], [], [], []
        self.history, self.purges, self.listed, self.asked = {}, [], {}, []
        self.caches = [Be(f"c{n}") for n in range(caches)]
        self.parents = [Be(f"p{n}") for n in range(parents)]
        self.origin = Be("origin")
        self.router = Router(self, config)
        self.list("full", [(be, 1, 0) for be in [*self.caches, *self.parents, self.origin]])

    def kind(self, be):
        return 0 if be in self.caches else 1 if be in self.parents else 2

    def list(self, mode, rows):
        for be, status, started in rows:
            self.listed[be] = (status, started, self.time)
        self.router.listed(mode, [
            (be, 0, self.kind(be), len(be.name + be.name.strip("13")) % 2, status, 5.0, started)
            for be, status, started in rows])

    def ask(self, key="k", part=0, kbytes=400.0, vhost=0, left=4 * SEC, group=1, **more):
        req = Req(key, part, group, kbytes, self.time, self.time + left, vhost, **more)
        self.history[req] = []
        self.router.arrived(req)
        return req

    def end(self, req, outcome="done", note=0, took=None, final=None):
        seq, be, _, at = self.history[req][-1][:4]
        self.history[req][-1][4] = outcome
        final = outcome == "done" if final is None else final
        if final and not req.closed:
            self.final(req)
        self.router.ended(req, be, seq, outcome, self.time - at if took is None else took, final, note, 0, [])

    def run(self, span):
        """Let time pass, waking the module when it asked to be."""
        until = self.time + span
        self.called_off()
        while self.wakes and min(self.wakes)[0] <= until:
            at, token = min(self.wakes)
            self.wakes.remove((at, token))
            self.time = max(self.time, at)
            self.router.woke(token)
            self.called_off()
        self.time = until

    def called_off(self):
        while self.asked:
            req = self.asked.pop()
            if self.out(req):
                self.end(req, "cancelled", final=req.closed)

    def out(self, req):
        return bool(self.history[req]) and self.history[req][-1][4] is None

    # --- host ---

    def now(self):
        return self.time

    def look(self, req, be, limit):
        raise AssertionError("a plain look carries no age")

    def fetch(self, req, be, limit, source, rank, age, join, held_only, no_trace, renew):
        past = self.history[req]
        self.must(not any(call is req for call, _ in self.finals), "sent after the end")
        self.must(all(entry[4] for entry in past), "two out at once")
        self.must(len(past) < self.config["limits"]["max_dispatches"], "too many dispatches")
        self.must(limit > 0 and self.time + limit <= req.until, "time-out past the client's")
        config = self.config["vhosts"][req.vhost]
        ran = [entry for entry in past if entry[4] not in ("full", "unreached", "unsent", "miss")]
        if ran and config["effect"] == "non-replayable":
            self.must(False, "non-replayable sent again")
        if ran and config["effect"] == "uniqued":
            self.must(self.time - ran[0][3] < config["repeat_window"], "uniqued sent again too late")
            self.must(config["repeat_group"] == "all" or be.cell == ran[0][1].cell, "uniqued left its group")
        for peer in (be, source):
            status, _, told = self.listed[peer]
            self.must(status == 1 or self.time - told <= self.config["rules"]["drain_grace"],
                      "sent to a draining be")
        for key, group, at in self.purges:
            if (key == req.key or (not key and group == req.group)) and self.time - at <= 6 * SEC:
                self.must(0 < age <= max(1, self.time - at), "older than a purge")
        self.sends.append((self.time, req, be, source))
        past.append([len(past), be, source, self.time, None,
                     dict(rank=rank, age=age, join=join, renew=renew, held=held_only)])
        for peer in {be, source}:
            self.must(self.weigh(peer), f"cold {'parent' if peer in self.parents else 'cache'} pushed over")

    def weigh(self, peer):
        """Rule 4: this gateway's part of what a cold be may be sent in every fall window."""
        _, started, _ = self.listed[peer]
        family, rules, age = self.config["family"], self.config["rules"], self.time - self.listed[peer][1]
        cold = (
            (family["parent_floor"], family["parent_warms_in"], family["parent_breaks_at"])
            if peer in self.parents
            else (rules["start_capacity"], rules["cold"], rules["tip_multiple"])
        )
        if not started or age >= cold[1] or peer is self.origin:
            return True
        sent = sum(400 / 4000 * SEC for at, _, be, source in self.sends
                   if peer in (be, source) and at > self.time - rules["fall"])
        share = cold[0] + (1 - cold[0]) * age / cold[1]
        return sent <= cold[2] * share * 5.0 * rules["fall"] / 2

    def cancel(self, req, seq):
        self.asked.append(req)

    def deny(self, req, after):
        past, config = self.history[req], self.config["vhosts"][req.vhost]
        ran = [entry for entry in past if entry[4] not in ("full", "unreached", "unsent", "miss")]
        self.must(not ran or config["effect"] == "replayable"
                  or (config["effect"] == "uniqued" and config["repeat_group"] == "all"),
                  "denied though it may have run")
        self.final(req)

    def abort(self, req):
        self.final(req)

    def final(self, req):
        self.must(not any(call is req for call, _ in self.finals), "two final answers")
        self.must(self.time <= req.until + 80, "answered too late")
        self.finals.append((req, self.time))

    def wake(self, at, token):
        self.wakes.append((at, token))

    def check(self, be):
        pass

    def log(self, text):
        pass

    def must(self, held, text):
        if not held:
            self.wrong.append(text)


# --- stand-ins for the real gateway's world, all on loopback ---

ENV = {
    "balancers": 1, "discovery": "automatic", "granularityNs": 2000000, "zone": 0, "zones": ["here", "hub"],
    "kinds": ["small", "large", "parent", "origin"], "weightSource": "rough", "slotNo": 0,
    "classes": [
        {"name": "clip", "promiseNs": 400000000, "deadlineNs": 3000000000, "gain": 2.0,
         "repeat": "repeatable", "aimStretch": 2.0},
        {"name": "pay", "promiseNs": 400000000, "deadlineNs": 3000000000, "gain": 2.0, "repeat": "by_key",
         "dedupScope": "all", "repeatWindowNs": 2000000000, "aimStretch": 2.0}],
    "familyInfo": {"freshForNs": [8000000000, 0], "staleForNs": [2000000000, 0], "passOn": [False, True],
                   "zoneBalancers": [1, 0], "parentKind": 2, "sourceKind": 3, "joins": True,
                   "paceKbPerS": 4000.0, "feedKbPerS": [40000.0, 0], "passThroughOk": False,
                   "purgeDoneNs": 6000000000, "parentFloor": 0.06, "parentBreaksAt": 2.0,
                   "parentWarmsInNs": 20000000000},
    "stats": {"names": ["inflight", "util"]},
    "limits": {"maxAttempts": 6, "cancel": True, "probes": True, "retryAfter": True, "streamsPerConn": 32,
               "maxRetryAfterNs": 500000000, "connectTimeoutNs": 200000000, "keepaliveNs": 30000000000},
    "obligations": {"startCapacity": 0.2, "coldNs": 15000000000, "tipMultiple": 2.0, "fallNs": 1000000000,
                    "answerSlackNs": 8000000},
}


class Stand:
    """A party on a listening socket: each connection has a Buffer, and what comes in goes to `says`."""

    def __init__(self, says=None, port=0):
        self.says = says or (lambda stand, sock, items: None)
        self.seen, self.socks = queue.SimpleQueue(), []
        self.sock = socket.create_server(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.socks.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        buffer = Buffer()
        with contextlib.suppress(OSError):
            while buffer.fill(sock):
                while items := buffer.take():
                    self.seen.put((time.monotonic(), sock, items))
                    self.says(self, sock, items)

    def next(self, verb=b"do", wait=5):
        """The next message of a kind."""
        while True:
            at, sock, items = self.seen.get(timeout=wait)
            if items[0] == verb:
                return at, sock, items

    def break_off(self, reset=True):
        for sock in self.socks:
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR) if not reset else None
            sock.close()
        self.socks.clear()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def serves(body=b"bytes", told=b"remark=TCP_HIT"):
    """A cache that answers all it is asked."""
    def says(stand, sock, items):
        if items[0] == b"do":
            sock.sendall(encode(items[1], b"data", told, body))
        elif items[0] in (b"top", b"ping"):
            sock.sendall(encode(items[1], b"well", b"report=inflight:1;util:0.2"))
    return says


class Log(Stand):
    """The change log."""

    def __init__(self, frames=()):
        self.frames, self.since = list(frames), queue.SimpleQueue()
        super().__init__()

    def _serve(self, sock):
        with contextlib.suppress(OSError, struct.error):
            last = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0]
            for number, kind, payload in self.frames:
                if number > last:
                    sock.sendall(framed(number, kind, payload))
            self.since.put(last)

    def add(self, *frame):
        self.frames.append(frame)
        for sock in self.socks:
            sock.sendall(framed(*frame))


def framed(number, kind, payload=b""):
    return struct.pack(">IQB", len(payload) + 9, number, kind) + payload


def record(name, port, state=0, kind=0, started=0):
    here = socket.inet_aton("127.0.0.1")
    return struct.pack(">I4sHBBBHIQ", name, here, port, state, int(kind > 1), kind, 0, 5000, started)


def unused(ports=itertools.count(20_000 + os.getpid() % 300 * 40)):
    """A port to listen on later, below those that outgoing connections take."""
    for port in ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    return None


class Asker:
    """A client's connection."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.buffer, self.tag = Buffer(), 0

    def ask(self, vhost=b"clip", key=1, body=b"", **more):
        self.tag += 1
        ref = f"{zlib.crc32(b'%d %d' % (id(self), self.tag)):016x}"
        told = {"ref": ref, "allow": 1500, "lookup": f"{key:016x}", "nth": 0, "batch": 7, "room": 400.0}
        told.update(more)
        self.send(b"EXEC", b"%d" % self.tag, vhost, listed(told.items()), body)
        return b"%d" % self.tag

    def send(self, *items):
        self.sock.sendall(encode(*items))

    def answer(self):
        """The next answer; None once the connection has ended."""
        while True:
            if items := self.buffer.take():
                return items
            if not self.buffer.fill(self.sock):
                return None


class World:
    """Caches, a parent and the origin of our own, a change log, and one real gateway process before them."""

    def __init__(self, tmp_path, caches=(None,), sockets=1024, memory_mb=192):
        self.caches = [Stand(says or serves()) for says in caches]
        self.parent, self.origin, self.log = Stand(), Stand(), Log()
        self.port = unused()
        kinds = ["small"] * len(caches) + ["parent", "origin"]
        stands = enumerate(zip([*self.caches, self.parent, self.origin], kinds, strict=True), 1)
        targets = [{"uid": f"s-{number:08x}", "endpoint": f"127.0.0.1:{stand.port}", "model": kind,
                    "state": "active", "az": "here" if kind == "small" else "hub", "pod_group": 0,
                    "capacity_hint": 5, "boot_ms": 0} for number, (stand, kind) in stands]
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "00", "settings": copy.deepcopy(ENV),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": f"127.0.0.1:{self.log.port}",
            "known": {"seq": 1, "results": [
                {"seq": 1, "fleet": {"rev": 1, "all": True, "targets": targets}}]}}
        self.path = tmp_path / "config.json"
        self.start()

    def start(self):
        self.path.write_text(json.dumps(self.config))
        words = [sys.executable, "-m", "lilacloft", "serve", "--config", str(self.path)]
        self.process = subprocess.Popen(words, stderr=subprocess.PIPE, text=True)
        for line in self.process.stderr:
            if "serving on" in line:
                break
        self.log.since.get(timeout=5)

    def asker(self):
        return Asker(self.port)

    def stop(self):
        """SIGTERM; returns the exit code and what was written."""
        self.process.terminate()
        told = self.process.communicate(timeout=10)[1]
        return self.process.returncode, told

    def close(self):
        self.process.kill()
        self.process.communicate()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()
