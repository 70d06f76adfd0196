"""Tests of the control plane: each module, then emulated fleets with planners and gateways in virtual
time."""

import dataclasses
import random

import pytest

from lilacloft.control import allocation
from lilacloft.control.allocation import Capacities, Demand, allocate, allocate_greedily
from lilacloft.control.backend_stats import BackendState
from lilacloft.control.explanation import explain
from lilacloft.control.fleet_state import ListedBackend, SiteSettings
from lilacloft.control.follower import Follower, FollowerSettings
from lilacloft.control.health_aggregation import (
    CANARY_TURN,
    MAX_OBSERVATION_AGE,
    MIN_VERDICT_TIME,
    HealthAggregator,
    Observation,
    canary_turns,
)
from lilacloft.control.leader_lease import LeaderElection, PlanId, PlanLease
from lilacloft.control.messages import (
    GossipMessage,
    LoadReport,
    Plan,
    PlanReply,
    QuotaLease,
    QuotaRequest,
    apply_delta,
    diff,
)
from lilacloft.control.planner import PLAN_DURATION, Planner
from lilacloft.control.quota import MAX_LEASE
from lilacloft.control.quota_client import REQUEST_TIMEOUT
from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.faults import draw, parse
from lilacloft.emulator.fleet import run
from lilacloft.emulator.planes import PlannedFleet, PlannerFault, troubles
from lilacloft.emulator.worlds import READS, SECOND, World
from lilacloft.membership import table as members
from lilacloft.membership.table import (
    ALIVE,
    DEAD,
    DEAD_AFTER,
    FORGET_AFTER,
    LEFT,
    SUSPECT,
    SUSPECT_AFTER,
    MemberRow,
    MemberTable,
    preferred_planner,
)

HEALTHY, FAILING = Observation(in_time=9), Observation(failed=5)

# --- membership ---


def test_silent_member_is_suspected_then_dead_unless_another_planner_hears_it():
    table = MemberTable("p0", 1)
    assert table.record_heartbeat("f1", "forwarder", 1, 0).member.state == ALIVE
    assert table.expire(SUSPECT_AFTER - 1) == []
    assert [change.member.state for change in table.expire(SUSPECT_AFTER)] == [SUSPECT]
    assert table.alive("forwarder") == ["f1"]
    row = MemberRow("f1", "forwarder", 1, 0, "", 500, ALIVE)  # heard by another planner 50 ms ago
    assert [change.member.state for change in table.merge([row], SUSPECT_AFTER + 10)] == [ALIVE]
    states = [change.member.state for change in table.expire(SUSPECT_AFTER + 10 - 500 + DEAD_AFTER)]
    assert states == [DEAD] and table.alive("forwarder") == []
    table.expire(SUSPECT_AFTER + DEAD_AFTER + FORGET_AFTER)
    assert not table.members


def test_restart_is_a_new_process_and_older_incarnations_are_ignored():
    table = MemberTable("p0", 1)
    table.record_heartbeat("f1", "forwarder", 1, 0)
    change = table.record_heartbeat("f1", "forwarder", 2, 10)
    assert change.is_new_process and change.member.incarnation == 2
    assert table.record_heartbeat("f1", "forwarder", 1, 20) is None and table.members["f1"].incarnation == 2
    assert table.record_leave("f1", 1, 30) is None and table.record_leave("f1", 2, 30).member.state == LEFT
    assert (
        table.record_heartbeat("f1", "forwarder", 2, 40) is None
        and table.record_heartbeat("f1", "forwarder", 3, 40).is_new_process
    )


def test_suspected_planner_refutes_with_a_higher_incarnation():
    table = MemberTable("p0", 4)
    table.merge([MemberRow("p0", "planner", 4, 0, "", 90_000, SUSPECT)], 0)
    assert table.incarnation == 5 and table.refutations == 1
    table.merge(
        [MemberRow("p0", "planner", 3, 0, "", 90_000, DEAD), MemberRow("x", "planner", 1, 0, "", -5, ALIVE)],
        0,
    )
    assert table.incarnation == 5 and "x" not in table.members


