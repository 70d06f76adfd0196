"""Every decision of a lilacloft gateway: where a req goes, what fills its copy, when it is given up.

Make one Router a gateway of a Host (lilacloft/routing/host.py) and the settings; call the method named for
each thing that happens. It acts by calling the host at once. Times and spans are whole
tenths of a millisecond.
"""

from __future__ import annotations

import heapq
import math
import zlib
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

from lilacloft.routing.host import Host
from lilacloft.routing.model import Backend, ObjectPart, RejectReason, Request

# Tuned values; all are dimensionless but SWEEP, which is only how often old notes are dropped.
FLOOR = 6  # ordinary objects that one gateway may always have in flight at their home; the bound bites above
SPREAD = 2.0  # and there at this multiple of the pool's mean in flight per weight (bounded loads)
EVEN = 1.25  # a crowded cache is passed over above this multiple of its location's mean crowd
ASK = 3  # one health check to so many reqs at most: load reports must cost little beside what they save
TRIES = 3  # dispatches a req gets; more would feed a crowd more than they serve
TABLE = 1 << 15  # parts remembered; one pushed out of the table merely counts as new
RENEW_FROM = 0.8  # a copy is renewed in the last fifth of its fresh time: a mark is due again from there
BUSY = 0.85  # a link so full is crowded: below, what a cache holds may wait for fills
MARGIN = 0.8  # part of a cold be's budget that is used: sending times vary, and clients spread unevenly
BRISK = 0.8  # nor is it sent more than this part of what it can do now: beyond, all it answers is late
LEARN = 1 / 16  # weight of one observation in a moving mean: some twenty make it new
CUT = 0.7  # what a limit is cut to when too many answers come late; half would overshoot, as news lag behind
TOLERATED = 0.2  # part of late answers that a limit bears: what an ordinary spread of sizes and speeds leaves
GENEROUS = 2.0  # a limit starts at this multiple of what runs at full pace: a target bears half the pace
FAIR = 0.9  # a vhost's largest reqs are favoured nearly as the mean one while they get less of its answers
EASED = 0.8  # so nearly: alike, a few of them crowd out too much where most of the work is theirs
FAVOUR = 4.0  # a req far above (below) the usual value for its work meets limits so many times as wide
DOUBT = 0.01  # symptoms in a row make a be suspect once, at the late rate seen, they are rarer than this
GONE_GRACE = 500  # span in which an attempt may begin for who has perhaps gone: it may read on
LAG = 0.5  # part of its target that a req may lie unread here: beyond, there is more than can be done
SWEEP = 5000  # span of the periodic work
RAN = ("error", "timeout", "reset", "spoilt", "cancelled")  # outcomes after which a dispatch may have run
UNSPENT = ("unsent", "unreached", "full", "cancelled")  # after which a renewal does not come about


class Vhost:
    """One vhost: its settings, and its sending and answering times as learned."""

    def __init__(self, config: Mapping[str, Any], family: Mapping[str, Any], place: int) -> None:
        self.target = config["first_byte_target"]
        self.objective_stretch = config.get("aim_stretch") or 0.0
        self.value, self.effect = config["value"], config["effect"]
        self.idempotency_scope, self.idempotency_window = (
            config.get("repeat_group", "cell"),
            config.get("repeat_window", 0),
        )
        self.fresh, self.grace, self.uncacheable = (
            (family.get(name) or [0] * (place + 1))[place] for name in ("fresh", "grace", "uncacheable")
        )
        # mean sending times, until one is seen what a target must leave room for; usual: without late answers
        self.mean_transfer_time = self.usual_answer_time = self.target / 2
        self.has_traffic = False  # has one come?
        self.answered_share = self.large_answered_share = (
            1.0  # shares of late: of all, and of the largest three tenths
        )
        self.large_threshold = 0.0  # the work beyond which a req is one of those

    def record_arrival(self, work: float) -> None:
        """A req of so much work has come."""
        self.large_threshold += (
            LEARN * self.mean_transfer_time * (0.7 if work > self.large_threshold else -0.3)
        )

    def record_outcome(self, work: float, answered: bool) -> None:
        """One has its final answer."""
        self.answered_share += LEARN * (answered - self.answered_share)
        if work > self.large_threshold:
            self.large_answered_share += LEARN * (answered - self.large_answered_share)

    def latency_objective(self, work: float) -> int:
        """The span within which an answer earns the full value."""
        return int(self.target + self.objective_stretch * work)


