"""Settings of other operators: random valid ones, checked against the reference model of the rules, and
invalid ones."""

import copy
import json
import os
import random
import signal

import pytest

from lilacloft import settings_validation
from lilacloft.cli import run as cli
from lilacloft.protocol_settings import from_protocol
from rigs.model import SEC, Model
from rigs.stands import ENV, World, serves

MS = 10**6  # nanoseconds
OUTCOMES = ["done"] * 8 + [
    "error",
    "full",
    "timeout",
    "unreached",
    "reset",
    "spoilt",
    "unsent",
    "miss",
    "hang",
]


def valid_settings(seed):
    """Return random valid settings, some at the ends of their ranges, under the operators' names."""
    chance = random.Random(seed)
    pick, env = chance.choice, copy.deepcopy(ENV)
    count = chance.randrange(1, 6)
    env["classes"] = []
    for number in range(count):
        class_settings = {
            "name": f"class {number}",
            "promiseNs": pick([1, 50, 400, 20_000]) * MS,
            "deadlineNs": pick([20, 300, 3000, 60_000]) * MS,
            "gain": pick([0, 0.01, 1, 500]),
            "repeat": pick(["repeatable", "by_key", "once"]),
        }
        for name, values in (
            ("aimStretch", [None, 0, 2.5, 40.0]),
            ("dedupScope", ["all", "zone", "cell"]),
            ("repeatWindowNs", [None, 0, 1, 200 * MS, 60_000 * MS]),
        ):
            if chance.random() < 0.8:
                class_settings[name] = pick(values)
        env["classes"].append(class_settings)
    env.update(
        balancers=pick([1, 2, 300]),
        discovery=pick(["automatic", "subscribe"]),
        slotNo=pick([0, 7, 299]),
        granularityNs=pick([0, 1, 2 * MS, 50 * MS]),
        weightSource=pick(["silent", "nominal", "rough"]),
    )
    env["stats"]["names"] = pick([[], ["inflight", "util"], ["util", "x0", "inflight"], ["queue"]])
    zone = pick([1, 2, 300])
    env["familyInfo"].update(
        zoneBalancers=[zone, 0],
        paceKbPerS=pick([1.0, 4000.0, 1e6]),
        joins=pick([True, False]),
        passThroughOk=pick([True, False]),
        purgeDoneNs=pick([0, 6000 * MS]),
        parentFloor=pick([0, 0.06, 1.0]),
        parentWarmsInNs=pick([0, 20_000 * MS]),
        parentBreaksAt=pick([1.0, 2.0, 9.0]),
        parentKind=pick([-1, 2, 2]),
        freshForNs=[pick([0, 1, 8000 * MS]) for _ in range(count)],
        staleForNs=[pick([0, 2000 * MS]) for _ in range(count)],
        passOn=[pick([True, False]) for _ in range(count)],
    )
    for name in ("feedKbPerS", "freshForNs", "staleForNs", "passOn"):
        if chance.random() < 0.2:
            del env["familyInfo"][name]
    env["limits"].update(
        maxAttempts=pick([1, 2, 6, 100]),
        cancel=pick([True, False]),
        probes=pick([True, False]),
        retryAfter=pick([True, False]),
        maxRetryAfterNs=pick([0, 500 * MS]),
        streamsPerConn=pick([0, 1, 32]),
        connectTimeoutNs=pick([1 * MS, 400 * MS, 5000 * MS]),
        keepaliveNs=pick([0, 1000 * MS, 60_000 * MS]),
    )
    env["obligations"].update(
        startCapacity=pick([0, 0.2, 1.0]),
        coldNs=pick([0, 15_000 * MS]),
        tipMultiple=pick([1.0, 2.0, 6.0]),
        fallNs=pick([100 * MS, 1000 * MS]),
        answerSlackNs=pick([1 * MS, 8 * MS]),
    )
    return env