def test_reader_keeps_a_consistent_version_of_the_table():
    table = MemberTable("p0", 1)
    table.record_heartbeat("f1", "forwarder", 1, 0)
    version = table.members
    table.record_heartbeat("f2", "forwarder", 1, 0)
    table.record_leave("f1", 1, 0)
    assert list(version) == ["f1"] and version["f1"].state == ALIVE and len(table.members) == 2


@pytest.mark.parametrize("seed", range(40))
def test_tables_converge_by_gossip_in_any_order(seed):
    rng, now = random.Random(seed), 10_000
    tables = [MemberTable(f"p{number}", 1) for number in range(3)]
    incarnations = dict.fromkeys("abcd", 1)
    for _ in range(60):
        now += rng.randrange(400)
        name = rng.choice("abcd")
        incarnations[name] += rng.random() < 0.1
        rng.choice(tables).record_heartbeat(name, members.FORWARDER, incarnations[name], now)
        table, peer = rng.sample(tables, 2)
        peer.merge(table.export_rows(now), now)
    for _ in range(3):
        for table in tables:
            for peer in tables:
                if table is not peer:
                    peer.merge(table.export_rows(now), now)
    views = [
        {
            name: (row.incarnation, row.last_heartbeat)
            for name, row in table.members.items()
            if name in incarnations
        }
        for table in tables
    ]
    assert views[0] == views[1] == views[2]
    assert all(incarnation <= incarnations[name] for name, (incarnation, _) in views[0].items())


# --- leader election and plan leases ---


def test_first_planner_of_a_majority_leads_and_each_term_has_a_higher_epoch():
    names = ("p0", "p1", "p2")
    first, second = LeaderElection("p0", names), LeaderElection("p1", names)
    assert not first.update([]) and not first.is_leader
    assert first.update(["p1"]) and first.next_plan_id() == PlanId(1, 1, "p0")
    second.observe_epoch(1)
    assert (
        not second.update(["p0", "p2"])
        and second.update(["p2"])
        and second.next_plan_id() == PlanId(2, 1, "p1")
    )
    first.observe_epoch(2)  # the first planner has rejoined
    first.update(["p1", "p2"])
    assert first.next_plan_id() == PlanId(3, 1, "p0") and first.next_plan_id() == PlanId(3, 2, "p0")
    assert (
        not LeaderElection("p1", names, 7).update([])
        and preferred_planner({"a": (1, 9), "b": (2, 1), "c": (2, 1)}) == "b"
    )
    assert preferred_planner({}) == ""


def test_plan_lease_counts_from_the_request_and_late_old_or_duplicate_plans_are_rejected():
    lease = PlanLease()
    assert lease.accept(PlanId(1, 1, "p0"), 1_000, 30_000, 2_000) and lease.is_valid(30_900)
    assert not lease.is_valid(31_000)
    assert not lease.accept(PlanId(1, 1, "p0"), 5_000, 30_000, 6_000) and lease.is_valid(
        34_900
    )  # the same plan again
    assert lease.accept(PlanId(2, 1, "p1"), 6_000, 30_000, 6_100)
    assert not lease.accept(PlanId(1, 9, "p0"), 7_000, 30_000, 7_100)  # from an earlier epoch
    assert not lease.accept(PlanId(2, 2, "p1"), 7_000, 30_000, 40_000)  # too late
    assert lease.plan_id == PlanId(2, 1, "p1") and lease.rejected == 2 and not lease.is_valid(36_000)
    assert str(PlanId()) == "0.0 of nobody"


# --- health aggregation ---


def evaluate(observations, now=100_000, aggregator=None):
    aggregator = aggregator or HealthAggregator()
    for name, by_backend in observations.items():
        aggregator.record(name, by_backend, now)
    return aggregator, {
        backend for backend, verdict in aggregator.evaluate(now).items() if verdict.is_ejected
    }


