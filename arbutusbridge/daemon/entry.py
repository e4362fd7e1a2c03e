"""HTTP server for callers, on circuits.web."""

from __future__ import annotations

import math
import uuid
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler
from circuits.web.events import response as respond
from circuits.web.servers import BaseServer
from result import Err

from arbutusbridge.core.keys import created_at_ms
from arbutusbridge.core.messages import (
    ExecutionStatus,
    RecordRequest,
    SearchRequest,
)
from arbutusbridge.core.requests.refusals import UUID7_KEY_REMEDY
from arbutusbridge.daemon.bodies import (
    HTTP_STATUS_BY_OUTCOME,
    RecordBody,
    SearchBody,
    encode_answer,
    encode_error,
    parse_body,
)
from arbutusbridge.daemon.events import abandon, record, search
from arbutusbridge.daemon.guard import CallerGuard
from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Answer
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.settings.instance import EntrySettings


logger = get_logger(__name__)


class EntryServer(BaseComponent):
    """Passes callers' HTTP requests to the core and sends its answers.

    Attributes:
      target: Channel of the component that handles the requests.
      waiting: Open responses by request id.
      request_ids: Id of the open request by the caller's socket.
    """

    channel = "entry"

    def __init__(
        self,
        settings: EntrySettings,
        timers: TimerService,
        target: str,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.timers = timers
        self.target = target
        self.waiting: dict[str, Any] = {}
        self.request_ids: dict[Any, str] = {}
        bind = (settings.callers.ip, settings.callers.port)
        self.server = BaseServer(
            bind, channel=self.channel, display_banner=False
        ).register(self)
        self.guard = CallerGuard(
            self.server.server, settings.caller_limits, timers
        ).register(self)

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        timers: TimerService,
        target: str,
    ) -> EntryServer:
        """Creates the server from the settings of its instance."""
        return cls(settings, timers, target)

    @handler("ready", priority=0.5)
    def on_ready(self, event: Any, *_args: Any) -> None:
        """Suppresses the startup banner of circuits.web."""
        event.stop()

    @handler("request", priority=10)
    def on_request(self, event: Any, request: Any, response: Any) -> bool:
        """Routes one request; its response is written later."""
        event.stop()
        route = (request.method, request.path)
        body = request.body.read()
        if route == ("POST", "/v1/search"):
            self.handle_search(response, body)
        elif route == ("POST", "/v1/records"):
            self.handle_record(request, response, body)
        else:
            self.mistake(
                response,
                404,
                "no_such_path",
                f"{request.method} {request.path}",
                "POST to /v1/search or /v1/records.",
            )
        # circuits.web writes a response of its own unless this is True.
        return True

    def handle_search(self, response: Any, body: bytes) -> None:
        """Validates a search and passes it to the core."""
        nesting = self.settings.caller_limits.nesting
        parsed = parse_body(body, SearchBody, nesting)
        if isinstance(parsed, Err):
            self.send_body_error(response, parsed.err_value)
            return
        fields = parsed.ok_value
        request = SearchRequest(
            self.open_request(response),
            fields.caller,
            fields.service,
            fields.query,
            fields.deadline_ms,
        )
        self.fire(search(request), self.target)

    def handle_record(self, request: Any, response: Any, body: bytes) -> None:
        """Validates a record and passes it to the core."""
        key = request.headers.get("Idempotency-Key", "")
        if created_at_ms(key) is None:
            self.mistake(
                response,
                400,
                "malformed_key",
                "Idempotency-Key is no UUID of version 7",
                UUID7_KEY_REMEDY,
            )
            return
        nesting = self.settings.caller_limits.nesting
        parsed = parse_body(body, RecordBody, nesting)
        if isinstance(parsed, Err):
            self.send_body_error(response, parsed.err_value)
            return
        fields = parsed.ok_value
        resend = request.headers.get("Idempotency-Resend", "") == "true"
        self.fire(
            record(
                RecordRequest(
                    self.open_request(response),
                    fields.caller,
                    fields.service,
                    key,
                    fields.record,
                    resend,
                    fields.deadline_ms,
                    self.timers.wall_ms(),
                )
            ),
            self.target,
        )

    def open_request(self, response: Any) -> str:
        """Stores the response of a new request; returns the request id."""
        request_id = uuid.uuid4().hex
        self.waiting[request_id] = response
        self.request_ids[response.request.sock] = request_id
        return request_id

    def send_body_error(self, response: Any, detail: str) -> None:
        """Responds that the body of a request is not valid."""
        remedy = "Correct the body; docs/api.md shows its fields."
        self.mistake(response, 400, "malformed_body", detail, remedy)

    def mistake(
        self,
        response: Any,
        status: int,
        reason: str,
        detail: str,
        remedy: str,
    ) -> None:
        """Responds that a request is malformed and was not run.

        Args:
          response: The open response.
          status: HTTP status.
          reason: Reason code.
          detail: What is wrong with this request.
          remedy: What the caller can do.
        """
        body = encode_error(reason, detail, remedy)
        self.send_json(response, status, body)

    def send_json(self, response: Any, status: int, body: bytes) -> None:
        """Sends a complete JSON response."""
        response.status = status
        response.headers["Content-Type"] = "application/json"
        response.body = body
        self.fire(respond(response))

    def stop_listening(self) -> None:
        """Closes the listener and keeps accepted connections."""
        server = self.server.server
        server._close(server._sock)

    @handler("answered")
    def on_answered(self, answer: Answer) -> None:
        """Sends the final answer to a caller that is still connected."""
        response = self.waiting.pop(answer.request_id, None)
        if response is None:
            return
        self.request_ids.pop(response.request.sock, None)
        if answer.retry_after_ms is not None:
            seconds = math.ceil(answer.retry_after_ms / 1000)
            response.headers["Retry-After"] = str(seconds)
        status = HTTP_STATUS_BY_OUTCOME[answer.outcome]
        try:
            body = encode_answer(answer)
        except TypeError as err:
            logger.error(
                "answer could not be encoded", extra={"error": str(err)}
            )
            self.internal_error(response, answer.ran)
            return
        self.send_json(response, status, body)

    @handler("httperror", priority=10)
    def on_http_error(self, event: Any, *_args: Any, **_details: Any) -> None:
        """Responds to a failure in JSON instead of with a traceback."""
        event.stop()
        response = event.args[1]
        self.abandon_request(response.request.sock)
        self.internal_error(response, ExecutionStatus.UNKNOWN)

    def internal_error(self, response: Any, ran: ExecutionStatus) -> None:
        """Responds with an internal error and closes the connection."""
        response.close = True
        remedy = "Ask again, and tell the operators to read the log."
        body = encode_error("internal_error", "", remedy, ran)
        self.send_json(response, 500, body)

    @handler("disconnect")
    def on_disconnect(self, sock: Any) -> None:
        """Abandons the request of a caller that closed its connection."""
        self.abandon_request(sock)

    def abandon_request(self, sock: Any) -> None:
        """Abandons the open request of a connection, if it has one."""
        request_id = self.request_ids.pop(sock, None)
        if request_id is not None:
            del self.waiting[request_id]
            self.fire(abandon(request_id), self.target)
