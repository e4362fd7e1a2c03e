"""Documents of the operators' configuration.

Each entry is decoded on its own. One that cannot be decoded is described in the
result, and costs only the requests that it is about; all others are in force.
A field with the value null counts as one that is left out.
"""

from __future__ import annotations

import dataclasses
import json
import re
from typing import Annotated, Any, Literal, Self, TypeGuard, TypeVar

from pydantic import (
    AfterValidator,
    Field,
    TypeAdapter,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result

from arbutusbridge.forwarding.model import (
    Account,
    InvalidEntry,
    InvalidParts,
    RequestLimits,
    Route,
    RoutingConfiguration,
    WarmUp,
    WeightedService,
)
from arbutusbridge.forwarding.routes import normalise_host
from arbutusbridge.platform.fields import (
    Document,
    WholeNumber,
    describe_first_error,
)

CONFIGURATION_KEY = "op/config"

MAX_NUMBER = 1e100
"""Greater numbers are decoded as this one. Sums and products of it are finite,
and no rate, weight or time is greater."""

MAX_EXACT_DIGITS = 100
"""Maximum number of digits of a whole number that is decoded exactly."""

MAX_COUNT = 2**31 - 1
"""Greater counts are decoded as this one, which fits into every message."""

MAX_DURATION_MS = 86_400_000.0
"""Longer durations are decoded as this one."""

MIN_TARGET_MS = 1.0
MIN_RATE = 1e-6
"""Shorter targets and smaller rates are decoded as these, except a rate of 0,
which stands for no limit."""

MAX_DEPTH = 32
"""Depth below which the parts of a deeply nested value are dropped. No valid
field is nested as deeply."""

MAX_QUOTED_NAME = 100
"""Maximum length of a name in the description of an entry."""

JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
"""Strings and brackets of JSON text."""

DocumentT = TypeVar("DocumentT", bound=Document)


def cap_count(number: int) -> int:
    """Returns a count, at most MAX_COUNT in either direction."""
    return max(-MAX_COUNT, min(number, MAX_COUNT))


def check_names(names: list[str]) -> list[str]:
    """Returns the different names of a list, in order.

    Raises:
      ValueError: One of them is empty.
    """
    if not all(names):
        raise ValueError("a name is empty")
    return list(dict.fromkeys(names))


def check_prefix(prefix: str) -> str:
    """Returns a path prefix.

    Raises:
      ValueError: It does not begin and end with a slash.
    """
    if prefix != complete_prefix(prefix):
        raise ValueError("it does not begin and end with a slash")
    return prefix


def complete_prefix(text: str) -> str:
    """Returns a path prefix with a slash at both ends."""
    if not text.startswith("/"):
        text = f"/{text}"
    return text if text.endswith("/") else f"{text}/"


def check_text(text: str) -> str:
    """Returns text that can be encoded.

    Raises:
      ValueError: It has surrogates.
    """
    if not is_text(text):
        raise ValueError("it is not valid Unicode")
    return text


Text = Annotated[str, AfterValidator(check_text)]
Count = Annotated[WholeNumber, AfterValidator(cap_count)]
Names = Annotated[list[Text], AfterValidator(check_names)]
Prefix = Annotated[Text, AfterValidator(check_prefix)]
Duration = Annotated[
    float,
    Field(ge=0),
    AfterValidator(lambda value: min(value, MAX_DURATION_MS)),
]
Rate = Annotated[
    float,
    Field(ge=0),
    AfterValidator(lambda value: max(value, MIN_RATE) if value else 0.0),
]


class WeightedServiceDocument(Document):
    """Entry of ``weighted_backends``.

    Attributes:
      weight: Share of the requests; 0 for a part that gets none.
    """

    service: Text = Field(min_length=1)
    weight: float = Field(ge=0)


class RouteDocument(Document):
    """Entry of ``routes``.

    Attributes:
      priority: Rank; a lower value is more urgent.
      max_attempts: Maximum number of upstreams, not sends, per request.
      target_latency_ms: Time within which an answer is fully useful.
      timeout_ms: Maximum time that a caller is kept waiting.
      fanout_services: Shards; each is a service of its own.
      top_k: Number of records in an answer, which every route with shards
        states.
      min_shard_ratio: Minimum fraction of the shards in an answer.
      allow_anonymous: Whether requests without a key are accepted.
      allowed_regions: Regions that may run its requests, empty for all.
    """

    name: Text
    host: Text
    prefix: Prefix
    kind: Literal["idempotent", "non_idempotent"]
    timeout_ms: Duration
    target_latency_ms: Duration
    priority: Count = 0
    max_attempts: Count = Field(default=1, ge=0)
    service: Text = ""
    weighted_backends: list[WeightedServiceDocument] = []
    fanout_services: Names = []
    top_k: Count | None = Field(default=None, ge=0)
    min_shard_ratio: float = Field(default=1.0, ge=0, le=1)
    allow_anonymous: bool = False
    allowed_regions: Names = []

    @model_validator(mode="after")
    def check_records(self) -> Self:
        """Checks that a route with shards states the number of records."""
        if self.fanout_services and self.top_k is None:
            raise ValueError("a route with shards has no top_k")
        return self

    def to_route(self) -> Route:
        """Returns the route that the entry describes."""
        services = tuple(
            WeightedService(part.service, part.weight)
            for part in self.weighted_backends
        )
        if not services and self.service:
            services = (WeightedService(self.service),)
        return Route(
            name=self.name,
            host=normalise_host(self.host),
            prefix=self.prefix,
            idempotent=self.kind == "idempotent",
            timeout_s=self.timeout_ms / 1000,
            target_s=max(self.target_latency_ms, MIN_TARGET_MS) / 1000,
            urgency=self.priority,
            most_upstreams=self.max_attempts,
            services=() if self.fanout_services else services,
            shards=tuple(self.fanout_services),
            max_records=self.top_k or 0,
            least_coverage=self.min_shard_ratio,
            allows_anonymous=self.allow_anonymous,
            homes=frozenset(self.allowed_regions),
        )


class ServiceDocument(Document):
    """Entry of ``services``.

    Attributes:
      max_conns: Connections that one upstream accepts from all callers
        together.
      warmup_s: Time for which an upstream is cold after its start.
      warmup_per_s: Requests per second that a cold one takes from all instances
        together, 0 for no limit.
    """

    name: Text = Field(min_length=1)
    max_conns: Count = Field(default=64, ge=1)
    warmup_s: float = Field(default=0.0, ge=0)
    warmup_per_s: Rate = 0.0


class AccountDocument(Document):
    """Entry of ``tenants``.

    Attributes:
      name: Name, which is sent to upstreams in a header and therefore has no
        control characters.
      priority: Rank that takes precedence over that of a route.
      rate_per_s: Requests per second, 0 for no limit.
      burst: Requests beyond the rate that may come at once.
      allowed_regions: Regions that may run its requests, empty for all.
    """

    name: Text = Field(pattern=r"^[^\x00-\x1f\x7f]+$")
    api_keys: list[Text] = Field(default=[], repr=False)
    priority: Count | None = None
    rate_per_s: Rate = 0.0
    burst: float = Field(default=0.0, ge=0)
    allowed_regions: Names = []

    def to_account(self) -> Account:
        """Returns the account that the entry describes."""
        return Account(
            self.name,
            tuple(self.api_keys),
            self.priority,
            self.rate_per_s,
            self.burst,
            frozenset(self.allowed_regions),
        )


class LimitsDocument(Document):
    """Field ``limits``: limits on callers' requests."""

    max_header_bytes: Count = Field(default=16_384, ge=1)
    max_body_bytes: Count = Field(default=262_144, ge=0)
    header_timeout_ms: Duration = Field(default=10_000, gt=0)
    idle_timeout_ms: Duration = Field(default=60_000, gt=0)

    def to_limits(self) -> RequestLimits:
        """Returns the limits that the field describes."""
        return RequestLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / 1000,
            self.idle_timeout_ms / 1000,
        )