def test_quorum_of_the_gateways_with_data_decides():
    observations = {f"f{number}": {"a": FAILING if number < 3 else HEALTHY} for number in range(6)}
    assert evaluate(observations)[1] == {"a"}
    assert evaluate({**observations, "f2": {"a": HEALTHY}})[1] == set()
    assert evaluate({"f0": {"a": FAILING}})[1] == set()  # a single gateway does not eject for all
    # the second gateway has too little data to vote
    assert evaluate({"f0": {"a": FAILING}, "f1": {"a": Observation(failed=1)}})[1] == set()
    assert evaluate({"f0": {"a": FAILING}, "f1": {"a": Observation(is_ejected=True)}})[1] == {"a"}


def test_gateway_that_reports_most_backends_as_failing_is_distrusted():
    healthy = {f"f{number}": {backend: HEALTHY for backend in "abcdef"} for number in range(4)}
    all_failing = {backend: FAILING for backend in "abcdef"}
    aggregator, ejected = evaluate({**healthy, "f9": all_failing})
    assert ejected == set() and aggregator.distrusted == {"f9": 1.0}
    aggregator, ejected = evaluate(
        {
            **healthy,
            "f8": all_failing,
            "f9": all_failing,
            "f0": {**healthy["f0"], "c": FAILING},
            "f1": {**healthy["f1"], "c": FAILING},
            "f2": {**healthy["f2"], "c": FAILING},
        }
    )
    assert ejected == {"c"} and set(aggregator.distrusted) == {"f8", "f9"}  # others still vote


def test_verdicts_have_a_minimum_duration_and_old_observations_do_not_count():
    aggregator, ejected = evaluate({"f0": {"a": FAILING}, "f1": {"a": FAILING}})
    assert ejected == {"a"}
    healthy = {"f0": {"a": HEALTHY}, "f1": {"a": HEALTHY}}
    assert evaluate(healthy, 100_000 + MIN_VERDICT_TIME - 1, aggregator)[1] == {"a"}
    assert evaluate(healthy, 100_000 + MIN_VERDICT_TIME, aggregator)[1] == set()
    aggregator, _ = evaluate({"f0": {"a": FAILING}, "f1": {"a": FAILING}})
    assert {
        backend
        for backend, verdict in aggregator.evaluate(100_000 + MAX_OBSERVATION_AGE + MIN_VERDICT_TIME).items()
        if verdict.is_ejected
    } == {"a"}
    aggregator.forget_gateway("f0")
    aggregator.retain([])
    assert not aggregator.observations and not aggregator.verdicts
    assert aggregator.votes("a", 100_000) == {}


def test_one_gateway_at_a_time_sends_canaries_to_an_ejected_backend():
    senders = {canary_turns(["a"], ["f0", "f1", "f2"], turn * CANARY_TURN)["a"][0] for turn in range(3)}
    assert senders == {"f0", "f1", "f2"} and canary_turns(["a"], [], 5) == {}
    assert (
        canary_turns(["a", "b"], ["f0", "f1"], 0)["a"][0] != canary_turns(["a", "b"], ["f0", "f1"], 0)["b"][0]
    )


# --- allocation ---


def random_demands(rng):
    parents = [f"p{number}" for number in range(rng.randrange(1, 4))]
    demands = {}
    for zone in range(rng.randrange(1, 5)):
        for vhost in ("map", "clip", "old"):
            demands[str(zone), vhost] = Demand(
                rng.uniform(0, 100),
                rng.choice([0.5, 1.0, 3.0]),
                dict.fromkeys(parents, 1 / len(parents)),
                rng.random(),
            )
    capacities = Capacities(
        {str(zone): rng.uniform(20, 200) for zone in range(5)},
        {name: rng.uniform(20, 200) for name in parents},
        rng.uniform(20, 200),
    )
    return demands, capacities


def assert_within(demands, capacities, rates):
    for resource, row in allocation.resource_usage(demands).items():
        used = sum(share * rates[key] for key, share in row.items())
        assert used <= capacities.of(resource) * 1.00001 + 1e-6
    assert all(-1e-9 <= rates[key] <= demands[key].rate + 1e-9 for key in demands)