def play(seed, steps=150):
    chance, config = (
        random.Random(seed),
        from_protocol(settings_validation.with_defaults(valid_settings(seed))),
    )
    config["family"].update(parent_kind=1 if config["family"]["parent_kind"] >= 0 else -1, source_kind=2)
    model = Model(config, parents=2 if config["family"]["parent_kind"] >= 0 else 0)
    asked, open_reqs, vhosts = [], [], config["vhosts"]
    for _ in range(steps):
        model.run(chance.choice([5, 50, 300, 2000]))
        open_reqs = [request for request in open_reqs if not request.finished or model.out(request)]
        doing = chance.random()
        if doing < 0.55:
            for _ in range(chance.choice([1, 1, 1, 30])):
                vhost = chance.randrange(len(vhosts))
                left = min(vhosts[vhost]["client_timeout"], chance.choice([10, 300, SEC, 4 * SEC]))
                size = chance.choice([0.0, 400.0]) if config["weight_source"] == "silent" else 400.0
                open_reqs.append(
                    model.ask(f"k{chance.randrange(20)}", chance.randrange(3), size, vhost, left, 1)
                )
                asked.append(open_reqs[-1])
        elif doing < 0.85 and open_reqs:
            request, outcome = chance.choice(open_reqs), chance.choice(OUTCOMES)
            if model.out(request) and outcome != "hang":
                if request.finished:
                    model.end(request, "cancelled" if config["limits"]["cancel"] else outcome, final=False)
                elif model.time <= request.deadline:
                    model.end(request, outcome, took=chance.randrange(5, 6000))
        elif doing < 0.9 and open_reqs:
            request = chance.choice(open_reqs)  # its client may have left undetected
            if not request.finished and chance.random() < 0.5:
                model.router.client_half_closed(request, model.time)
            else:
                model.gone[request] = model.time  # not known to the router until it asks
        elif doing < 0.95:
            backend = chance.choice(model.caches + model.parents)
            model.list(
                "delta",
                [(backend, chance.choice([0, 1, 1, 2]), chance.choice([0, model.time, model.time - SEC]))],
            )
        else:
            key, age = chance.choice(["", f"k{chance.randrange(20)}"]), chance.randrange(3000)
            model.purges.append((key, 1, model.time - age))
            model.router.object_purged(key, 1, age)
    model.run(max(vhost["client_timeout"] for vhost in vhosts) + SEC)
    for request in asked:
        if model.out(request):
            model.end(request, "timeout", final=False)
    return model, asked


@pytest.mark.parametrize("seed", range(150))
def test_rules_hold_with_any_valid_settings_and_nothing_is_left_open(seed):
    model, asked = play(seed)
    assert model.wrong == []
    assert [request for request, _ in model.finals if request not in asked] == [] and len(
        model.finals
    ) == len(asked)
    router = model.router
    assert not any(
        backend.requests
        or backend.in_flight_load
        or backend.canary
        or (backend.concurrency_limit and backend.concurrency_limit.in_flight)
        for backend in router.pools.backends
    )
    assert router.link_limit.in_flight == 0


def test_the_random_settings_send_and_reach_all_outcomes():
    """Guards the test above: its random settings send requests and reach all outcomes."""
    models = [play(seed)[0] for seed in range(150)]
    assert sum(len(model.sends) > 20 for model in models) > 75
    outcomes = {entry[4] for model in models for past in model.history.values() for entry in past}
    assert outcomes >= set(OUTCOMES) - {"hang"} | {"cancelled"}
    assert sum(any(len(past) > 1 for past in model.history.values()) for model in models) > 40


@pytest.mark.parametrize("seed", range(1000, 1012))
def test_a_gateway_with_any_valid_settings_answers_on_sockets(seed, tmp_path):
    env = valid_settings(seed)
    world = World(tmp_path, (serves(b"ok"),), changes=lambda told: (told.clear(), told.update(env)))
    try:
        asker = world.asker()
        for number, one in enumerate(env["classes"]):
            tag = asker.ask(one["name"].encode(), key=number, allow=2000, replay=f"{number:032x}")
            told = asker.answer()
            assert told[0] == tag and told[1] in (b"200", b"503", b"500")
        asker.sock.close()
        code, printed = world.stop()
        assert code == 0 and "faults=" not in printed and "held: \n" in printed
    finally:
        world.close()


