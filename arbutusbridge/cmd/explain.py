"""Command ``explain``: show where a request would go, without sending it."""

from __future__ import annotations

import http.client
import sys
from json import dumps, loads
from typing import Any
from urllib.parse import urlencode

from pydantic import TypeAdapter, ValidationError

from arbutusbridge.cmd.explaintext import describe
from arbutusbridge.daemon.storeclient import send_request
from arbutusbridge.errors import ArbutusbridgeError, PlatformUnavailableError
from arbutusbridge.settings.forwarding import AddressText
from arbutusbridge.settings.instance import Address

EXIT_NO_ROUTE = 1


class ExplainInputError(ArbutusbridgeError):
    """The address or the description of the request is not valid."""

    kind = "explain_input"


def explain(
    address: str,
    *,
    host: str,
    target: str,
    account: str = "",
    method: str = "GET",
    json: bool = False,
) -> int:
    """Show where a request would go now, and why. Nothing is sent.

    Args:
      address: Address for operators of a forwarding instance, as IP:PORT.
      host: Host that the caller names.
      target: Path and query of the request.
      account: Name of the client account, never a key. Without it, the request
        has no key.
      method: HTTP method of the request.
      json: Print the data as JSON.

    Returns:
      0, or 1 if there is no such route.
    """
    parameters = {"host": host, "target": target, "method": method}
    if account:
        parameters["account"] = account
    found = read_explanation(parse_address(address), parameters)
    if json:
        print(dumps(found, indent=2))
    refusal = found["refusal"]
    if refusal is not None and refusal["outcome"] == "no_route":
        version = found["instance"]["config_version"]
        print(
            "arbutusbridge: No route of configuration "
            f"{version} matches the host and the target.",
            file=sys.stderr,
        )
        return EXIT_NO_ROUTE
    if not json:
        print("\n".join(describe(found)))
    return 0


def parse_address(text: str) -> Address:
    """Returns the address that a text names.

    Raises:
      ExplainInputError: It is not valid.
    """
    adapter: TypeAdapter[Address] = TypeAdapter(AddressText)
    try:
        return adapter.validate_python(text)
    except ValidationError as err:
        raise ExplainInputError(
            f"The address {text} is not valid.",
            "Give an IP address, a colon and a port number.",
        ) from err


def read_explanation(
    address: Address, parameters: dict[str, str]
) -> dict[str, Any]:
    """Requests an explanation from an instance.

    Raises:
      ExplainInputError: The instance refuses the parameters.
      PlatformUnavailableError: The instance gave no usable reply.
    """
    where = f"{address.ip}:{address.port}"
    path = f"/explain?{urlencode(parameters)}"
    try:
        status, body = send_request(
            (address.ip, address.port), "GET", path, b""
        )
        found: dict[str, Any] = loads(body)
    except (OSError, http.client.HTTPException, ValueError) as err:
        raise PlatformUnavailableError(
            f"The instance at {where} does not answer: {err}.",
            "Check that it runs and that its address is correct.",
        ) from err
    if status == http.client.OK and "refusal" in found:
        return found
    if status == http.client.BAD_REQUEST:
        raise ExplainInputError(
            "The instance refuses the description of the request.",
            str(found.get("remedy", "Check the parameters.")),
        )
    raise PlatformUnavailableError(
        f"The instance at {where} explains no requests (status {status}).",
        "Use the operators' address of a forwarding instance of this build.",
    )
