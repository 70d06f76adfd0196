"""Transfer of a router's state to another process: decisions stay the same, and messages are validated."""

import copy
import random
import time

import msgspec
import pytest

from lilacloft.handover import framing, messages
from lilacloft.handover.quiesce import Quiescer
from lilacloft.handover.state_export import export_gateway
from lilacloft.net.connection import Connection
from lilacloft.routing import snapshot
from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.host import Endpoint
from lilacloft.routing.model import Backend, ObjectPart, Request
from lilacloft.routing.router import Router
from lilacloft.routing.snapshot import export_state, restore_state
from lilacloft.routing.virtual_host import VirtualHost
from rigs.inprocess import limits, next_dispatch, restored_successor, until
from rigs.model import SEC, Model, settings, vhost
from rigs.stands import silent

VHOSTS = [vhost(), vhost("uniqued"), vhost("uniqued", repeat_group="cell"), vhost("non-replayable")]
OUTCOMES = ["done"] * 14 + ["error", "full", "timeout", "unreached", "reset", "miss", "spoilt"] + ["hang"] * 2


def transmitted(exported):
    """An exported state, encoded and decoded as in a transfer to the next process."""
    return framing.to_plain(framing.decode(framing.encode(exported), messages.RouterState))


def transfer(model, open_reqs):
    """Continue with another Router that has its own records; returns the open requests of that router."""
    old = model.router
    # the state does not include unlisted backends, so their records are kept
    backends = {
        backend.name: backend if not (backend.status or backend.requests) else Backend(backend.name)
        for backend in [*model.caches, *model.parents, model.origin]
    }
    part_keys = list(old.freshness.object_parts)
    exported = transmitted(export_state(old, open_reqs, part_keys))
    new_backends = {
        backend: backends[backend.name] for backend in [*model.caches, *model.parents, model.origin]
    }
    model.caches = [new_backends[backend] for backend in model.caches]
    model.parents = [new_backends[backend] for backend in model.parents]
    model.origin = new_backends[model.origin]
    model.listed = {new_backends[backend]: row for backend, row in model.listed.items()}
    model.wakes = []
    model.router = Router(model, model.config)
    model.router.endpoints_changed(
        "cached",
        [
            Endpoint(
                backend,
                0,
                model.kind(backend),
                len(backend.name + backend.name.strip("13")) % 2,
                status,
                5.0,
                started,
            )
            for backend, (status, started, _) in model.listed.items()
        ],
    )
    requests = restore_state(model.router, exported, backends)
    new_requests = dict(zip(open_reqs, requests, strict=True))
    model.history = {
        new_requests.get(request, request): [
            [new_backends.get(value, value) if isinstance(value, Backend) else value for value in entry]
            for entry in entries
        ]
        for request, entries in model.history.items()
    }
    model.sends = [
        (
            at,
            new_requests.get(request, request),
            new_backends.get(backend, backend),
            new_backends.get(source, source),
        )
        for at, request, backend, source in model.sends
    ]
    model.finals = [(new_requests.get(request, request), at) for request, at in model.finals]
    model.asked = [new_requests.get(request, request) for request in model.asked]
    return requests


