"""Which part of the learned state is stored, and what of it holds for how long after a crash."""

import random

import msgspec
import pytest

from lilacloft.routing import snapshot
from lilacloft.store import learned_state
from lilacloft.store.learned_state import (
    BACKEND_PREFIX,
    HALF_LIFE,
    LINK_KEY,
    LOAD_LIFETIME,
    MAX_EJECTION,
    ROUTER_KEY,
    VHOST_PREFIX,
    AgedPart,
    ChangeFilter,
    aged_state,
    split_parts,
)
from lilacloft.store.record_types import DAY
from rigs.model import SEC, Model, settings

FIELDS = ("holds", "late", "suspect", "crowd")


def trained_model(seed):
    """Return decisions that have learned something."""
    random_source, model = random.Random(seed), Model(settings())
    bad = model.caches[1]
    for _ in range(150):
        request = model.ask(f"k{random_source.randrange(30)}", kbytes=100.0 + random_source.randrange(900))
        model.run(random_source.randrange(1, 900))
        if model.out(request):
            if request.backend is bad and random_source.random() < 0.8:
                model.end(request, "reset")
            else:
                model.end(request, "done", took=random_source.randrange(50, 9000))
    return model


def stored_parts(model):
    """Return its parts as they are read from a store, all stored now."""
    data = msgspec.msgpack.encode(split_parts(snapshot.export_state(model.router, (), ()), ["v"]))
    return {
        key: AgedPart(model.time, part)
        for key, part in msgspec.msgpack.decode(data, type=dict[bytes, dict]).items()
    }


def restarted_model(model, age=0, back=0):
    """Return the model of a process that starts `age` later, by a clock set back by `back`."""
    new = Model(settings())
    new.time = model.time + age - back
    backends = {backend.name: backend for backend in [*new.caches, *new.parents, new.origin]}
    starts = {
        name: backend.concurrency_limit.limit
        for name, backend in backends.items()
        if backend.concurrency_limit
    }
    snapshot.restore_state(
        new.router,
        aged_state(stored_parts(model), new.time, ["v"], starts, new.router.link_limit.limit),
        backends,
    )
    return new