@pytest.mark.parametrize("seed", range(60))
def test_solver_respects_capacities_and_is_no_worse_than_greedy_or_random_allocations(seed):
    rng = random.Random(seed)
    demands, capacities = random_demands(rng)
    best, greedy = allocate(demands, capacities), allocate_greedily(demands, capacities)
    assert_within(demands, capacities, best.rates)
    assert_within(demands, capacities, greedy.rates)
    assert best.method == "highs" and best.value >= greedy.value - 1e-6
    for _ in range(200):  # no nearby feasible point has a higher value
        other = {
            key: min(demands[key].rate, max(0.0, rate + rng.gauss(0, 5))) for key, rate in best.rates.items()
        }
        try:
            assert_within(demands, capacities, other)
        except AssertionError:
            continue
        assert allocation.total_value(demands, other) <= best.value * 1.0001 + 1e-3


def test_allocation_changes_only_for_a_significant_gain():
    demands = {("0", "a"): Demand(60.0, 1.0), ("0", "b"): Demand(60.0, 1.001)}
    capacities = Capacities({"0": 60.0}, {}, 1e9)
    previous = {("0", "a"): 60.0, ("0", "b"): 0.0}
    assert allocate(demands, capacities, previous).rates == pytest.approx(previous)
    assert allocate(demands, capacities).rates["0", "b"] == pytest.approx(60.0)
    more_valuable = {**demands, ("0", "b"): Demand(60.0, 2.0)}
    assert allocate(more_valuable, capacities, previous).rates["0", "b"] == pytest.approx(60.0)
    assert allocate({}, capacities).rates == {}


def test_greedy_allocation_is_used_when_the_solver_times_out(monkeypatch):
    demands, capacities = random_demands(random.Random(3))
    import highspy

    monkeypatch.setattr(highspy.Highs, "getModelStatus", lambda self: highspy.HighsModelStatus.kTimeLimit)
    allocated = allocate(demands, capacities)
    assert allocated.method == "greedy" and allocated.rates == allocate_greedily(demands, capacities).rates


# --- plan deltas ---


@pytest.mark.parametrize("seed", range(30))
def test_delta_applied_to_its_base_gives_the_new_plan(seed):
    rng = random.Random(seed)

    def random_plan(number):
        return Plan(
            PlanId(1, number, "p"),
            number,
            {f"b{rng.randrange(5)}": "why" for _ in range(3)},
            {f"b{rng.randrange(5)}": f"f{rng.randrange(3)}"},
            {"b1": rng.choice([1.0, 2.0])},
            {0: rng.choice([5.0, 6.0])},
            {f"f{number}": 0.5 for number in range(rng.randrange(4))},
            {0: ("f0",)},
        )

    before, after = random_plan(1), random_plan(2)
    assert apply_delta(before, diff(before, after)) == after
    assert apply_delta(after, diff(before, after)) is None
    assert not diff(before, before).changes


# --- planner and gateway ---

SITE = SiteSettings(("p0", "p1", "p2"), 4000.0, {0: 40_000.0})


def make_planner(name="p0", others=("p1", "p2"), backends=8, cold=(), now=0, number=1):
    made = Planner(name, 1, SITE)
    made.update_backends(
        [ListedBackend(f"b{index}", 0, "cache", True, f"b{index}" in cold) for index in range(backends)],
        number,
    )
    for other in others:
        made.receive_gossip(GossipMessage(other, 1, 0, 0), now)
    made.tick(now)
    return made


def make_follower(name="f0", now=0, own_share=0.25, **more):
    return Follower(FollowerSettings(name, 1, 0, ("p0", "p1", "p2"), 10_000, own_share), now, **more)


def exchange_report(gateway, planner, now, delay=0):
    """Send one load report and receive its reply."""
    return gateway.receive_reply(
        planner.receive_report(gateway.make_report(planner.name, now), now), now + delay
    )


