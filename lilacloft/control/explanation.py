"""Explains a planner's decisions on a backend or a location to operators."""

from __future__ import annotations

from lilacloft.control.fleet_state import ListedBackend
from lilacloft.control.health_aggregation import MIN_VERDICT_TIME, Verdict
from lilacloft.control.planner import Planner
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

LOCATION_PREFIX = "zone "


def explain(planner: Planner, subject: str, now: Ticks) -> list[str]:
    """Return lines of text on a subject: the name of a backend, or `zone` and the number of a location."""
    plan = planner.plan
    suffix = "" if planner.election.is_leader else "; this planner is not the leader"
    head = f"plan {plan.plan_id}, from list version {plan.list_version}{suffix}"
    if subject.startswith(LOCATION_PREFIX):
        return [head, *_explain_location(planner, subject.removeprefix(LOCATION_PREFIX), now)]
    backend = planner.backends.get(subject)
    if backend is None:
        return [head, f"{subject} is not in the backend list"]
    return [head, *_explain_backend(planner, backend, now)]


def _explain_location(planner: Planner, number: str, now: Ticks) -> list[str]:
    failover_controller = planner.locations.failover_controller
    if failover_controller is None:
        return ["location failover is not enabled, or this planner has just started"]
    if not number.lstrip("-").isdigit():
        return [f"{number!r} is not the number of a location"]
    return failover_controller.explain(int(number), now)


def _explain_backend(planner: Planner, backend: ListedBackend, now: Ticks) -> list[str]:
    verdict = planner.health.verdicts.get(backend.name)
    lines = [_state(planner, backend, verdict)]
    if verdict:
        lines += _votes(verdict, now)
    lines += [
        f"{name} is distrusted: it reports {share:.0%} of the backends that others find healthy as failing"
        for name, share in planner.health.distrusted.items()
    ]
    limit = planner.plan.concurrency_limits.get(backend.name)
    if limit is not None:
        lines.append(f"at most {limit:g} attempts in flight, from all gateways together")
    ledger = planner.quota.ledgers.get(backend.name)
    if ledger:
        lines.append(f"{ledger.lendable(now, 0):.3f} of its slow-start budget can be lent by this planner")
    return lines


def _state(planner: Planner, backend: ListedBackend, verdict: Verdict | None) -> str:
    """Return a line on the state of a backend."""
    name, plan = backend.name, planner.plan
    if name in plan.ejections:
        canary_gateway = plan.canary_gateways.get(name)
        return f"{name} is ejected: {plan.ejections[name]}; {canary_gateway} may send it canary requests"
    if verdict and verdict.is_ejected:
        voters = ", ".join(verdict.failing_votes)
        return f"{name} fails at {voters}, but is not ejected, as most backends of its kind fail there"
    draining = "" if backend.is_ready else ", but draining"
    cold = ", cold" if backend.is_cold else ""
    return f"{name} is in use{draining}{cold}"


def _votes(verdict: Verdict, now: Ticks) -> list[str]:
    """Return lines on the age and votes of a verdict."""
    lines, age = [], now - verdict.changed_at
    if verdict.changed_at and age < MIN_VERDICT_TIME:
        minimum = MIN_VERDICT_TIME / TICKS_PER_SECOND
        lines.append(
            f"the verdict is {age / TICKS_PER_SECOND:.1f} s old and stays for at least {minimum:g} s"
        )
    lines += [f"{name} reports it as failing" for name in verdict.failing_votes]
    lines += [f"{name} reports it as healthy" for name in verdict.healthy_votes]
    return lines