class Limit:
    """How many dispatches of this gateway may be out at once on a way, as learned from what comes late: work
    that could only be late is refused early. Where fewer cure nothing it falls below one at a time."""

    def __init__(self, limit: float, least: float) -> None:
        self.limit, self.minimum, self.in_flight, self.late_share, self.next_cut_at = limit, least, 0, 0.0, 0
        self.last_ended_at, self.last_duration, self.ceiling = (
            0,
            0,
            math.inf,
        )  # above `top` no plan lets it go

    def allows(self, favour: float, now: int) -> bool:
        """May one more go out, whose value for its work is so many times the usual? Below one at a time the
        way rests between dispatches, so that many gateways together keep to few."""
        limit = min(self.limit, self.ceiling) * favour
        return self.in_flight < limit and (
            limit >= 1 or now >= self.last_ended_at + self.last_duration * (1 / limit - 1)
        )

    def record(self, late: bool, now: int, took: int, span: int) -> None:
        """Take in whether an answer came late; one cut in a span at most, as those out tell the same news."""
        self.late_share += (late - self.late_share) / 8
        self.last_ended_at, self.last_duration = now, took
        if not late:
            if self.in_flight + 1 >= self.limit / 2:
                self.limit += min(self.limit / 2, 1 / self.limit)
        elif self.late_share > TOLERATED and now >= self.next_cut_at:
            self.limit, self.next_cut_at = (
                max(self.minimum, CUT * min(self.limit, self.in_flight + 1)),
                now + span,
            )


def turn(request: Request, backend: Backend) -> float:
    """An object's place, 0.5 to 1.5, in the order in which objects leave a crowded cache."""
    return 0.5 + zlib.crc32(f"{request.key} {request.part} {backend.name}".encode()) / 2**32


def last_send(gone: int) -> int:
    """The time from which on no attempt may begin for a client that may have gone at a time. Without state:
    any thread may ask, of times by any clock."""
    return gone + GONE_GRACE


def sized(request: Request) -> bool:
    """Is its sending time known? Else a long answer may be but a large one."""
    return bool(request.kbytes or request.object_part is None or request.object_part.min_transfer_time)