def test_backend_failing_at_most_gateways_is_ejected_by_all_and_gets_canaries_from_one():
    planner, gateways = make_planner(), [make_follower(f"f{number}") for number in range(4)]
    for gateway in gateways[:3]:
        for _ in range(3):
            gateway.record_attempt("b1", "failed")
    for gateway in gateways:
        exchange_report(gateway, planner, 10)
    planner.tick(2_500)
    for gateway in gateways:
        assert exchange_report(gateway, planner, 2_600)
    effects = [gateway.effect(2_700) for gateway in gateways]
    assert all(set(effect.ejections) == {"b1"} for effect in effects)
    assert sorted(effect.ejections["b1"] == 0 for effect in effects) == [False, False, False, True]
    assert "is ejected: 3 of 3" in "\n".join(explain(planner, "b1", 2_700))
    assert "f0 reports it as failing" in explain(planner, "b1", 2_700)


def test_expired_plan_does_not_apply_and_newer_list_changes_override_a_plan():
    planner, gateway, other_gateway = make_planner(), make_follower("f0"), make_follower("f1")
    for each in (gateway, other_gateway):
        each.record_attempt("b1", "failed")
        each.record_attempt("b1", "failed")
        exchange_report(each, planner, 10)
    planner.tick(2_500)
    exchange_report(gateway, planner, 2_600)
    assert set(gateway.effect(2_700).ejections) == {"b1"}
    gateway.update_list(["b1"], 5, [], 2_800)  # the change log has an event for it, such as a restart
    assert gateway.effect(2_900).ejections == {}
    assert (
        gateway.effect(2_600 + PLAN_DURATION).plan_id == PlanId()
        and gateway.effect(2_600 + PLAN_DURATION - 100).plan_id != PlanId()
    )


@pytest.mark.parametrize("planners_number", [1, 50])
@pytest.mark.parametrize("gateways_number", [2, 90])
def test_a_plan_of_an_older_list_is_told_by_numbers_of_two_counts(planners_number, gateways_number):
    """Guards against a plan that says something of a backend that has changed since, and against one that
    never does again: the events of a planner and of a gateway have numbers of their own."""
    planner, gateways = make_planner(), [make_follower(f"f{number}") for number in range(2)]
    planner.update_backends(planner.backends.values(), planners_number)

    def everybody_reports(now):
        for each in gateways:
            each.now = now
            for _ in range(2):
                each.record_attempt("b1", "failed")
            exchange_report(each, planner, now)

    everybody_reports(10)
    planner.tick(2_500)
    gateway = gateways[0]
    everybody_reports(2_600)
    assert set(gateway.effect(2_700).ejections) == {"b1"}
    gateway.update_list(["b1"], gateways_number, [], 2_800)
    everybody_reports(5_000)  # the planner has not heard of the change
    assert gateway.effect(5_100).ejections == {}
    planner.update_backends(planner.backends.values(), planners_number + 1)
    planner.tick(7_500)
    everybody_reports(7_600)
    assert set(gateway.effect(7_700).ejections) == {"b1"}
    gateway.update_list(["b1"], gateways_number + 1, [], 7_800)  # an event that the planner had before
    for now in range(10_000, 90_000, 2_500):
        planner.receive_gossip(GossipMessage("p1", 1, 0, 0), now)
        planner.tick(now)
        everybody_reports(now)
    assert set(gateway.effect(87_600).ejections) == {"b1"}


def test_backends_are_not_ejected_if_more_than_half_of_a_location_fails():
    planner, gateways = make_planner(backends=4), [make_follower(f"f{number}") for number in range(3)]
    for gateway in gateways:
        for backend in ("b0", "b1", "b2"):
            gateway.record_attempt(backend, "failed")
            gateway.record_attempt(backend, "failed")
        exchange_report(gateway, planner, 10)
    planner.tick(2_500)
    assert planner.plan.ejections == {} and "as most backends of its kind fail" in "\n".join(
        explain(planner, "b0", 2_600)
    )
    assert "not in the backend list" in "\n".join(explain(planner, "b9", 1))


