"""Runs a gateway that fails on purpose as the new process of an upgrade:
`python -m rigs.crash STEP serve ...`.

Steps, in the order of a handover: `exit` and `hang` at the start, `nonsense` in place of the first frame,
`old` (a handover version without open requests), `ancient` (a version that the sender cannot write), `hello`,
`warm`, `ready`, `unreadable` (the state cannot be read), `state`, `have`, `stuck` (receives everything and
sends nothing more), `commit` (has received the commit and not acknowledged it), `taken` (has acknowledged it
and not started). `orphan` kills the old process once everything has been received, and `orphaned` also waits
for its death before it reports the state as restored. `kill-D` dies D milliseconds after its start, at any
step. `fine` does not fail.
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
EXIT_CODE = 70
METHODS = {  # of HandoverReceiver, by the step that the method completes
    "hello": "send_hello",
    "warm": "receive_warm_up",
    "table": "receive_object_parts",
    "ready": "send_ready",
    "state": "receive_state",
    "have": "send_state_restored",
}


def die(*_: Any, **__: Any) -> None:
    """Exit as in a crash, without any cleanup."""
    os._exit(EXIT_CODE)


def die_after(name: str) -> None:
    """Make the process exit once a step is done."""
    step = getattr(HandoverReceiver, METHODS[name])

    def run_step_and_die(self: HandoverReceiver, *arguments: Any) -> None:
        step(self, *arguments)
        die()

    setattr(HandoverReceiver, METHODS[name], run_step_and_die)


def install_failure(step: str) -> None:
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

        def kill_sender_and_send(self: HandoverReceiver) -> None:
            os.kill(self.sender_pid, signal.SIGKILL)
            while step == "orphaned" and os.getppid() == self.sender_pid:
                time.sleep(0.001)
            send_state_restored(self)

        HandoverReceiver.send_state_restored = kill_sender_and_send
    elif step.startswith("kill-"):
        threading.Timer(float(step[5:]) / 1000, die).start()
    elif step != "fine":
        die_after(step)


if __name__ == "__main__":
    install_failure(sys.argv[1])
    sys.exit(main(sys.argv[2:]))
