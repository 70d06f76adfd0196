"""Reloads the configuration of a running gateway: limits and the change log's address."""

from __future__ import annotations

from typing import Any

from loguru import logger

from lilacloft import settings_validation
from lilacloft.gateway.configuration import parse_address
from lilacloft.gateway.context import GatewayContext
from lilacloft.net.resource_limits import budgets, descriptor_limit


def reload(gateway: GatewayContext, config: dict[str, Any]) -> None:
    """Apply a configuration that was read again, as far as it may change; all of that, or nothing where it
    cannot be used. SIGHUP came. `listen` and `settings` need a restart, which is logged where they differ;
    `name` and `known` are for the start only."""
    if gateway.upgrade and gateway.upgrade.forward_reload():
        return
    try:
        settings_validation.check_configuration(config)
        changelog = parse_address(config["changelog"])
        found = budgets(config["limits"], descriptor_limit())
        fixed = gateway.configuration.fixed
        ignored = [name for name, value in fixed.items() if config[name] != value]
    except (KeyError, ValueError, TypeError, AttributeError) as wrong:
        logger.error("the old configuration stays: it cannot be used: {!r}", wrong)
        return
    gateway.budgets = found
    gateway.front.max_clients, gateway.back.max_connections = found.clients, found.caches
    gateway.limits = config["limits"]
    if gateway.feed.move(changelog):
        gateway.router.discovery_begins()
    logger.info(
        "the configuration was read again{}",
        "; changed, but kept till a restart: " * bool(ignored) + ", ".join(ignored),
    )
