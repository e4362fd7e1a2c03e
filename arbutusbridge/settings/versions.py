"""Compilation of the packed value of a configuration version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.core.configuration import unpack
from arbutusbridge.errors import SettingsError
from arbutusbridge.settings.compiler import compile_configuration
from arbutusbridge.settings.loader import parse_model
from arbutusbridge.settings.register import Register
from arbutusbridge.settings.rules import RulesFile

if TYPE_CHECKING:
    from arbutusbridge.core.configuration import Head
    from arbutusbridge.core.model import Configuration


def compile_version(head: Head, packed: bytes) -> Configuration:
    """Validates and compiles a version.

    Publish and adoption both use it, so that both accept the same versions.

    Raises:
      SettingsError: The value is damaged or not valid.
    """
    try:
        register_text, rules_text = unpack(packed)
    except (ValueError, LookupError, TypeError, AttributeError) as err:
        raise SettingsError(
            f"Version {head.version} is damaged: {err}.",
            "Publish it again.",
        ) from err
    register = parse_model(register_text, Register, "register")
    rules = parse_model(rules_text, RulesFile, "rules")
    return compile_configuration(register, rules, head.version, head.publish_id)
