"""The decisions of an upgrade: every order of messages and deaths; the supervisor beside a plain model."""

import itertools
import random

import pytest

from lilacloft.handover import phases
from lilacloft.handover.phases import Coming, Leaving, room
from lilacloft.handover.watchdog import MOST, Watch

OWN, ALLOWED = {"memory_mb": 40.0, "sockets": 100.0}, {"memory_mb": 192.0, "sockets": 1024.0}


class Ways:
    """Writes down what the phases do, with a clock of its own."""

    def __init__(self):
        self.time, self.did, self.phases, self.answered = 0.0, [], [], False

    def now(self):
        return self.time

    def heard(self):
        return self.answered

    def report(self, phase, why, took):
        self.phases.append((phase, why))

    def __getattr__(self, name):
        return lambda *told, **more: self.did.append((name, *told, *more.values()))


def leaving(mode="whole", **limits):
    ways = Ways()
    one = Leaving(ways, limits)
    assert one.asked(mode, OWN, ALLOWED) == ""
    return one, ways


STEPS = [
    lambda one: one.hello(True),
    lambda one: one.ready(),
    lambda one: one.turn(),
    lambda one: one.have(),
    lambda one: one.taken(),
    lambda one: one.remains(True, True),
]
NAMES = [
    phases.STARTING,
    phases.WARMING,
    phases.READY,
    phases.TAKING,
    phases.COMMITTED,
    phases.LETTING_GO,
    phases.GONE,
]


def test_the_phases_follow_each_other_and_end_the_old_process_once():
    one, ways = leaving()
    for step in STEPS:
        step(one)
    assert [phase for phase, _ in ways.phases] == NAMES
    assert [did[0] for did in ways.did] == ["start", "warm", "take", "commit", "let_go", "end"]
    one.lost("its channel has ended")
    one.stop()
    assert one.phase == phases.GONE and ways.did[-1] == ("end",)


@pytest.mark.parametrize("far", range(6))
@pytest.mark.parametrize("how", ["lost", "late", "stop"])
def test_whatever_fails_at_a_phase_the_old_process_goes_on(far, how):
    """What it serves with: all, up to `committed`; without what went over, after `taken`. A signal to end
    ends the upgrade before the commit, and leaves it alone after."""
    one, ways = leaving(letting_go=5.0)
    for step in STEPS[:far]:
        step(one)
    before, here = list(ways.did), one.phase
    if how == "late":
        ways.time += 1000
        one.tick()
    elif how == "stop":
        one.stop()
    else:
        one.lost("the new process ended with code 1")
    did = ways.did[len(before) :]
    if how == "stop" and here in (phases.COMMITTED, phases.LETTING_GO):
        assert one.phase == here and not did
        return
    assert one.phase == phases.IDLE and [name for name, *_ in did][:2] == ["dismiss", "kill"]
    after = [entry for entry in did if entry[0] == "go_on"]
    began = here in (phases.TAKING, phases.COMMITTED, phases.LETTING_GO)
    assert after == ([("go_on", here == phases.LETTING_GO)] if began else [])
    assert here.replace("_", " ") in ways.phases[-1][1]
    if how != "stop":
        assert one.asked("whole", OWN, ALLOWED) == ""  # and the next may begin


def test_one_that_answered_commit_before_it_ended_had_been_the_gateway():
    one, ways = leaving()
    for step in STEPS[:4]:
        step(one)
    assert one.phase == phases.COMMITTED
    ways.answered = True
    one.lost("nothing came in time")
    assert ("go_on", True) in ways.did and one.phase == phases.IDLE


@pytest.mark.parametrize(
    "far, wrong",
    [(far, wrong) for far, wrong in itertools.product(range(5), range(5)) if far != wrong and wrong != 2],
)
def test_a_new_process_that_says_what_nobody_asked_is_dismissed(far, wrong):
    one, ways = leaving()
    for step in STEPS[:far]:
        step(one)
    STEPS[wrong](one)
    assert one.phase == phases.IDLE and ("kill",) in ways.did


