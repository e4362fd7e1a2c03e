"""Client of the platform's key-value service and instance list.

It uses the HTTP key-value protocol of Consul: values in base64 with a modify
index, compare-and-swap as a transaction of one step, which returns the new
index, and watches as blocking reads with ``?index=&wait=``. A header of each
reply names the era of the store.
"""

from __future__ import annotations

import base64
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson
from circuits import BaseComponent, handler

from arbutusbridge.core.httpstatus import is_valid_status
from arbutusbridge.core.messages import (
    WATCH_TIMEOUT_S,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.daemon.connection import Connection
from arbutusbridge.daemon.dialect import StoreRequest, make_era_reader
from arbutusbridge.daemon.events import store_recovered, store_restored
from arbutusbridge.daemon.httpmessages import encode_request
from arbutusbridge.daemon.instancelist import instance_list_path
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.forwarding.removals import MIN_OUTAGE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.dialect import EraReader, ResponseDecoder
    from arbutusbridge.daemon.hub import SocketHub
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

CALL_TIMEOUT_S = 2.0
"""Timeout of a store call, in addition to the wait of a watch."""

MAX_IDLE_CONNECTIONS = 8
"""Maximum number of idle connections to the platform that are kept open."""

read_store_era = make_era_reader(b"store-era")
"""Reads the era of a reply."""

FIRST_ERA = 1
"""Era of a store that has never come back from an older copy."""


class StoreConnection(Connection):
    """Connection to the platform that keeps the headers of the reply.

    Attributes:
      headers: Headers of the last reply, by name in lower case.
    """

    headers: dict[bytes, bytes]

    def on_message_begin(self) -> None:
        """Starts a reply; called by the parser."""
        super().on_message_begin()
        if self.response is None:
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; called by the parser."""
        if self.response is None:
            self.headers[name.lower()] = value


@dataclass(slots=True)
class OpenCall:
    """Call to the platform that has no result yet.

    Attributes:
      token: Identifies the result for the caller.
      on_done: Called once with the result.
      number: Identifies the call and its timer.
      decode: Decodes the status and body of the response.
      era: Era of the store when the call was sent, as far as it was known.
    """

    token: tuple[str, str]
    on_done: Callable[[StoreResult], None]
    number: int
    decode: ResponseDecoder
    era: int | None


class PlatformClient(BaseComponent):
    """Sends calls to the platform; each has one result unless cancelled.

    A reply of another era than that in which its call was sent is not used:
    revisions and leases are given out again after the store came back from an
    older copy.

    Attributes:
      namespace: Prefix of all keys.
      open_calls: Open calls and their connections, by call number.
      calls_made: Number of calls so far, including watches.
      era: Latest era that a reply has named, None before the first.
      restores: Number of times that the era has risen.
      failing: Whether the last completed call had no usable reply.
      last_reply_at: Time of the last usable reply.
      outage_ended_at: Time of the first usable reply after the last outage.
    """

    channel = "platform"

    def __init__(
        self,
        hub: SocketHub,
        timers: TimerService,
        addresses: list[tuple[str, int]],
        namespace: str = "",
        read_era: EraReader = read_store_era,
    ) -> None:
        super().__init__()
        self.hub = hub
        self.timers = timers
        self.addresses = addresses
        self.namespace = namespace
        self.read_era = read_era
        self.era: int | None = None
        self.restores = 0
        self.idle_connections: list[Connection] = []
        self.calls_by_connection: dict[Connection, OpenCall] = {}
        self.open_calls: dict[int, tuple[OpenCall, Connection]] = {}
        self.calls_made = 0
        self.next_address = 0
        self.failing = False
        self.last_reply_at = timers.clock()
        self.outage_ended_at = -math.inf

    def get(
        self,
        token: tuple[str, str],
        key: str,
        on_done: Callable[[StoreResult], None],
        seconds: float = CALL_TIMEOUT_S,
    ) -> None:
        """Reads a key."""
        path = f"/v1/kv/{self.namespace}/{key}"
        request = StoreRequest("GET", path, b"", decode_read)
        self.send_call(request, token, on_done, seconds)

    def list_instances(
        self,
        token: tuple[str, str],
        on_done: Callable[[StoreResult], None],
        seconds: float = CALL_TIMEOUT_S,
    ) -> None:
        """Reads the instance list as JSON."""
        path = instance_list_path(self.namespace)
        request = StoreRequest("GET", path, b"", decode_body)
        self.send_call(request, token, on_done, seconds)

    def list_keys(
        self,
        token: tuple[str, str],
        prefix: str,
        on_done: Callable[[StoreResult], None],
    ) -> None:
        """Lists the keys one level below a prefix, as JSON."""
        path = f"/v1/kv/{self.namespace}/{prefix}?keys&separator=/"
        request = StoreRequest("GET", path, b"", decode_body)
        self.send_call(request, token, on_done)

    def delete_tree(
        self,
        token: tuple[str, str],
        prefix: str,
        on_done: Callable[[StoreResult], None],
    ) -> None:
        """Deletes all keys that start with a prefix."""
        path = f"/v1/kv/{self.namespace}/{prefix}?recurse"
        request = StoreRequest("DELETE", path, b"", decode_body)
        self.send_call(request, token, on_done)

    def watch(
        self,
        token: tuple[str, str],
        key: str,
        index: int,
        on_done: Callable[[StoreResult], None],
        seconds: float = CALL_TIMEOUT_S,
    ) -> None:
        """Reads a key once its index exceeds the given one or the wait ends.

        Args:
          token: Identifies the result.
          key: Key below the namespace.
          index: Modify index that is already known.
          on_done: Called with the result.
          seconds: Timeout in addition to WATCH_TIMEOUT_S.
        """
        path = (
            f"/v1/kv/{self.namespace}/{key}"
            f"?index={index}&wait={WATCH_TIMEOUT_S}s"
        )
        request = StoreRequest("GET", path, b"", decode_read)
        self.send_call(request, token, on_done, WATCH_TIMEOUT_S + seconds)

    def cas(
        self,
        token: tuple[str, str],
        key: str,
        value: bytes,
        index: int,
        on_done: Callable[[StoreResult], None],
    ) -> None:
        """Writes a key if its modify index is still the given one."""
        body = encode_cas(f"{self.namespace}/{key}", value, index)
        request = StoreRequest("PUT", "/v1/txn", body, decode_cas)
        self.send_call(request, token, on_done)

    def send_call(
        self,
        request: StoreRequest,
        token: tuple[str, str],
        on_done: Callable[[StoreResult], None],
        seconds: float = CALL_TIMEOUT_S,
    ) -> int:
        """Sends one call.

        Args:
          request: The HTTP request and the decoder of its response.
          token: Identifies the result.
          on_done: Called with the result.
          seconds: Timeout in seconds.

        Returns:
          The number of the call, with which it can be cancelled.
        """
        self.calls_made += 1
        call = OpenCall(
            token, on_done, self.calls_made, request.decode, self.era
        )
        try:
            connection = self.take_idle_connection() or self.connect()
        except OSError as err:
            logger.warning("store connection failed", extra={"error": str(err)})
            on_done(StoreResult(token, StoreStatus.UNAVAILABLE))
            return call.number
        self.calls_by_connection[connection] = call
        self.open_calls[call.number] = (call, connection)
        self.timers.after(seconds, self.channel, call.number)
        data = encode_request(
            request.method, request.path, request.body, "platform"
        )
        connection.send_request(data)
        return call.number

    def cancel_call(self, number: int) -> None:
        """Cancels an open call; its result is not delivered."""
        found = self.open_calls.pop(number, None)
        if found is not None:
            self.calls_by_connection.pop(found[1], None)
            found[1].close()

    def take_idle_connection(self) -> Connection | None:
        """Returns an idle connection, None if there is none."""
        while self.idle_connections:
            connection = self.idle_connections[-1]
            # Closes a connection that the store has closed or sent data on.
            connection.read()
            if connection.alive:
                return self.idle_connections.pop()
        return None

    def connect(self) -> Connection:
        """Opens a connection to the next address, round robin."""
        address = self.addresses[self.next_address % len(self.addresses)]
        self.next_address += 1
        return StoreConnection(
            self.hub, address, self.on_response, self.on_closed
        )

    def on_response(
        self, connection: Connection, status: int, body: bytes
    ) -> None:
        """Handles a complete response."""
        call = self.calls_by_connection.pop(connection, None)
        if call is None:
            connection.close()
            return
        if (
            connection.is_reusable
            and len(self.idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            self.idle_connections.append(connection)
        else:
            connection.close()
        assert isinstance(connection, StoreConnection)
        if self.is_of_other_era(call, self.read_era(connection.headers)):
            result = StoreResult(call.token, StoreStatus.RESTORED)
        else:
            result = decode_result(call, status, body)
        self.deliver_result(call, result)

    def is_of_other_era(self, call: OpenCall, era: int | None) -> bool:
        """Returns whether a reply is of another era than its call.

        Records an era that is later than the latest one.

        Args:
          call: The call.
          era: Era that the reply names, None if it names none.
        """
        if era is None:
            return False
        if self.era is None:
            self.era = era
        elif era > self.era:
            logger.warning(
                "store came back from an older copy",
                extra={"era": era, "before": self.era, "call": call.token},
            )
            self.era = era
            self.restores += 1
            self.fire(store_restored(era), "*")
        return (call.era is not None and call.era != era) or era != self.era

    def on_closed(self, connection: Connection) -> None:
        """Handles a lost connection; fails the call that it carried."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
        call = self.calls_by_connection.pop(connection, None)
        if call is None:
            return
        status = StoreStatus.UNAVAILABLE
        if connection.invalid_status:
            logger.warning(
                "store reply with an invalid status, not used",
                extra={"call": call.token},
            )
        if connection.too_large:
            status = StoreStatus.TOO_LARGE
            logger.warning(
                "store reply too large, not read", extra={"call": call.token}
            )
        self.deliver_result(call, StoreResult(call.token, status))

    @handler("due")
    def on_due(self, numbers: list[Any]) -> None:
        """Closes the connections of calls that timed out."""
        for number in numbers:
            found = self.open_calls.get(number)
            if found is not None:
                found[1].close()

    def deliver_result(self, call: OpenCall, result: StoreResult) -> None:
        """Delivers the result of a call."""
        self.open_calls.pop(call.number, None)
        failed = result.status is StoreStatus.UNAVAILABLE
        recovered = self.failing and not failed
        self.failing = failed
        if failed:
            # Idle connections may have been lost in the same way. They must not
            # carry the next call.
            while self.idle_connections:
                self.idle_connections.pop().close()
        else:
            now = self.timers.clock()
            if recovered and now - self.last_reply_at >= MIN_OUTAGE_S:
                self.outage_ended_at = now
            self.last_reply_at = now
        call.on_done(result)
        if recovered:
            self.fire(store_recovered(), "*")


def encode_cas(key: str, value: bytes, index: int) -> bytes:
    """Encodes a compare-and-swap as a transaction of one step."""
    step = {
        "Verb": "cas",
        "Key": key,
        "Value": base64.b64encode(value).decode(),
        "Index": index,
    }
    return orjson.dumps([{"KV": step}])


def decode_result(call: OpenCall, status: int, body: bytes) -> StoreResult:
    """Decodes a response; an invalid one counts as unavailable."""
    try:
        if not is_valid_status(status):
            raise ValueError("the status is not one of HTTP")
        return call.decode(call.token, status, body)
    except (ValueError, LookupError, TypeError) as err:
        logger.warning(
            "invalid store reply",
            extra={"call": call.token, "status": status, "error": repr(err)},
        )
        return StoreResult(call.token, StoreStatus.UNAVAILABLE)


def decode_cas(token: tuple[str, str], status: int, body: bytes) -> StoreResult:
    """Decodes the response to a compare-and-swap."""
    if status == 409:
        return StoreResult(token, StoreStatus.CONFLICT)
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    index = int(orjson.loads(body)["Results"][0]["KV"]["ModifyIndex"])
    return StoreResult(token, StoreStatus.DONE, None, index)


def decode_body(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Returns the body as the value of the result, None after a 404."""
    if status == 404:
        return StoreResult(token, StoreStatus.DONE)
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    return StoreResult(token, StoreStatus.DONE, body)


def decode_read(
    token: tuple[str, str], status: int, body: bytes
) -> StoreResult:
    """Decodes the response to a read or a watch."""
    if status == 404:
        return StoreResult(token, StoreStatus.DONE)
    if status != 200:
        return StoreResult(token, StoreStatus.UNAVAILABLE)
    item = orjson.loads(body)[0]
    value = base64.b64decode(item["Value"] or "")
    return StoreResult(token, StoreStatus.DONE, value, int(item["ModifyIndex"]))