def test_plan_is_sent_in_full_once_then_as_deltas_and_stale_messages_are_ignored():
    planner, gateway = make_planner(), make_follower()
    reply = planner.receive_report(gateway.make_report("p0", 10), 10)
    assert reply.plan is not None and reply.is_first and gateway.receive_reply(reply, 20)
    assert not gateway.receive_reply(reply, 30) and gateway.lease.expires_at > 20
    second_reply = planner.receive_report(gateway.make_report("p0", 2_500), 2_500)
    assert (
        second_reply.plan is None
        and second_reply.delta.changes == {}
        and not gateway.receive_reply(second_reply, 2_510)
    )
    assert gateway.lease.expires_at > 2_500 + PLAN_DURATION - 100
    for each in (gateway, make_follower("f1")):
        each.record_attempt("b1", "failed")
        each.record_attempt("b1", "failed")
        planner.receive_report(each.make_report("p0", 3_000), 3_000)
    planner.tick(5_000)
    update = planner.receive_report(gateway.make_report("p0", 5_010), 5_010)
    assert gateway.receive_reply(update, 5_020) and "b1" in gateway.effect(5_030).ejections
    assert not gateway.receive_reply(
        dataclasses.replace(update, number=99), 5_040
    )  # replies to an unknown report
    stale = gateway.make_report("p0", 5_050)
    gateway.make_report("p0", 5_060)
    planner.receive_report(dataclasses.replace(stale, number=50), 5_070)
    assert planner.receive_report(stale, 5_080).plan is None and planner.stale_reports == 1


def test_two_lending_planners_never_exceed_the_budget_of_a_cold_backend():
    """Each planner considers itself the only one; gateways report to both."""
    planners = [make_planner(f"p{number}", (), cold=("b1",)) for number in range(2)]
    gateways = [make_follower(f"f{number}", own_share=0.25) for number in range(4)]
    history = []
    for turn in range(80):
        now = turn * 2_500
        for index, gateway in enumerate(gateways):
            gateway.update_list([], 1, ["b1"], now)
            gateway.quota.update_used({"b1": 1.0 if index == 0 else 0.0})
            for planner in planners:
                exchange_report(gateway, planner, now, 40)
        history.append([gateway.quota.ledgers["b1"].usable(now + 50) for gateway in gateways])
        window = history[-5:]  # longer than the quota window
        assert sum(max(shares[index] for shares in window) for index in range(4)) <= 1 + 1e-9
    assert max(shares[0] for shares in history) > 0.4  # the gateway with demand has more than its own share
    assert sum(planner.quota.lent for planner in planners) > 0


def test_restarted_gateway_does_not_use_shares_that_its_predecessor_may_have_lent():
    restarted_gateway = make_follower(now=1_000, restarted=True)
    restarted_gateway.update_list([], 1, ["b1"], 1_000)
    assert restarted_gateway.effect(1_000 + MAX_LEASE).budget_factors == {"b1": 0.0}
    assert restarted_gateway.effect(1_000 + MAX_LEASE + 20_000).budget_factors == {"b1": 1.0}
    fresh = make_follower(now=1_000)
    fresh.update_list([], 1, ["b1"], 1_000)
    assert fresh.effect(1_000).budget_factors == {"b1": 1.0}
    fresh.update_list([], 2, [], 2_000)
    assert fresh.effect(2_000).budget_factors == {}


def test_shares_stay_lent_when_their_backend_restarts():
    """A draining backend counted as warm for a moment: its ledger was dropped, and lent shares were used by
    two gateways."""
    gateway = make_follower(now=0, own_share=0.5)
    gateway.update_list([], 1, ["b1"], 0)
    lease = gateway.quota.lend(QuotaRequest(1, "b1", 0.4, 50_000), 100)
    gateway.update_list(["b1"], 2, [], 200)
    gateway.update_list(["b1"], 3, ["b1"], 300)
    assert gateway.effect(400).budget_factors["b1"] == pytest.approx((0.5 - lease.share) / 0.5)
    gateway.update_list([], 4, [], 100_000)  # all shares have returned
    assert gateway.effect(100_001).budget_factors == {}


