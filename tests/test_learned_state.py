"""Which parts of the learned state are stored, and how long they stay valid after a crash."""

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
    """Return a model whose routing state has been trained by random requests."""
    random_source, model = random.Random(seed), Model(settings())
    failing_cache = model.caches[1]
    for _ in range(150):
        request = model.ask(f"k{random_source.randrange(30)}", kbytes=100.0 + random_source.randrange(900))
        model.run(random_source.randrange(1, 900))
        if model.out(request):
            if request.backend is failing_cache and random_source.random() < 0.8:
                model.end(request, "reset")
            else:
                model.end(request, "done", took=random_source.randrange(50, 9000))
    return model


def stored_parts(model):
    """Return the model's parts as read from a store, all stored now."""
    data = msgspec.msgpack.encode(split_parts(snapshot.export_state(model.router, (), ()), ["v"]))
    return {
        key: AgedPart(model.time, part)
        for key, part in msgspec.msgpack.decode(data, type=dict[bytes, dict]).items()
    }


def restarted_model(model, age=0, back=0):
    """Return the model of a process that starts `age` later, with its clock set back by `back`."""
    new = Model(settings())
    new.time = model.time + age - back
    backends = {backend.name: backend for backend in [*new.caches, *new.parents, new.origin]}
    initial_limits = {
        name: backend.concurrency_limit.limit
        for name, backend in backends.items()
        if backend.concurrency_limit
    }
    snapshot.restore_state(
        new.router,
        aged_state(stored_parts(model), new.time, ["v"], initial_limits, new.router.link_limit.limit),
        backends,
    )
    return new


@pytest.mark.parametrize("seed", range(20))
def test_learned_state_is_restored_in_full_at_once_and_decays_to_its_initial_values(seed):
    model = trained_model(seed)
    initial, restored = Model(settings()), restarted_model(model)
    for learned, after, fresh in zip(model.caches, restored.caches, initial.caches, strict=True):
        if not learned.ejected or learned.retry_at > model.time:
            names = (*FIELDS, "retry_at", "backoff") if learned.ejected else FIELDS
            names = [name for name, key in snapshot.BACKEND_KEYS.items() if key in names]
            assert [getattr(learned, name) for name in names] == [getattr(after, name) for name in names]
        assert (
            after.concurrency_limit.limit == pytest.approx(learned.concurrency_limit.limit)
            and after.concurrency_limit.late_share == learned.concurrency_limit.late_share
        )
        assert not after.requests and after.canary is None and after.consecutive_failures == 0
        previous_gap = abs(learned.concurrency_limit.limit - fresh.concurrency_limit.limit)
        for age in (HALF_LIFE // 2, HALF_LIFE, 3 * HALF_LIFE, 20 * HALF_LIFE):
            later = next(
                backend for backend in restarted_model(model, age).caches if backend.name == learned.name
            )
            gap = abs(later.concurrency_limit.limit - fresh.concurrency_limit.limit)
            assert gap <= previous_gap + 1e-9 and later.late_fill_share <= learned.late_fill_share
            previous_gap = gap
        assert previous_gap < 0.01 * fresh.concurrency_limit.limit
    assert (
        restored.router.virtual_hosts[0].mean_transfer_time
        == model.router.virtual_hosts[0].mean_transfer_time
        != initial.router.virtual_hosts[0].mean_transfer_time
    )
    assert (
        restarted_model(model, DAY + 1).router.virtual_hosts[0].mean_transfer_time
        == initial.router.virtual_hosts[0].mean_transfer_time
    )


def test_a_limit_moves_halfway_to_its_initial_value_in_each_half_life():
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


def test_an_ejection_lasts_until_the_next_canary_request_and_never_beyond_its_maximum():
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


def test_a_clock_set_back_leaves_only_values_that_are_valid_for_a_day():
    model = trained_model(3)
    back, initial = restarted_model(model, back=5 * SEC), Model(settings())
    assert back.router.virtual_hosts[0].mean_transfer_time == model.router.virtual_hosts[0].mean_transfer_time
    for after, fresh in zip(back.caches, initial.caches, strict=True):
        assert (
            after.concurrency_limit.limit == pytest.approx(fresh.concurrency_limit.limit)
            and not after.ejected
            and after.late_fill_share < 1e-9
        )


def test_the_first_requests_after_a_crash_avoid_an_ejected_cache():
    def chosen_backends(model):
        return [model.ask(f"n{key}").backend for key in range(40)]

    model = Model(settings())
    failing_cache = model.caches[2]
    failing_cache.ejected, failing_cache.retry_at, failing_cache.backoff = (
        True,
        model.time + 20 * SEC,
        4 * SEC,
    )
    assert any(
        backend and backend.name == failing_cache.name for backend in chosen_backends(Model(settings()))
    )
    assert not any(
        backend and backend.name == failing_cache.name
        for backend in chosen_backends(restarted_model(model, SEC))
    )


def test_only_changed_parts_are_written_and_missing_ones_are_removed():
    change_filter = ChangeFilter()
    stored = {ROUTER_KEY: {"value": 1.0}, BACKEND_PREFIX + b"a": {"late": 0.5, "way": {"limit": 3.0}}}
    assert change_filter.changes(0, stored) == stored and change_filter.changes(1, stored) == {}
    stored[BACKEND_PREFIX + b"a"] = {"late": 0.5, "way": {"limit": 3.1}}
    assert change_filter.changes(2, stored) == {}  # differs by no more than NOISE
    stored[BACKEND_PREFIX + b"a"] = {"late": 0.5, "way": {"limit": 3.3}}
    assert list(change_filter.changes(3, stored)) == [BACKEND_PREFIX + b"a"]
    stored[BACKEND_PREFIX + b"a"] = {"late": 0.5, "way": None}
    assert list(change_filter.changes(4, stored)) == [BACKEND_PREFIX + b"a"]
    assert (
        change_filter.changes(4 + HALF_LIFE, stored) == stored
    )  # rewritten: otherwise a value that is still current would age
    del stored[BACKEND_PREFIX + b"a"]
    assert change_filter.changes(5 + HALF_LIFE, stored) == {BACKEND_PREFIX + b"a": None}
    assert learned_state.differs({"a": 1}, {"b": 1}) and learned_state.differs(True, False)
    assert not learned_state.differs(0, 0.0)


def test_parts_of_unlisted_or_unknown_names_are_skipped():
    stored = stored_parts(trained_model(1))
    assert {ROUTER_KEY, LINK_KEY, VHOST_PREFIX + b"v"} <= set(stored)
    aged = aged_state(stored, 10**9, ["other"], {}, 4.0)
    assert aged["vhosts"] == [{}] and aged["bes"] == {}
    assert aged_state({}, 5, ["v"], {"c0": 3.0}, 4.0)["link"] == {}