LIMIT_NAMES = {
    "max_header_bytes": "header_bytes",
    "max_body_bytes": "body_bytes",
    "header_timeout_ms": "header_timeout_s",
    "idle_timeout_ms": "idle_timeout_s",
}
"""Names of the limits in the model, by field of the document."""

VERSION_ADAPTER = TypeAdapter(WholeNumber)


@dataclasses.dataclass(slots=True)
class ConfigurationDecoder:
    """Parts of a configuration that have been decoded so far.

    Attributes:
      version: Version, None if it is unknown.
      entries: Entries that cannot be decoded.
      routes: Routes, with those of invalid entries whose place is known.
      hosts: Hosts of which a route has no valid prefix.
      any_host: Whether the host of a route, or all routes, are unknown.
      connections: Connections of an upstream, by service.
      warm_ups: Warm-up of the upstreams, by service.
      services: Services whose entry is invalid.
      any_service: Whether the name of such a service is unknown.
      accounts: Accounts, None if the configuration has none.
      keys: Valid keys of accounts whose entry is invalid.
      any_key: Whether such an account has further keys, which are unknown.
      account_names: Names of the accounts whose entry is invalid.
      accounts_unknown: Whether it is unknown which accounts there are.
      bounds: Limits on callers' requests.
      limits: Names of the limits that are unknown.
    """

    version: int | None = None
    entries: list[InvalidEntry] = dataclasses.field(default_factory=list)
    routes: list[Route] = dataclasses.field(default_factory=list)
    hosts: set[str] = dataclasses.field(default_factory=set)
    any_host: bool = False
    connections: dict[str, int] = dataclasses.field(default_factory=dict)
    warm_ups: dict[str, WarmUp] = dataclasses.field(default_factory=dict)
    services: set[str] = dataclasses.field(default_factory=set)
    any_service: bool = False
    accounts: list[Account] | None = None
    keys: set[str] = dataclasses.field(default_factory=set, repr=False)
    any_key: bool = False
    account_names: set[str] = dataclasses.field(default_factory=set)
    accounts_unknown: bool = False
    bounds: RequestLimits = dataclasses.field(default_factory=RequestLimits)
    limits: frozenset[str] = frozenset()

    def decode_version(self, row: dict[str, Any]) -> None:
        """Decodes the version."""
        try:
            self.version = VERSION_ADAPTER.validate_python(
                row.get("version"), strict=True
            )
        except ValidationError as err:
            mistake = describe_first_error(err)
            self.entries.append(InvalidEntry("version", mistake))

    def decode_entry(
        self, kind: type[DocumentT], place: str, entry: object
    ) -> DocumentT | None:
        """Decodes one entry of a list; None if it is invalid."""
        try:
            return kind.model_validate(drop_nulls(entry))
        except ValidationError as err:
            name = read_field(entry, "name")
            if name is not None:
                place = f"{place} {name[:MAX_QUOTED_NAME]}"
            mistake = describe_first_error(err)
            self.entries.append(InvalidEntry(place, mistake))
            return None

    def read_list(self, row: dict[str, Any], name: str) -> list[Any] | None:
        """Returns a list of entries; None if it is not one."""
        value = row.get(name)
        if isinstance(value, list):
            return value
        self.entries.append(InvalidEntry(name, "Input should be a valid list"))
        return None

    def decode_routes(self, row: dict[str, Any]) -> None:
        """Decodes the routes."""
        entries = self.read_list(row, "routes")
        if entries is None:
            self.any_host = True
            return
        for index, entry in enumerate(entries):
            place = f"routes[{index}]"
            document = self.decode_entry(RouteDocument, place, entry)
            if document is not None:
                self.routes.append(document.to_route())
            else:
                self.add_invalid_route(entry, self.entries[-1].mistake)

    def add_invalid_route(self, entry: object, mistake: str) -> None:
        """Adds the route of an invalid entry as far as its place is known."""
        host = read_field(entry, "host")
        prefix = read_field(entry, "prefix")
        if host is None:
            self.any_host = True
            return
        host = normalise_host(host)
        if prefix is None or prefix != complete_prefix(prefix):
            self.hosts.add(host)
        if prefix is not None:
            name = read_field(entry, "name") or ""
            prefix = complete_prefix(prefix)
            self.routes.append(
                Route(name, host, prefix, False, 0.0, 0.0, mistake=mistake)
            )

    def decode_services(self, row: dict[str, Any]) -> None:
        """Decodes the terms of services."""
        if row.get("services") is None:
            return
        entries = self.read_list(row, "services")
        if entries is None:
            self.any_service = True
            return
        for index, entry in enumerate(entries):
            place = f"services[{index}]"
            document = self.decode_entry(ServiceDocument, place, entry)
            if document is None:
                name = read_field(entry, "name")
                if name:
                    self.services.add(name)
                else:
                    self.any_service = True
                continue
            self.connections[document.name] = document.max_conns
            if document.warmup_per_s > 0:
                self.warm_ups[document.name] = WarmUp(
                    document.warmup_s, document.warmup_per_s
                )

    def find_invalid_services(self) -> frozenset[str]:
        """Returns the services of routes whose terms may be invalid.

        An entry without a valid name may be that of any service without one.
        """
        found = set(self.services)
        if self.any_service:
            for route in self.routes:
                found.update(route.shards)
                found.update(one.name for one in route.services)
            found -= self.connections.keys() - self.services
        return frozenset(found)

    def decode_accounts(self, row: dict[str, Any]) -> None:
        """Decodes the accounts.

        A field that is no list still states that callers need a key.
        """
        if "tenants" not in row:
            return
        self.accounts = []
        entries = self.read_list(row, "tenants")
        if entries is None:
            self.accounts_unknown = True
            return
        for index, entry in enumerate(entries):
            place = f"tenants[{index}]"
            document = self.decode_entry(AccountDocument, place, entry)
            if document is not None:
                self.accounts.append(document.to_account())
            else:
                self.add_invalid_account(entry)

    def add_invalid_account(self, entry: object) -> None:
        """Adds what is known of the account of an invalid entry."""
        name = read_field(entry, "name")
        if name is not None:
            self.account_names.add(name)
        keys = entry.get("api_keys") if isinstance(entry, dict) else entry
        if keys is None:
            return
        if not isinstance(keys, list):
            self.any_key = True
            return
        self.keys.update(key for key in keys if is_text(key))
        self.any_key |= not all(is_text(key) for key in keys)

    def decode_limits(self, row: dict[str, Any]) -> None:
        """Decodes the limits on callers' requests, each on its own.

        One that is invalid has its default.
        """
        value = drop_nulls(row.get("limits"))
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
            self.entries.append(InvalidEntry(place, one["msg"]))
        self.limits = frozenset(
            LIMIT_NAMES[name] for name in names or LIMIT_NAMES
        )
        if isinstance(value, dict):
            rest = {
                name: one for name, one in value.items() if name not in names
            }
            self.bounds = LimitsDocument.model_validate(rest).to_limits()

    def build(self) -> RoutingConfiguration:
        """Returns the configuration."""
        return RoutingConfiguration(
            self.version or 0,
            tuple(self.routes),
            self.connections,
            self.bounds,
            None if self.accounts is None else tuple(self.accounts),
            self.warm_ups,
            InvalidParts(
                tuple(self.entries),
                frozenset(self.hosts),
                self.any_host,
                self.find_invalid_services(),
                frozenset(self.keys),
                self.any_key,
                frozenset(self.account_names),
                self.accounts_unknown,
                self.limits,
            ),
            self.version is not None,
        )


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
    decoder = ConfigurationDecoder()
    decoder.decode_version(row.ok_value)
    decoder.decode_routes(row.ok_value)
    decoder.decode_services(row.ok_value)
    decoder.decode_limits(row.ok_value)
    decoder.decode_accounts(row.ok_value)
    return Ok(decoder.build())