def test_unrequested_leases_are_ignored():
    planner, gateway = make_planner(cold=("b1",)), make_follower()
    gateway.update_list([], 1, ["b1"], 0)
    report = dataclasses.replace(
        gateway.make_report("p0", 10), quota_leases=(QuotaLease(7, "b1", 0.2, 0, 50_000),)
    )
    planner.receive_report(report, 10)
    assert planner.quota.borrowed == 0
    number = gateway.make_report("p0", 20).number
    gateway.receive_reply(PlanReply("p0", 1, number, quota_leases=(QuotaLease(9, "b1", 0.5, 0, 50_000),)), 30)
    assert gateway.quota.ledgers["b1"].usable(20_000) == 0.25
    assert planner.receive_report(
        LoadReport("f9", 1, 1, quota_requests=(QuotaRequest(1, "b7", 0.5, 50_000),)), 40
    ).quota_leases == (QuotaLease(1, "b7"),)


def test_limits_are_divided_by_gateway_share_and_revalidations_by_turn():
    planner, gateways = make_planner(backends=4), [make_follower(f"f{number}") for number in range(2)]
    for index, gateway in enumerate(gateways):
        gateway.load.request_rate, gateway.load.fill_rates, gateway.load.values_per_kb = (
            30.0 * (1 + 2 * index),
            {"clip": 40_000.0},
            {"clip": 1.0},
        )
        for _ in range(6):
            gateway.record_attempt("b0", "late")
        gateway.update_state("b0", BackendState(3, False, 6.0))
        exchange_report(gateway, planner, 10)
    planner.tick(2_500)
    for gateway in gateways:
        exchange_report(gateway, planner, 2_600)
    effects = [gateway.effect(2_700) for gateway in gateways]
    assert effects[0].concurrency_limits["b0"] + effects[1].concurrency_limits["b0"] == pytest.approx(
        12.0, rel=0.05
    )
    assert (
        effects[0].concurrency_limits["b0"] < effects[1].concurrency_limits["b0"]
        and effects[0].fill_limit < effects[1].fill_limit
    )
    assert [effect.revalidation_turn for effect in effects] == [(0, 2), (1, 2)]
    assert sum(planner.plan.gateway_shares.values()) == pytest.approx(1.0)


def test_planner_without_a_majority_makes_no_plans_and_a_leaving_gateway_is_forgotten():
    planner, gateway = make_planner(others=()), make_follower()
    assert planner.receive_report(gateway.make_report("p0", 10), 10).plan is None and not planner.tick(20)
    assert "is not the leader" in explain(planner, "b0", 30)[0]
    planner.receive_report(dataclasses.replace(gateway.make_report("p0", 40), is_leaving=True), 40)
    assert planner.gateways == {} and planner.table.members["f0"].state == LEFT
    assert gateway.preferred_planner(10) == "p0" and REQUEST_TIMEOUT > 0


# --- emulated fleets with planners ---

