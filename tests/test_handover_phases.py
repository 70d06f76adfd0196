"""The decisions of an upgrade: every order of messages and deaths; the supervisor beside a plain model."""

import itertools
import random

import pytest

from lilacloft.handover.phases import (
    FLUSH_SECONDS,
    HandoverMode,
    Phase,
    ReceiverStateMachine,
    SenderStateMachine,
)
from lilacloft.handover.resources import ResourceUsage, missing_capacity
from lilacloft.handover.watchdog import MAX_FAILED_STARTS, WorkerWatchdog

OWN, ALLOWED = ResourceUsage(memory_mb=40.0, sockets=100), {"memory_mb": 192.0, "sockets": 1024.0}


class Actions:
    """Writes down what the phases do, with a clock of its own."""

    def __init__(self):
        self.time, self.did, self.phases, self.answered = 0.0, [], [], False

    def now(self):
        return self.time

    def was_acknowledged(self):
        return self.answered

    def report_phase(self, phase, reason, previous_phase_seconds):
        self.phases.append((phase, reason))

    def __getattr__(self, name):
        return lambda *told, **more: self.did.append((name, *told, *more.values()))


def leaving(mode="whole", **limits):
    actions = Actions()
    one = SenderStateMachine(actions, limits)
    assert one.upgrade_requested(mode, OWN, ALLOWED) == ""
    return one, actions


STEPS = [
    lambda one: one.hello_received(True),
    lambda one: one.ready_received(),
    lambda one: one.begin_transfer(),
    lambda one: one.state_restored(),
    lambda one: one.commit_acknowledged(),
    lambda one: one.check_drained(True, True),
]
NAMES = [
    Phase.STARTING,
    Phase.WARMING,
    Phase.READY,
    Phase.TRANSFERRING,
    Phase.COMMITTED,
    Phase.DRAINING,
    Phase.DONE,
]


def test_the_phases_follow_each_other_and_end_the_old_process_once():
    one, actions = leaving()
    for step in STEPS:
        step(one)
    assert [phase for phase, _ in actions.phases] == NAMES
    assert [did[0] for did in actions.did] == [
        "start_receiver",
        "send_warm_up",
        "transfer_state",
        "send_commit",
        "drain",
        "exit",
    ]
    one.lost("its channel has ended")
    one.stop_requested()
    assert one.phase == Phase.DONE and actions.did[-1] == ("exit",)


@pytest.mark.parametrize("far", range(6))
@pytest.mark.parametrize("how", ["lost", "late", "stop"])
def test_whatever_fails_at_a_phase_the_old_process_goes_on(far, how):
    """What it serves with: all, up to `committed`; without what went over, after `taken`. A signal to end
    ends the upgrade before the commit, and leaves it alone after."""
    one, actions = leaving(letting_go=5.0)
    for step in STEPS[:far]:
        step(one)
    before, here = list(actions.did), one.phase
    if how == "late":
        actions.time += 1000
        one.check_time_limit()
    elif how == "stop":
        one.stop_requested()
    else:
        one.lost("the new process ended with code 1")
    did = actions.did[len(before) :]
    if how == "stop" and here in (Phase.COMMITTED, Phase.DRAINING):
        assert one.phase == here and not did
        return
    assert one.phase == Phase.IDLE and [name for name, *_ in did][:2] == ["dismiss_receiver", "kill_receiver"]
    after = [entry for entry in did if entry[0] == "resume"]
    began = here in (Phase.TRANSFERRING, Phase.COMMITTED, Phase.DRAINING)
    assert after == ([("resume", here == Phase.DRAINING)] if began else [])
    assert here.replace("_", " ") in actions.phases[-1][1]
    if how != "stop":
        assert one.upgrade_requested("whole", OWN, ALLOWED) == ""  # and the next may begin


def test_one_that_answered_commit_before_it_ended_had_been_the_gateway():
    one, actions = leaving()
    for step in STEPS[:4]:
        step(one)
    assert one.phase == Phase.COMMITTED
    actions.answered = True
    one.lost("nothing came in time")
    assert ("resume", True) in actions.did and one.phase == Phase.IDLE


