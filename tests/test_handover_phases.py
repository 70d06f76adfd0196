"""The state machines of a handover, with every order of messages and crashes; the workers' watchdog."""

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
    """Records the actions of a state machine, and has its own clock."""

    def __init__(self):
        self.time, self.calls, self.phases, self.acknowledged = 0.0, [], [], False

    def now(self):
        return self.time

    def was_acknowledged(self):
        return self.acknowledged

    def report_phase(self, phase, reason, previous_phase_seconds):
        self.phases.append((phase, reason))

    def __getattr__(self, name):
        return lambda *arguments, **options: self.calls.append((name, *arguments, *options.values()))


def started_sender(mode="whole", **limits):
    actions = Actions()
    machine = SenderStateMachine(actions, limits)
    assert machine.upgrade_requested(mode, OWN, ALLOWED) == ""
    return machine, actions


EVENTS = [
    lambda machine: machine.hello_received(True),
    lambda machine: machine.ready_received(),
    lambda machine: machine.begin_transfer(),
    lambda machine: machine.state_restored(),
    lambda machine: machine.commit_acknowledged(),
    lambda machine: machine.check_drained(True, True),
]
PHASES = [
    Phase.STARTING,
    Phase.WARMING,
    Phase.READY,
    Phase.TRANSFERRING,
    Phase.COMMITTED,
    Phase.DRAINING,
    Phase.DONE,
]


def test_phases_follow_each_other_and_the_sender_exits_once():
    machine, actions = started_sender()
    for step in EVENTS:
        step(machine)
    assert [phase for phase, _ in actions.phases] == PHASES
    assert [calls[0] for calls in actions.calls] == [
        "start_receiver",
        "send_warm_up",
        "transfer_state",
        "send_commit",
        "drain",
        "exit",
    ]
    machine.receiver_failed("the peer closed the channel")
    machine.stop_requested()
    assert machine.phase == Phase.DONE and actions.calls[-1] == ("exit",)


@pytest.mark.parametrize("steps_done", range(6))
@pytest.mark.parametrize("failure", ["lost", "late", "stop"])
def test_the_sender_resumes_whatever_fails_in_a_phase(steps_done, failure):
    """Up to `committed` it resumes everything, after the acknowledgement all but what was transferred.

    SIGTERM aborts the handover before the commit, but not after it."""
    machine, actions = started_sender(letting_go=5.0)
    for step in EVENTS[:steps_done]:
        step(machine)
    before, phase = list(actions.calls), machine.phase
    if failure == "late":
        actions.time += 1000
        machine.check_time_limit()
    elif failure == "stop":
        machine.stop_requested()
    else:
        machine.receiver_failed("the new process exited with code 1")
    calls = actions.calls[len(before) :]
    if failure == "stop" and phase in (Phase.COMMITTED, Phase.DRAINING):
        assert machine.phase == phase and not calls
        return
    assert machine.phase == Phase.IDLE and [name for name, *_ in calls][:2] == [
        "dismiss_receiver",
        "kill_receiver",
    ]
    resumed = [call for call in calls if call[0] == "resume"]
    transfer_began = phase in (Phase.TRANSFERRING, Phase.COMMITTED, Phase.DRAINING)
    assert resumed == ([("resume", phase == Phase.DRAINING)] if transfer_began else [])
    assert phase.replace("_", " ") in actions.phases[-1][1]
    if failure != "stop":
        assert machine.upgrade_requested("whole", OWN, ALLOWED) == ""  # another may begin


def test_a_receiver_that_acknowledged_commit_before_it_ended_was_the_gateway():
    machine, actions = started_sender()
    for step in EVENTS[:4]:
        step(machine)
    assert machine.phase == Phase.COMMITTED
    actions.acknowledged = True
    machine.receiver_failed("no message arrived in time")
    assert ("resume", True) in actions.calls and machine.phase == Phase.IDLE


@pytest.mark.parametrize(
    "steps_done, wrong",
    [
        (steps_done, wrong)
        for steps_done, wrong in itertools.product(range(5), range(5))
        if steps_done != wrong and wrong != 2
    ],
)
def test_a_receiver_that_sends_an_unexpected_message_is_dismissed(steps_done, wrong):
    machine, actions = started_sender()
    for step in EVENTS[:steps_done]:
        step(machine)
    EVENTS[wrong](machine)
    assert machine.phase == Phase.IDLE and ("kill_receiver",) in actions.calls