WORLD = World(
    "wide",
    caches=8,
    gateways=8,
    parents=2,
    span=5 * SECOND,
    habits=dataclasses.replace(READS, rate=160.0, objects=400),
)
FAULTS = (
    "(at 1s (cold (cache 1))) (at 1s (drain (cache 2)) (for 2s)) "
    "(at 1500ms (silent (cache 3)) (for 2s)) (at 2s (purge (group 1) 3))"
)
PLANNER_FAULTS = {
    "one planner stops": [PlannerFault("kill", 0, SECOND, 2 * SECOND)],
    "all planners stop": [PlannerFault("kill", number, SECOND, 3 * SECOND) for number in range(3)],
    "all planners stop for good": [
        PlannerFault("kill", number, SECOND // 2, 90 * SECOND) for number in range(3)
    ],
    "planners are partitioned": [PlannerFault("split", 0, SECOND, 3 * SECOND)],
    "one planner is cut off from gateways": [PlannerFault("cut", 0, SECOND, 3 * SECOND)],
    "one planner has an outdated list": [PlannerFault("old", 0, SECOND // 2, 4 * SECOND)],
    "all planners restart at once": [PlannerFault("kill", number, 500, SECOND) for number in range(3)],
}


@pytest.mark.parametrize("case", sorted(PLANNER_FAULTS))
def test_planner_faults_break_no_rule_and_cost_little_value(case):
    for seed in (1, 2):
        without_planners = run(WORLD, seed, parse(FAULTS))
        fleet = PlannedFleet(WORLD, seed, parse(FAULTS), troubles=PLANNER_FAULTS[case])
        result = fleet.run()
        assert not result.breaches and fleet.issued
        assert result.worth > without_planners.worth - 0.02
        assert all(gateway.follower.plans for gateway in fleet.gateways)


def test_clock_offsets_and_gateway_restarts_break_no_rule():
    faults = parse(
        FAULTS + "(at 0s (clock (gateway 1) 1.0) (for 5s)) (at 2s (restart (gateway 0)))"
        "(at 2s (stop (gateway 2)) (for 1s)) (at 2s (restart (gateway 3)))"
    )
    for seed in range(3):
        assert (
            not PlannedFleet(WORLD, seed, faults, troubles=PLANNER_FAULTS["planners are partitioned"])
            .run()
            .breaches
        )


@pytest.mark.parametrize("block", range(3))
def test_random_faults_of_backends_and_planners_break_no_rule(block):
    world = dataclasses.replace(WORLD, span=3 * SECOND, habits=dataclasses.replace(WORLD.habits, rate=100.0))
    for seed in range(block * 6, block * 6 + 6):
        faults = draw(RandomStreams(seed).stream("faults"), world.sizes(), world.span, 4)
        planner_faults = troubles(RandomStreams(seed).stream("troubles"), 3, world.span, 4)
        result = PlannedFleet(world, seed, faults, troubles=planner_faults).run()
        assert not result.breaches, (
            seed,
            [str(fault) for fault in faults],
            planner_faults,
            result.breaches[:2],
        )


def test_same_seed_gives_the_same_run_with_planners():
    first, second = (
        PlannedFleet(WORLD, 4, parse(FAULTS), troubles=PLANNER_FAULTS["planners are partitioned"])
        for _ in range(2)
    )
    assert first.run() == second.run() and first.issued == second.issued


def test_gateways_of_a_location_share_one_update_with_only_its_entries():
    """With 1,000 gateways in 40 locations, sending full plans to each took 15 MB/s."""
    planner = Planner("p0", 1, SiteSettings(("p0",), 4000.0, {0: 40_000.0, 1: 40_000.0}))
    planner.update_backends(
        [ListedBackend(f"z{zone}b{index}", zone, "cache") for zone in (0, 1) for index in range(4)], 1
    )
    gateways = [
        Follower(FollowerSettings(f"f{number}", 1, number % 2, ("p0",), 10_000, 0.25), 0)
        for number in range(6)
    ]
    planner.tick(0)
    for gateway in gateways:
        for backend in ("z0b1", "z1b2"):
            gateway.record_attempt(backend, "failed")
            gateway.record_attempt(backend, "failed")
        planner.receive_report(gateway.make_report("p0", 10), 10)
    planner.tick(2_500)
    replies = [planner.receive_report(gateway.make_report("p0", 2_600), 2_600) for gateway in gateways]
    assert [set(reply.plan.ejections) for reply in replies] == [{"z0b1"}, {"z1b2"}] * 3
    assert set(replies[0].plan.gateway_shares) == {"f0", "f2", "f4"} and replies[0].plan is replies[2].plan
    for gateway, reply in zip(gateways, replies, strict=True):
        assert gateway.receive_reply(reply, 2_610)
    for gateway in gateways:
        gateway.record_attempt("z0b3", "failed")
        gateway.record_attempt("z0b3", "failed")
        planner.receive_report(gateway.make_report("p0", 5_000), 5_000)
    planner.tick(5_010)
    updates = [planner.receive_report(gateway.make_report("p0", 5_020), 5_020) for gateway in gateways]
    assert all(reply.plan is None or reply.plan.ejections for reply in updates)
    for gateway, reply in zip(gateways, updates, strict=True):
        gateway.receive_reply(reply, 5_030)
        assert ("z0b3" in gateway.effect(5_040).ejections) == (gateway.settings.zone == 0)
