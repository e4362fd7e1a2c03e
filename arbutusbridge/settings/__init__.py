"""Validated models of input files: settings, register export and rules.

Public names are imported on first use, so that a program that reads one kind
of file does not build the models of the others.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from arbutusbridge.settings.compiler import compile_configuration
    from arbutusbridge.settings.instance import Address, EntrySettings
    from arbutusbridge.settings.loader import load_model, parse_model
    from arbutusbridge.settings.register import Register
    from arbutusbridge.settings.rules import RulesFile
    from arbutusbridge.settings.versions import compile_version

MODULE_OF_NAME = {
    "Address": "instance",
    "EntrySettings": "instance",
    "Register": "register",
    "RulesFile": "rules",
    "compile_configuration": "compiler",
    "compile_version": "versions",
    "load_model": "loader",
    "parse_model": "loader",
}
"""Module that defines each public name."""


def __getattr__(name: str) -> Any:
    """Imports a public name on first use."""
    module = MODULE_OF_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


__all__ = [
    "Address",
    "EntrySettings",
    "Register",
    "RulesFile",
    "compile_configuration",
    "compile_version",
    "load_model",
    "parse_model",
]
