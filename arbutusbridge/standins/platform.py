"""Simulated platform: key-value store and instance list."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import orjson
from circuits import BaseComponent, handler

from arbutusbridge.standins.server import StandInServer

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.standins.server import ServerConnection

KV_PREFIX = "/v1/kv/"
INSTANCE_LIST_PREFIX = "/v1/health/service/"
REGISTER_PATH = "/v1/agent/service/register"


@dataclass(slots=True)
class StoredValue:
    """Stored value and the index of its last change."""

    value: bytes
    index: int


@dataclass(slots=True)
class PlatformStandInFaults:
    """Faults of the simulated platform.

    Attributes:
      down: Whether it answers all requests with an error.
      lose_replies: Whether the replies to writes that took effect are lost.
    """

    down: bool = False
    lose_replies: bool = False


@dataclass(slots=True)
class KeyValueStore:
    """In-memory key-value store with compare-and-swap.

    Attributes:
      entries: Stored values by key.
      index: Index of the last change.
    """

    entries: dict[str, StoredValue] = field(default_factory=dict)
    index: int = 0

    def cas(self, key: str, value: bytes, index: int) -> int | None:
        """Writes a value if the current index of its key matches.

        Args:
          key: Key.
          value: New value.
          index: Expected index, 0 for a key that does not exist.

        Returns:
          The new index, or None if the index did not match.
        """
        current = self.entries.get(key)
        if index != (current.index if current is not None else 0):
            return None
        self.index += 1
        self.entries[key] = StoredValue(value, self.index)
        return self.index

    def list_keys(self, prefix: str, separator: str) -> list[str]:
        """Returns the keys under a prefix, cut after the next separator."""
        found = set()
        for key in self.entries:
            if key.startswith(prefix):
                name, cut, _ = key[len(prefix) :].partition(separator)
                found.add(prefix + name + cut)
        return sorted(found)

    def delete_tree(self, prefix: str) -> None:
        """Deletes all keys that start with a prefix."""
        self.index += 1
        for key in [k for k in self.entries if k.startswith(prefix)]:
            del self.entries[key]


@dataclass(slots=True)
class InstanceEntry:
    """Entry of the instance list.

    Attributes:
      name: Name of the instance.
      data_centre: Name of its data centre.
      address: IP address and port for peers.
      leaving: Whether the platform has put it into maintenance to remove it.
    """

    name: str
    data_centre: str
    address: tuple[str, int]
    leaving: bool = False

    def as_json(self) -> dict[str, Any]:
        """Returns the entry in the JSON format of Consul."""
        ip, port = self.address
        checks = [{"CheckID": "serfHealth", "Status": "passing"}]
        if self.leaving:
            check_id = f"_service_maintenance:{self.name}"
            checks.append({"CheckID": check_id, "Status": "critical"})
        return {
            "Node": {"Address": ip, "Datacenter": self.data_centre},
            "Service": {"ID": self.name, "Address": ip, "Port": port},
            "Checks": checks,
        }


class InstanceList:
    """Instance list that readers see with a lag.

    Attributes:
      lag_seconds: Age of the list that readers see, in seconds.
      entries: Current entries by name.
      snapshots: All states of the list with their times.
    """

    def __init__(self, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self.entries: dict[str, InstanceEntry] = {}
        self.snapshots: list[tuple[float, list[dict[str, Any]]]] = []

    def put(self, entry: InstanceEntry, now: float) -> None:
        """Adds or replaces an entry."""
        self.entries[entry.name] = entry
        self.save_snapshot(now)

    def delete(self, name: str, now: float) -> None:
        """Removes an entry."""
        self.entries.pop(name, None)
        self.save_snapshot(now)

    def save_snapshot(self, now: float) -> None:
        """Saves the current state of the list."""
        entries = [entry.as_json() for entry in self.entries.values()]
        self.snapshots.append((now, entries))

    def read(self, now: float) -> list[dict[str, Any]]:
        """Returns the list as it was ``lag_seconds`` ago."""
        seen: list[dict[str, Any]] = []
        for at, entries in self.snapshots:
            if at <= now - self.lag_seconds:
                seen = entries
        return seen


@dataclass(slots=True)
class PendingWatch:
    """Blocking read that waits for a change of its key."""

    connection: ServerConnection
    key: str
    index: int


class PlatformStandIn(BaseComponent):
    """Serves the platform's HTTP API from memory.

    Attributes:
      store: Key-value store.
      instances: Instance list.
      faults: Faults to simulate.
      calls: Number of requests by HTTP method.
      pending_watches: Blocking reads without an answer.
      era: Number of times that it has come back from a copy, and one.
    """

    channel = "platform_stand_in"

    def __init__(
        self, hub: SocketHub, timers: TimerService, address: tuple[str, int]
    ) -> None:
        super().__init__()
        self.timers = timers
        self.store = KeyValueStore()
        self.instances = InstanceList()
        self.faults = PlatformStandInFaults()
        self.calls: dict[str, int] = {}
        self.pending_watches: list[PendingWatch] = []
        self.era = 1
        self.server = StandInServer(
            hub, address, self.serve, self.on_disconnect
        )

    def serve(
        self,
        connection: ServerConnection,
        method: str,
        path: str,
        body: bytes,
    ) -> None:
        """Handles an HTTP request."""
        self.calls[method] = self.calls.get(method, 0) + 1
        if self.faults.down:
            self.respond(connection, 500, b"down")
            return
        parts = urlsplit(path)
        if method == "PUT" and parts.path == "/v1/txn":
            self.serve_transaction(connection, body)
        elif method == "GET" and parts.path.startswith(KV_PREFIX):
            query = parse_qs(parts.query, keep_blank_values=True)
            self.serve_read(connection, parts.path[len(KV_PREFIX) :], query)
        elif method == "DELETE" and parts.path.startswith(KV_PREFIX):
            key = parts.path[len(KV_PREFIX) :]
            if "recurse" in parse_qs(parts.query, keep_blank_values=True):
                self.store.delete_tree(key)
            else:
                self.store.entries.pop(key, None)
            self.respond(connection, 200, b"true")
        elif method == "GET" and parts.path.startswith(INSTANCE_LIST_PREFIX):
            seen = self.instances.read(self.timers.clock())
            self.respond(connection, 200, orjson.dumps(seen))
        elif method == "PUT" and parts.path == REGISTER_PATH:
            self.register_instance(connection, body)
        else:
            self.respond(connection, 404, b"")

    def register_instance(
        self, connection: ServerConnection, body: bytes
    ) -> None:
        """Adds an entry to the instance list."""
        item = orjson.loads(body)
        address = (item["Address"], item["Port"])
        place = item["Meta"]["data_centre"]
        entry = InstanceEntry(item["ID"], place, address)
        self.instances.put(entry, self.timers.clock())
        self.respond(connection, 200, b"")

    def serve_transaction(
        self, connection: ServerConnection, body: bytes
    ) -> None:
        """Handles a transaction with one compare-and-swap."""
        step = orjson.loads(body)[0]["KV"]
        value = base64.b64decode(step["Value"])
        index = self.store.cas(step["Key"], value, step["Index"])
        if self.faults.lose_replies:
            connection.close()
        elif index is None:
            self.respond(
                connection,
                409,
                b'{"Results": null, "Errors": [{"OpIndex": 0}]}',
            )
        else:
            result = {"Results": [{"KV": {"ModifyIndex": index}}]}
            self.respond(connection, 200, orjson.dumps(result))
        if index is not None:
            self.answer_watches(step["Key"])

    def serve_read(
        self,
        connection: ServerConnection,
        key: str,
        query: dict[str, list[str]],
    ) -> None:
        """Handles a read or key listing; a blocking read waits for a change."""
        if "keys" in query:
            listed = self.store.list_keys(key, query["separator"][0])
            self.respond(
                connection, 200 if listed else 404, orjson.dumps(listed)
            )
            return
        index = int(query.get("index", ["0"])[0])
        entry = self.store.entries.get(key)
        if index and entry is not None and entry.index <= index:
            watch = PendingWatch(connection, key, index)
            self.pending_watches.append(watch)
            seconds = float(query.get("wait", ["300s"])[0].rstrip("s"))
            self.timers.after(seconds, self.channel, watch)
            return
        self.respond_entry(connection, key)

    def respond(
        self, connection: ServerConnection, status: int, body: bytes
    ) -> None:
        """Writes a response, which names the era."""
        connection.respond(status, body, f"Store-Era: {self.era}\r\n")

    def restore(self, entries: dict[str, StoredValue], index: int) -> None:
        """Comes back from a copy; what was written since is lost."""
        self.era += 1
        self.store.entries = dict(entries)
        self.store.index = index

    def respond_entry(self, connection: ServerConnection, key: str) -> None:
        """Sends the value of a key, or 404."""
        entry = self.store.entries.get(key)
        if entry is None:
            self.respond(connection, 404, b"")
            return
        item = {
            "Key": key,
            "Value": base64.b64encode(entry.value).decode(),
            "ModifyIndex": entry.index,
        }
        self.respond(connection, 200, orjson.dumps([item]))

    def answer_watches(self, key: str) -> None:
        """Answers the pending watches of a changed key."""
        ready = [w for w in self.pending_watches if w.key == key]
        self.pending_watches = [w for w in self.pending_watches if w.key != key]
        for watch in ready:
            self.respond_entry(watch.connection, key)

    @handler("due")
    def on_due(self, pending_watches: list[Any]) -> None:
        """Answers the watches whose wait time has passed."""
        for watch in pending_watches:
            if watch in self.pending_watches:
                self.pending_watches.remove(watch)
                self.respond_entry(watch.connection, watch.key)

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Removes the watches of a closed connection."""
        self.pending_watches = [
            w for w in self.pending_watches if w.connection is not connection
        ]
