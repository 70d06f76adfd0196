"""Processes the simulator's protocol lines: batches of events in, batches of actions out (wire iris-540b)."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, BinaryIO, TextIO

from lilacloft.errors import UNUSABLE
from lilacloft.simulator_adapter.instance import HANDLERS, Instance
from lilacloft.simulator_adapter.messages import MalformedError


class Adapter:
    """The gateway instances of one adapter process."""

    def __init__(self) -> None:
        """Start without any instance."""
        self.instances: dict[str, Instance] = {}

    def _handle_event(self, instance_name: str, event: Any, time_ns: int) -> list[list[Any]]:
        """Pass one event to its instance and return the resulting actions. Raises MalformedError."""
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise MalformedError(f"event is not an array that begins with a name: {event!r}")
        name, values = event[0], event[1:]
        if name == "up":
            self.instances[instance_name] = Instance()
        instance = self.instances.get(instance_name)
        if instance is None:
            raise MalformedError(f"instance {instance_name} has not been started")
        if name == "down":
            del self.instances[instance_name]
            return []
        if name not in HANDLERS:
            raise MalformedError(f"unknown message {name!r}")
        instance.time_ns = time_ns
        try:
            HANDLERS[name](instance, values)
        except MalformedError:
            raise
        except Exception as error:  # any exception of the router is reported as its crash
            instance.actions.append(["die", f"{type(error).__name__}: {error}"])
        for request in instance.answered_requests:
            instance.forget(request)
        instance.answered_requests.clear()
        actions, instance.actions = instance.actions, []
        return actions

    def batch(self, line: bytes) -> dict[str, Any]:
        """Return the reply to one line, which holds a batch of events by instance. Raises MalformedError."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise MalformedError(f"line is not valid JSON: {error}") from error
        if not isinstance(batch, dict):
            raise MalformedError("line is not a JSON object")
        time_ns = batch.get("tNs")
        parts = batch.get("parts")
        if not isinstance(time_ns, int) or isinstance(time_ns, bool):
            raise MalformedError(f"tNs is not an integer: {time_ns!r}")
        if not isinstance(parts, list):
            raise MalformedError(f"parts is not an array: {parts!r}")
        return {"parts": [reply for part in parts for reply in self._handle_part(part, time_ns)]}

    def _handle_part(self, part: Any, time_ns: int) -> Iterator[dict[str, Any]]:
        if not isinstance(part, dict) or not isinstance(part.get("who"), str):
            raise MalformedError(f"a part does not name its instance: {part!r}")
        if not isinstance(part.get("happened"), list):
            raise MalformedError(f"happened is not an array: {part.get('happened')!r}")
        instance_name, actions = part["who"], []
        for event in part["happened"]:
            if isinstance(event, list) and event and event[0] == "down":
                actions = []
            actions += self._handle_event(instance_name, event, time_ns)
        if actions:
            yield {"who": instance_name, "actions": actions}


def main(lines: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Process lines until the end of the input, and return the exit code."""
    adapter = Adapter()
    for number, line in enumerate(lines, 1):
        try:
            reply = adapter.batch(line)
        except MalformedError as error:
            errors.write(f"lilacloft.simulator_adapter: line {number}: {error}\n"[:400])
            return UNUSABLE
        replies.write(json.dumps(reply, separators=(",", ":")).encode() + b"\n")
        replies.flush()
    return 0
