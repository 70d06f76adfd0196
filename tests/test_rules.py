"""Compares the router with a simple model of the rules, on generated events."""

import random

import pytest

from lilacloft.experiment import packages, revisions
from rigs import model as plain
from rigs.model import SEC, Model, settings, vhost

OUTCOMES = ["done"] * 12 + ["error", "full", "timeout", "unreached", "reset", "miss", "hang", "hang"]
VHOSTS = [vhost(), vhost("uniqued"), vhost("uniqued", repeat_group="cell"), vhost("non-replayable")]


def simulate(seed, steps=200):
    rng = random.Random(seed)
    model = Model(
        settings(
            VHOSTS,
            fresh=(0, 10 * SEC, 0, 0),
            grace=(0, 5 * SEC, 0, 0),
            family={"pass_through_ok": seed % 2 == 0},
            uncacheable=(False, False, True, True),
        )
    )
    open_reqs = []
    for _ in range(steps):
        model.run(rng.choice([5, 50, 300, 2000]))
        open_reqs = [request for request in open_reqs if not request.finished or model.out(request)]
        draw = rng.random()
        if draw < 0.6:
            for _ in range(rng.choice([1, 1, 1, 30])):
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
        elif draw < 0.9 and open_reqs:
            request, outcome = rng.choice(open_reqs), rng.choice(OUTCOMES)
            if model.out(request) and outcome != "hang":
                if request.finished:
                    model.end(request, "cancelled", final=False)
                elif model.time <= request.deadline:
                    model.end(request, outcome, took=rng.randrange(5, 6000))
        elif draw < 0.95:
            backend = rng.choice(model.caches + model.parents)
            started = rng.choice([0, model.time, model.time - SEC])
            model.list("delta", [(backend, rng.choice([0, 1, 1, 2]), started)])
        else:
            key, age = rng.choice(["", f"k{rng.randrange(20)}"]), rng.randrange(3000)
            model.purges.append((key, 1, model.time - age))
            model.router.object_purged(key, 1, age)
    model.run(10 * SEC)
    return model


@pytest.mark.parametrize("seed", range(25))
def test_the_router_breaks_no_rule_of_the_model(seed):
    model = simulate(seed)
    assert model.wrong == []
    assert len(model.sends) > 50
    assert {request for request, _ in model.finals} == set(model.history), "each request has a final answer"


# By violation that the model must report: the edits that cause it (module, text, replacement).
RULE_REMOVALS = {
    "two out at once": [
        ("dispatching", "if request.finished or request.in_flight:", "if request.finished:"),
        ("router", "return self.cancel_if_safe(request)", "return self._route(request)"),
    ],
    "sent to a draining be": [
        (
            "dispatching",
            "backend.status == READY\n            and retries",
            "retries",
        ),
        ("dispatching", "if source.status != READY:", "if False:"),
        ("pools", "if backend.status == BackendStatus.READY]", "if backend.status]"),
    ],
    "non-replayable sent again": [
        (
            "retries",
            "if request.first_executed_at is None or vhost.is_safe:\n        return True",
            "return True",
        )
    ],
    "uniqued left its group": [
        (
            "retries",
            "        or not _knows_key(vhost.idempotency_scope, request.first_executed_by, backend)\n",
            "",
        )
    ],
    "uniqued sent again too late": [("retries", "        or now >= window_ends_at\n", "")],
    "denied though it may have run": [
        ("retries", "        not executed\n        or vhost", "        True\n        or vhost")
    ],
    "cold cache pushed over": [
        (
            "dispatching",
            "if not self.slow_start.allows(backend, work, now):",
            "if False:",
        ),
        (
            "dispatching",
            "return source is backend or self.slow_start.allows(source, work, now)",
            "return True",
        ),
        ("concurrency", "return self.in_flight < limit and", "return True or"),
    ],
    "older than a purge": [
        ("freshness", "age = min(age or math.inf, max(1, now - max(purges) - 1))", "pass")
    ],
    "two final answers": [
        ("router", "        if request.finished:\n            return\n        vhost", "        vhost")
    ],
    "answered too late": [
        ("router", "self.deadlines.add(request.deadline - self.settings.tick, request)", "pass")
    ],
}


@pytest.mark.parametrize("violation", RULE_REMOVALS)
def test_the_model_reports_each_rule_that_is_removed_from_the_source(violation, monkeypatch):
    """Removes each rule in turn from the sources of the router; the model must report the violation."""
    sources = dict(revisions.current_sources())
    for module, text, replacement in RULE_REMOVALS[violation]:
        assert sources[module].count(text) == 1
        sources[module] = sources[module].replace(text, replacement)
    monkeypatch.setattr(plain, "Router", packages.load("broken", sources, "router").Router)
    assert any(violation in simulate(seed).wrong for seed in range(100))
