"""Blocking store calls for the operators' commands."""

from __future__ import annotations

import http.client
import time
from typing import TYPE_CHECKING, TypeVar

import orjson

from arbutusbridge.core.configuration import StoreDelete, StoreListKeys
from arbutusbridge.core.messages import (
    StoreCas,
    StoreGet,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.daemon.platform import (
    decode_body,
    decode_cas,
    decode_read,
    encode_cas,
)

if TYPE_CHECKING:
    from collections.abc import Generator

CALL_TIMEOUT_S = 5.0
"""Timeout of a store call."""

RETRY_DELAY_S = 0.5
"""Delay after a call without a usable reply, before it may be repeated."""

ReturnT = TypeVar("ReturnT")

StoreStep = StoreGet | StoreCas | StoreListKeys | StoreDelete


def run_steps(
    steps: Generator[StoreStep, StoreResult, ReturnT],
    address: tuple[str, int],
    namespace: str,
) -> ReturnT:
    """Runs a generator of store calls.

    Each call that the generator yields is sent to the store, and its result is
    sent back into the generator.

    Args:
      steps: The generator.
      address: Address of the store.
      namespace: Prefix of all keys.

    Returns:
      The return value of the generator.
    """
    try:
        step = next(steps)
        while True:
            result = call(step, address, namespace)
            if result.status is StoreStatus.UNAVAILABLE:
                time.sleep(RETRY_DELAY_S)
            step = steps.send(result)
    except StopIteration as stop:
        return stop.value


def call(
    step: StoreStep, address: tuple[str, int], namespace: str
) -> StoreResult:
    """Sends one store call; a failure counts as unavailable."""
    try:
        if isinstance(step, StoreCas):
            body = encode_cas(f"{namespace}/{step.key}", step.value, step.index)
            status, data = send_request(address, "PUT", "/v1/txn", body)
            return decode_cas(step.token, status, data)
        if isinstance(step, StoreListKeys):
            return list_keys(step, address, namespace)
        path = f"/v1/kv/{namespace}/{step.key}"
        if isinstance(step, StoreDelete):
            status, data = send_request(address, "DELETE", path, b"")
            return decode_body(step.token, status, data)
        status, data = send_request(address, "GET", path, b"")
        return decode_read(step.token, status, data)
    except (OSError, http.client.HTTPException, ValueError, LookupError):
        return StoreResult(step.token, StoreStatus.UNAVAILABLE)


def list_keys(
    step: StoreListKeys, address: tuple[str, int], namespace: str
) -> StoreResult:
    """Lists the keys below a prefix; the namespace is removed from them."""
    path = f"/v1/kv/{namespace}/{step.prefix}?keys&separator=/"
    status, data = send_request(address, "GET", path, b"")
    if status == 404:
        return StoreResult(step.token, StoreStatus.DONE, b"[]")
    result = decode_body(step.token, status, data)
    if result.value is not None:
        keys = orjson.loads(result.value)
        found = [key.removeprefix(f"{namespace}/") for key in keys]
        result.value = orjson.dumps(found)
    return result


def send_request(
    address: tuple[str, int], method: str, path: str, body: bytes
) -> tuple[int, bytes]:
    """Sends one HTTP request.

    Returns:
      The status and the body of the response.

    Raises:
      OSError: The connection failed or timed out.
      http.client.HTTPException: The response is not valid HTTP.
    """
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