def test_an_upgrade_is_refused_if_one_runs_or_resources_lack_or_the_mode_is_unknown_or_the_gateway_stops():
    machine, actions = started_sender()
    assert "another upgrade is in progress (phase: starting)" in machine.upgrade_requested(
        "whole", OWN, ALLOWED
    )
    machine.receiver_failed("over")
    before = list(actions.calls)
    assert "insufficient resources" in machine.upgrade_requested("whole", ResourceUsage(95.0, 10), ALLOWED)
    assert "insufficient resources" in machine.upgrade_requested("whole", ResourceUsage(9.0, 500), ALLOWED)
    assert "unknown mode" in machine.upgrade_requested("fast", OWN, ALLOWED)
    machine.stop_requested()
    assert "shutting down" in machine.upgrade_requested("whole", OWN, ALLOWED)
    assert actions.calls == before and machine.phase == Phase.IDLE


def test_capacity_is_needed_for_both_processes():
    assert missing_capacity(ResourceUsage(91.0, 496), ALLOWED) == ""
    assert "memory_mb" in missing_capacity(ResourceUsage(92.0, 10), ALLOWED)
    assert "sockets" in missing_capacity(ResourceUsage(10.0, 497), ALLOWED)


def test_a_receiver_that_cannot_continue_open_requests_gets_idle_connections():
    machine, actions = started_sender()
    machine.hello_received(False, "state version 1 cannot contain open requests")
    assert machine.mode == HandoverMode.DRAIN and "state version 1" in actions.phases[-1][1]
    machine, _ = started_sender("drain")
    machine.hello_received(True)
    assert machine.mode == HandoverMode.DRAIN


def test_what_is_open_at_the_end_of_draining_is_rejected_before_the_sender_exits():
    machine, actions = started_sender(letting_go=4.0)
    for step in EVENTS[:5]:
        step(machine)
    machine.check_drained(False, True)
    assert machine.phase == Phase.DRAINING  # the receiver has not reported that it serves
    machine.check_drained(True, False)
    assert ("reject_open_requests",) not in actions.calls
    actions.time += 4.0
    machine.check_drained(True, False)
    assert actions.calls[-1] == ("reject_open_requests",) and machine.phase == Phase.DRAINING
    machine.check_drained(True, False)
    assert machine.phase == Phase.DRAINING
    actions.time += FLUSH_SECONDS
    machine.check_drained(True, False)
    assert machine.phase == Phase.DONE


# --- both sides together ---


class Pair:
    """Both state machines, connected by message queues; either process may crash before any step.

    Messages that were sent before a crash still arrive, as on a socket."""

    def __init__(self):
        self.sender, self.receiver = SenderStateMachine(self), ReceiverStateMachine()
        self.to_receiver, self.to_sender = [], []
        self.sender_lives = self.receiver_lives = True
        self.serving_starts = 0  # how often the receiver began to read and write
        self.resumed_with = None  # by the sender: "whole", or "remaining" without what was transferred
        self.sender.upgrade_requested("whole", OWN, ALLOWED)
        self.stage = "hello"

    def now(self):
        return 0.0

    def report_phase(self, phase, reason, previous_phase_seconds):
        pass

    def start_receiver(self):
        pass

    def send_warm_up(self):
        self.to_receiver.append("warm_up")

    def transfer_state(self, mode):
        self.to_receiver.append("state")

    def send_commit(self):
        self.to_receiver.append("commit")

    def resume(self, transferred_is_lost):
        self.resumed_with = "remaining" if transferred_is_lost else "whole"

    def drain(self, mode):
        pass

    def exit(self):
        self.sender_lives = False

    def reject_open_requests(self):
        pass

    def dismiss_receiver(self, reason):
        self.to_receiver.append("dismiss")

    def kill_receiver(self):
        self.receiver_lives = False

    def was_acknowledged(self):
        return "acknowledged" in self.to_sender

    def steps(self):
        """Return the steps that are possible next."""
        possible = []
        if self.receiver_lives:
            possible.append("receiver crashes")
            if self.stage == "hello" or self.to_receiver or not self.sender_lives:
                possible.append("receiver acts")
        if self.sender_lives:
            possible.append("sender crashes")
            if self.to_sender or not self.receiver_lives or self.sender.phase == Phase.READY:
                possible.append("sender acts")
        return possible

    def step(self, what):
        if what == "receiver crashes":
            self.receiver_lives = False
        elif what == "sender crashes":
            self.sender_lives = False
        elif what == "receiver acts":
            self.receiver_acts()
        else:
            self.sender_acts()

    def receiver_acts(self):
        if self.stage == "hello":
            self.stage = "warm_up"
            self.to_sender.append("hello")
        elif not self.to_receiver:
            if self.stage != "serving" and self.receiver.channel_broken(False):
                self.stage, self.serving_starts = "serving", self.serving_starts + 1
            elif self.stage != "serving":
                self.receiver_lives = False
        else:
            message = self.to_receiver.pop(0)
            if message == "warm_up":
                self.to_sender.append("ready")
            elif message == "state":
                self.receiver.state_restored()
                self.to_sender.append("state_restored")
            elif message == "dismiss":
                self.receiver.dismissed("")
                self.receiver_lives = self.receiver.is_gateway
            elif message == "commit" and self.receiver.commit_received():
                self.to_sender.append("acknowledged")
                self.stage, self.serving_starts = "serving", self.serving_starts + 1

    def sender_acts(self):
        if self.to_sender:
            message = self.to_sender.pop(0)
            {
                "hello": lambda: self.sender.hello_received(True),
                "ready": self.sender.ready_received,
                "state_restored": self.sender.state_restored,
                "acknowledged": self.sender.commit_acknowledged,
            }[message]()
        elif not self.receiver_lives:
            self.sender.receiver_failed("ended")
        elif self.sender.phase == Phase.READY:
            self.sender.begin_transfer()

    def gateways(self):
        """Return the processes that read and write now."""
        serving = []
        if self.sender_lives and self.sender.phase not in (
            Phase.TRANSFERRING,
            Phase.COMMITTED,
            Phase.DRAINING,
            Phase.DONE,
        ):
            serving.append("sender")
        if self.receiver_lives and self.receiver.is_gateway and self.stage == "serving":
            serving.append("receiver")
        return serving


