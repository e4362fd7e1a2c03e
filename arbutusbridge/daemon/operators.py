"""HTTP server for operators: liveness, readiness, status and metrics.

A forwarding instance also explains where a described request would go.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from circuits import BaseComponent, handler
from circuits.web.events import response as respond
from circuits.web.servers import BaseServer
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from arbutusbridge.daemon.explainquery import QueryError, parse_query
from arbutusbridge.daemon.guard import CallerGuard
from arbutusbridge.settings.instance import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.metrics import MetricsBase
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.forwarding.explain import DescribedRequest
    from arbutusbridge.settings.instance import Address


class OperatorServer(BaseComponent):
    """Serves ``/live``, ``/ready``, ``/status``, ``/explain``, ``/metrics``.

    Attributes:
      status: Returns the body of ``/status``.
      collect_metrics: Copies counts that components keep into the metrics.
      explain: Returns the body of ``/explain``, None for an instance that does
        not forward.
    """

    channel = "operators"

    def __init__(
        self,
        address: Address,
        timers: TimerService,
        metrics: MetricsBase,
        status: Callable[[], dict[str, Any]],
        collect_metrics: Callable[[], None],
        channel: str = "operators",
        explain: Callable[[DescribedRequest], dict[str, Any]] | None = None,
    ) -> None:
        super().__init__(channel=channel)
        self.metrics = metrics
        self.status = status
        self.collect_metrics = collect_metrics
        self.explain = explain
        bind = (address.ip, address.port)
        self.server = BaseServer(
            bind, channel=self.channel, display_banner=False
        ).register(self)
        self.guard = CallerGuard(
            self.server.server, CallerLimits(), timers, keeps_query=True
        ).register(self)

    @handler("ready", priority=0.5)
    def on_ready(self, event: Any, *_args: Any) -> None:
        """Suppresses the startup banner of circuits.web."""
        event.stop()

    @handler("request", priority=10)
    def on_request(self, event: Any, request: Any, response: Any) -> bool:
        """Responds to one request of an operator."""
        event.stop()
        if request.method not in ("GET", "HEAD"):
            response.status = 405
            response.headers["Allow"] = "GET, HEAD"
            self.fire(respond(response))
            return True
        response.headers["Content-Type"] = "application/json"
        if request.path == "/live":
            response.body = b'{"live": true}'
        elif request.path == "/ready":
            ready = bool(self.status()["ready"])
            response.status = 200 if ready else 503
            response.body = orjson.dumps({"ready": ready})
        elif request.path == "/status":
            response.body = orjson.dumps(self.status())
        elif request.path == "/explain" and self.explain is not None:
            self.respond_to_explain(request, response)
        elif request.path == "/metrics":
            response.headers["Content-Type"] = CONTENT_TYPE_LATEST
            self.collect_metrics()
            response.body = generate_latest(self.metrics.registry)
        else:
            response.status = 404
            response.body = orjson.dumps(
                {"remedy": "Ask for /live, /ready, /status or /metrics."}
            )
        self.fire(respond(response))
        return True

    def respond_to_explain(self, request: Any, response: Any) -> None:
        """Sets the response to a request for ``/explain``."""
        assert self.explain is not None
        try:
            described = parse_query(request.qs)
        except QueryError as err:
            response.status = 400
            response.body = orjson.dumps({"remedy": str(err)})
            return
        response.body = orjson.dumps(self.explain(described))
