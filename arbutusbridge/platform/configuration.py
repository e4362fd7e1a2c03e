"""Decoding of the operators' configuration.

Each entry is decoded on its own. One that cannot be decoded is described in the
result, and costs only the requests that it is about; all others are in force.
A field with the value null counts as one that is left out.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any, TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from arbutusbridge.forwarding.model import (
    Account,
    InvalidEntry,
    InvalidParts,
    RequestLimits,
    Route,
    RoutingConfiguration,
    WarmUp,
)
from arbutusbridge.forwarding.routes import normalise_host
from arbutusbridge.platform.configurationdocuments import (
    LIMIT_NAMES,
    AccountDocument,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    cap_count,
)
from arbutusbridge.platform.jsontext import parse_object
from arbutusbridge.platform.schema import (
    Document,
    describe_first_error,
    is_text,
)

CONFIGURATION_KEY = "op/config"

MAX_QUOTED_NAME = 100
"""Maximum length of a name in the description of an entry."""

DocumentT = TypeVar("DocumentT", bound=Document)


@dataclasses.dataclass(slots=True)
class ConfigurationDecoder:
    """Parts of a configuration that have been decoded so far.

    Attributes:
      row: The configuration as it was parsed.
      entries: Entries that cannot be decoded.
      invalid: What these leave unknown.
      routes: Routes, with those of invalid entries whose place is known.
      connections: Connections of an upstream, by service.
      warm_ups: Warm-up of the upstreams, by service.
      accounts: Accounts, None if the configuration has none.
      bounds: Limits on callers' requests.
    """

    row: dict[str, Any]
    entries: list[InvalidEntry] = dataclasses.field(default_factory=list)
    invalid: InvalidParts = dataclasses.field(default_factory=InvalidParts)
    routes: list[Route] = dataclasses.field(default_factory=list)
    connections: dict[str, int] = dataclasses.field(default_factory=dict)
    warm_ups: dict[str, WarmUp] = dataclasses.field(default_factory=dict)
    accounts: list[Account] | None = None
    bounds: RequestLimits = dataclasses.field(default_factory=RequestLimits)

    def decode(self) -> RoutingConfiguration:
        """Decodes the configuration."""
        version = read_version_field(self.row)
        if version is None:
            self.report("version", "Input should be a valid integer")
        self.decode_routes()
        self.decode_services()
        self.decode_limits()
        self.decode_accounts()
        self.invalid.entries = tuple(self.entries)
        return RoutingConfiguration(
            version or 0,
            tuple(self.routes),
            self.connections,
            self.bounds,
            None if self.accounts is None else tuple(self.accounts),
            self.warm_ups,
            self.invalid,
            version is not None,
        )

    def report(self, entry: str, mistake: str) -> None:
        """Adds an entry that cannot be decoded."""
        self.entries.append(InvalidEntry(entry, mistake))

    def has_list(self, name: str) -> bool:
        """Returns whether a field is a list; reports it otherwise."""
        if isinstance(self.row.get(name), list):
            return True
        self.report(name, "Input should be a valid list")
        return False

    def decode_entries(
        self, name: str, kind: type[DocumentT]
    ) -> Iterator[tuple[object, DocumentT | None]]:
        """Decodes the entries of a list and reports invalid ones.

        Yields:
          Each entry, and its document; None if it is invalid.
        """
        for index, entry in enumerate(self.row[name]):
            try:
                document = kind.model_validate(drop_nulls(entry))
            except ValidationError as err:
                title = read_field(entry, "name")
                suffix = "" if title is None else f" {title[:MAX_QUOTED_NAME]}"
                mistake = describe_first_error(err)
                self.report(f"{name}[{index}]{suffix}", mistake)
                yield entry, None
            else:
                yield entry, document

    def decode_routes(self) -> None:
        """Decodes the routes."""
        if not self.has_list("routes"):
            self.invalid.any_host = True
            return
        for entry, document in self.decode_entries("routes", RouteDocument):
            if document is not None:
                self.routes.append(document.to_route())
            else:
                self.add_invalid_route(entry, self.entries[-1].mistake)

    def add_invalid_route(self, entry: object, mistake: str) -> None:
        """Adds the route of an invalid entry as far as its place is known."""
        host = read_field(entry, "host")
        prefix = read_field(entry, "prefix")
        if host is None:
            self.invalid.any_host = True
            return
        host = normalise_host(host)
        if prefix is None or prefix != complete_prefix(prefix):
            self.invalid.hosts.add(host)
        if prefix is not None:
            name = read_field(entry, "name") or ""
            prefix = complete_prefix(prefix)
            self.routes.append(
                Route(name, host, prefix, False, 0.0, 0.0, mistake=mistake)
            )

    def decode_services(self) -> None:
        """Decodes the terms of services, after the routes.

        An entry without a valid name may be that of any service without one.
        """
        if self.row.get("services") is None:
            return
        if not self.has_list("services"):
            self.add_unlisted_services()
            return
        any_service = False
        for entry, document in self.decode_entries("services", ServiceDocument):
            if document is None:
                name = read_field(entry, "name")
                any_service |= not name
                if name:
                    self.invalid.services.add(name)
                continue
            self.connections[document.name] = cap_count(document.max_conns)
            warm_up = document.to_warm_up()
            if warm_up is not None:
                self.warm_ups[document.name] = warm_up
        if any_service:
            self.add_unlisted_services()

    def add_unlisted_services(self) -> None:
        """Adds the services of routes that have no valid entry."""
        for route in self.routes:
            named = {*route.shards, *(one.name for one in route.services)}
            self.invalid.services |= named - self.connections.keys()

    def decode_accounts(self) -> None:
        """Decodes the accounts.

        A field that is no list still states that callers need a key.
        """
        if "tenants" not in self.row:
            return
        self.accounts = []
        if not self.has_list("tenants"):
            self.invalid.accounts = True
            return
        for entry, document in self.decode_entries("tenants", AccountDocument):
            if document is not None:
                self.accounts.append(document.to_account())
            else:
                self.add_invalid_account(entry)

    def add_invalid_account(self, entry: object) -> None:
        """Adds what is known of the account of an invalid entry."""
        name = read_field(entry, "name")
        if name is not None:
            self.invalid.account_names.add(name)
        keys = entry.get("api_keys") if isinstance(entry, dict) else entry
        if keys is None:
            return
        if not isinstance(keys, list):
            self.invalid.any_key = True
            return
        self.invalid.keys.update(key for key in keys if is_text(key))
        self.invalid.any_key |= not all(is_text(key) for key in keys)

    def decode_limits(self) -> None:
        """Decodes the limits on callers' requests, each on its own.

        One that is invalid has its default.
        """
        value = drop_nulls(self.row.get("limits"))
        if value is None:
            return
        try:
            self.bounds = LimitsDocument.model_validate(value).to_limits()
            return
        except ValidationError as err:
            errors = err.errors(include_input=False)
        names = {str(one["loc"][0]) for one in errors if one["loc"]}
        for one in errors:
            place = ".".join(["limits", *(str(name) for name in one["loc"])])
            self.report(place, one["msg"])
        self.invalid.limits = {
            LIMIT_NAMES[name] for name in names or LIMIT_NAMES
        }
        if isinstance(value, dict):
            rest = {
                name: one for name, one in value.items() if name not in names
            }
            self.bounds = LimitsDocument.model_validate(rest).to_limits()


def decode_configuration(value: bytes) -> Result[RoutingConfiguration, str]:
    """Decodes a configuration.

    Returns:
      The configuration, with its invalid entries; an error that states the
      problem if the value as a whole is not one.
    """
    row = parse_object(value)
    if isinstance(row, Err):
        return row
    if "routes" not in row.ok_value:
        return Err("not an object with routes")
    return Ok(ConfigurationDecoder(row.ok_value).decode())


def read_version(value: bytes) -> int | None:
    """Returns the version of a configuration, None if it is unknown."""
    row = parse_object(value)
    return None if isinstance(row, Err) else read_version_field(row.ok_value)


def read_version_field(row: dict[str, Any]) -> int | None:
    """Returns the version in a configuration, None if it is unknown."""
    version = row.get("version")
    is_number = isinstance(version, int) and not isinstance(version, bool)
    return version if is_number else None


def complete_prefix(text: str) -> str:
    """Returns a path prefix with a slash at both ends."""
    if not text.startswith("/"):
        text = f"/{text}"
    return text if text.endswith("/") else f"{text}/"


def drop_nulls(entry: object) -> object:
    """Returns an entry without the fields that are null.

    An account whose rate is null is kept as it is: its limit would be lifted.
    """
    if not isinstance(entry, dict):
        return entry
    return {
        name: value
        for name, value in entry.items()
        if value is not None or name == "rate_per_s"
    }


def read_field(entry: object, name: str) -> str | None:
    """Returns a field of an entry, None if it is not valid text."""
    value = entry.get(name) if isinstance(entry, dict) else None
    return value if is_text(value) else None
