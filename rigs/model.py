"""A host of the routing module for tests: it records the module's calls and checks them against the rules."""

import math

from lilacloft.routing.host import AttemptResult, Endpoint
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.router import Router

SEC = 10_000
RECENT_SENDS = 2000  # latest sends that are searched
DISCONNECT_GRACE = SEC // 10  # after the client's disconnect in which an attempt may still begin


def vhost(effect="replayable", **more):
    return {
        "first_byte_target": 4000,
        "client_timeout": 5 * SEC,
        "value": 1.0,
        "effect": effect,
        "repeat_group": "all",
        "repeat_window": 2 * SEC,
        "aim_stretch": 2.0,
        **more,
    }


def settings(vhosts=None, fresh=(0,), grace=(0,), uncacheable=(False,), **more):
    base = {
        "vhosts": vhosts or [vhost()],
        "zone": 0,
        "gateways": 2,
        "granularity": 20,
        "discovery": "automatic",
        "weight_source": "rough",
        "slot_no": 1,
        "stats": {"names": ["inflight", "util"]},
        "family": {
            "zone_gateways": [2],
            "parent_kind": 1,
            "source_kind": 2,
            "pace_kb_per_s": 4000.0,
            "feed_kb_per_s": [40000.0],
            "pass_through_ok": True,
            "joins": True,
            "purge_done": 6 * SEC,
            "parent_floor": 0.06,
            "parent_warms_in": 20 * SEC,
            "parent_breaks_at": 2.0,
            "fresh": fresh,
            "grace": grace,
            "uncacheable": uncacheable,
        },
        "rules": {
            "start_capacity": 0.2,
            "cold": 15 * SEC,
            "tip_multiple": 2.0,
            "fall": SEC,
            "drain_grace": SEC,
        },
        "limits": {
            "max_dispatches": 6,
            "cancel": True,
            "retry_after": True,
            "probes": True,
            "max_retry_after": 5000,
        },
    }
    for name, value in more.items():
        base[name] = {**base[name], **value} if isinstance(value, dict) else value
    return base


