"""The protobuf schema of the messages between gateways and planners, and the classes built from it.

The names in the schema are part of the wire format and must not change; `codec` maps them to attributes. New
fields must be added at the end of their message, as the position of a field determines its number.
"""

from __future__ import annotations

from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

# fields by message, in the order of their numbers, as `name:type`; `*` marks repeated fields, and
# SCALAR_TYPES has the one-letter types
SCHEMA = {
    "Hello": "name:s role:s incarnation:u newest:u oldest:u",
    "Name": "epoch:u number:u planner:s",
    "Sight": "be:s well:u late:u failed:u out:u alone:b limit:d streak:u quiet:u unfilled:u filled:u",
    "Ask": "number:u be:s part:d span:i",
    "Given": "number:u be:s part:d delay:i span:i",
    "Pair": "key:s value:d",
    "Text": "key:s value:s",
    "Cold": "be:s own:d used:d",
    "Turn": "zone:u names:s*",
    "Tally": "zone:i well:u late:u failed:u hits:u",
    "Left": "zone:i back:u fails:u",
    "Part": "zone:i part:d",
    "Zone": "zone:i back:u fails:u rate:d trial:s why:s to:Part*",
    "Summary": "name:s incarnation:u number:u zone:u listed:u reqs:d fills:Pair* worth:Pair* sights:Sight* "
    "cold:Cold* asks:Ask* given:Given* holds:Name leaves:b asked:d past:d tallies:Tally* "
    "left:Left*",
    "Plan": "name:Name listed:u out:Text* trials:Text* ways:Pair* links:Pair* parts:Pair* renews:Turn* "
    "zones:Zone*",
    "Delta": "since:Name plan:Plan gone:Text*",
    "Reply": "planner:s incarnation:u number:u span:i plan:Plan delta:Delta asks:Ask* given:Given* whole:b",
    "Row": "name:s role:s incarnation:u zone:u address:s age:i state:s",
    "Word": "name:s incarnation:u epoch:u seen:u rows:Row*",
    "Show": "what:s",
    "Shown": "lines:s*",
    "Frame": "hello:Hello summary:Summary reply:Reply word:Word show:Show shown:Shown",
}
SCALAR_TYPES = {"s": 9, "u": 4, "i": 18, "d": 1, "b": 8}  # string, uint64, sint64, double, bool
MESSAGE_TYPE = 11
SINGULAR, REPEATED = 1, 3


def _message_classes() -> dict[str, Any]:
    """Build the protobuf classes of the schema, by message name."""
    file = descriptor_pb2.FileDescriptorProto(
        name="lilacloft/plan.proto", package="lilacloft", syntax="proto3"
    )
    for message, fields in SCHEMA.items():
        descriptor = file.message_type.add(name=message)
        for number, spec in enumerate(fields.split(), 1):
            name, _, kind = spec.partition(":")
            label = REPEATED if kind.endswith("*") else SINGULAR
            field = descriptor.field.add(name=name, number=number, label=label)
            kind = kind.rstrip("*")
            if kind in SCALAR_TYPES:
                field.type = SCALAR_TYPES[kind]
            else:
                field.type, field.type_name = MESSAGE_TYPE, f".lilacloft.{kind}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {
        name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"lilacloft.{name}"))
        for name in SCHEMA
    }


MESSAGE_CLASSES = _message_classes()
FRAME = MESSAGE_CLASSES["Frame"]
