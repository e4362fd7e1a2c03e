"""Commands ``config check``, ``config publish`` and ``config show``."""

from __future__ import annotations

import json
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

from arbutusbridge.cmd.confirmation import wait_until_confirmed
from arbutusbridge.core.configuration import (
    HEAD_KEY,
    Head,
    decode_head,
    pack,
    publish_steps,
    unpack,
)
from arbutusbridge.core.messages import StoreGet, StoreStatus
from arbutusbridge.daemon.storeclient import call, run_steps
from arbutusbridge.errors import PlatformUnavailableError
from arbutusbridge.settings import (
    EntrySettings,
    Register,
    RulesFile,
    compile_configuration,
    compile_version,
    load_model,
)

if TYPE_CHECKING:
    from arbutusbridge.core.model import Configuration


def check(register: Path, rules: Path) -> int:
    """Validate a register export and a rules file against each other.

    Args:
      register: Register export, a JSON file.
      rules: Rules file, a JSON file.

    Returns:
      The exit code.
    """
    found = compile_files(register, rules)
    summary = {
        "services": len(found.layouts),
        "upstreams": len(found.upstreams),
        "policies": len(found.rules.policies),
    }
    print(json.dumps(summary))
    return 0


def compile_files(register: Path, rules: Path) -> Configuration:
    """Loads, validates and compiles two files without publishing them."""
    return compile_configuration(
        load_model(register, Register), load_model(rules, RulesFile), 0, ""
    )


def publish(
    settings: Path,
    register: Path,
    rules: Path,
    *,
    base: int,
    wait: float = 0.0,
) -> int:
    """Publish a register export and a rules file as the next version.

    Args:
      settings: Settings file of any instance, for the platform's address.
      register: Register export, a JSON file.
      rules: Rules file, a JSON file.
      base: Version on which the edit is based, 0 for the first publish.
      wait: Maximum number of seconds to wait until every instance confirms
        the version, as seen by the instance of the settings file. Instances
        that have not confirmed it are printed.

    Returns:
      0, or 1 if an instance has not confirmed in time.
    """
    loaded_settings = load_model(settings, EntrySettings)
    compile_files(register, rules)
    packed = pack(register.read_bytes(), rules.read_bytes())
    # Validates the packed value with the code that instances use.
    compile_version(Head(base + 1, ""), packed)
    steps = publish_steps(packed, base, uuid.uuid4().hex)
    address = (loaded_settings.platform[0].ip, loaded_settings.platform[0].port)
    head = run_steps(steps, address, loaded_settings.namespace)
    print(json.dumps({"version": head.version, "id": head.publish_id}))
    if not wait:
        return 0
    missing = wait_until_confirmed(loaded_settings, head.version, wait)
    print(json.dumps({"unconfirmed": missing}))
    return 1 if missing else 0


def show(settings: Path, *, into: Path | None = None) -> int:
    """Show the published version, and write its files on request.

    Args:
      settings: Settings file of any instance, for the platform's address.
      into: Folder to which register.json and rules.json are written.

    Returns:
      The exit code.
    """
    loaded_settings = load_model(settings, EntrySettings)
    head = read_head(loaded_settings)
    print(json.dumps({"version": head.version, "id": head.publish_id}))
    if into is not None and head.version:
        value = read_key(loaded_settings, head.key)
        register, rules = unpack(value or b"")
        into.mkdir(parents=True, exist_ok=True)
        (into / "register.json").write_bytes(register)
        (into / "rules.json").write_bytes(rules)
    return 0


def read_head(settings: EntrySettings) -> Head:
    """Reads the head of the published version."""
    return decode_head(read_key(settings, HEAD_KEY))


def read_key(settings: EntrySettings, key: str) -> bytes | None:
    """Reads one key of the store; returns None if it does not exist.

    Raises:
      PlatformUnavailableError: The store gave no usable reply.
    """
    address = (settings.platform[0].ip, settings.platform[0].port)
    result = call(StoreGet(("show", ""), key), address, settings.namespace)
    if result.status is not StoreStatus.DONE:
        raise PlatformUnavailableError(
            "The key-value store did not answer.", "Try again later."
        )
    return result.value
