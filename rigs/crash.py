"""A gateway that fails on purpose: `python -m rigs.crash STEP serve ...`, as the new process of an upgrade.

Steps, in the order in which a new process comes to them: `exit` at once, `hang` at once, `nonsense` in
place of the first frame, `old` (a form that cannot hold open reqs), `ancient` (one that cannot be written
for), `hello`, `warm`, `ready`, `unreadable` (the state is refused), `state`, `have`, `stuck` (takes
everything and says nothing more), `commit` (was told that it is the gateway, and has not answered), `taken`
(has answered, and done nothing). `orphan` ends the old process once it has everything, and `orphaned` waits
for its death before it says so. `kill-D` dies D milliseconds after its start, wherever it is then. `fine`
does not fail.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
import time
from typing import Any

from lilacloft.__main__ import main
from lilacloft.handover import receiver
from lilacloft.handover.framing import FormatError
from lilacloft.handover.messages import GatewayState, Hello
from lilacloft.handover.phases import ReceiverStateMachine
from lilacloft.handover.receiver import HandoverReceiver
from lilacloft.handover.state_restore import GatewayRestorer

STEPS = (
    "exit",
    "hang",
    "nonsense",
    "ancient",
    "hello",
    "warm",
    "table",
    "ready",
    "unreadable",
    "state",
    "have",
    "stuck",
    "commit",
)
CODE = 70
METHODS = {  # of a HandoverReceiver, by the step that ends with it
    "hello": "send_hello",
    "warm": "receive_warm_up",
    "table": "receive_object_parts",
    "ready": "send_ready",
    "state": "receive_state",
    "have": "send_state_restored",
}


def die(*_: Any, **__: Any) -> None:
    """As a crash does: nothing is closed in order, nothing said."""
    os._exit(CODE)


def after(name: str) -> None:
    """Die once a step is done."""
    step = getattr(HandoverReceiver, METHODS[name])

    def both(self: HandoverReceiver, *arguments: Any) -> None:
        step(self, *arguments)
        die()

    setattr(HandoverReceiver, METHODS[name], both)


def arrange(step: str) -> None:
    """Make this process fail at a step."""
    if step == "exit":
        die()
    elif step == "hang":
        time.sleep(600)
    elif step == "nonsense":
        HandoverReceiver.send_hello = lambda self, *_: self.channel.sock.sendall(
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
        )
    elif step in ("old", "ancient"):
        version = 1 if step == "old" else 0
        receiver.__dict__["make_hello"] = lambda vhosts, *_: Hello("0.3.0", version, vhosts)
    elif step == "unreadable":

        def refuse(self: GatewayRestorer, state: GatewayState, socket_at: Any) -> None:
            raise FormatError("a field that cannot be read")

        GatewayRestorer.restore = refuse
    elif step == "stuck":
        HandoverReceiver.send_state_restored = lambda self: time.sleep(600)
    elif step == "commit":
        ReceiverStateMachine.commit_received = die
    elif step == "taken":
        GatewayRestorer.start = die
    elif step in ("orphan", "orphaned"):
        send_state_restored = HandoverReceiver.send_state_restored

        def last(self: HandoverReceiver) -> None:
            os.kill(self.sender_pid, signal.SIGKILL)
            while step == "orphaned" and os.getppid() == self.sender_pid:
                time.sleep(0.001)
            send_state_restored(self)

        HandoverReceiver.send_state_restored = last
    elif step.startswith("kill-"):
        threading.Timer(float(step[5:]) / 1000, die).start()
    elif step != "fine":
        after(step)


if __name__ == "__main__":
    arrange(sys.argv[1])
    sys.exit(main(sys.argv[2:]))