def test_two_at_once_no_room_no_sense_and_a_gateway_that_ends_are_refused_untouched():
    one, ways = leaving()
    assert "another upgrade is starting" in one.asked("whole", OWN, ALLOWED)
    one.lost("over")
    before = list(ways.did)
    assert "no room" in one.asked("whole", {"memory_mb": 95.0, "sockets": 10}, ALLOWED)
    assert "no room" in one.asked("whole", {"memory_mb": 9.0, "sockets": 500}, ALLOWED)
    assert "unknown mode" in one.asked("fast", OWN, ALLOWED)
    one.stop()
    assert "about to end" in one.asked("whole", OWN, ALLOWED)
    assert ways.did == before and one.phase == phases.IDLE


def test_room_counts_both_processes():
    assert room({"memory_mb": 91.0, "sockets": 496}, ALLOWED) == ""
    assert "memory_mb" in room({"memory_mb": 92.0, "sockets": 10}, ALLOWED)
    assert "sockets" in room({"memory_mb": 10.0, "sockets": 497}, ALLOWED)


def test_one_that_cannot_hold_open_reqs_is_handed_what_is_free():
    one, ways = leaving()
    one.hello(False, "form 1 cannot hold open reqs")
    assert one.mode == phases.DRAIN and "form 1" in ways.phases[-1][1]
    one, _ = leaving("drain")
    one.hello(True)
    assert one.mode == phases.DRAIN


def test_what_stays_too_long_is_given_up_and_then_left():
    one, ways = leaving(letting_go=4.0)
    for step in STEPS[:5]:
        step(one)
    one.remains(False, True)
    assert one.phase == phases.LETTING_GO  # the new one has not said that it serves
    one.remains(True, False)
    assert ("cut",) not in ways.did
    ways.time += 4.0
    one.remains(True, False)
    assert ways.did[-1] == ("cut",) and one.phase == phases.LETTING_GO
    one.remains(True, False)
    assert one.phase == phases.LETTING_GO
    ways.time += phases.FAREWELL
    one.remains(True, False)
    assert one.phase == phases.GONE


# --- both sides together ---


class Pair:
    """Both machines with a channel of messages between them, either of which may die before any step. What is
    on the way when one dies still arrives, as the kernel has it."""

    def __init__(self):
        self.old, self.new = Leaving(self), Coming()
        self.to_new, self.to_old = [], []
        self.old_lives = self.new_lives = True
        self.touched = 0  # how often the new one began to read and write
        self.went_on = None  # how the old one goes on
        self.old.asked("whole", OWN, ALLOWED)
        self.stage = "hello"

    def now(self):
        return 0.0

    def report(self, phase, why, took):
        pass

    def start(self):
        pass

    def warm(self):
        self.to_new.append("warm")

    def take(self, mode):
        self.to_new.append("state")

    def commit(self):
        self.to_new.append("commit")

    def go_on(self, emptied):
        self.went_on = "emptied" if emptied else "whole"

    def let_go(self, mode):
        pass

    def end(self):
        self.old_lives = False

    def cut(self):
        pass

    def dismiss(self, why):
        self.to_new.append("dismiss")

    def kill(self):
        self.new_lives = False

    def heard(self):
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
            if self.to_old or not self.new_lives or self.old.phase == phases.READY:
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
            if self.stage != "serving" and self.new.broken(False):
                self.stage, self.touched = "serving", self.touched + 1
            elif self.stage != "serving":
                self.new_lives = False
        else:
            said = self.to_new.pop(0)
            if said == "warm":
                self.to_old.append("ready")
            elif said == "state":
                self.new.state()
                self.to_old.append("have")
            elif said == "dismiss":
                self.new.dismissed("")
                self.new_lives = self.new.gateway
            elif said == "commit" and self.new.commit():
                self.to_old.append("taken")
                self.stage, self.touched = "serving", self.touched + 1

    def old_acts(self):
        if self.to_old:
            said = self.to_old.pop(0)
            {
                "hello": lambda: self.old.hello(True),
                "ready": self.old.ready,
                "have": self.old.have,
                "taken": self.old.taken,
            }[said]()
        elif not self.new_lives:
            self.old.lost("ended")
        elif self.old.phase == phases.READY:
            self.old.turn()

    def gateways(self):
        """Who reads and writes now."""
        out = []
        if self.old_lives and self.old.phase not in (
            phases.TAKING,
            phases.COMMITTED,
            phases.LETTING_GO,
            phases.GONE,
        ):
            out.append("old")
        if self.new_lives and self.new.gateway and self.stage == "serving":
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
        new.holds,
        new.gateway,
        new.over,
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
    new = Coming()
    new.state()
    assert not new.broken(old_lives=True) and new.over
    new = Coming()
    assert not new.broken(old_lives=False)  # without the state there is nothing to go on with
    new = Coming()
    new.state()
    new.dismissed("no")
    assert not new.commit() and not new.broken(False)


