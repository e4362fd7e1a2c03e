"""Prometheus metrics of a forwarding instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Gauge, Histogram

from arbutusbridge.daemon.metrics import (
    COVERAGE_BUCKETS,
    LATENCY_BUCKETS_S,
    MetricsBase,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from arbutusbridge.core.messages import Decision
    from arbutusbridge.forwarding.model import InvalidEntry


MAX_ACCOUNT_LABELS = 100
"""Maximum number of accounts with a counter of their own. Each takes a line of
the metrics, and tens of thousands of accounts are possible."""

MAX_ENTRY_LABELS = 50
"""Maximum number of invalid entries with a metric of their own."""

OTHER_ACCOUNTS = "other"
"""Label of the accounts beyond the maximum."""


class ForwardMetrics(MetricsBase):
    """Prometheus metrics of one forwarding instance.

    Attributes:
      counted_accounts: Accounts with a counter of their own, the first ones
        that sent a request.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counted_accounts: set[str] = set()
        self.account_requests = self.counter(
            "forward_account_requests",
            "Requests of callers with a valid key, by account.",
            ["account"],
        )
        self.latency = Histogram(
            "arbutusbridge_forward_seconds",
            "Time from arrival to the final answer.",
            ["route", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.coverage = Histogram(
            "arbutusbridge_forward_coverage",
            "Share of the shards in merged answers.",
            ["route"],
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.decisions = self.counter(
            "forward_decisions", "Decisions as logged, by name.", ["what"]
        )
        self.silent = self.counter(
            "forward_refused_extras",
            "Retries and hedges that the budget had no room for.",
            ["what"],
        )
        self.held_back = self.counter(
            "forward_limited_parts",
            "Parts that rate limits kept from the best upstream, or from all.",
            ["what"],
        )
        self.over_quota = self.counter(
            "forward_over_quota",
            "Requests over the quota of their account, by account; those of "
            "further accounts are counted together.",
            ["account"],
        )
        self.quota_messages = self.counter(
            "forward_quota_events",
            "Batches, token requests, grants and the like of quotas.",
            ["what"],
        )
        self.metered = Gauge(
            "arbutusbridge_forward_metered_accounts",
            "Accounts that this instance is the ledger of and that need a "
            "token for each request.",
            registry=self.registry,
        )
        self.relays = self.counter(
            "forward_relays",
            "Requests handed to peers while cut off, and what became of them.",
            ["outcome"],
        )
        self.declined = self.counter(
            "forward_declined",
            "Requests of peers that were declined, by reason.",
            ["reason"],
        )
        self.attempts = self.counter(
            "forward_attempts", "Attempts sent to upstreams."
        )
        self.ends = self.counter(
            "forward_ends", "What became of attempts.", ["end"]
        )
        self.connects = self.counter(
            "forward_connects", "Connections to upstreams begun."
        )
        self.unsolicited = self.counter(
            "forward_unsolicited",
            "Connections closed because of bytes that belong to no request.",
        )
        self.invalid_statuses = self.counter(
            "forward_invalid_statuses",
            "Connections closed because of a status that HTTP does not have.",
        )
        self.callers_refused = self.counter(
            "forward_callers_refused",
            "Connections of callers told off and closed.",
            ["reason"],
        )
        self.peer_bytes = self.counter(
            "forward_peer_bytes",
            "Bytes of messages between instances.",
            ["way"],
        )
        self.peer_skipped = self.counter(
            "forward_peer_messages_skipped",
            "Messages of other instances that were not handled, by reason.",
            ["reason"],
        )
        self.store_calls = self.counter(
            "forward_store_calls", "Calls to the store, watches among them."
        )
        self.store_restores = self.counter(
            "forward_store_restores",
            "Times that the store was found to be back from an older copy.",
        )
        self.version = Gauge(
            "arbutusbridge_forward_version",
            "Version of the routing configuration in force.",
            registry=self.registry,
        )
        self.invalid_entries = Gauge(
            "arbutusbridge_forward_invalid_entries",
            "Entries of the routing configuration in force that could not be "
            "decoded, by place and mistake; further ones are counted together.",
            ["entry", "mistake"],
            registry=self.registry,
        )
        self.refusals = self.counter(
            "forward_refusals",
            "Requests answered by the instance itself, by reason.",
            ["reason"],
        )
        self.fingerprints = Gauge(
            "arbutusbridge_forward_fingerprints",
            "Requests suspected of crashing upstreams, or quarantined.",
            ["state"],
            registry=self.registry,
        )
        self.upstreams = Gauge(
            "arbutusbridge_forward_upstreams",
            "Upstreams announced.",
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "arbutusbridge_forward_evacuated_data_centres",
            "Data centres being evacuated, to whose upstreams nothing is sent.",
            registry=self.registry,
        )
        self.limited = Gauge(
            "arbutusbridge_forward_limited_upstreams",
            "Upstreams that name a limit for the rate of requests.",
            registry=self.registry,
        )
        self.overflowed = self.counter(
            "forward_overflowed",
            "Requests of which work was sent to another data centre, because "
            "the usual one was too slow.",
            ["work"],
        )
        self.overflow_fraction = Gauge(
            "arbutusbridge_forward_overflow_fraction",
            "Fraction of the requests that is sent away, by the data centre "
            "that they usually go to.",
            ["data_centre"],
            registry=self.registry,
        )
        self.response_age = Gauge(
            "arbutusbridge_forward_response_age_seconds",
            "Time since any upstream last responded.",
            registry=self.registry,
        )
        self.store_age = Gauge(
            "arbutusbridge_forward_store_age_seconds",
            "Time since the store last confirmed what is known.",
            registry=self.registry,
        )

    def set_invalid_entries(self, entries: Sequence[InvalidEntry]) -> None:
        """Sets the entries of the configuration that could not be decoded."""
        self.invalid_entries.clear()
        for one in entries[:MAX_ENTRY_LABELS]:
            self.invalid_entries.labels(one.entry, one.mistake).set(1)
        further = len(entries) - MAX_ENTRY_LABELS
        if further > 0:
            self.invalid_entries.labels("other", "").set(further)

    def set_overflow(self, fractions: dict[str, float]) -> None:
        """Sets the fractions that are sent away, by data centre."""
        self.overflow_fraction.clear()
        for data_centre, fraction in fractions.items():
            self.overflow_fraction.labels(data_centre).set(fraction)

    def sync_decision_count(self, what: str, count: int) -> None:
        """Sets the total of the decisions that are not logged one by one."""
        for prefix, counter in (
            ("limit_", self.held_back),
            ("quota_", self.quota_messages),
            ("relay_", self.relays),
            ("declined_", self.declined),
            ("overflow_", self.overflowed),
        ):
            if what.startswith(prefix):
                label = what.removeprefix(prefix)
                self.sync_total(counter.labels(label), count)
                return
        self.sync_total(self.silent.labels(what), count)

    def record_account(self, account: str) -> None:
        """Counts a request of an account."""
        if len(self.counted_accounts) < MAX_ACCOUNT_LABELS:
            self.counted_accounts.add(account)
        known = account in self.counted_accounts
        label = account if known else OTHER_ACCOUNTS
        self.account_requests.labels(label).inc()

    def record_decision(self, decision: Decision) -> None:
        """Counts a decision; observes latency and coverage of an answer."""
        self.decisions.labels(decision.what).inc()
        detail = decision.detail
        if decision.what != "answer" or "ms" not in detail:
            return
        route = detail["route"]
        self.latency.labels(route, detail["outcome"]).observe(
            detail["ms"] / 1000
        )
        if detail["outcome"] in ("complete", "partial"):
            share = detail["answered"] / detail["parts"]
            self.coverage.labels(route).observe(share)
