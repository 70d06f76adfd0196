"""What of the learned state is kept over a crash, and what of it holds after how long."""

import random

import msgspec
import pytest

from lilacloft.routing import snapshot
from lilacloft.store import learned
from lilacloft.store.learned import BE, DAY, HALF, LINK, MOMENT, TRUST, VHOST, WHOLE, Changes, aged, parts
from rigs.model import SEC, Model, settings

FIELDS = ("holds", "late", "suspect", "crowd")


def busy(seed):
    """A gateway's module that has learned something."""
    chance, model = random.Random(seed), Model(settings())
    bad = model.caches[1]
    for _ in range(150):
        request = model.ask(f"k{chance.randrange(30)}", kbytes=100.0 + chance.randrange(900))
        model.run(chance.randrange(1, 900))
        if model.out(request):
            if request.backend is bad and chance.random() < 0.8:
                model.end(request, "reset")
            else:
                model.end(request, "done", took=chance.randrange(50, 9000))
    return model


def kept(model):
    """Its parts as they are read from a store, all kept now."""
    data = msgspec.msgpack.encode(parts(snapshot.export_state(model.router, (), ()), ["v"]))
    return {
        key: (model.time, part) for key, part in msgspec.msgpack.decode(data, type=dict[bytes, dict]).items()
    }


def again(model, age=0, back=0):
    """Another process starts so long after; returns its model."""
    new = Model(settings())
    new.time = model.time + age - back
    backends = {backend.name: backend for backend in [*new.caches, *new.parents, new.origin]}
    starts = {
        name: backend.concurrency_limit.limit
        for name, backend in backends.items()
        if backend.concurrency_limit
    }
    snapshot.restore_state(
        new.router, aged(kept(model), new.time, ["v"], starts, new.router.link_limit.limit), backends
    )
    return new


@pytest.mark.parametrize("seed", range(20))
def test_at_once_all_that_was_learned_comes_back_and_later_it_fades_into_what_a_start_knows(seed):
    model = busy(seed)
    fresh, near = Model(settings()), again(model)
    for one, other, start in zip(model.caches, near.caches, fresh.caches, strict=True):
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
        for age in (HALF // 2, HALF, 3 * HALF, 20 * HALF):
            later = next(backend for backend in again(model, age).caches if backend.name == one.name)
            gap = abs(later.concurrency_limit.limit - start.concurrency_limit.limit)
            assert gap <= before + 1e-9 and later.late_fill_share <= one.late_fill_share
            before = gap
        assert before < 0.01 * start.concurrency_limit.limit
    assert (
        near.router.virtual_hosts[0].mean_transfer_time
        == model.router.virtual_hosts[0].mean_transfer_time
        != fresh.router.virtual_hosts[0].mean_transfer_time
    )
    assert (
        again(model, DAY + 1).router.virtual_hosts[0].mean_transfer_time
        == fresh.router.virtual_hosts[0].mean_transfer_time
    )


def test_a_limit_goes_half_of_its_way_back_in_each_half_life():
    told = {"limit": 2.0, "late": 0.4, "calm": 50, "ended": 40, "took": 3}
    assert learned.limit(told, 32.0, 100, 0)["limit"] == pytest.approx(2.0)
    assert learned.limit(told, 32.0, 100, HALF) == {
        "limit": pytest.approx(8.0),
        "late": 0.2,
        "calm": 50,
        "ended": 40,
        "took": 3,
    }
    assert learned.limit(told, 32.0, 100, 2 * HALF)["limit"] == pytest.approx(16.0)
    assert learned.limit(told, 32.0, 100, DAY + 1)["limit"] == 32.0
    ahead = learned.limit({**told, "calm": 10 * TRUST, "ended": 900}, 32.0, 100, 0)
    assert ahead["calm"] == 100 + TRUST and ahead["ended"] == 100


def test_a_suspicion_holds_until_its_next_trial_and_never_beyond_trust():
    told = {
        "started": 0,
        "holds": 4.0,
        "late": 0.5,
        "suspect": True,
        "retry_at": 500,
        "backoff": 90,
        "crowd": 7.0,
        "way": None,
    }
    got = learned.backend(told, 10.0, 400, 100)
    assert (got["suspect"], got["retry_at"], got["backoff"], got["crowd"]) == (True, 500, 90, 7.0)
    assert "suspect" not in learned.backend(told, 10.0, 500, 100)
    assert "suspect" not in learned.backend({**told, "retry_at": 10**9}, 10.0, 400, TRUST + 1)
    assert learned.backend({**told, "retry_at": 10**9}, 10.0, 400, 0)["retry_at"] == 400 + TRUST
    assert "crowd" not in learned.backend(told, 10.0, 400, MOMENT + 1) and got["holds"] == 4.0


def test_a_clock_put_back_leaves_only_what_holds_for_a_day():
    model = busy(3)
    back, fresh = again(model, back=5 * SEC), Model(settings())
    assert back.router.virtual_hosts[0].mean_transfer_time == model.router.virtual_hosts[0].mean_transfer_time
    for one, start in zip(back.caches, fresh.caches, strict=True):
        assert (
            one.concurrency_limit.limit == pytest.approx(start.concurrency_limit.limit)
            and not one.ejected
            and one.late_fill_share < 1e-9
        )


def test_the_first_reqs_after_a_crash_pass_over_a_cache_that_was_silent_before():
    def first(model):
        return [model.ask(f"n{key}").backend for key in range(40)]

    model = Model(settings())
    bad = model.caches[2]
    bad.ejected, bad.retry_at, bad.backoff = True, model.time + 20 * SEC, 4 * SEC
    assert any(backend and backend.name == bad.name for backend in first(Model(settings())))
    assert not any(backend and backend.name == bad.name for backend in first(again(model, SEC)))


def test_only_what_has_changed_is_kept_again_and_what_is_gone_goes():
    changes, told = Changes(), {WHOLE: {"value": 1.0}, BE + b"a": {"late": 0.5, "way": {"limit": 3.0}}}
    assert changes.since(0, told) == told and changes.since(1, told) == {}
    told[BE + b"a"] = {"late": 0.5, "way": {"limit": 3.1}}
    assert changes.since(2, told) == {}  # noise
    told[BE + b"a"] = {"late": 0.5, "way": {"limit": 3.3}}
    assert list(changes.since(3, told)) == [BE + b"a"]
    told[BE + b"a"] = {"late": 0.5, "way": None}
    assert list(changes.since(4, told)) == [BE + b"a"]
    assert changes.since(4 + HALF, told) == told  # young again, else it would fade while it holds
    del told[BE + b"a"]
    assert changes.since(5 + HALF, told) == {BE + b"a": None}
    assert learned.differs({"a": 1}, {"b": 1}) and learned.differs(True, False)
    assert not learned.differs(0, 0.0)


def test_parts_of_what_is_listed_no_more_or_not_known_are_passed_over():
    told = kept(busy(1))
    assert {WHOLE, LINK, VHOST + b"v"} <= set(told)
    got = aged(told, 10**9, ["other"], {}, 4.0)
    assert got["vhosts"] == [{}] and got["bes"] == {}
    assert aged({}, 5, ["v"], {"c0": 3.0}, 4.0)["link"] == {}