def read_version(value: bytes) -> int | None:
    """Returns the version of a configuration, None if it is unknown."""
    row = parse_object(value)
    if isinstance(row, Err):
        return None
    decoder = ConfigurationDecoder()
    decoder.decode_version(row.ok_value)
    return decoder.version


def parse_object(value: bytes) -> Result[dict[str, Any], str]:
    """Parses a JSON object.

    Bytes that are not UTF-8 become surrogates, which no valid field contains.
    """
    text = value.decode("utf-8-sig", errors="surrogateescape")
    try:
        try:
            row = parse(text)
        except RecursionError:
            row = parse(drop_deep_parts(text))
    except (ValueError, RecursionError) as err:
        return Err(f"not JSON: {err}")
    if not isinstance(row, dict):
        return Err("not an object")
    return Ok(row)


def parse(text: str) -> Any:
    """Parses JSON text.

    Raises:
      ValueError: It is not JSON.
      RecursionError: It is too deeply nested.
    """
    return json.loads(
        text, strict=False, parse_int=parse_whole, parse_float=parse_number
    )


def parse_whole(text: str) -> int | float:
    """Returns a whole number; one of very many digits is capped."""
    if len(text) <= MAX_EXACT_DIGITS:
        return int(text)
    return parse_number(text)


def parse_number(text: str) -> float:
    """Returns a number, at most MAX_NUMBER in either direction."""
    return max(-MAX_NUMBER, min(float(text), MAX_NUMBER))


def drop_deep_parts(text: str) -> str:
    """Returns JSON text with 0 for what is nested below MAX_DEPTH."""
    kept: list[str] = []
    depth = begin = 0
    for token in JSON_TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH:
                kept.append(text[begin : token.start()])
        elif token[0] in "]}":
            if depth == MAX_DEPTH:
                kept.append("0")
                begin = token.end()
            depth -= 1
    kept.append(text[begin:])
    return "".join(kept)


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


def is_text(value: object) -> TypeGuard[str]:
    """Returns whether a value is text that can be encoded."""
    try:
        return isinstance(value, str) and value.encode() is not None
    except UnicodeEncodeError:
        return False


def read_field(entry: object, name: str) -> str | None:
    """Returns a field of an entry, None if it is not valid text."""
    value = entry.get(name) if isinstance(entry, dict) else None
    return value if is_text(value) else None
