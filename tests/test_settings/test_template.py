"""Tests of the template of the settings of a forwarding instance."""

from __future__ import annotations

import json
import re
from pathlib import Path

import testtools

from arbutusbridge.settings.forwarding import ForwardSettings

TEMPLATE = Path(__file__).parents[2] / "deploy/settings.json.tmpl"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUES = {
    "node": "n-0",
    "zone": "north",
    "zones": {"north": "n"},
    "listen.front": "10.0.0.1:80",
    "listen.ready": "10.0.0.1:81",
    "ip": "10.0.0.1",
    "internal_ports.0": 82,
    "platform.addr": "10.0.0.2:83",
    "limits.cpu_share": 1.0,
    "limits.cores": 1.0,
    "bounds.config_apply_ms": 5000,
    "bounds.grace_s": 6,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.budget_slack": 50,
    "bounds.budget_window_s": 10,
}


def render(values: dict[str, object]) -> str:
    """Renders the template as the platform does; there are no seeds."""
    text = SECTION.sub(
        lambda found: found[2] if found[1] in values else "",
        TEMPLATE.read_text(),
    )

    def fill(found: re.Match[str]) -> str:
        value = values[found[1]]
        return json.dumps(value) if found[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class TemplateTest(testtools.TestCase):
    """Settings with and without the value that switches overflow on."""

    # Guards against a file that does not validate, with which no instance
    # starts, and against overflow in deployments that have not asked for it.
    def test_overflow_is_on_only_with_a_bound_on_evacuations(self) -> None:
        for values, fraction in (
            (VALUES, 0.0),
            ({**VALUES, "bounds.evacuate_ms": 5000}, 0.5),
        ):
            settings = ForwardSettings.model_validate_json(render(values))
            self.assertEqual(fraction, settings.overflow.max_fraction)