def explore(pair_of, path=(), seen=None):
    """Explore all orders of steps, each from a new pair; yields every path with the resulting pair."""
    seen = set() if seen is None else seen
    pair = pair_of()
    for what in path:
        pair.step(what)
    receiver = pair.receiver
    state = (
        pair.sender.phase,
        pair.stage,
        tuple(pair.to_receiver),
        tuple(pair.to_sender),
        pair.sender_lives,
        pair.receiver_lives,
        receiver.has_state,
        receiver.is_gateway,
        receiver.is_aborted,
        pair.resumed_with,
    )
    if state in seen:
        return
    seen.add(state)
    yield path, pair
    for what in pair.steps():
        if path.count("sender crashes") + path.count("receiver crashes") + ("crashes" in what) <= 2:
            yield from explore(pair_of, (*path, what), seen)


def test_in_every_order_of_messages_and_deaths_at_most_one_process_is_the_gateway():
    """A surviving process that has the state is the gateway in the end. If the sender resumes everything, the
    receiver has neither read nor written."""
    ends = 0
    for path, pair in explore(Pair):
        assert len(pair.gateways()) <= 1, path
        if pair.resumed_with == "whole":
            assert not pair.serving_starts, path
        if pair.steps() in ([], ["receiver crashes"], ["sender crashes"]) or not pair.steps():
            ends += 1
            if pair.sender_lives and not pair.receiver_lives:
                assert pair.gateways() == ["sender"], path
            if pair.receiver_lives and not pair.sender_lives:
                assert pair.gateways() == ["receiver"], path
    assert ends > 10


def test_a_receiver_does_not_serve_while_a_silent_sender_lives():
    receiver = ReceiverStateMachine()
    receiver.state_restored()
    assert not receiver.channel_broken(sender_is_running=True) and receiver.is_aborted
    receiver = ReceiverStateMachine()
    # without the state the receiver cannot take over
    assert not receiver.channel_broken(sender_is_running=False)
    receiver = ReceiverStateMachine()
    receiver.state_restored()
    receiver.dismissed("no")
    assert not receiver.commit_received() and not receiver.channel_broken(False)


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


def started_watchdog():
    actions = WatchdogActions()
    watchdog = WorkerWatchdog(actions)
    watchdog.start_first_worker()
    return watchdog, actions


def test_a_successor_is_followed_and_the_end_of_the_replaced_worker_is_ignored():
    watchdog, actions = started_watchdog()
    watchdog.worker_serving(101)
    watchdog.worker_serving(555)  # after an upgrade
    watchdog.worker_exited(101, 0)
    assert actions.code is None and actions.starts == [0.0]
    watchdog.signal_received("HUP")
    watchdog.signal_received("USR1")
    assert actions.signals == [(555, "HUP"), (555, "USR1")]
    watchdog.worker_exited(555, 0)
    assert actions.code == 0