def simulate(seed, transfers, steps=160):
    """Simulate generated events; with `transfers`, the state is transferred to another Router at random
    times. Returns all decisions and the violations."""
    rng, transfer_rng = random.Random(seed), random.Random(f"over {seed}")
    model = Model(
        settings(
            VHOSTS,
            fresh=(0, 10 * SEC, 0, 0),
            grace=(0, 5 * SEC, 0, 0),
            family={"pass_through_ok": seed % 2 == 0},
            uncacheable=(False, False, True, True),
        )
    )
    open_reqs, decisions, send_count = [], [], 0
    for _ in range(steps):
        model.run(rng.choice([5, 50, 300, 2000]))
        open_reqs = [request for request in open_reqs if not request.finished or model.out(request)]
        if transfer_rng.random() < 0.2 and transfers:
            open_reqs = transfer(model, open_reqs)
        draw = rng.random()
        if draw < 0.6:
            for _ in range(rng.choice([1, 1, 1, 20])):
                open_reqs.append(
                    model.ask(
                        f"k{rng.randrange(20)}",
                        rng.randrange(3),
                        400.0,
                        rng.randrange(4),
                        rng.choice([300, SEC, 4 * SEC]),
                        1,
                    )
                )
        elif draw < 0.7:
            backend = model.caches[rng.randrange(len(model.caches))]
            status = rng.choice([0, 1, 1, 2])
            started = model.time if status == 1 and rng.random() < 0.4 else model.listed[backend][1]
            model.list("delta", [(backend, status, started)])
        elif draw < 0.8:
            purged = (f"k{rng.randrange(20)}", 0) if rng.random() < 0.7 else ("", 1)
            model.purges.append((*purged, model.time))
            model.router.object_purged(*purged, 0)
        elif draw < 0.85:
            backend = model.caches[rng.randrange(len(model.caches))]
            model.router.health_checked(backend, "done", [rng.randrange(30), rng.random()])
        for request in list(open_reqs):
            if model.out(request) and rng.random() < 0.5:
                outcome = rng.choice(OUTCOMES)
                if outcome != "hang":
                    note, took = rng.choice([0, 0, 1, 2, 3, 7]), rng.choice([None, 30, 9000])
                    model.end(request, outcome, note, took)
        decisions += [
            (
                at,
                request.key,
                request.part,
                request.attempts,
                backend.name,
                source.name,
                model.history[request][-1][5],
            )
            for at, request, backend, source in model.sends[send_count:]
        ]
        send_count = len(model.sends)
    decisions += [
        ("final", at, request.key, request.part, request.arrived_at) for request, at in model.finals
    ]
    return decisions, model.wrong


@pytest.mark.parametrize("seed", range(40))
def test_a_router_decides_the_same_after_a_transfer(seed):
    expected, expected_violations = simulate(seed, False)
    decisions, violations = simulate(seed, True)
    assert decisions == expected
    assert violations == expected_violations == []


def test_every_exported_key_is_a_field_of_its_record_and_of_its_message():
    records = {
        "BACKEND": Backend("x"),
        "OBJECT_PART": ObjectPart(),
        "REQUEST": Request("k", 0, 0, 1.0, 0, 0, 0),
        "LIMIT": AdaptiveLimit(1.0, 1.0),
    }
    forms = {
        "BACKEND": messages.BackendState,
        "OBJECT_PART": messages.ObjectPartState,
        "REQUEST": messages.RequestState,
        "LIMIT": messages.LimitState,
    }
    for kind, record in records.items():
        keys = getattr(snapshot, f"{kind}_KEYS")
        assert all(hasattr(record, name) for name in keys)
        assert set(keys) <= set(forms[kind].__struct_fields__)
        assert set(keys.values()) <= set(forms[kind].__struct_encode_fields__)
    config = settings([vhost()])
    assert all(
        hasattr(VirtualHost(config["vhosts"][0], config["family"], 0), name) for name in snapshot.VHOST_KEYS
    )


def test_a_slow_start_budget_continues_after_a_transfer():
    """For the slow-start rule (rule 4) both processes are one gateway: the second one may use only what the
    first one has left of the budget."""

    def sent_to_cold_cache(transfers):
        model = Model(settings([vhost()], fresh=(SEC,)), caches=1)
        requests = []
        model.list("delta", [(model.caches[0], 1, model.time)])
        model.run(3 * SEC)
        for number in range(30):
            requests.append(model.ask(f"k{number}"))
        if transfers:
            requests = transfer(model, [request for request in requests if not request.finished])
        for number in range(30, 60):
            model.ask(f"k{number}")
        return len([backend for _, _, backend, _ in model.sends if backend is model.caches[0]]), model.wrong

    assert sent_to_cold_cache(True) == sent_to_cold_cache(False) and sent_to_cold_cache(True)[1] == []
    assert sent_to_cold_cache(True)[0] < 60


def test_a_draining_sender_leaves_cold_backends_and_revalidation_to_the_receiver():
    model = Model(settings([vhost()], fresh=(SEC,)), caches=2)
    model.run(SEC)
    model.router.set_standby(True)
    request = model.ask("k")
    assert model.out(request) and not model.history[request][-1][5]["renew"]
    model.list("delta", [(backend, 1, model.time) for backend in model.caches])
    model.run(14 * SEC)
    other = model.ask("other")
    assert not {other.backend, other.source} & set(model.caches)  # it bypasses the caches, which are cold
    model.router.set_standby(False)
    assert model.ask("third").backend in model.caches