class Router:
    """One gateway's decisions."""

    def __init__(self, host: Host, settings: Mapping[str, Any]) -> None:
        self.host = host
        family, rules, self.limits = settings["family"], settings["rules"], settings["limits"]
        self.vhosts = [Vhost(config, family, place) for place, config in enumerate(settings["vhosts"])]
        self.zone, self.gateways = settings["zone"], settings["gateways"]
        self.zone_gateways = max(1, family["zone_gateways"][self.zone])
        self.parent_kind, self.origin_kind = family["parent_kind"], family["source_kind"]
        self.pace = family["pace_kb_per_s"] / 10_000  # KB in a tenth of a millisecond
        self.feed = [rate / 10_000 for rate in family.get("feed_kb_per_s") or [0] * (self.zone + 1)]
        self.sizes_told = settings.get("weight_source", "silent") != "silent"
        self.direct, self.joins = family["pass_through_ok"], family["joins"]
        self.purge_done = family["purge_done"] + 1
        self.cold_cache = rules["start_capacity"], rules["cold"] + 1, rules["tip_multiple"]
        self.cold_parent = family["parent_floor"], family["parent_warms_in"] + 1, family["parent_breaks_at"]
        self.tick, self.fall = settings["granularity"], rules["fall"]
        self.max_dispatches, self.can_cancel = self.limits["max_dispatches"], self.limits["cancel"]
        self.place = settings["slot_no"] * 0.5**0.5 % 1  # spreads any row of numbers over the turns
        self.known: list[Backend] = []  # what this gateway may send to, or still has something out at
        self.caches = self.parents = self.origins = list[Backend]()
        feed = self.feed[self.zone] / self.pace or FLOOR  # the location's link in, for likely fills
        self.link = Limit(max(1.0, GENEROUS * feed / self.zone_gateways), 1 / self.gateways)
        self.object_parts: dict[tuple[str, int], ObjectPart] = {}
        self.purges: dict[str | int, int] = {}  # objects by key, groups by number: when purged
        self.due: list[
            tuple[int, int, Request, int]
        ] = []  # (when, number, req, the dispatch it is about or -1)
        self.pushed, self.armed, self.caught_up = 0, math.inf, 0  # so far; next wake; runs late itself until
        self.asks = self.limits["probes"] and {"inflight", "util"} <= set(settings["stats"]["names"])
        self.names, self.arrivals = settings["stats"]["names"], 0
        self.borne = 0.0  # transfers of this gateway that a warm cache of the location bears in time, learned
        self.value = self.work = self.unit = 0.0  # of a mean req: value, sending time, bytes (1 where untold)
        self.subscribes, self.late = settings["discovery"] == "subscribe", 0.1  # part of answers late or lost
        self.left_out, self.shares, self.yielded = {}, {}, False  # by a plan; another process is the gateway
        self.away: Mapping[int, Any] = {}  # locations that a plan leaves, or has not all back yet
        self.across = settings.get("across", False)  # others' caches may be asked, where a plan says so
        self.far: dict[int, list[Backend]] = {}  # those, by location
        for token in ["subscribe"] * self.subscribes + ["sweep"]:
            self.woke(token)

    # --- the list ---

    def listed(self, mode: str, entries: Iterable[tuple[Backend, int, int, int, int, float, int]]) -> None:
        """Discovery tells of caches, parents and the origin."""
        if mode == "failed":
            return self.host.wake(self.host.now() + SWEEP, "subscribe") if self.subscribes else None
        anew: dict[Backend, None] = {}
        for backend in self.known:
            backend.status = backend.status if mode == "delta" else 0
        for backend, backend.zone, backend.kind, backend.cell, backend.status, size, started in entries:
            backend.capacity = size if size > 0 else 1.0
            if started > backend.started:
                anew[backend] = None
                (
                    backend.started,
                    backend.ejected,
                    backend.consecutive_failures,
                    backend.backoff,
                    backend.reported_load,
                ) = started, False, 0, 0, 0.0
            if (
                self.across
                or backend.zone == self.zone
                or backend.kind in (self.parent_kind, self.origin_kind)
            ):
                self.known.append(backend)
        self.known = sorted(
            {backend.name: backend for backend in self.known if backend.status or backend.requests}.values(),
            key=lambda backend: backend.name,
        )
        ready = [backend for backend in self.known if backend.status == 1]
        self.parents = [backend for backend in ready if backend.kind == self.parent_kind]
        self.origins = [backend for backend in ready if backend.kind == self.origin_kind]
        caches = [backend for backend in ready if backend not in self.parents and backend not in self.origins]
        self.caches = [backend for backend in caches if backend.zone == self.zone]
        self.far.clear()
        for backend in caches:
            self.far.setdefault(backend.zone, []).append(backend)
        for backend in ready:
            if backend.concurrency_limit is None:
                least = 1 / (self.zone_gateways if backend in self.caches else self.gateways)
                backend.concurrency_limit = Limit(max(1.0, GENEROUS * self._part(backend)), least)
        # what the gate let go and has not gone out would come to a be that drains, or is cold now
        self._withdraw(
            request
            for backend in self.known
            if backend.status != 1 or backend in anew
            for request in backend.requests
        )

    # --- reqs ---

    def arrived(self, request: Request) -> None:
        """A client asks."""
        vhost = self.vhosts[request.vhost]
        worth = max(vhost.value / (self.value or vhost.value or 1.0), 1 / FAVOUR)
        if self.host.now() - request.arrived_at > LAG * vhost.target * worth:
            # at once, and that of less value first: all it has is late else
            return self.give_up(request, RejectReason.LAY_UNREAD)
        if not vhost.has_traffic:
            vhost.has_traffic, vhost.mean_transfer_time = (
                True,
                request.kbytes / self.pace or vhost.mean_transfer_time,
            )
            vhost.large_threshold = vhost.mean_transfer_time
        request.load_units = request.kbytes or 1.0
        self.unit += LEARN * (request.load_units - self.unit) if self.unit else request.load_units
        self.value += LEARN * (vhost.value - self.value)
        self._push(request.deadline - self.tick, request, -1)
        self.arrivals += 1
        if self.asks and self.caches and self.arrivals % ASK == 0:
            backend = self.caches[self.arrivals // ASK % len(self.caches)]
            if self.host.now() >= backend.health_checked_at + 2 * vhost.target:
                backend.health_checked_at = self.host.now()
                self.host.check(backend)
        if not (vhost.uncacheable or request.is_write):
            place = (request.key, request.part)
            request.object_part = self.object_parts.pop(place, None) or ObjectPart()
            self.object_parts[place] = request.object_part  # least lately asked first
            if len(self.object_parts) > TABLE:
                del self.object_parts[next(iter(self.object_parts))]
            request.object_part.request_count += 1
        request.transfer_time = (
            request.kbytes / self.pace
            or (request.object_part.min_transfer_time if request.object_part else 0.0)
            or vhost.usual_answer_time
        )
        self.work += LEARN * (request.transfer_time - self.work)
        vhost.record_arrival(request.transfer_time)
        self._walk(request)

    def flowing(self, request: Request, seq: int) -> None:
        """A stream has begun: it has neither time-out nor client timeout any more."""
        request.streaming = request.in_flight and seq == request.attempts - 1

    def ended(
        self,
        request: Request,
        backend: Backend,
        seq: int,
        outcome: str,
        took: int,
        final: bool,
        note: int,
        waited: int,
        load: list[float],
    ) -> None:
        """A dispatch is over."""
        if not request.in_flight or seq != request.attempts - 1:
            return
        trial = request.source.canary
        source = self._release(request, backend)
        if (
            request.revalidates
            and outcome in UNSPENT
            and request.object_part.revalidated_at == request.sent_at
        ):
            request.object_part.revalidated_at = None  # no cache renews for it: the next one may
        self._blame(request, backend, source, outcome, took, note, trial)
        if outcome == "done" and not request.finished:
            self.vhosts[request.vhost].record_outcome(request.transfer_time, True)
        request.finished = request.finished or final
        if request.finished:
            return
        if outcome in RAN and request.first_executed_at is None:
            request.first_executed_at, request.first_executed_by = request.sent_at, backend
        lost = (
            outcome == "cancelled" and not backend.ejected and backend.last_answer_at >= request.sent_at
        )  # it answers others
        if outcome in ("spoilt", "unsent") or (outcome == "reset" and not backend.ejected):
            return self._walk(request)  # chance, wherever it goes; what was spoilt lies ready there now
        if note not in (6, 7, 8, 10) and not lost:
            request.failed_backends.append(backend)
        if note != 9 and source is not backend:
            request.failed_backends.append(source)
        request.may_collapse = (
            request.may_collapse and outcome not in RAN
        )  # what just failed may be the fill itself
        self._walk(request)

    def left(self, request: Request) -> None:
        """The client has gone."""
        if not request.finished:
            request.finished = True
            if request.in_flight and self.can_cancel and not request.streaming:
                self.host.cancel(request, request.attempts - 1)

    def half_closed(self, request: Request, at: int) -> int:
        """Its client's input ended at a time: it may read on or have left, and nobody can tell before
        something is written to it. What is out is answered; nothing goes out later than the returned time."""
        request.send_by = min(request.send_by or math.inf, last_send(at))
        return request.send_by

    def send_by_passed(self, request: Request) -> None:
        """Its `send_by` has come, and no cache has its dispatch."""
        self.give_up(request, self._passed(request))

    @staticmethod
    def _passed(request: Request) -> RejectReason:
        """Which of the two bounds of a `send_by` it is that has passed."""
        return RejectReason.CLIENT_LEFT if request.first_executed_at is None else RejectReason.WINDOW_OVER

    def purged(self, key: str, group: int, age: int) -> None:
        """An object, or without a key a whole group, was purged."""
        self.purges[key or group] = max(self.host.now() - age, self.purges.get(key or group, 0))
        # what has not gone out allows a copy that is too old by now
        self._withdraw(
            request
            for backend in self.known
            for request in backend.requests
            if (request.key == key if key else request.purge_group == group)
        )

    def _withdraw(self, requests: Iterable[Request]) -> None:
        """Have dispatches go through the gate anew, those of them that have not gone out."""
        for request in dict.fromkeys(requests):
            self.host.withdraw(request, request.attempts - 1)

    def checked(self, backend: Backend, took: int, outcome: str, load: list[float]) -> None:
        """A health check is answered: how crowded is it? By what it holds over what it held when partly busy;
        not at all while it is not busy. Clears no suspect, which may answer checks alone."""
        told = dict(zip(self.names, load or [], strict=False))
        crowd = (
            2 * GENEROUS if outcome in ("full", "timeout") else backend.reported_load
        )  # no room even for a check
        if "inflight" in told:
            crowd = busy = told["util"]
            if BUSY / 2 < busy < BUSY:
                backend.saturation_in_flight += (told["inflight"] / busy - backend.saturation_in_flight) * (
                    LEARN if backend.saturation_in_flight else 1
                )
            elif busy >= BUSY and backend.saturation_in_flight:
                crowd = told["inflight"] / backend.saturation_in_flight
        backend.reported_load += (crowd - backend.reported_load) / 2

    def lagged(self, late: int) -> None:
        self.caught_up = self.host.now() + late  # it runs late itself, and judges nobody else to be so

    def woke(self, token: str) -> None:
        """A time asked for has come."""
        now = self.host.now()
        if token == "subscribe":
            self.host.subscribe(True)
        elif token == "sweep":
            self.purges = {what: at for what, at in self.purges.items() if now - at <= self.purge_done}
            self._learn_capacity()
            self.host.wake(now + SWEEP, "sweep")
        elif token == "due":
            self.armed = math.inf
            while self.due and self.due[0][0] <= now:
                _, _, request, seq = heapq.heappop(self.due)
                if seq < 0 and not request.streaming:
                    self.give_up(request, RejectReason.TIME_UP)
                elif (
                    request.in_flight
                    and seq == request.attempts - 1
                    and not (request.finished or request.streaming)
                ):
                    self._overdue(request)
            self._arm()

    def yields(self, on: bool) -> None:
        """Another process is this gateway now, or no more: cold starts and renewals are left to it."""
        self.yielded = on

    def planned(
        self,
        out: dict[str, int],
        ways: Mapping[str, float],
        link: float,
        shares: Any,
        left: Mapping[int, Any] | None = None,
    ) -> None:
        """What a plan sets (lilacloft/plan/): who is left alone until when, limits, parts of cold budgets,
        which objects are away from which locations (lilacloft/zones/)."""
        self.link.ceiling, self.shares = link or math.inf, shares
        before, self.away = self.away, left or {}
        for backend in self.known:
            if backend.zone in self.away and backend.zone not in before and backend.kind != self.origin_kind:
                self._leave(backend)
        for backend in self.known:
            if backend.concurrency_limit:
                backend.concurrency_limit.ceiling = ways.get(backend.name, math.inf)
            if backend.name in out and backend.kind != self.origin_kind:
                backend.ejected, backend.retry_at = True, out[backend.name]
            elif backend.name in self.left_out:
                self._clear(backend)
        self.left_out = out

    def _leave(self, backend: Backend) -> None:
        """Its whole location is left: what it showed is not its own doing, and what waits for it goes on."""
        if backend.ejected:
            self.host.believe(backend, "back", "its location is left")
        backend.consecutive_failures, backend.backoff, backend.ejected, backend.late_fill_share = (
            0,
            0,
            False,
            0.0,
        )
        if backend.concurrency_limit:
            backend.concurrency_limit.limit, backend.concurrency_limit.late_share = (
                max(backend.concurrency_limit.limit, GENEROUS * self._part(backend)),
                0.0,
            )
        for request in list(backend.requests):
            if request.backend is backend or request.expects_fill:
                self._recall(request)

    # --- the walk ---

    def _walk(self, request: Request) -> None:
        """Send a req to the first in hash order that may take it; end it at once where none may."""
        vhost, now = self.vhosts[request.vhost], self.host.now()
        over = self._over(request, now)
        if over:
            return self.give_up(request, over)
        passed = vhost.uncacheable or request.is_write
        # by part for both: all of one hot object would weigh on one parent
        place = f"{request.key} {request.part}"
        away = {
            zone
            for zone, left in self.away.items()
            if left.away(place, vhost.effect == "replayable" and not passed, now)
        }
        homes, parents = self._order(self.caches, place), self._order(self.parents, place)
        parents = [backend for backend in parents if backend.zone not in away]
        gone = self.zone in away and self.direct
        bound = self._bound(self.parents)
        fitting = [backend for backend in parents if self._fit(backend, bound, request)]
        sources = self.origins if passed else fitting + self.origins
        sources = [backend for backend in sources if backend not in request.failed_backends] or self.origins
        tried = [backend for backend in homes if backend not in request.failed_backends]
        ways = []
        if self.direct and not passed and not (homes and self._held(request, homes[0])):
            # a suspect parent's trial goes straight to it: through a cache a hit would pass for its answer
            ways = [
                (backend, [backend])
                for backend in parents[:1]
                if backend.ejected and backend not in request.failed_backends
            ]
        sources = [backend for backend in sources if not (self.direct and backend.ejected)]
        bound = self._bound(self.caches)
        ways += [
            (backend, sources)
            for backend in sorted(tried, key=lambda backend: not self._fit(backend, bound, request))
        ]
        if self.direct and (
            passed
            or gone
            or all(backend.ejected or not self._room(backend, vhost.mean_transfer_time) for backend in tried)
        ):
            # past the caches: the way of uncacheable vhosts, else where all caches are suspect or cold
            over = [(backend, [backend]) for backend in sources]
            if gone:  # one cache elsewhere, where a plan says so; never one that is cold, as all others' is
                there = self.far.get(self.away[self.zone].where(place), [])
                over = [
                    (backend, sources)
                    for backend in self._order(there, place)[:1]
                    if backend not in request.failed_backends
                ] + over
            ways = over if gone else over + ways if passed else ways + over
        if any(self._send(request, backend, source) for backend, fills in ways for source in fills):
            return
        # no room for a fill: what the home holds costs the link nothing; a miss there comes back at once, and
        # once, as nothing of it lies there a moment later
        if (
            passed
            or gone
            or request.cache_only
            or not homes
            or homes[0] in request.failed_backends
            or not (
                any(self._send(request, homes[0], parent, True) for parent in parents[:1])
                or self._send(request, homes[0], homes[0])
            )
        ):
            self.give_up(request, RejectReason.NO_ROOM)

    def _over(self, request: Request, now: int) -> RejectReason | None:
        """Why a req gets no further dispatch, wherever there is room; None where it may."""
        if request.attempts >= min(TRIES, self.max_dispatches):
            return RejectReason.TRIES_USED
        if now >= request.deadline - self.tick:
            return RejectReason.TIME_UP
        if request.send_by and now >= request.send_by:
            return self._passed(request)
        gone = self.host.departed(request)
        return RejectReason.CLIENT_LEFT if gone is not None and now >= last_send(gone) else None

    @staticmethod
    def _order(pool: list[Backend], key: str) -> list[Backend]:
        """Hash order (weighted rendezvous): the same at every gateway, and no home moves but a lost one's."""

        def draw(backend: Backend) -> float:
            drawn = int.from_bytes(blake2b(f"{key} {backend.name}".encode(), digest_size=8).digest(), "big")
            return -math.log((drawn + 1) / 2**64) / backend.capacity

        return sorted(pool, key=draw)

    @staticmethod
    def _bound(pool: list[Backend]) -> tuple[float, float]:
        """A pool's mean crowd, and its load by weight: once a walk, as a pool may be large."""
        if not pool:
            return 0.0, 0.0
        return (
            sum(peer.reported_load for peer in pool) / len(pool),
            sum(peer.in_flight_load for peer in pool) / sum(peer.capacity for peer in pool),
        )

    def _fit(self, backend: Backend, bound: tuple[float, float], request: Request) -> bool:
        """The bound: too much of this gateway's own in flight there, or the cache known to be crowded?"""
        crowd, load = bound
        if backend.reported_load > 0.5 and backend.reported_load > turn(request, backend) * max(
            GENEROUS, EVEN * crowd
        ):
            return False
        return backend.in_flight_load <= max(FLOOR * self.unit, SPREAD * load * backend.capacity)

    def _age(self, request: Request) -> int:
        """The oldest copy that will do (0: any): fresh or in the grace, never older than a known purge."""
        vhost, now = self.vhosts[request.vhost], self.host.now()
        age = vhost.fresh + vhost.grace if vhost.fresh else 0
        purges = [
            at
            for at in (self.purges.get(request.key), self.purges.get(request.purge_group))
            if at is not None
        ]
        if purges and now - max(purges) <= self.purge_done:
            age = min(age or math.inf, max(1, now - max(purges) - 1))
        return age

    def _held(self, request: Request, backend: Backend) -> bool:
        """Is a copy that will do likely to lie there? As far as this gateway's own reqs tell."""
        object_part, vhost, now = request.object_part, self.vhosts[request.vhost], self.host.now()
        if (
            object_part is None
            or object_part.last_served_by is not backend
            or backend.started > object_part.filled_at
        ):
            return False
        if vhost.fresh and now - object_part.filled_at > vhost.fresh + vhost.grace:
            return False
        return (
            max(self.purges.get(request.key, 0), self.purges.get(request.purge_group, 0))
            < object_part.filled_at
        )

    def _send(self, request: Request, backend: Backend, source: Backend, held_only: bool = False) -> bool:
        """The gate that every dispatch passes: the rules on effects, drains, cold starts and purges."""
        vhost, now = self.vhosts[request.vhost], self.host.now()
        if request.finished or request.in_flight or backend.status != 1 or source.status != 1:
            return False
        if request.first_executed_at is not None and vhost.effect != "replayable":
            held = {
                "all": True,
                "zone": backend.zone == request.first_executed_by.zone,
                "cell": backend.cell == request.first_executed_by.cell,
            }
            until = request.first_executed_at + vhost.idempotency_window - self.tick
            if vhost.effect != "uniqued" or not held[vhost.idempotency_scope] or now >= until:
                return False
            request.send_by = min(
                request.send_by or math.inf, until
            )  # nor may it wait past that for its connection
        touched = (backend,) if backend is source else (backend, source)
        for peer in touched:
            if peer.ejected and (now < peer.retry_at or peer.canary or vhost.effect != "replayable"):
                return False
        look = backend is source and backend in self.caches
        fill = not look and (backend is source or not self._held(request, backend))
        way = None if not fill else source.concurrency_limit if held_only else self.link
        favour = min(
            max(vhost.value / request.transfer_time * self.work / (self.value or 1.0), 1 / FAVOUR), FAVOUR
        )
        if (
            request.transfer_time > vhost.large_threshold
            and vhost.large_answered_share < FAIR * vhost.answered_share
        ):
            favour = max(favour, EASED)
        if (
            backend.reported_load > max(1.0, GENEROUS * favour) * turn(request, backend)
            or not backend.concurrency_limit.allows(favour, now)
            or (way and not way.allows(favour, now))
        ):
            return False
        if not all(
            self._room(peer, request.kbytes / self.pace or vhost.mean_transfer_time) for peer in touched
        ):
            return False
        object_part = request.object_part
        renew = bool(object_part and vhost.fresh and not look and not held_only and not self.yielded) and (
            object_part.revalidated_at is None or now - object_part.revalidated_at >= RENEW_FROM * vhost.fresh
        )
        if renew:
            object_part.revalidated_at = now
        for peer in touched:
            peer.requests[request] = None
            peer.recent_work.append((now, request.kbytes / self.pace or vhost.mean_transfer_time))
            peer.in_flight_load += request.load_units
            if peer.ejected:
                peer.canary = request
        request.backend, request.source, request.sent_at, request.in_flight = backend, source, now, True
        request.attempts += 1
        request.expects_fill, request.revalidates, request.fill_limit, request.cache_only = (
            fill,
            renew,
            way,
            look or held_only,
        )
        backend.concurrency_limit.in_flight += 1
        if way:
            way.in_flight += 1
        self._push(now + vhost.latency_objective(request.transfer_time), request, request.attempts - 1)
        join = object_part is not None and self.joins and request.may_collapse
        self.host.fetch(
            request,
            backend,
            request.deadline - self.tick - now,
            source,
            min(object_part.request_count, 2) if object_part else 0,
            self._age(request),
            join,
            held_only,
            False,
            renew,
        )
        return True

    def _room(self, backend: Backend, work: float) -> bool:
        """Rule 4: may a be that started lately take this much work, with what all gateways send it? What it
        can do since its start is cut into turns of one req, dealt to its gateways in a spread order, each
        good for one fall span: parts of a req would let nobody send; no span sees over two spans' turns."""
        now, back = self.host.now(), self.fall + self.tick
        while backend.recent_work and backend.recent_work[0][0] < now - back:
            backend.recent_work.pop(0)
        floor, warm, multiple = self.cold_parent if backend.kind == self.parent_kind else self.cold_cache
        if backend.kind == self.origin_kind or not backend.started or now - backend.started >= warm:
            return True
        if self.yielded or self._elsewhere(backend):
            return False  # its own location's gateways have all of its budget
        # a guess at what nobody asks for would let many small reqs pass for one of its turns
        turn = max([work, *(vhost.mean_transfer_time for vhost in self.vhosts if vhost.has_traffic)])
        pace = (
            min(MARGIN * multiple / 2, BRISK)
            * self._part(backend)
            * self.shares.get(backend.name, 1.0)
            / turn
        )

        def turns(age: int) -> float:
            age = max(0, age)
            return pace * age * (floor + (1 - floor) * age / 2 / warm) + self.place

        mine = math.floor(turns(now - backend.started)) - math.floor(turns(now - backend.started - back))
        return sum(sent for _, sent in backend.recent_work) + work <= mine * turn

    def _part(self, backend: Backend) -> float:
        """This gateway's part of what a be can carry, in transfers at full pace."""
        parent = backend.kind == self.parent_kind
        # a parent's link is made for what the locations' links bring in; a location's caches together send
        # twice what its link brings in, else most reqs were fills
        feed, by = (sum(self.feed) / 1.3, self.parents) if parent else (2 * self.feed[self.zone], self.caches)
        capacity = backend.capacity if self.sizes_told else feed / self.pace / max(1, len(by))
        if parent or self._elsewhere(backend):
            return (capacity or 1.0) / self.gateways
        # where nothing is told, what this gateway has seen a cache bear; of all gateways, what all have seen
        return capacity / self.zone_gateways or max(1.0 / self.zone_gateways, self.borne)

    def _learn_capacity(self) -> None:
        """Look at what this gateway sends the location's warm caches while they answer it in time."""
        now, back = self.host.now(), self.fall + self.tick
        warm = [
            backend
            for backend in self.caches
            if not backend.ejected
            and backend.concurrency_limit.late_share <= TOLERATED
            and (not backend.started or now - backend.started >= self.cold_cache[1])
        ]
        if warm:
            sent = sum(work for backend in warm for at, work in backend.recent_work if at >= now - back)
            self.borne += (sent / back / len(warm) - self.borne) / 8

    def _elsewhere(self, backend: Backend) -> bool:
        """Is it a cache of another location?"""
        return backend.zone != self.zone and backend.kind not in (self.parent_kind, self.origin_kind)

    def _release(self, request: Request, backend: Backend) -> Backend:
        """Take a dispatch that is over out of the accounts; returns its source."""
        source = request.source
        for peer in (backend,) if backend is source else (backend, source):
            peer.in_flight_load = max(0.0, peer.in_flight_load - request.load_units)
            peer.requests.pop(request, None)
            if peer.canary is request:
                peer.canary = None
        backend.concurrency_limit.in_flight -= 1
        if request.fill_limit:
            request.fill_limit.in_flight -= 1
        request.in_flight = request.streaming = False
        return source

    def give_up(self, request: Request, why: RejectReason) -> None:
        """The one place of final answers: denied where a repeat is harmless, else aborted."""
        if request.finished:
            return
        vhost = self.vhosts[request.vhost]
        request.reject_reason = why
        vhost.record_outcome(request.transfer_time, False)
        request.finished = True
        ran = request.in_flight or request.first_executed_at is not None
        if request.in_flight and self.can_cancel:
            self.host.cancel(request, request.attempts - 1)
        if (
            not ran
            or vhost.effect == "replayable"
            or (vhost.effect == "uniqued" and vhost.idempotency_scope == "all")
        ):
            self.host.deny(request, self.limits["max_retry_after"] if self.limits["retry_after"] else 0)
        else:
            self.host.abort(request)

    # --- health ---

    def _blame(
        self,
        request: Request,
        backend: Backend,
        source: Backend,
        outcome: str,
        took: int,
        note: int,
        trial: Request | None,
    ) -> None:
        """Judge a cache and its source by how a dispatch ended."""
        now, vhost, object_part = self.host.now(), self.vhosts[request.vhost], request.object_part
        late = outcome != "done" or took > vhost.latency_objective(request.transfer_time)
        if outcome in ("miss", "full") or (outcome == "done" and not (backend.ejected and late)):
            self._clear(backend)  # but an answer far too late brings back no suspect
        filled = note in (2, 3, 6, 7, 10) if note else request.expects_fill
        if outcome not in ("cancelled", "unsent", "spoilt", "miss"):
            self.late += LEARN * (late - self.late)
            # a cache whose hits are late as well is to blame for its late fills: it grows slow, or is crowded
            filled = filled and not (late and backend.concurrency_limit.late_share > TOLERATED)
            # a reset tells of no crowd, nor do further errors for an object: a client's nonsense always fails
            if (
                outcome != "reset"
                and not self._proving(backend)
                and (
                    outcome != "error"
                    or request.attempts == (object_part.request_count if object_part else 1) == 1
                )
            ):
                way = (request.fill_limit or self.link) if filled else backend.concurrency_limit
                was, _ = way.limit, way.record(late, now, took, vhost.target)
                self.host.limited(
                    backend if way is backend.concurrency_limit else request.source,
                    was,
                    way.limit,
                    way.late_share,
                )
        if outcome == "done":
            vhost.mean_transfer_time += LEARN * (
                (request.kbytes / self.pace or took) - vhost.mean_transfer_time
            )
            vhost.usual_answer_time += 0 if late else LEARN * (took - vhost.usual_answer_time)
            if object_part is not None:
                if request.expects_fill or request.revalidates or object_part.last_served_by is not backend:
                    object_part.last_served_by, object_part.filled_at = backend, request.sent_at
                object_part.min_transfer_time = min(took, object_part.min_transfer_time or took)
            if source is not backend and filled and took <= vhost.latency_objective(request.transfer_time):
                source.late_fill_share -= source.late_fill_share / 4
                if request is trial and (note or not self.direct):
                    self._clear(source)
        elif outcome in ("unreached", "reset", "timeout") or (
            outcome == "error" and not note and object_part and object_part.last_served_by
        ):  # else it may be the client's
            self._strike(backend, now, 1 + (outcome == "unreached"))  # a closed door tells more
        elif note == 7:
            self._doubt(source, now)

    def _clear(self, backend: Backend) -> None:
        """It answers."""
        if backend.ejected:
            self.host.believe(backend, "back", "answers again")
        (
            backend.last_answer_at,
            backend.consecutive_failures,
            backend.backoff,
            backend.ejected,
            backend.late_fill_share,
        ) = (
            self.host.now(),
            0,
            0,
            False,
            0.0,
        )

    def _strike(self, backend: Backend, now: int, weight: int = 1) -> None:
        """Count a symptom with no answer since; enough in a row make a be suspect."""
        backend.consecutive_failures += weight
        usual = min(max(self.late, DOUBT**0.5), DOUBT**0.25)
        if backend.ejected or usual**backend.consecutive_failures <= DOUBT:
            self._suspect(backend, now, weight > 1)

    def _doubt(self, source: Backend, now: int) -> None:
        """Count a fill that came late, or not at all, through a cache that answers others. A parent that most
        fills wait for, while another's come, is suspect; what all parents show is the origin's."""
        source.late_fill_share += (1 - source.late_fill_share) / 4
        other = min((peer.late_fill_share for peer in self.parents if peer is not source), default=1.0)
        if source.ejected or (source.late_fill_share > 0.5 and other < TOLERATED):
            self._suspect(source, now)

    def _proving(self, backend: Backend) -> bool:
        """Do only trials of its whole location go there? They are dealt, and judged, elsewhere."""
        return backend.zone in self.away and self.away[backend.zone].proving

    def _suspect(self, backend: Backend, now: int, sure: bool = False) -> None:
        """Leave a be to single trials, more and more sparsely, and call back what waits for it."""
        if self._proving(backend):
            return
        others = sum(peer.ejected for peer in self.caches if peer is not backend)
        if backend.kind == self.origin_kind or (
            backend in self.caches and not sure and 2 * others >= len(self.caches)
        ):
            for peer in self.caches:  # what most of a location shows is not its caches' doing, unless their
                peer.retry_at = min(peer.retry_at, now)  # doors are closed: who is left alone may be back
            return
        longest = max(vhost.target for vhost in self.vhosts)
        backend.backoff = min(max(longest, 2 * backend.backoff), 16 * longest)
        backend.retry_at = now + backend.backoff
        if not backend.ejected:
            backend.ejected = True
            why = (
                f"{backend.late_fill_share:.1f} of its fills late"
                if backend.late_fill_share
                else f"{backend.consecutive_failures} symptoms in a row"
            )
            self.host.believe(backend, "left alone", why)
            for request in list(backend.requests):
                if request.sent_at > backend.last_answer_at and (
                    request.backend is backend or request.expects_fill
                ):
                    self._recall(request)

    def _overdue(self, request: Request) -> None:
        """A dispatch takes far longer than its like."""
        if self.host.now() < self.caught_up:
            return self._push(self.caught_up, request, request.attempts - 1)
        now, backend, source, aim = (
            self.host.now(),
            request.backend,
            request.source,
            self.vhosts[request.vhost].latency_objective(request.transfer_time),
        )
        again = now >= request.sent_at + 2 * aim
        if backend.last_answer_at < request.sent_at and not (
            request.expects_fill and source.late_fill_share > TOLERATED
        ):
            if again or sized(request):  # nothing since, and no slow source explains it: the cache
                self._strike(backend, now)
            if again and sized(request):
                return self._recall(request)
        elif request.expects_fill and source is not backend and again != sized(request):
            self._doubt(source, now)  # the cache answers others: its source
        if not again:
            self._push(request.sent_at + 2 * aim, request, request.attempts - 1)
        elif not request.expects_fill and sized(request):  # a likely hit's answer is lost, though others come
            self._recall(request)

    def _recall(self, request: Request) -> None:
        """Call a dispatch back; its outcome sends the req on. Only where that can do no harm."""
        if (
            request.in_flight
            and self.can_cancel
            and not request.streaming
            and self.vhosts[request.vhost].effect == "replayable"
        ):
            self.host.cancel(request, request.attempts - 1)

    # --- due times ---

    def _push(self, when: int, request: Request, seq: int) -> None:
        self.pushed += 1
        heapq.heappush(self.due, (when, self.pushed, request, seq))
        self._arm()

    def _arm(self) -> None:
        while self.due and (
            self.due[0][2].finished or self.due[0][3] not in (-1, self.due[0][2].attempts - 1)
        ):
            heapq.heappop(self.due)  # what is over wakes nobody
        if self.due and self.due[0][0] < self.armed:
            self.armed = self.due[0][0]
            self.host.wake(self.armed, "due")
