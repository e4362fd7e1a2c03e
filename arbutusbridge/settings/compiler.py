"""Compilation of a register export and rules into a configuration."""

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
    """Validates the two files against each other and compiles them.

    Raises:
      SettingsError: The rules name a service that is not in the register.
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
    """Compiles the layouts of a service, newest epoch first."""
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
    """Checks that every service named in the rules exists.

    Raises:
      SettingsError: A service is not in the register.
    """
    registered_names = {service.name for service in register.services}
    references = {("services", name) for name in rules.services}
    for caller, caller_rules in rules.callers.items():
        for name in caller_rules.services:
            references.add((f"callers.{caller}.services", name))
    for place, name in sorted(references):
        if name not in registered_names:
            raise SettingsError(
                f"rules: {place}.{name}: the register has no such service.",
                "Name a service of the register export or drop the rule.",
            )


def compile_rules(rules: RulesFile) -> Rules:
    """Resolves inheritance into one policy for each caller and service."""
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
            override = caller_rules.services.get(service)
            if override is not None:
                policy = apply_rules(policy, override)
            policies[caller, service] = policy
    return Rules(default, policies)


def apply_rules(policy: Policy, rules: PolicyRules) -> Policy:
    """Returns a copy of a policy with the values that the rules set."""

    def resolve(value: Any, inherited: Any) -> Any:
        return inherited if value is None else value

    urgency = policy.urgency
    if rules.urgency is not None:
        urgency = Urgency[rules.urgency.upper()]
    prefer = policy.prefer
    if rules.prefer is not None:
        prefer = Preference(rules.prefer)
    return Policy(
        resolve(rules.deadline_ms, policy.deadline_ms),
        resolve(rules.least_coverage, policy.least_coverage),
        urgency,
        prefer,
        resolve(rules.hedge_quantile, policy.hedge_quantile),
        resolve(rules.extra_load, policy.extra_load),
        resolve(rules.max_hits, policy.max_hits),
    )
