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
    InstanceSettings,
    Register,
    RulesFile,
    compile_configuration,
    compile_version,
    load_model,
)

if TYPE_CHECKING:
    from arbutusbridge.core.model import Configuration


def check(register: Path, rules: Path) -> int:
    """Check a register export and rules together.

    Args:
      register: The register export.
      rules: The rules file.

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
    """Loads and compiles two files without publishing them."""
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
    """Publish a register export and rules as the next version.

    Args:
      settings: Any instance's settings file, for the platform's address.
      register: The register export.
      rules: The rules file.
      base: The version that the edit began from, 0 for the first.
      wait: Seconds to wait until every instance confirms the version, as the
        instance of the settings file knows; those that do not are named.

    Returns:
      0, or 1 when an instance has not confirmed in time.
    """
    checked = load_model(settings, InstanceSettings)
    compile_files(register, rules)
    packed = pack(register.read_bytes(), rules.read_bytes())
    # The same code validates the very value that instances will get.
    compile_version(Head(base + 1, ""), packed)
    steps = publish_steps(packed, base, uuid.uuid4().hex)
    address = (checked.platform[0].ip, checked.platform[0].port)
    head = run_steps(steps, address, checked.namespace)
    print(json.dumps({"version": head.version, "id": head.publish_id}))
    if not wait:
        return 0
    missing = wait_until_confirmed(checked, head.version, wait)
    print(json.dumps({"unconfirmed": missing}))
    return 1 if missing else 0


def show(settings: Path, *, into: Path | None = None) -> int:
    """Show the standing version, and write its files if asked.

    Args:
      settings: Any instance's settings file, for the platform's address.
      into: Folder that register.json and rules.json are written to.

    Returns:
      The exit code.
    """
    checked = load_model(settings, InstanceSettings)
    head = read_head(checked)
    print(json.dumps({"version": head.version, "id": head.publish_id}))
    if into is not None and head.version:
        value = read(checked, head.key)
        register, rules = unpack(value or b"")
        into.mkdir(parents=True, exist_ok=True)
        (into / "register.json").write_bytes(register)
        (into / "rules.json").write_bytes(rules)
    return 0


def read_head(settings: InstanceSettings) -> Head:
    """Reads the standing head."""
    return decode_head(read(settings, HEAD_KEY))


def read(settings: InstanceSettings, key: str) -> bytes | None:
    """Reads one key.

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
