"""A gateway that is short of processor time answers early enough, and tells no cache time that is over."""

import threading
import time

from lilacloft.net.upstream import Upstream
from rigs.inprocess import forgets, until
from rigs.stands import silent


def test_what_its_client_cancels_between_decision_and_first_byte_is_given_up_without_a_violation(
    in_process, monkeypatch
):
    """The event loop's thread got no processor there; the guard counted a promise about to be broken."""
    dispatch = Upstream.dispatch
    decided, go = threading.Event(), threading.Event()

    def late(self, attempt):
        if attempt.call:
            decided.set()
            assert go.wait(5)
        return dispatch(self, attempt)

    monkeypatch.setattr(Upstream, "dispatch", late)
    world = in_process(silent)
    asker = world.asker()
    asker.ask(allow=3000)
    assert decided.wait(5)
    forgets(asker)
    until(lambda: world.owner.front.counts["forgotten"])
    time.sleep(0.15)
    go.set()
    world.rests()
    assert world.owner.back.counts["dispatches"] == 0
    assert not any(world.owner.invariants.violations().values())