@pytest.mark.parametrize(
    "far, wrong",
    [(far, wrong) for far, wrong in itertools.product(range(5), range(5)) if far != wrong and wrong != 2],
)
def test_a_new_process_that_says_what_nobody_asked_is_dismissed(far, wrong):
    one, actions = leaving()
    for step in STEPS[:far]:
        step(one)
    STEPS[wrong](one)
    assert one.phase == Phase.IDLE and ("kill_receiver",) in actions.did


def test_two_at_once_no_room_no_sense_and_a_gateway_that_ends_are_refused_untouched():
    one, actions = leaving()
    assert "another upgrade is starting" in one.upgrade_requested("whole", OWN, ALLOWED)
    one.lost("over")
    before = list(actions.did)
    assert "no room" in one.upgrade_requested("whole", ResourceUsage(95.0, 10), ALLOWED)
    assert "no room" in one.upgrade_requested("whole", ResourceUsage(9.0, 500), ALLOWED)
    assert "unknown mode" in one.upgrade_requested("fast", OWN, ALLOWED)
    one.stop_requested()
    assert "about to end" in one.upgrade_requested("whole", OWN, ALLOWED)
    assert actions.did == before and one.phase == Phase.IDLE


def test_room_counts_both_processes():
    assert missing_capacity(ResourceUsage(91.0, 496), ALLOWED) == ""
    assert "memory_mb" in missing_capacity(ResourceUsage(92.0, 10), ALLOWED)
    assert "sockets" in missing_capacity(ResourceUsage(10.0, 497), ALLOWED)


def test_one_that_cannot_hold_open_reqs_is_handed_what_is_free():
    one, actions = leaving()
    one.hello_received(False, "form 1 cannot hold open reqs")
    assert one.mode == HandoverMode.DRAIN and "form 1" in actions.phases[-1][1]
    one, _ = leaving("drain")
    one.hello_received(True)
    assert one.mode == HandoverMode.DRAIN


def test_what_stays_too_long_is_given_up_and_then_left():
    one, actions = leaving(letting_go=4.0)
    for step in STEPS[:5]:
        step(one)
    one.check_drained(False, True)
    assert one.phase == Phase.DRAINING  # the new one has not said that it serves
    one.check_drained(True, False)
    assert ("reject_open_requests",) not in actions.did
    actions.time += 4.0
    one.check_drained(True, False)
    assert actions.did[-1] == ("reject_open_requests",) and one.phase == Phase.DRAINING
    one.check_drained(True, False)
    assert one.phase == Phase.DRAINING
    actions.time += FLUSH_SECONDS
    one.check_drained(True, False)
    assert one.phase == Phase.DONE


# --- both sides together ---