# --- the supervisor ---


class Hands:
    def __init__(self):
        self.time, self.next, self.signals, self.code, self.starts = 0.0, 100, [], None, []

    def now(self):
        return self.time

    def start(self):
        self.next += 1
        self.starts.append(self.time)
        return self.next

    def signal(self, pid, name):
        self.signals.append((pid, name))

    def leave(self, code):
        assert self.code is None
        self.code = code

    def log(self, text):
        pass


def watch():
    hands = Hands()
    one = Watch(hands)
    one.begin()
    return one, hands


def test_a_successor_is_followed_and_the_old_workers_end_is_nobodys_business():
    one, hands = watch()
    one.says(101)
    one.says(555)  # an upgrade
    one.ended(101, 0)
    assert hands.code is None and hands.starts == [0.0]
    one.asked("HUP")
    one.asked("USR1")
    assert hands.signals == [(555, "HUP"), (555, "USR1")]
    one.ended(555, 0)
    assert hands.code == 0


def test_a_worker_that_dies_is_started_again_at_once_and_one_that_never_serves_more_and_more_rarely():
    one, hands = watch()
    one.says(101)
    hands.time = 5.0
    one.ended(101, -9)
    assert hands.starts == [0.0, 5.0]
    for _ in range(MOST):
        one.ended(hands.next, 1)
        hands.time += one.wait() if hands.code is None else 0
        one.tick()
    gaps = [after - before for before, after in zip(hands.starts, hands.starts[1:], strict=False)][1:]
    assert gaps == sorted(gaps) and gaps[0] > 0 and hands.code is None
    one.ended(hands.next, 1)
    assert hands.code == 1


def test_an_unusable_configuration_ends_the_first_start_only():
    one, hands = watch()
    one.ended(101, 2)
    assert hands.code == 2
    one, hands = watch()
    one.says(101)
    one.ended(101, -6)
    hands.time += one.wait()
    one.tick()
    one.ended(hands.next, 2)  # the file was spoilt since: it is tried again
    assert hands.code is None and one.wait() > 0


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_told_to_stop_it_reaches_whoever_is_the_gateway(when):
    one, hands = watch()
    one.says(101)
    if when == "before":
        one.asked("TERM")
        assert hands.signals == [(101, "TERM")]
        one.ended(101, 0)
    elif when == "during":  # the successor tells of itself after the signal went to the old one
        one.asked("TERM")
        one.says(555)
        one.ended(101, 0)
        assert hands.signals == [(101, "TERM"), (555, "TERM")] and hands.code is None
        one.ended(555, 0)
    else:
        one.ended(101, -9)
        assert len(hands.starts) == 1  # it lived for no second
        one.asked("TERM")
    assert hands.code == 0


def test_on_generated_events_the_supervisor_never_has_two_workers_or_none_for_long():
    """Beside a plain model: the workers alive, by what was started, handed over, and ended."""
    for seed in range(300):
        chance = random.Random(seed)
        one, hands = watch()
        alive, told = {hands.next}, set()
        for _ in range(60):
            hands.time += chance.choice([0.0, 0.1, 2.0])
            gateway = one.gateway
            doing = chance.random()
            if gateway in alive and doing < 0.5:
                one.says(gateway)
                told.add(gateway)
            elif gateway in alive and gateway in told and doing < 0.7:
                hands.next += 1
                alive = {hands.next}
                one.says(hands.next)
                told.add(hands.next)
                one.ended(gateway, 0)
            elif gateway in alive:
                alive.discard(gateway)
                one.ended(gateway, chance.choice([-9, 1, -11]))
            if hands.code is not None:
                break
            if not alive:
                hands.time += one.wait()
                one.tick()
            if hands.code is None:
                assert one.gateway or one.wait() <= 8.0
                alive = {one.gateway} - {0}
        assert hands.code in (None, 1)
