"""Prometheus metrics of one entry instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.065,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)


class MetricsBase:
    """Metrics in a registry of their own.

    Attributes:
      registry: Registry that holds the metrics.
      totals: Total that each synchronised counter was last raised to.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.totals: dict[Counter, float] = {}

    def counter(
        self, name: str, text: str, labels: list[str] | None = None
    ) -> Counter:
        """Creates a counter in the registry.

        Args:
          name: Metric name without the ``arbutusbridge_`` prefix.
          text: Help text.
          labels: Label names.
        """
        return Counter(
            f"arbutusbridge_{name}",
            text,
            labels or [],
            registry=self.registry,
        )

    def sync_total(self, counter: Counter, total: float) -> None:
        """Raises a counter to a total that another component keeps."""
        before = self.totals.get(counter, 0.0)
        if total > before:
            counter.inc(total - before)
            self.totals[counter] = total


class Metrics(MetricsBase):
    """Metrics of one entry instance."""

    def __init__(self) -> None:
        super().__init__()
        self.latency = Histogram(
            "arbutusbridge_answer_seconds",
            "Time from arrival to the final answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.coverage = Histogram(
            "arbutusbridge_coverage",
            "Coverage achieved by answers.",
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.answers = self.counter("answers", "Final answers.", ["outcome"])
        self.refusals = self.counter(
            "refusals", "Answers that are not complete.", ["outcome", "reason"]
        )
        self.decisions = self.counter(
            "decisions", "Decisions as logged, by their name.", ["what"]
        )
        self.hedges = self.counter("hedges", "Shards asked a second time.")
        self.replies = self.counter(
            "replies", "Replies of upstreams and losses of them.", ["kind"]
        )
        self.connects = self.counter(
            "connects", "Connections to upstreams begun."
        )
        self.unsolicited = self.counter(
            "unsolicited",
            "Connections closed because of bytes that belong to no request.",
        )
        self.invalid_statuses = self.counter(
            "invalid_statuses",
            "Connections closed because of a status that HTTP does not have.",
        )
        self.callers_refused = self.counter(
            "callers_refused",
            "Connections of callers told off and closed.",
            ["reason"],
        )
        self.attempts = self.counter("attempts", "Sub-requests sent.")
        self.cancels = self.counter("cancels", "Sub-requests cancelled.")
        self.late_replies = self.counter(
            "late_replies",
            "Replies dropped because nobody waited.",
        )
        self.store_calls = self.counter(
            "store_calls", "Calls to the platform, watches among them."
        )
        self.peer_bytes = self.counter(
            "peer_bytes", "Bytes of messages between instances.", ["way"]
        )
        self.peer_refused = self.counter(
            "peer_messages_refused",
            "Messages of peers that were not taken or sent.",
            ["reason"],
        )
        self.versions_refused = self.counter(
            "config_versions_refused",
            "Configuration versions that did not validate here.",
        )
        self.instances = Gauge(
            "arbutusbridge_instances_counted",
            "Instances that connection shares are divided by.",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "arbutusbridge_config_version",
            "Configuration version in force.",
            registry=self.registry,
        )
