"""Answers the simulator's lines: batches of events in, batches of actions out (wire iris-540b)."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, BinaryIO, TextIO

from lilacloft.errors import UNUSABLE
from lilacloft.simulator_adapter.instance import HANDLERS, Instance
from lilacloft.simulator_adapter.messages import MalformedError


class Adapter:
    """All instances of one adapter process."""

    def __init__(self) -> None:
        """Start without any gateway."""
        self.instances: dict[str, Instance] = {}

    def _handle_event(self, who: str, event: Any, t_ns: int) -> list[list[Any]]:
        """Pass one event on and return the actions that it led to. Raises MalformedError."""
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise MalformedError(f"an event is no array with a name: {event!r}")
        name, values = event[0], event[1:]
        if name == "up":
            self.instances[who] = Instance()
        instance = self.instances.get(who)
        if instance is None:
            raise MalformedError(f"{who} is no instance that is up")
        if name == "down":
            del self.instances[who]
            return []
        if name not in HANDLERS:
            raise MalformedError(f"message {name!r} is unknown")
        instance.time_ns = t_ns
        try:
            HANDLERS[name](instance, values)
        except MalformedError:
            raise
        except Exception as error:  # whatever the router raises is reported as its crash
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
            raise MalformedError(f"a line is no JSON: {error}") from error
        if not isinstance(batch, dict):
            raise MalformedError("a line is no object")
        t_ns = batch.get("tNs")
        parts = batch.get("parts")
        if not isinstance(t_ns, int) or isinstance(t_ns, bool):
            raise MalformedError(f"tNs is no whole number: {t_ns!r}")
        if not isinstance(parts, list):
            raise MalformedError(f"parts is no array: {parts!r}")
        return {"parts": [reply for part in parts for reply in self._handle_part(part, t_ns)]}

    def _handle_part(self, part: Any, t_ns: int) -> Iterator[dict[str, Any]]:
        if not isinstance(part, dict) or not isinstance(part.get("who"), str):
            raise MalformedError(f"a part names no instance: {part!r}")
        if not isinstance(part.get("happened"), list):
            raise MalformedError(f"happened is no array: {part.get('happened')!r}")
        who, actions = part["who"], []
        for event in part["happened"]:
            if isinstance(event, list) and event and event[0] == "down":
                actions = []
            actions += self._handle_event(who, event, t_ns)
        if actions:
            yield {"who": who, "actions": actions}


def main(lines: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Answer lines until input ends; return the exit code."""
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
