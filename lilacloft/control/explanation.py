"""Explains to operators why a planner treats a backend or a location as it does."""

from __future__ import annotations

from lilacloft.control.fleet_state import ListedBackend
from lilacloft.control.health_aggregation import MIN_VERDICT_TIME, Verdict
from lilacloft.control.planner import Planner
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

LOCATION_PREFIX = "zone "


def explain(planner: Planner, subject: str, now: Ticks) -> list[str]:
    """Return lines on a subject: the name of a backend, or `zone` and the number of a location."""
    plan = planner.plan
    suffix = "" if planner.election.is_leader else "; this planner does not issue"
    head = f"plan {plan.plan_id}, on the list as of {plan.list_version}{suffix}"
    if subject.startswith(LOCATION_PREFIX):
        return [head, *_explain_location(planner, subject.removeprefix(LOCATION_PREFIX), now)]
    backend = planner.backends.get(subject)
    if backend is None:
        return [head, f"{subject} is not listed"]
    return [head, *_explain_backend(planner, backend, now)]


def _explain_location(planner: Planner, number: str, now: Ticks) -> list[str]:
    decider = planner.locations.decider
    if decider is None:
        return ["whole locations are not left here"]
    if not number.lstrip("-").isdigit():
        return [f"{number!r} is no location's number"]
    return decider.explain(int(number), now)


def _explain_backend(planner: Planner, backend: ListedBackend, now: Ticks) -> list[str]:
    verdict = planner.health.verdicts.get(backend.name)
    lines = [_state(planner, backend, verdict)]
    if verdict:
        lines += _votes(verdict, now)
    lines += [
        f"{name} is not believed: it blames {share:.0%} of what others find well"
        for name, share in planner.health.distrusted.items()
    ]
    limit = planner.plan.concurrency_limits.get(backend.name)
    if limit is not None:
        lines.append(f"no more than {limit:g} dispatches at once, all forwarders together")
    ledger = planner.quota.ledgers.get(backend.name)
    if ledger:
        lines.append(f"{ledger.lendable(now, 0):.3f} of its cold budget is held here to be lent")
    return lines


def _state(planner: Planner, backend: ListedBackend, verdict: Verdict | None) -> str:
    """Return a line on how a backend is used."""
    name, plan = backend.name, planner.plan
    if name in plan.ejections:
        canary_gateway = plan.canary_gateways.get(name)
        return f"{name} is left alone: {plan.ejections[name]}; {canary_gateway} may try it"
    if verdict and verdict.is_ejected:
        voters = ", ".join(verdict.failing_votes)
        return f"{name} fails by {voters}, but so do most of its kind: it is not to blame"
    draining = "" if backend.is_ready else ", but leaving"
    cold = ", cold" if backend.is_cold else ""
    return f"{name} is in use{draining}{cold}"


def _votes(verdict: Verdict, now: Ticks) -> list[str]:
    """Return lines on a verdict's age and votes."""
    lines, age = [], now - verdict.changed_at
    if verdict.changed_at and age < MIN_VERDICT_TIME:
        minimum = MIN_VERDICT_TIME / TICKS_PER_SECOND
        lines.append(f"that verdict is {age / TICKS_PER_SECOND:.1f} s old, and holds {minimum:g} s")
    lines += [f"{name} sees it fail" for name in verdict.failing_votes]
    lines += [f"{name} sees it well" for name in verdict.healthy_votes]
    return lines