def test_a_replaced_worker_that_still_sends_is_not_told_of_a_new_configuration():
    """Guards against a worker that follows a change log which was replaced while it finishes its requests."""
    watchdog, actions = started_watchdog()
    watchdog.worker_serving(101)
    watchdog.worker_serving(555)
    watchdog.worker_serving(666)
    watchdog.worker_exited(555, 0)
    watchdog.signal_received("HUP")
    watchdog.signal_received("USR1")
    assert actions.signals == [(101, "HUP"), (666, "HUP"), (666, "USR1")]
    actions.signals.clear()
    watchdog.worker_exited(666, -9)
    watchdog.worker_serving(101)  # it serves again, as its successor has died
    watchdog.signal_received("HUP")
    assert actions.signals == [(101, "HUP")]


def test_a_stable_worker_is_restarted_at_once_and_one_that_never_serves_with_backoff():
    watchdog, actions = started_watchdog()
    watchdog.worker_serving(101)
    actions.time = 5.0
    watchdog.worker_exited(101, -9)
    assert actions.starts == [0.0, 5.0]
    for _ in range(MAX_FAILED_STARTS):
        watchdog.worker_exited(actions.next, 1)
        actions.time += watchdog.seconds_until_start() if actions.code is None else 0
        watchdog.start_if_due()
    gaps = [after - before for before, after in zip(actions.starts, actions.starts[1:], strict=False)][1:]
    assert gaps == sorted(gaps) and gaps[0] > 0 and actions.code is None
    watchdog.worker_exited(actions.next, 1)
    assert actions.code == 1


def test_an_unusable_configuration_ends_the_first_start_only():
    watchdog, actions = started_watchdog()
    watchdog.worker_exited(101, 2)
    assert actions.code == 2
    watchdog, actions = started_watchdog()
    watchdog.worker_serving(101)
    watchdog.worker_exited(101, -6)
    actions.time += watchdog.seconds_until_start()
    watchdog.start_if_due()
    watchdog.worker_exited(actions.next, 2)  # the file has become invalid since the first start: retry
    assert actions.code is None and watchdog.seconds_until_start() > 0


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_sigterm_reaches_whichever_worker_is_the_gateway(when):
    watchdog, actions = started_watchdog()
    watchdog.worker_serving(101)
    if when == "before":
        watchdog.signal_received("TERM")
        assert actions.signals == [(101, "TERM")]
        watchdog.worker_exited(101, 0)
    elif when == "during":  # the successor reports after the signal went to the replaced worker
        watchdog.signal_received("TERM")
        watchdog.worker_serving(555)
        watchdog.worker_exited(101, 0)
        assert actions.signals == [(101, "TERM"), (555, "TERM")] and actions.code is None
        watchdog.worker_exited(555, 0)
    else:
        watchdog.worker_exited(101, -9)
        assert len(actions.starts) == 1  # it served for less than a second
        watchdog.signal_received("TERM")
    assert actions.code == 0


def test_on_generated_events_there_is_at_most_one_worker_and_never_none_for_long():
    """Compared with a simple model: the live workers, by what was started, replaced, and ended."""
    for seed in range(300):
        rng = random.Random(seed)
        watchdog, actions = started_watchdog()
        alive, reported = {actions.next}, set()
        for _ in range(60):
            actions.time += rng.choice([0.0, 0.1, 2.0])
            gateway = watchdog.gateway
            action = rng.random()
            if gateway in alive and action < 0.5:
                watchdog.worker_serving(gateway)
                reported.add(gateway)
            elif gateway in alive and gateway in reported and action < 0.7:
                actions.next += 1
                alive = {actions.next}
                watchdog.worker_serving(actions.next)
                reported.add(actions.next)
                watchdog.worker_exited(gateway, 0)
            elif gateway in alive:
                alive.discard(gateway)
                watchdog.worker_exited(gateway, rng.choice([-9, 1, -11]))
            if actions.code is not None:
                break
            if not alive:
                actions.time += watchdog.seconds_until_start()
                watchdog.start_if_due()
            if actions.code is None:
                assert watchdog.gateway or watchdog.seconds_until_start() <= 8.0
                alive = {watchdog.gateway} - {0}
        assert actions.code in (None, 1)