def paths():
    """Yield each known setting as (path, name, form, default)."""
    yield from (((), name, *told) for name, told in settings_validation.SETTINGS.items())
    yield from ((("classes", 1), name, *told) for name, told in settings_validation.CLASS_SETTINGS.items())
    for part, table in settings_validation.NESTED_SETTINGS.items():
        yield from (((part,), name, *told) for name, told in table.items())


def settings_at(env, path):
    for step in path:
        env = env[step]
    return env


@pytest.mark.parametrize("way, name, form, instead", paths())
def test_an_invalid_setting_is_named(way, name, form, instead):
    path = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in way)
    for bad in (object(), [object()], "", -2, float("nan")):
        env = copy.deepcopy(ENV)
        settings_at(env, way)[name] = bad
        with pytest.raises(ValueError, match=f"settings{path}.{name}: ".replace("[", r"\[")):
            settings_validation.with_defaults(env)
    env = copy.deepcopy(ENV)
    for nothing in (lambda part: part.pop(name, None), lambda part: part.update({name: None})):
        nothing(settings_at(env, way))
        if instead in (settings_validation.REQUIRED, settings_validation.REQUIRED_ON_SOCKETS):
            with pytest.raises(ValueError, match=f"settings{path} lacks {name}".replace("[", r"\[")):
                settings_validation.with_defaults(env)
        else:
            assert settings_at(settings_validation.with_defaults(env), way)[name] == instead


@pytest.mark.parametrize(
    "change, told",
    [
        (lambda env: env.update(zone=2), r"settings.zone: 2 is no place in zones"),
        (lambda env: env["familyInfo"].update(sourceKind=4), r"settings.familyInfo.sourceKind: 4"),
        (lambda env: env["familyInfo"].update(zoneBalancers=[]), r"zoneBalancers: has no entry for zone 0"),
        (
            lambda env: env["familyInfo"].update(freshForNs=[1]),
            r"familyInfo.freshForNs: 1 entries for 2 classes",
        ),
        (lambda env: env["classes"][1].update(name="clip"), r"classes\[1\].name: clip is another class's"),
    ],
)
def test_inconsistent_settings_are_named(change, told):
    env = copy.deepcopy(ENV)
    change(env)
    with pytest.raises(ValueError, match=told):
        settings_validation.with_defaults(env)


def test_unknown_and_null_settings_are_ignored_and_others_kept():
    env = copy.deepcopy(ENV)
    env["classes"][0].update(aimStretch=None, mood="blue")
    env["novel"] = {"x": 1}
    before = copy.deepcopy(env)
    completed = settings_validation.with_defaults(env)
    assert env == before and completed["novel"] == {"x": 1} and completed["classes"][0]["mood"] == "blue"
    assert completed["classes"][0]["aimStretch"] == 0.0 and completed["classes"][1] == env["classes"][1]


@pytest.mark.parametrize(
    "change, told",
    [
        (lambda config: config.pop("changelog"), "the configuration lacks changelog"),
        (
            lambda config: config.update(changelog="nowhere"),
            "the configuration.changelog: host:port is wanted",
        ),
        (
            lambda config: config.update(listen="127.0.0.1:99999"),
            "the configuration.listen: host:port is wanted",
        ),
        (lambda config: config["limits"].update(sockets="x"), "limits.sockets: a whole number"),
        (lambda config: config["limits"].pop("memory_mb"), "limits lacks memory_mb"),
        (lambda config: config["known"].update(seq=-1), "known.seq: "),
        (
            lambda config: config["settings"]["classes"][1].update(repeat="never"),
            "settings.classes[1].repeat: ",
        ),
    ],
)
def test_a_bad_configuration_at_sighup_is_reported_and_the_old_one_kept(change, told, tmp_path, capsys):
    world = World(tmp_path, (serves(b"ok"),))
    try:
        good = world.path.read_text()
        bad = json.loads(good)
        change(bad)
        world.path.write_text(json.dumps(bad))
        os.kill(world.process.pid, signal.SIGHUP)
        line = world.process.stderr.readline()
        assert "the old configuration stays" in line and told in line
        asker = world.asker()
        tag = asker.ask()
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        assert cli(["check", "--config", str(world.path)]) == 2
        assert told in capsys.readouterr().err
    finally:
        world.close()
