"""Reloads the configuration of a running gateway: limits and the change log's address."""

from __future__ import annotations

from typing import Any

from lilacloft import settings_validation
from lilacloft.gateway.configuration import parse_address
from lilacloft.gateway.context import GatewayContext
from lilacloft.log import logger
from lilacloft.net.resource_limits import budgets, descriptor_limit


def reload(gateway: GatewayContext, config: dict[str, Any]) -> None:
    """Apply a configuration that was read again after SIGHUP: all that may change, or nothing if it is
    invalid.

    Changes of `listen` and `settings` take effect only after a restart, which is logged; `name` and `known`
    are used only at startup. During an upgrade the configuration is for both processes: the old one follows
    the change log while it finishes its requests."""
    if gateway.upgrade:
        gateway.upgrade.forward_reload()
    try:
        settings_validation.check_configuration(config)
        changelog = parse_address(config["changelog"])
        new_budgets = budgets(config["limits"], descriptor_limit())
        fixed = gateway.configuration.fixed
        ignored = [name for name, value in fixed.items() if config[name] != value]
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        logger.error("the old configuration stays: it cannot be used: {!r}", error)
        return
    gateway.budgets = new_budgets
    gateway.downstream.max_clients, gateway.upstream.max_connections = new_budgets.clients, new_budgets.caches
    gateway.upstream.reply_backlog.apply(new_budgets.answer_limits())
    gateway.downstream.request_ledger.budget = new_budgets.requests
    gateway.router.freshness.table_size = new_budgets.object_parts
    gateway.executed_requests.max_remembered = new_budgets.executed_requests
    gateway.limits = config["limits"]
    if gateway.discovery_watch.move(changelog):
        gateway.router.discovery_begins()
    logger.info(
        "the configuration was read again{}",
        "; changed, but kept till a restart: " * bool(ignored) + ", ".join(ignored),
    )
