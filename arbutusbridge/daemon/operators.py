"""HTTP server for operators: liveness, readiness, status and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from circuits import BaseComponent, handler
from circuits.web.events import response as respond
from circuits.web.servers import BaseServer
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from arbutusbridge.daemon.guard import CallerGuard
from arbutusbridge.settings.instance import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.metrics import MetricsBase
    from arbutusbridge.daemon.timers import TimerService
    from arbutusbridge.settings.instance import Address


class OperatorServer(BaseComponent):
    """Serves ``/live``, ``/ready``, ``/status`` and ``/metrics``.

    Attributes:
      status: Returns the body of ``/status``.
      collect_metrics: Copies counts that components keep into the metrics.
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
    ) -> None:
        super().__init__(channel=channel)
        self.metrics = metrics
        self.status = status
        self.collect_metrics = collect_metrics
        bind = (address.ip, address.port)
        self.server = BaseServer(
            bind, channel=self.channel, display_banner=False
        ).register(self)
        self.guard = CallerGuard(
            self.server.server, CallerLimits(), timers
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
