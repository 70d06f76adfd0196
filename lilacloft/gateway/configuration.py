"""Reads a gateway's configuration: validates the platform's JSON and maps its settings to lilacloft's names.

Errors: ValueError for an invalid value, KeyError for a missing one, TypeError, AttributeError or IndexError
for a value of the wrong type or structure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lilacloft import settings_validation
from lilacloft.log import logger
from lilacloft.net.discovery_events import DiscoveryEvent, events_of_config
from lilacloft.net.resource_limits import Budgets, budgets, descriptor_limit, protocol_clients
from lilacloft.protocol_settings import from_protocol
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

FIXED = ("listen", "settings")  # fields that a reload cannot change


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass(slots=True)
class Configuration:
    """The configuration of one gateway. All spans are ticks."""

    listen: str  # HOST:PORT
    changelog: str  # HOST:PORT of the change log
    name: str  # of the gateway; "" if none is given
    settings: dict[str, Any]  # in lilacloft's names (lilacloft/protocol_settings.py)
    answer_slack: Ticks
    granularity: Ticks  # span within which events are handled together
    max_client_timeout: Ticks
    limits: dict[str, Any]  # on sockets and memory
    fixed: dict[str, Any]  # the fields that a reload cannot change, as read
    last_applied_event: int  # number of the change log's last event that the configuration includes

    @property
    def vhosts(self) -> list[dict[str, Any]]:
        """The settings of the virtual hosts."""
        return self.settings["vhosts"]

    @property
    def max_transfer_size(self) -> float:
        """KB that can be sent at full rate within the longest client timeout."""
        return self.settings["family"]["pace_kb_per_s"] / TICKS_PER_SECOND * self.max_client_timeout


def read_configuration(config: dict[str, Any]) -> Configuration:
    """Validate a configuration as parsed from its JSON, and return what a gateway uses of it."""
    settings_validation.check_configuration(config)
    listen = config["listen"]
    named = from_protocol(settings_validation.with_defaults(config["settings"]))
    return Configuration(
        listen=listen,
        changelog=config["changelog"],
        name=config.get("name", ""),
        settings=named,
        answer_slack=named["rules"]["answer_slack"],
        granularity=named["granularity"],
        max_client_timeout=max(vhost["client_timeout"] for vhost in named["vhosts"]),
        limits=config["limits"],
        fixed={name: config[name] for name in FIXED},
        last_applied_event=config["known"]["seq"],
    )


def read_initial_events(config: dict[str, Any], names: dict[str, Any]) -> list[DiscoveryEvent]:
    """Return the change log events that a configuration includes; `names`: its settings."""
    results = config["known"]["results"]
    return [event for _, event in events_of_config(results, names["zones"], names["kinds"])]


def read_budgets(limits: dict[str, Any]) -> Budgets:
    """Return the resource budgets; log a warning if the system allows less than the configuration."""
    descriptors = descriptor_limit()
    if descriptors < limits["sockets"]:
        logger.warning(
            "the system allows {} descriptors, the configuration {}: using the lower limit",
            descriptors,
            limits["sockets"],
        )
    allowed, wanted = budgets(limits, descriptors), protocol_clients(limits, descriptors)
    if allowed.clients < wanted:
        logger.warning(
            "memory_mb {} is enough for {} clients; the descriptors would be enough for {}",
            limits["memory_mb"],
            allowed.clients,
            wanted,
        )
    return allowed