def test_the_learned_state_of_a_cache_that_has_restarted_since_is_ignored():
    model = Model(settings())
    model.caches[0].ejected, model.caches[0].consecutive_failures = True, 9
    exported = transmitted(export_state(model.router, (), ()))
    new = Model(settings())
    new.list("delta", [(new.caches[0], 1, new.time)])
    restore_state(
        new.router, exported, {backend.name: backend for backend in [*new.caches, *new.parents, new.origin]}
    )
    assert not new.caches[0].ejected and new.caches[0].consecutive_failures == 0


# --- messages ---


def state(**more):
    model = Model(settings())
    return messages.GatewayState(
        router=msgspec.convert(copy.deepcopy(export_state(model.router, (), ())), messages.RouterState),
        time=7,
        last_event=41,
        **more,
    )


def test_unknown_fields_are_skipped_and_missing_ones_have_defaults():
    plain = framing.to_plain(state())
    plain["weather"] = {"rain": True}
    plain["module"]["bes"]["c0"]["mood"] = 3
    del plain["checks"], plain["module"]["due"]
    found = framing.decode(framing.encode(plain), messages.GatewayState)
    assert (found.last_event, found.health_check_count, found.router.deadlines) == (41, 0, [])
    new = Model(settings())
    restore_state(
        new.router, framing.to_plain(found.router), {backend.name: backend for backend in new.caches}
    )


@pytest.mark.parametrize(
    "corrupt, message",
    [
        (lambda data: b"GET " + data[4:], "no frame"),
        (lambda data: data[:5] + b"\x63" + data[6:], "unknown kind"),
        (lambda data: data[:6] + b"\xff\xff\xff\xff" + data[10:], "too long"),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), "checksum"),
    ],
)
def test_an_invalid_frame_is_rejected_with_the_reason(corrupt, message):
    data = corrupt(framing.encode_frame(framing.MessageKind.STATE, state()))
    with pytest.raises(framing.FormatError, match=message):
        _, _, crc = framing.decode_header(data[: framing.HEADER.size])
        framing.verify_payload(data[framing.HEADER.size :], crc)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x81\xa4time\xa1x", b"\x90" * 9999, b"\x81\xa6module\x01"])
def test_an_invalid_payload_is_a_format_error(data):
    with pytest.raises(framing.FormatError):
        framing.decode(data, messages.GatewayState)


def test_an_unsent_attempt_keeps_its_idempotency_window_after_a_handover(in_process, late, monkeypatch):
    """The invariant check of its first byte needs the window there too, in addition to the router's bound."""
    monkeypatch.setattr(Connection, "movable", True)
    world = in_process(silent, changes=limits(connectTimeoutNs=10**10))
    waiting = world.asker()  # keeps a reference, as otherwise the connection is closed at once
    waiting.ask(b"pay", replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    until(lambda: world.held()["out"] == 1)
    (client_request,) = world.run_on_owner(lambda: list(world.owner.open_requests.values()))
    client_request.request.first_executed_at, client_request.request.first_executed_by = (
        client_request.request.sent_at - 1_000,
        client_request.request.backend,
    )  # an attempt that may have been executed
    with restored_successor(world) as restorer:
        (sent,) = restorer.unsent_attempts
        window = world.owner.requests.effects[client_request.vhost].window
        assert window and sent.window_over == restorer.gateway.to_monotonic(
            client_request.request.first_executed_at + window
        )


def test_an_attempt_that_waits_for_a_connection_is_sent_by_both_processes(in_process, monkeypatch, late):
    """Guards against two dispatches of one request: the successor sends it, and so does the old process once
    its own connection comes up before it exits."""
    monkeypatch.setattr(Connection, "movable", True)
    world = in_process(silent)
    waiting = world.asker()  # keeps a reference, as otherwise the connection is closed at once
    waiting.ask()
    assert late.begun.acquire(timeout=5)
    quiescer = Quiescer(world.owner)

    def hand_over():
        assert quiescer.quiesce(time.monotonic() + 4, lambda: True) == ""
        exported = export_gateway(world.owner, "whole", [])
        quiescer.mark_transferred(exported.connections)
        quiescer.discard_transferred_requests()
        quiescer.resume_connections()
        return exported.state

    state = world.run_on_owner(hand_over)
    assert len(state.attempts) == 1 and state.attempts[0].connection is None, "the successor sends it"
    late.set()
    assert next_dispatch(world.caches[0], 0.5) is None
    assert world.owner.counters.answers["faults"] == 0