class Model:
    """The host, with the rules restated in their simplest form; each violation adds a line to `wrong`."""

    def __init__(self, config, caches=4, parents=2):
        self.config, self.time = config, 1000 * SEC
        self.health_changes = []
        self.wakes, self.wrong, self.sends, self.finals = [], [], [], []
        self.history, self.purges, self.listed, self.asked, self.withdrawn = {}, [], {}, [], []
        self.peak_transfers = 0.0  # most concurrent transfers, averaged over a window, sent to a warm cache
        self.gone = {}  # by request: time of the client's disconnect, as the host knows it
        self.caches = [Backend(f"c{n}") for n in range(caches)]
        self.parents = [Backend(f"p{n}") for n in range(parents)]
        self.origin = Backend("origin")
        self.router = Router(self, config)
        self.list("full", [(backend, 1, 0) for backend in [*self.caches, *self.parents, self.origin]])

    def kind(self, backend):
        return 0 if backend in self.caches else 1 if backend in self.parents else 2

    def list(self, mode, rows):
        for backend, status, started in rows:
            self.listed[backend] = (status, started, self.time)
        self.router.endpoints_changed(
            mode,
            [
                Endpoint(
                    backend,
                    0,
                    self.kind(backend),
                    len(backend.name + backend.name.strip("13")) % 2,
                    status,
                    5.0,
                    started,
                )
                for backend, status, started in rows
            ],
        )

    def ask(self, key="k", part=0, kbytes=400.0, vhost=0, left=4 * SEC, group=1, **more):
        request = Request(key, part, group, kbytes, self.time, self.time + left, vhost, **more)
        self.history[request] = []
        self.router.request_arrived(request)
        return request

    def end(self, request, outcome="done", note=0, took=None, final=None):
        seq, backend, _, at = self.history[request][-1][:4]
        self.history[request][-1][4] = outcome
        final = outcome == "done" if final is None else final
        if final and not request.finished:
            self.final(request)
        duration = self.time - at if took is None else took
        self.router.attempt_ended(request, backend, AttemptResult(seq, outcome, duration, final, note))

    def run(self, span):
        """Advance the time, firing the timers that the module has set."""
        until = self.time + span
        self.called_off()
        while self.wakes and min(self.wakes)[0] <= until:
            at, token = min(self.wakes)
            self.wakes.remove((at, token))
            self.time = max(self.time, at)
            self.router.timer_fired(token)
            self.called_off()
        self.time = until

    def called_off(self):
        while self.asked:
            request = self.asked.pop()
            if self.out(request):
                self.end(request, "cancelled", final=request.finished)

    def out(self, request):
        return bool(self.history[request]) and self.history[request][-1][4] is None

    # --- host ---

    def now(self):
        return self.time

    def dispatch(self, dispatch):
        request, backend, source = dispatch.request, dispatch.backend, dispatch.source
        limit, age = dispatch.timeout, dispatch.max_age
        attempts = self.history[request]
        self.expect(not any(call is request for call, _ in self.finals), "sent after the final answer")
        self.expect(all(entry[4] for entry in attempts), "two out at once")
        self.expect(len(attempts) < self.config["limits"]["max_dispatches"], "too many dispatches")
        disconnected_at = self.gone.get(request)
        self.expect(
            disconnected_at is None or self.time - disconnected_at <= DISCONNECT_GRACE,
            "attempt begun after the client's disconnect",
        )
        self.expect(
            limit > 0 and self.time + limit <= request.deadline, "timeout beyond the client's deadline"
        )
        config = self.config["vhosts"][request.vhost]
        executed = [entry for entry in attempts if entry[4] not in ("full", "unreached", "unsent", "miss")]
        if executed and config["effect"] == "non-replayable":
            self.expect(False, "non-replayable sent again")
        if executed and config["effect"] == "uniqued":
            self.expect(self.time - executed[0][3] < config["repeat_window"], "uniqued sent again too late")
            scope = {
                "all": True,
                "zone": backend.zone == executed[0][1].zone,
                "cell": backend.cell == executed[0][1].cell,
            }
            self.expect(scope[config["repeat_group"]], "uniqued left its group")
        for peer in (backend, source):
            status, _, listed_at = self.listed[peer]
            self.expect(
                status == 1 or self.time - listed_at <= self.config["rules"]["drain_grace"],
                "sent to a draining be",
            )
        for key, group, at in self.purges:
            if (key == request.key or (not key and group == request.purge_group)) and (
                self.time - at <= self.config["family"]["purge_done"]
            ):
                self.expect(0 < age <= max(1, self.time - at), "older than a purge")
        self.sends.append((self.time, request, backend, source))
        if backend in self.caches and not (
            self.listed[backend][1] and self.time - self.listed[backend][1] < self.config["rules"]["cold"]
        ):
            span = self.config["rules"]["fall"]
            sent = sum(at > self.time - span for at, _, to, _ in self.sends[-RECENT_SENDS:] if to is backend)
            work = 400 / self.config["family"]["pace_kb_per_s"] * SEC
            self.peak_transfers = max(self.peak_transfers, sent * work / span)
        attempts.append(
            [
                len(attempts),
                backend,
                source,
                self.time,
                None,
                dict(
                    rank=dispatch.cache_rank,
                    age=age,
                    join=dispatch.may_collapse,
                    renew=dispatch.revalidate,
                    held=dispatch.cache_only,
                ),
            ]
        )
        for peer in {backend, source}:
            self.expect(
                self.within_cold_budget(peer),
                f"cold {'parent' if peer in self.parents else 'cache'} pushed over",
            )

    def within_cold_budget(self, peer):
        """Return whether this gateway keeps to its share of the work that a cold backend may be sent in a
        window (rule 4)."""
        _, started, _ = self.listed[peer]
        family, rules, age = self.config["family"], self.config["rules"], self.time - self.listed[peer][1]
        ramp = (
            (family["parent_floor"], family["parent_warms_in"], family["parent_breaks_at"])
            if peer in self.parents
            else (rules["start_capacity"], rules["cold"], rules["tip_multiple"])
        )
        if not started or age >= ramp[1] or peer is self.origin:
            return True
        capacity = 5.0
        if self.config["weight_source"] == "silent":
            if (family.get("feed_kb_per_s") or [0])[0] or peer in self.parents:
                return True  # the module estimates the capacity from links
            capacity = max(1.0, self.peak_transfers * max(1, family["zone_gateways"][0]))
        gateways = self.config["gateways"] if peer in self.parents else max(1, family["zone_gateways"][0])
        work = 400 / family["pace_kb_per_s"] * SEC
        sent = sum(
            work
            for at, _, backend, source in self.sends
            if peer in (backend, source) and at > self.time - rules["fall"]
        )
        available = ramp[0] + (1 - ramp[0]) * age / ramp[1]
        share = ramp[2] * available * capacity * rules["fall"] / gateways
        if gateways > 2 or share < work:
            # Gateways send whole requests in turn, so the share is counted over one more tick and rounded up.
            # Tests of fleets check that all gateways together do not send too much.
            share *= 1 + self.config["granularity"] / rules["fall"]
            share = math.ceil(share / work) * work
        return sent <= share

    def client_left_at(self, request):
        return self.gone.get(request)

    def cancel(self, request, seq):
        self.expect(self.config["limits"]["cancel"], "cancelled although the settings forbid it")
        self.asked.append(request)

    def subscribe(self, on):
        self.expect(
            self.config["discovery"] == "subscribe" and on, "subscribed although discovery is automatic"
        )

    def withdraw(self, request, seq):
        self.withdrawn.append((request, seq))

    def reject(self, request, after):
        attempts, config = self.history[request], self.config["vhosts"][request.vhost]
        executed = [entry for entry in attempts if entry[4] not in ("full", "unreached", "unsent", "miss")]
        self.expect(
            not executed
            or config["effect"] == "replayable"
            or (config["effect"] == "uniqued" and config["repeat_group"] == "all"),
            "denied though it may have run",
        )
        self.final(request)

    def fail(self, request):
        self.final(request)

    def final(self, request):
        self.expect(not any(call is request for call, _ in self.finals), "two final answers")
        self.expect(
            self.time <= request.deadline + self.config["rules"].get("answer_slack", 80), "answered too late"
        )
        self.finals.append((request, self.time))

    def wake(self, at, token):
        self.wakes.append((at, token))

    def check_health(self, backend):
        pass

    def health_changed(self, backend, what, why):
        self.health_changes.append((self.time, backend, what, why))

    def limit_recorded(self, backend, was, limit, late):
        pass

    def expect(self, condition, text):
        if not condition:
            self.wrong.append(text)