class Pair:
    """Both machines with a channel of messages between them, either of which may die before any step. What is
    on the way when one dies still arrives, as the kernel has it."""

    def __init__(self):
        self.old, self.new = SenderStateMachine(self), ReceiverStateMachine()
        self.to_new, self.to_old = [], []
        self.old_lives = self.new_lives = True
        self.touched = 0  # how often the new one began to read and write
        self.went_on = None  # how the old one goes on
        self.old.upgrade_requested("whole", OWN, ALLOWED)
        self.stage = "hello"

    def now(self):
        return 0.0

    def report_phase(self, phase, reason, previous_phase_seconds):
        pass

    def start_receiver(self):
        pass

    def send_warm_up(self):
        self.to_new.append("warm")

    def transfer_state(self, mode):
        self.to_new.append("state")

    def send_commit(self):
        self.to_new.append("commit")

    def resume(self, transferred_is_lost):
        self.went_on = "emptied" if transferred_is_lost else "whole"

    def drain(self, mode):
        pass

    def exit(self):
        self.old_lives = False

    def reject_open_requests(self):
        pass

    def dismiss_receiver(self, reason):
        self.to_new.append("dismiss")

    def kill_receiver(self):
        self.new_lives = False

    def was_acknowledged(self):
        return "taken" in self.to_old

    def steps(self):
        """What may happen next."""
        out = []
        if self.new_lives:
            out.append("new dies")
            if self.stage == "hello" or self.to_new or not self.old_lives:
                out.append("new acts")
        if self.old_lives:
            out.append("old dies")
            if self.to_old or not self.new_lives or self.old.phase == Phase.READY:
                out.append("old acts")
        return out

    def step(self, what):
        if what == "new dies":
            self.new_lives = False
        elif what == "old dies":
            self.old_lives = False
        elif what == "new acts":
            self.new_acts()
        else:
            self.old_acts()

    def new_acts(self):
        if self.stage == "hello":
            self.stage = "warm"
            self.to_old.append("hello")
        elif not self.to_new:
            if self.stage != "serving" and self.new.channel_broken(False):
                self.stage, self.touched = "serving", self.touched + 1
            elif self.stage != "serving":
                self.new_lives = False
        else:
            said = self.to_new.pop(0)
            if said == "warm":
                self.to_old.append("ready")
            elif said == "state":
                self.new.state_restored()
                self.to_old.append("have")
            elif said == "dismiss":
                self.new.dismissed("")
                self.new_lives = self.new.is_gateway
            elif said == "commit" and self.new.commit_received():
                self.to_old.append("taken")
                self.stage, self.touched = "serving", self.touched + 1

    def old_acts(self):
        if self.to_old:
            said = self.to_old.pop(0)
            {
                "hello": lambda: self.old.hello_received(True),
                "ready": self.old.ready_received,
                "have": self.old.state_restored,
                "taken": self.old.commit_acknowledged,
            }[said]()
        elif not self.new_lives:
            self.old.lost("ended")
        elif self.old.phase == Phase.READY:
            self.old.begin_transfer()

    def gateways(self):
        """Who reads and writes now."""
        out = []
        if self.old_lives and self.old.phase not in (
            Phase.TRANSFERRING,
            Phase.COMMITTED,
            Phase.DRAINING,
            Phase.DONE,
        ):
            out.append("old")
        if self.new_lives and self.new.is_gateway and self.stage == "serving":
            out.append("new")
        return out


def explore(pair_of, path=(), seen=None):
    """All orders of steps, each from a fresh pair; yields every path with the pair at its end."""
    seen = set() if seen is None else seen
    pair = pair_of()
    for what in path:
        pair.step(what)
    new = pair.new
    place = (
        pair.old.phase,
        pair.stage,
        tuple(pair.to_new),
        tuple(pair.to_old),
        pair.old_lives,
        pair.new_lives,
        new.has_state,
        new.is_gateway,
        new.is_over,
        pair.went_on,
    )
    if place in seen:
        return
    seen.add(place)
    yield path, pair
    for what in pair.steps():
        if path.count("old dies") + path.count("new dies") + ("dies" in what) <= 2:
            yield from explore(pair_of, (*path, what), seen)


def test_in_every_order_of_messages_and_deaths_one_process_at_most_is_the_gateway():
    """And where one is left alive with what it needs, one is it in the end; what the old one goes on with
    whole, the new one has never touched."""
    ends = 0
    for path, pair in explore(Pair):
        assert len(pair.gateways()) <= 1, path
        if pair.went_on == "whole":
            assert not pair.touched, path
        if pair.steps() in ([], ["new dies"], ["old dies"]) or not pair.steps():
            ends += 1
            if pair.old_lives and not pair.new_lives:
                assert pair.gateways() == ["old"], path
            if pair.new_lives and not pair.old_lives:
                assert pair.gateways() == ["new"], path
    assert ends > 10


def test_an_old_process_that_is_there_but_says_nothing_keeps_the_new_one_out():
    new = ReceiverStateMachine()
    new.state_restored()
    assert not new.channel_broken(sender_lives=True) and new.is_over
    new = ReceiverStateMachine()
    assert not new.channel_broken(sender_lives=False)  # without the state there is nothing to go on with
    new = ReceiverStateMachine()
    new.state_restored()
    new.dismissed("no")
    assert not new.commit_received() and not new.channel_broken(False)


# --- the supervisor ---


