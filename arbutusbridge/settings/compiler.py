"""Compile a register export and rules into a configuration version."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from arbutusbridge.core.model import (
    Configuration,
    Layout,
    Policy,
    Preference,
    Rules,
    Shard,
    Upstream,
    Urgency,
)
from arbutusbridge.errors import SettingsError

if TYPE_CHECKING:
    from arbutusbridge.settings.register import Register, RegisterService
    from arbutusbridge.settings.rules import PolicyRules, RulesFile


def compile_configuration(
    register: Register, rules: RulesFile, version: int, publish_id: str
) -> Configuration:
    """Validates the two files together and compiles them.

    Raises:
      SettingsError: The rules name a service that the register lacks.
    """
    check_services_exist(register, rules)
    return Configuration(
        version,
        publish_id,
        {
            service.name: compile_layouts(service)
            for service in register.services
        },
        {u.name: Upstream(**u.model_dump()) for u in register.upstreams},
        compile_rules(rules),
    )


def compile_layouts(service: RegisterService) -> tuple[Layout, ...]:
    """Compiles a service's layouts, the newest epoch first."""
    layouts = [
        Layout.of(
            service.name,
            layout.epoch,
            tuple(
                Shard(s.name, s.low, s.high, s.weight, tuple(s.replicas))
                for s in layout.shards
            ),
        )
        for layout in service.layouts
    ]
    return tuple(sorted(layouts, key=lambda x: -x.epoch))


def check_services_exist(register: Register, rules: RulesFile) -> None:
    """Checks that every service that the rules name exists."""
    known = {service.name for service in register.services}
    named = {("services", name) for name in rules.services}
    for caller, caller_rules in rules.callers.items():
        for name in caller_rules.services:
            named.add((f"callers.{caller}.services", name))
    for place, name in sorted(named):
        if name not in known:
            raise SettingsError(
                f"rules: {place}.{name}: the register has no such service.",
                "Name a service of the register export or drop the rule.",
            )


def compile_rules(rules: RulesFile) -> Rules:
    """Resolves inheritance into one policy per caller and service."""
    default = apply_rules(Policy(), rules.defaults)
    policies: dict[tuple[str, str], Policy] = {}
    for service, service_rules in rules.services.items():
        policies["", service] = apply_rules(default, service_rules)
    for caller, caller_rules in rules.callers.items():
        policies[caller, ""] = apply_rules(default, caller_rules)
        services = set(rules.services) | set(caller_rules.services)
        for service in services:
            policy = apply_rules(
                policies.get(("", service), default), caller_rules
            )
            own = caller_rules.services.get(service)
            if own is not None:
                policy = apply_rules(policy, own)
            policies[caller, service] = policy
    return Rules(default, policies)


def apply_rules(policy: Policy, rules: PolicyRules) -> Policy:
    """Returns the policy with the fields that the rules set."""

    def pick(value: Any, inherited: Any) -> Any:
        return inherited if value is None else value

    urgency = policy.urgency
    if rules.urgency is not None:
        urgency = Urgency[rules.urgency.upper()]
    prefer = policy.prefer
    if rules.prefer is not None:
        prefer = Preference(rules.prefer)
    return Policy(
        pick(rules.deadline_ms, policy.deadline_ms),
        pick(rules.least_coverage, policy.least_coverage),
        urgency,
        prefer,
        pick(rules.hedge_quantile, policy.hedge_quantile),
        pick(rules.extra_load, policy.extra_load),
        pick(rules.max_hits, policy.max_hits),
    )
