"""Stand-ins for the platform's store and upstreams, and a caller's encoding."""

from __future__ import annotations

import base64
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import orjson

from arbutusbridge.core.messages import StoreItem
from arbutusbridge.daemon.httpmessages import encode_response
from arbutusbridge.platform import http
from arbutusbridge.platform.documents import UPSTREAMS_PREFIX
from arbutusbridge.standins.observations import CallerAnswer, UpstreamRun
from arbutusbridge.standins.server import StandInServer

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.forwarding.model import (
        Account,
        Announcement,
        RoutingConfiguration,
    )
    from arbutusbridge.standins.server import ServerConnection

Scheduler = Callable[[float, Callable[[], None]], None]
"""Calls a function after a delay in seconds."""

MAX_PAGE_ITEMS = 500
"""Maximum number of items per page."""

MAX_EXTRA_DELAY_S = 0.02
"""Maximum delay of additional bytes after a response."""

INVALID_STATUSES = (
    *("000", "099", "600", "999", "20", "99", "1000", "9999"),
    *("abc", "2x0"),
)
"""Statuses of a faulty upstream that HTTP does not have."""

RECORD_BYTES = 16
"""Size of one record in the body of an upstream's response."""


class StoreFault(enum.Enum):
    """Fault of the store.

    REFUSING answers every call with status 503. SILENT answers none. LOSING
    executes calls without answering them; only a watch whose changes have
    already been made is answered.
    """

    NONE = "none"
    REFUSING = "refusing"
    SILENT = "silent"
    LOSING = "losing"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the contents of the store at one moment.

    Attributes:
      revision: Revision of the last change.
      discarded_revision: Revision up to which the history was discarded.
      items: Items with their lease, by key.
      history: Changes, oldest first.
      leases: Time to live in seconds and end time, by lease number.
    """

    revision: int
    discarded_revision: int
    items: dict[str, tuple[StoreItem, int]]
    history: list[StoreItem]
    leases: dict[int, tuple[float, float]]


@dataclass(slots=True)
class Watch:
    """Pending watch.

    Attributes:
      connection: Connection that waits for the response.
      prefix: Prefix of the keys.
      after: Revision after which changes are reported.
    """

    connection: ServerConnection
    prefix: str
    after: int


class StoreStandIn:
    """In-memory stand-in for the platform's store.

    Attributes:
      items: Current items with their lease, by key.
      history: Changes, oldest first.
      discarded_revision: Revision up to which the history was discarded.
      revision: Revision of the last change.
      leases: Time to live in seconds and end time, by lease number.
      watches: Pending watches.
      fault: Current fault.
      era: Number of times that it has come back from a copy, and one.
    """

    def __init__(
        self,
        hub: SocketHub,
        address: tuple[str, int],
        clock: Callable[[], float],
        schedule: Scheduler,
    ) -> None:
        self.clock = clock
        self.schedule = schedule
        self.items: dict[str, tuple[StoreItem, int]] = {}
        self.history: list[StoreItem] = []
        self.discarded_revision = 0
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.watches: list[Watch] = []
        self.fault = StoreFault.NONE
        self.era = 1
        self.server = StandInServer(hub, address, self.serve, self.on_lost)

    def copy(self) -> StoreCopy:
        """Returns a copy of the present contents."""
        return StoreCopy(
            self.revision,
            self.discarded_revision,
            dict(self.items),
            list(self.history),
            dict(self.leases),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Comes back from a copy; what was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self.discarded_revision = copy.discarded_revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.leases = dict(copy.leases)
        self.watches.clear()
        for connection in list(self.server.connections):
            connection.close()

    def respond(
        self, connection: ServerConnection, status: int, body: bytes
    ) -> None:
        """Writes a response, which names the era."""
        connection.respond(status, body, f"Store-Era: {self.era}\r\n")

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key and returns the new revision."""
        self.revision += 1
        item = StoreItem(key, value, self.revision)
        self.items[key] = (item, lease)
        self.record_change(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Deletes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record_change(StoreItem(key, None, self.revision))

    def record_change(self, item: StoreItem) -> None:
        """Records a change and notifies the watches."""
        self.history.append(item)
        if self.fault is StoreFault.NONE:
            self.answer_ready_watches()

    def answer_ready_watches(self) -> None:
        """Answers the watches that have events."""
        for watch in list(self.watches):
            events = self.find_changes(watch.prefix, watch.after)
            if events:
                self.watches.remove(watch)
                self.answer_watch(watch, events)

    def discard_history(self) -> None:
        """Discards the history of changes."""
        self.discarded_revision = self.revision
        self.history.clear()

    def set_fault(self, fault: StoreFault) -> None:
        """Starts or ends a fault; a refusing store closes all connections."""
        self.fault = fault
        if fault is StoreFault.REFUSING:
            for connection in list(self.server.connections):
                connection.close()
        if fault is StoreFault.NONE:
            self.answer_ready_watches()

    def expire_leases(self) -> None:
        """Removes expired leases and their keys."""
        now = self.clock()
        expired = {n for n, (_, end) in self.leases.items() if end <= now}
        for number in expired:
            del self.leases[number]
        self.delete_keys(expired)

    def delete_keys(self, leases: set[int]) -> None:
        """Deletes the keys of leases."""
        held = [key for key, (_, n) in self.items.items() if n in leases]
        for key in held:
            self.delete(key)

    def serve(
        self, connection: ServerConnection, method: str, path: str, body: bytes
    ) -> None:
        """Serves one call."""
        if self.fault is StoreFault.REFUSING:
            self.respond(connection, 503, b"{}")
            return
        if self.fault is StoreFault.SILENT:
            return
        self.expire_leases()
        parts = urlsplit(path)
        query = {name: one[0] for name, one in parse_qs(parts.query).items()}
        if parts.path == "/kv-watch":
            self.watch(connection, query)
            return
        status, answer = self.execute(method, parts.path, query, body)
        if self.fault is not StoreFault.LOSING:
            self.respond(connection, status, orjson.dumps(answer))

    def execute(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Executes a call other than a watch and returns status and body."""
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            found = [
                item
                for key, (item, _) in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            rows = [self.encode_item(item) for item in found[:MAX_PAGE_ITEMS]]
            more = len(found) > MAX_PAGE_ITEMS
            return 200, self.page(items=rows, has_more=more)
        _, _, number = path.rpartition("/")
        if path == "/kv-lease":
            ttl_s = orjson.loads(body)["ttl_ms"] / 1000
            lease = max(self.leases, default=100) + 1
            self.leases[lease] = (ttl_s, self.clock() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": ttl_s * 1000}
        if path == "/kv-txn":
            return self.write(orjson.loads(body))
        if not number.isdigit() or int(number) not in self.leases:
            return 404, {}
        if method == "DELETE":
            del self.leases[int(number)]
            self.delete_keys({int(number)})
        else:
            ttl_s, _ = self.leases[int(number)]
            self.leases[int(number)] = (ttl_s, self.clock() + ttl_s)
        return 200, {}

    def write(self, transaction: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Executes the writes and deletions of a transaction."""
        for put in transaction["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put["lease"])
        for key in transaction["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    def page(self, **fields: Any) -> dict[str, Any]:
        """Returns the fields of a response, including the store's revision."""
        return {**fields, "current_rev": self.revision}

    def encode_item(self, item: StoreItem) -> dict[str, Any]:
        """Returns the wire format of an item or a deletion."""
        if item.value is None:
            return {
                "key": item.key,
                "revision": item.revision,
                "deleted": True,
            }
        value = base64.b64encode(item.value).decode()
        return {"key": item.key, "value": value, "revision": item.revision}

    def find_changes(self, prefix: str, after: int) -> list[StoreItem]:
        """Returns the changes after a revision."""
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]

    def watch(
        self, connection: ServerConnection, query: dict[str, str]
    ) -> None:
        """Answers a watch when there are events, or after its wait time."""
        after = int(query["after"])
        if not self.discarded_revision <= after <= self.revision:
            self.respond(connection, 410, b"{}")
            return
        watch = Watch(connection, query.get("prefix", ""), after)
        events = self.find_changes(watch.prefix, after)
        if events:
            self.answer_watch(watch, events)
            return
        self.watches.append(watch)
        self.schedule(
            int(query["wait_ms"]) / 1000, lambda: self.expire_watch(watch)
        )

    def expire_watch(self, watch: Watch) -> None:
        """Answers a watch without changes after its wait time."""
        if watch in self.watches and self.fault is StoreFault.NONE:
            self.watches.remove(watch)
            self.answer_watch(watch, [])

    def answer_watch(self, watch: Watch, events: list[StoreItem]) -> None:
        """Sends the events to a watch."""
        rows = [self.encode_item(item) for item in events]
        body = self.page(events=rows)
        self.respond(watch.connection, 200, orjson.dumps(body))

    def on_lost(self, connection: ServerConnection) -> None:
        """Removes the watches of a closed connection."""
        self.watches = [
            one for one in self.watches if one.connection is not connection
        ]


class UpstreamFault(enum.Enum):
    """Fault of an upstream.

    HANGING runs requests and never answers. FAILING answers with status 500.
    SHEDDING rejects requests without running them. DAMAGING answers with the id
    of another request. DROPPING closes the connection instead of answering.
    """

    NONE = "none"
    HANGING = "hanging"
    FAILING = "failing"
    SHEDDING = "shedding"
    DAMAGING = "damaging"
    DROPPING = "dropping"


@dataclass(slots=True)
class UpstreamStandIn:
    """Stand-in for one upstream on its own port.

    Attributes:
      announcement: Its announcement.
      work_s: Mean processing time of a request.
      ran: Function called for each request that starts to run or is shed.
      fault: Current fault.
      failure_status: Status of its responses while it fails.
      runs: Number of runs so far.
      max_rate: Rate limit that it names in its responses, None for none.
      leaving: Whether its responses say that it is leaving.
      retry_after_s: Time for which its rejections ask for no requests, None if
        they do not; each is reported through ``paused``.
      paused: Called with the run that such a rejection answers.
      sends_extra_bytes: Whether the first part of a copy follows a response.
      invalid_share: Fraction of its responses with an invalid status.
      crash_marker: Part of the path of requests that crash it, empty for none.
      on_crash: Called with it and the run that crashed it.
    """

    announcement: Announcement
    hub: SocketHub
    clock: Callable[[], float]
    schedule: Scheduler
    rng: random.Random
    ran: Callable[[UpstreamRun], None]
    address: tuple[str, int]
    work_s: float = 0.01
    fault: UpstreamFault = UpstreamFault.NONE
    failure_status: int = 500
    runs: int = 0
    max_rate: float | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    paused: Callable[[UpstreamRun], None] = lambda _run: None
    sends_extra_bytes: bool = False
    invalid_share: float = 0.0
    crash_marker: str = ""
    on_crash: Callable[[UpstreamStandIn, UpstreamRun], None] = (
        lambda _upstream, _run: None
    )
    server: StandInServer = field(init=False)

    def __post_init__(self) -> None:
        self.server = StandInServer(self.hub, self.address, self.serve)

    def serve(
        self,
        connection: ServerConnection,
        _method: str,
        path: str,
        _body: bytes,
    ) -> None:
        """Runs a request or rejects it."""
        headers = connection.headers
        name = self.announcement.upstream.encode()
        if headers.get(http.EXPECTED_UPSTREAM_HEADER) != name:
            connection.respond(421, b"", "X-Not-Executed: 1\r\n")
            return
        request_id = headers[http.REQUEST_ID_HEADER].decode()
        service = self.announcement.service
        run = UpstreamRun(
            request_id, name.decode(), service, self.clock(), path
        )
        lines_received = connection.header_lines
        run.accounts = tuple(
            value.decode()
            for line, value in lines_received
            if line.lower() == http.ACCOUNT_HEADER
        )
        run.has_key = any(
            line.lower() == http.KEY_HEADER for line, _ in lines_received
        )
        if self.fault is UpstreamFault.SHEDDING:
            run.shed = True
            self.ran(run)
            lines = f"X-Not-Executed: 1\r\n{self.terms_headers}"
            if self.retry_after_s is not None:
                lines += f"Retry-After: {self.retry_after_s}\r\n"
                self.paused(run)
            connection.respond(503, b"", lines)
            return
        self.runs += 1
        self.ran(run)
        if self.crash_marker and self.crash_marker in path:
            self.on_crash(self, run)
            return
        if self.fault is UpstreamFault.HANGING:
            return
        # A request may run here twice at the same time; each run has its own
        # signature.
        stamp = f"{run.upstream}.{run.request_id}.{self.runs}"
        work_s = self.rng.uniform(0.5, 1.5) * self.work_s
        self.schedule(work_s, lambda: self.finish(connection, run, stamp))

    @property
    def terms_headers(self) -> str:
        """Header lines with its rate limit, and that it is leaving."""
        lines = ""
        if self.max_rate is not None:
            lines += f"Server-Limit: {self.max_rate}\r\n"
        if self.leaving:
            lines += "Server-Leaving: 1\r\n"
        return lines

    def finish(
        self, connection: ServerConnection, run: UpstreamRun, stamp: str
    ) -> None:
        """Answers a request."""
        body = self.rng.randbytes(RECORD_BYTES * self.rng.randint(1, 6))
        headers = f"X-Request-Id: {run.request_id}\r\n{self.terms_headers}"
        signed = f"{headers}X-Server-Stamp: {stamp}\r\n"
        if self.fault is UpstreamFault.DROPPING:
            connection.close()
        elif self.invalid_share and self.rng.random() < self.invalid_share:
            connection.write(encode_invalid_response(body, signed, self.rng))
        elif self.fault is UpstreamFault.FAILING:
            if self.retry_after_s is not None:
                signed += f"Retry-After: {self.retry_after_s}\r\n"
            connection.respond(self.failure_status, b"failed", signed)
        elif self.fault is UpstreamFault.DAMAGING:
            wrong = f"X-Request-Id: other\r\nX-Server-Stamp: {stamp}\r\n"
            connection.respond(200, body, wrong)
        else:
            run.stamp, run.body = stamp, body
            if self.leaving:
                run.said_leaving_at = self.clock()
            connection.respond(200, body, signed)
            if self.sends_extra_bytes:
                copy = encode_response(200, body, signed)
                part = copy[: self.rng.randrange(1, len(copy))]
                delay_s = self.rng.uniform(0.0, MAX_EXTRA_DELAY_S)
                self.schedule(delay_s, lambda: connection.write(part))


def encode_invalid_response(
    body: bytes, signed_headers: str, rng: random.Random
) -> bytes:
    """Encodes a response with an invalid status to a request that has run.

    With or without a signature, a statement that the request has not run, and a
    length or chunks.

    Args:
      body: Body.
      signed_headers: Header lines with the id of the request and the signature.
      rng: Random numbers that select the rest.
    """
    lines = f"HTTP/1.1 {rng.choice(INVALID_STATUSES)} X\r\n"
    if rng.random() < 0.5:
        lines += signed_headers
    if rng.random() < 0.3:
        lines += "X-Not-Executed: 1\r\n"
    framing = rng.choice(
        (
            b"\r\n%b" % body,
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body),
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
            % (len(body), body),
        )
    )
    return lines.encode() + framing


def encode_configuration(configuration: RoutingConfiguration) -> bytes:
    """Encodes a configuration as the operators write it."""
    routes = []
    for route in configuration.routes:
        entry: dict[str, Any] = {
            "name": route.name,
            "host": route.host,
            "prefix": route.prefix,
            "kind": "idempotent" if route.idempotent else "non_idempotent",
            "timeout_ms": route.timeout_s * 1000,
            "target_latency_ms": route.target_s * 1000,
            "max_attempts": route.most_upstreams,
        }
        if route.shards:
            entry["fanout_services"] = route.shards
            entry["top_k"] = route.max_records
            entry["min_shard_ratio"] = route.least_coverage
        else:
            entry["service"] = route.services[0].name
        if route.allows_anonymous:
            entry["allow_anonymous"] = True
        if route.homes:
            entry["allowed_regions"] = sorted(route.homes)
        routes.append(entry)
    services = [
        {"name": name, "max_conns": max_connections}
        for name, max_connections in configuration.connections.items()
    ]
    document: dict[str, Any] = {
        "version": configuration.version,
        "routes": routes,
        "services": services,
    }
    if configuration.accounts is not None:
        document["tenants"] = [
            encode_account(one) for one in configuration.accounts
        ]
    return orjson.dumps(document)


INVALID_ENTRIES: tuple[tuple[str, Any], ...] = (
    ("routes", {"host": "odd.example", "prefix": "/odd/", "kind": "odd"}),
    ("routes", {"name": "odd", "host": "odd.example", "prefix": 5}),
    ("routes", "odd"),
    ("services", {"name": "odd", "max_conns": -1}),
    ("tenants", {"name": "odd", "api_keys": ["odd"], "burst": -1}),
    ("tenants", {"name": "odd", "rate_per_s": "9"}),
)
"""Entries of a configuration that cannot be decoded, by their list. They
concern no requests of the soak."""


def add_invalid_entry(value: bytes, rng: random.Random) -> bytes:
    """Returns an encoded configuration with one more entry, an invalid one."""
    row = orjson.loads(value)
    name, entry = rng.choice([one for one in INVALID_ENTRIES if one[0] in row])
    row[name].insert(rng.randint(0, len(row[name])), entry)
    return orjson.dumps(row)


def encode_account(account: Account) -> dict[str, Any]:
    """Returns the entry of an account in a configuration."""
    entry: dict[str, Any] = {
        "name": account.name,
        "api_keys": account.keys,
        "rate_per_s": account.rate,
        "burst": account.burst,
        "allowed_regions": sorted(account.homes),
    }
    if account.urgency is not None:
        entry["priority"] = account.urgency
    return entry


def encode_announcement(
    announcement: Announcement, number: int = 0
) -> tuple[str, bytes]:
    """Encodes an announcement and returns its key and value.

    Args:
      announcement: The announcement.
      number: Its number among those of one start of the upstream.
    """
    ip, port = announcement.address
    value = {
        "service": announcement.service,
        "addr": f"{ip}:{port}",
        "zone": announcement.data_centre,
        "version": "v1",
        "slots": announcement.slots,
        "state": "draining" if announcement.leaving else "ready",
        "warmup_left_ms": round(announcement.warm_up_s * 1000),
        "born": announcement.started_ms,
        "seq": number,
    }
    return UPSTREAMS_PREFIX + announcement.upstream, orjson.dumps(value)


CLAIMED_ACCOUNT = "claimed"
"""Account name that callers with a key send and upstreams must not get."""


def encode_caller_request(
    request_id: str,
    method: str,
    target: str,
    host: str,
    deadline_ms: int,
    key: str = "",
) -> bytes:
    """Encodes a caller's request.

    Args:
      request_id: Id of the request.
      method: HTTP method.
      target: Path and query.
      host: Host that the caller names.
      deadline_ms: Time until its deadline, in milliseconds.
      key: Key of its account, empty for none. A request with one also claims
        an account, twice.
    """
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        lines.append(f"Authorization: Token {key}")
        lines.append(f"X-Tenant: {CLAIMED_ACCOUNT}")
        lines.append(f"x-tenant: {CLAIMED_ACCOUNT}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()


def decode_answer(
    status: int, headers: dict[bytes, bytes], body: bytes
) -> CallerAnswer:
    """Decodes an answer; header names are in lower case."""
    text = {name: value.decode() for name, value in headers.items()}
    stamps = text.get(b"x-shard-stamps", "")
    return CallerAnswer(
        status,
        text.get(http.REQUEST_ID_HEADER, ""),
        text.get(http.STAMP_HEADER, ""),
        [one.strip() for one in stamps.split(",")] if stamps else [],
        int(text.get(b"x-shards-missing", "0")),
        body,
    )
