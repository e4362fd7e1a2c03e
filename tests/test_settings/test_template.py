"""Tests of the template that a deployment fills in."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import testtools

from arbutusbridge.settings import parse_model
from arbutusbridge.settings.forwarding import ForwardSettings, QuotaSettings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.json.tmpl"

VALUES = {
    "node": "north-0",
    "zone": "north",
    "zones": {"north": "n"},
    "ip": "10.0.0.1",
    "internal_ports.0": 7380,
    "listen.front": "10.0.0.1:7000",
    "listen.ready": "10.0.0.1:7001",
    "platform.addr": "10.0.0.9:2379",
    "limits.cpu_share": 0.5,
    "limits.cores": 1.0,
    "bounds.config_apply_ms": 5000,
    "bounds.grace_s": 6.0,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.budget_slack": 50.0,
    "bounds.budget_window_s": 10.0,
}
"""What every deployment gives."""

SECTION = re.compile(r"\{\{#([\w.]+)\}\}((?:(?!\{\{#).)*?)\{\{/\1\}\}", re.S)
"""Innermost section, which is rendered if its value is there."""


def render(values: dict[str, Any]) -> ForwardSettings:
    """Returns the settings of a deployment that gives these values."""
    text = TEMPLATE.read_text()
    while SECTION.search(text):
        text = SECTION.sub(lambda m: m[2] if m[1] in values else "", text)
    text = re.sub(
        r"\{\{([\w.]+)(\|json)?\}\}",
        lambda m: json.dumps(values[m[1]]) if m[2] else str(values[m[1]]),
        text,
    )
    return parse_model(text, ForwardSettings, "settings.json")


class TemplateTest(testtools.TestCase):
    """Bounds of quotas, which older deployments do not have."""

    # Guards against settings that are no JSON where the bounds are missing.
    def test_without_bounds_of_quotas_the_defaults_hold(self) -> None:
        quotas = render(VALUES).quotas
        self.assertEqual(QuotaSettings(), quotas)
        self.assertEqual((5.0, 0.1, 20.0), tuple(quotas.model_dump().values()))

    # Guards against a bound that is not filled in, and a comma too many.
    def test_given_bounds_are_filled_in(self) -> None:
        bounds = {"window_s": 4.0, "overage": 0.2, "slack": 30.0}
        for names in (("window_s",), ("window_s", "slack"), tuple(bounds)):
            given = {f"bounds.quota_{name}": bounds[name] for name in names}
            found = render(VALUES | given).quotas.model_dump()
            expected = QuotaSettings().model_dump()
            expected |= {name: bounds[name] for name in names}
            self.assertEqual(expected, found)

    # Guards against overflow in a deployment: it cost callers in each of four
    # plays with it (docs/design/overflow.md).
    def test_overflow_is_off(self) -> None:
        for given in ({}, {"bounds.evacuate_ms": 5000}):
            settings = render(VALUES | given)
            self.assertEqual(0.0, settings.overflow.max_fraction)