class WatchdogActions:
    def __init__(self):
        self.time, self.next, self.signals, self.code, self.starts = 0.0, 100, [], None, []

    def now(self):
        return self.time

    def start_worker(self):
        self.next += 1
        self.starts.append(self.time)
        return self.next

    def send_signal(self, pid, name):
        self.signals.append((pid, name))

    def exit(self, code):
        assert self.code is None
        self.code = code

    def log(self, text):
        pass


def watch():
    actions = WatchdogActions()
    one = WorkerWatchdog(actions)
    one.start_first_worker()
    return one, actions


def test_a_successor_is_followed_and_the_old_workers_end_is_nobodys_business():
    one, actions = watch()
    one.worker_serving(101)
    one.worker_serving(555)  # an upgrade
    one.worker_exited(101, 0)
    assert actions.code is None and actions.starts == [0.0]
    one.signal_received("HUP")
    one.signal_received("USR1")
    assert actions.signals == [(555, "HUP"), (555, "USR1")]
    one.worker_exited(555, 0)
    assert actions.code == 0


def test_a_worker_that_dies_is_started_again_at_once_and_one_that_never_serves_more_and_more_rarely():
    one, actions = watch()
    one.worker_serving(101)
    actions.time = 5.0
    one.worker_exited(101, -9)
    assert actions.starts == [0.0, 5.0]
    for _ in range(MAX_FAILED_STARTS):
        one.worker_exited(actions.next, 1)
        actions.time += one.seconds_until_start() if actions.code is None else 0
        one.start_if_due()
    gaps = [after - before for before, after in zip(actions.starts, actions.starts[1:], strict=False)][1:]
    assert gaps == sorted(gaps) and gaps[0] > 0 and actions.code is None
    one.worker_exited(actions.next, 1)
    assert actions.code == 1


def test_an_unusable_configuration_ends_the_first_start_only():
    one, actions = watch()
    one.worker_exited(101, 2)
    assert actions.code == 2
    one, actions = watch()
    one.worker_serving(101)
    one.worker_exited(101, -6)
    actions.time += one.seconds_until_start()
    one.start_if_due()
    one.worker_exited(actions.next, 2)  # the file was spoilt since: it is tried again
    assert actions.code is None and one.seconds_until_start() > 0


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_told_to_stop_it_reaches_whoever_is_the_gateway(when):
    one, actions = watch()
    one.worker_serving(101)
    if when == "before":
        one.signal_received("TERM")
        assert actions.signals == [(101, "TERM")]
        one.worker_exited(101, 0)
    elif when == "during":  # the successor tells of itself after the signal went to the old one
        one.signal_received("TERM")
        one.worker_serving(555)
        one.worker_exited(101, 0)
        assert actions.signals == [(101, "TERM"), (555, "TERM")] and actions.code is None
        one.worker_exited(555, 0)
    else:
        one.worker_exited(101, -9)
        assert len(actions.starts) == 1  # it lived for no second
        one.signal_received("TERM")
    assert actions.code == 0


def test_on_generated_events_the_supervisor_never_has_two_workers_or_none_for_long():
    """Beside a plain model: the workers alive, by what was started, handed over, and ended."""
    for seed in range(300):
        chance = random.Random(seed)
        one, actions = watch()
        alive, told = {actions.next}, set()
        for _ in range(60):
            actions.time += chance.choice([0.0, 0.1, 2.0])
            gateway = one.gateway
            doing = chance.random()
            if gateway in alive and doing < 0.5:
                one.worker_serving(gateway)
                told.add(gateway)
            elif gateway in alive and gateway in told and doing < 0.7:
                actions.next += 1
                alive = {actions.next}
                one.worker_serving(actions.next)
                told.add(actions.next)
                one.worker_exited(gateway, 0)
            elif gateway in alive:
                alive.discard(gateway)
                one.worker_exited(gateway, chance.choice([-9, 1, -11]))
            if actions.code is not None:
                break
            if not alive:
                actions.time += one.seconds_until_start()
                one.start_if_due()
            if actions.code is None:
                assert one.gateway or one.seconds_until_start() <= 8.0
                alive = {one.gateway} - {0}
        assert actions.code in (None, 1)
