"""Simulated upstream that answers searches and records with made-up data."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson
from circuits import BaseComponent, handler

from arbutusbridge.standins.server import StandInServer

if TYPE_CHECKING:
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.standins.server import ServerConnection

MAX_QUEUE_LENGTH = 200
"""Maximum number of requests that wait for a slot; further ones are shed."""

SHED_RETRY_MS = 100
"""Retry delay that the response to a shed request states."""


@dataclass(slots=True)
class PendingRequest:
    """Request that is in a slot or waits for one."""

    connection: ServerConnection
    fields: dict[str, Any]
    is_record: bool


@dataclass(slots=True)
class UpstreamBehaviour:
    """Configuration of how an upstream serves requests and fails.

    Attributes:
      service_time_s: Service time of one request in a slot.
      slots: Number of requests served at once.
      held: Versions served, as pairs of epoch and snapshot, by service.
      leaving: Whether new requests are refused because the upstream drains.
      incarnation: Incarnation number, greater after each restart.
      poison: Query that makes the upstream crash.
    """

    service_time_s: float = 0.0
    slots: int = 2
    held: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    leaving: bool = False
    incarnation: int = 1
    poison: Any = None


class EntryUpstreamStandIn(BaseComponent):
    """Simulates one upstream process of the entry instances.

    Attributes:
      upstream: Name of the upstream in the register.
      behaviour: How it serves and fails.
      waiting: Requests that wait for a slot.
      busy_slots: Number of slots in use.
      record_runs: Number of runs of each record, by key.
      searches: Number of searches run.
    """

    def __init__(
        self,
        name: str,
        hub: SocketHub,
        timers: TimerService,
        address: tuple[str, int],
        behaviour: UpstreamBehaviour,
        max_connections: int = 100_000,
    ) -> None:
        super().__init__(channel=f"upstream_{name}")
        self.upstream = name
        self.timers = timers
        self.behaviour = behaviour
        self.waiting: deque[PendingRequest] = deque()
        self.busy_slots = 0
        self.record_runs: dict[str, int] = {}
        self.searches = 0
        self.server = StandInServer(
            hub, address, self.serve, max_connections=max_connections
        )

    def serve(
        self,
        connection: ServerConnection,
        _method: str,
        path: str,
        body: bytes,
    ) -> None:
        """Handles an HTTP request."""
        if path == "/v1/status":
            connection.respond(200, orjson.dumps(self.status()))
            return
        fields = orjson.loads(body)
        if path == "/v1/cancel":
            self.cancel(connection, fields["attempt"])
            return
        self.admit(PendingRequest(connection, fields, path == "/v1/record"))

    def status(self) -> dict[str, Any]:
        """Returns the body of a status response."""
        return {
            "held": self.behaviour.held,
            "load": self.load,
            "leaving": self.behaviour.leaving,
            "incarnation": self.behaviour.incarnation,
        }

    @property
    def load(self) -> float:
        """Running and waiting requests, divided by the number of slots."""
        return (self.busy_slots + len(self.waiting)) / self.behaviour.slots

    def admit(self, request: PendingRequest) -> None:
        """Starts, queues or refuses a request."""
        fields = request.fields
        held = self.behaviour.held.get(fields["service"], [])
        if self.behaviour.leaving:
            incarnation = self.behaviour.incarnation
            self.refuse(
                request, 410, {"leaving": True, "incarnation": incarnation}
            )
        elif (fields["epoch"], fields["snapshot"]) not in held:
            self.refuse(request, 409, {"held": held})
        elif len(self.waiting) >= MAX_QUEUE_LENGTH:
            self.refuse(request, 429, {"retry_after_ms": SHED_RETRY_MS})
        elif self.busy_slots < self.behaviour.slots:
            self.start(request)
        else:
            self.waiting.append(request)

    def refuse(
        self, request: PendingRequest, status: int, fields: dict[str, Any]
    ) -> None:
        """Sends a refusal, which states that the request did not run."""
        body = {"attempt": request.fields["attempt"], "ran": "no", **fields}
        request.connection.respond(status, orjson.dumps(body))

    def start(self, request: PendingRequest) -> None:
        """Starts a request in a slot; a poisonous one crashes the upstream."""
        poison = self.behaviour.poison
        if poison is not None and request.fields["body"] == poison:
            self.crash()
            return
        self.busy_slots += 1
        seconds = self.behaviour.service_time_s
        if seconds > 0:
            self.timers.after(seconds, self.channel, request)
        else:
            self.finish(request)

    @handler("due")
    def on_due(self, requests: list[Any]) -> None:
        """Finishes the requests whose service time has passed."""
        for request in requests:
            self.finish(request)

    def finish(self, request: PendingRequest) -> None:
        """Answers a request and starts waiting ones in the free slots."""
        self.busy_slots -= 1
        if request.is_record:
            self.answer_record(request)
        else:
            self.answer_search(request)
        while self.waiting and self.busy_slots < self.behaviour.slots:
            self.start(self.waiting.popleft())

    def answer_search(self, request: PendingRequest) -> None:
        """Counts a search and answers it with one made-up hit."""
        self.searches += 1
        fields = request.fields
        hit = {
            "id": f"{fields['shard']}-{fields['snapshot']}",
            "score": len(fields["shard"]),
            "query": fields["body"],
        }
        self.respond(request, {"hits": [hit]})

    def answer_record(self, request: PendingRequest) -> None:
        """Counts a run of a record and answers it."""
        key = request.fields["key"]
        self.record_runs[key] = self.record_runs.get(key, 0) + 1
        self.respond(request, {"result": {"recorded": True}})

    def respond(self, request: PendingRequest, extra: dict[str, Any]) -> None:
        """Sends the result of a request."""
        fields = request.fields
        body = {
            "attempt": fields["attempt"],
            "shard": fields["shard"],
            "epoch": fields["epoch"],
            "snapshot": fields["snapshot"],
            "held": self.behaviour.held.get(fields["service"], []),
            "load": self.load,
            **extra,
        }
        request.connection.respond(200, orjson.dumps(body))

    def cancel(self, connection: ServerConnection, attempt_id: int) -> None:
        """Cancels a waiting search.

        The search is refused with status 499 on its own connection.

        Args:
          connection: Connection of the cancel request.
          attempt_id: Attempt to cancel.
        """
        for request in self.waiting:
            if (
                request.fields["attempt"] == attempt_id
                and not request.is_record
            ):
                self.waiting.remove(request)
                self.refuse(request, 499, {})
                break
        connection.respond(200, b"{}")

    def crash(self) -> None:
        """Closes all connections, as a crashed process would."""
        self.waiting.clear()
        for connection in list(self.server.connections):
            connection.close()
