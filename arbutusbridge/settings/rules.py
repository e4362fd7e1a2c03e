"""Operators' rules: deadlines, coverage, urgency and preference."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from arbutusbridge.settings.base import Name, StrictModel


class PolicyRules(StrictModel):
    """What is asked for some requests; what is left out is inherited."""

    deadline_ms: float | None = Field(default=None, gt=0, le=600_000)
    least_coverage: float | None = Field(default=None, ge=0, le=1)
    urgency: Literal["urgent", "routine"] | None = None
    prefer: Literal["latency", "coverage"] | None = None
    hedge_quantile: float | None = Field(default=None, gt=0, lt=1)
    extra_load: float | None = Field(default=None, ge=0, le=1)
    max_hits: int | None = Field(default=None, ge=1, le=10_000)


class CallerRules(PolicyRules):
    """What is asked for one caller, and for it at single services."""

    services: dict[Name, PolicyRules] = Field(default_factory=dict)


class RulesFile(StrictModel):
    """A whole rules file.

    The most particular rule wins field by field: a caller's at a service,
    a caller's, a service's, the defaults.
    """

    defaults: PolicyRules = PolicyRules()
    services: dict[Name, PolicyRules] = Field(default_factory=dict)
    callers: dict[Name, CallerRules] = Field(default_factory=dict)