@pytest.mark.parametrize("seed", range(20))
def test_learned_state_comes_back_whole_at_once_and_later_fades_to_its_initial_values(seed):
    model = trained_model(seed)
    initial, restored = Model(settings()), restarted_model(model)
    for one, other, start in zip(model.caches, restored.caches, initial.caches, strict=True):
        if not one.ejected or one.retry_at > model.time:
            names = (*FIELDS, "retry_at", "backoff") if one.ejected else FIELDS
            names = [name for name, key in snapshot.BACKEND_KEYS.items() if key in names]
            assert [getattr(one, name) for name in names] == [getattr(other, name) for name in names]
        assert (
            other.concurrency_limit.limit == pytest.approx(one.concurrency_limit.limit)
            and other.concurrency_limit.late_share == one.concurrency_limit.late_share
        )
        assert not other.requests and other.canary is None and other.consecutive_failures == 0
        before = abs(one.concurrency_limit.limit - start.concurrency_limit.limit)
        for age in (HALF_LIFE // 2, HALF_LIFE, 3 * HALF_LIFE, 20 * HALF_LIFE):
            later = next(
                backend for backend in restarted_model(model, age).caches if backend.name == one.name
            )
            gap = abs(later.concurrency_limit.limit - start.concurrency_limit.limit)
            assert gap <= before + 1e-9 and later.late_fill_share <= one.late_fill_share
            before = gap
        assert before < 0.01 * start.concurrency_limit.limit
    assert (
        restored.router.virtual_hosts[0].mean_transfer_time
        == model.router.virtual_hosts[0].mean_transfer_time
        != initial.router.virtual_hosts[0].mean_transfer_time
    )
    assert (
        restarted_model(model, DAY + 1).router.virtual_hosts[0].mean_transfer_time
        == initial.router.virtual_hosts[0].mean_transfer_time
    )


def test_a_limit_returns_half_of_the_distance_in_each_half_life():
    stored = {"limit": 2.0, "late": 0.4, "calm": 50, "ended": 40, "took": 3}
    assert learned_state.aged_limit(stored, 32.0, 100, 0)["limit"] == pytest.approx(2.0)
    assert learned_state.aged_limit(stored, 32.0, 100, HALF_LIFE) == {
        "limit": pytest.approx(8.0),
        "late": 0.2,
        "calm": 50,
        "ended": 40,
        "took": 3,
    }
    assert learned_state.aged_limit(stored, 32.0, 100, 2 * HALF_LIFE)["limit"] == pytest.approx(16.0)
    assert learned_state.aged_limit(stored, 32.0, 100, DAY + 1)["limit"] == 32.0
    ahead = learned_state.aged_limit({**stored, "calm": 10 * MAX_EJECTION, "ended": 900}, 32.0, 100, 0)
    assert ahead["calm"] == 100 + MAX_EJECTION and ahead["ended"] == 100


def test_an_ejection_holds_until_the_next_canary_and_never_beyond_its_maximum():
    stored = {
        "started": 0,
        "holds": 4.0,
        "late": 0.5,
        "suspect": True,
        "retry_at": 500,
        "backoff": 90,
        "crowd": 7.0,
        "way": None,
    }
    aged = learned_state.aged_backend(stored, 10.0, 400, 100)
    assert (aged["suspect"], aged["retry_at"], aged["backoff"], aged["crowd"]) == (True, 500, 90, 7.0)
    assert "suspect" not in learned_state.aged_backend(stored, 10.0, 500, 100)
    assert "suspect" not in learned_state.aged_backend(
        {**stored, "retry_at": 10**9}, 10.0, 400, MAX_EJECTION + 1
    )
    assert (
        learned_state.aged_backend({**stored, "retry_at": 10**9}, 10.0, 400, 0)["retry_at"]
        == 400 + MAX_EJECTION
    )
    assert "crowd" not in learned_state.aged_backend(stored, 10.0, 400, LOAD_LIFETIME + 1)
    assert aged["holds"] == 4.0


def test_a_clock_set_back_leaves_only_what_holds_for_a_day():
    model = trained_model(3)
    back, initial = restarted_model(model, back=5 * SEC), Model(settings())
    assert back.router.virtual_hosts[0].mean_transfer_time == model.router.virtual_hosts[0].mean_transfer_time
    for one, start in zip(back.caches, initial.caches, strict=True):
        assert (
            one.concurrency_limit.limit == pytest.approx(start.concurrency_limit.limit)
            and not one.ejected
            and one.late_fill_share < 1e-9
        )


def test_the_first_requests_after_a_crash_skip_a_cache_that_was_ejected():
    def first(model):
        return [model.ask(f"n{key}").backend for key in range(40)]

    model = Model(settings())
    bad = model.caches[2]
    bad.ejected, bad.retry_at, bad.backoff = True, model.time + 20 * SEC, 4 * SEC
    assert any(backend and backend.name == bad.name for backend in first(Model(settings())))
    assert not any(backend and backend.name == bad.name for backend in first(restarted_model(model, SEC)))


def test_only_changed_parts_are_written_and_missing_ones_are_removed():
    changes = ChangeFilter()
    stored = {ROUTER_KEY: {"value": 1.0}, BACKEND_PREFIX + b"a": {"late": 0.5, "way": {"limit": 3.0}}}
    assert changes.changes(0, stored) == stored and changes.changes(1, stored) == {}
    stored[BACKEND_PREFIX + b"a"] = {"late": 0.5, "way": {"limit": 3.1}}
    assert changes.changes(2, stored) == {}  # noise
    stored[BACKEND_PREFIX + b"a"] = {"late": 0.5, "way": {"limit": 3.3}}
    assert list(changes.changes(3, stored)) == [BACKEND_PREFIX + b"a"]
    stored[BACKEND_PREFIX + b"a"] = {"late": 0.5, "way": None}
    assert list(changes.changes(4, stored)) == [BACKEND_PREFIX + b"a"]
    assert changes.changes(4 + HALF_LIFE, stored) == stored  # written again, else it would age while it holds
    del stored[BACKEND_PREFIX + b"a"]
    assert changes.changes(5 + HALF_LIFE, stored) == {BACKEND_PREFIX + b"a": None}
    assert learned_state.differs({"a": 1}, {"b": 1}) and learned_state.differs(True, False)
    assert not learned_state.differs(0, 0.0)


def test_parts_of_unlisted_or_unknown_names_are_skipped():
    stored = stored_parts(trained_model(1))
    assert {ROUTER_KEY, LINK_KEY, VHOST_PREFIX + b"v"} <= set(stored)
    aged = aged_state(stored, 10**9, ["other"], {}, 4.0)
    assert aged["vhosts"] == [{}] and aged["bes"] == {}
    assert aged_state({}, 5, ["v"], {"c0": 3.0}, 4.0)["link"] == {}
