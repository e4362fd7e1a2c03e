"""Cost of the planned deployment, extrapolated from measured slopes.

``docs/CAPACITY.md`` is written from the output of this measurement.
"""

from __future__ import annotations

import functools
import math
from dataclasses import dataclass

from arbutusbridge.bench import _gossip, _paths, _state, _targets
from arbutusbridge.bench._slopes import Slope
from arbutusbridge.bench.report import Report
from arbutusbridge.core.membership.membership import WATCHERS_PER_DATA_CENTRE
from arbutusbridge.core.messages import WATCH_TIMEOUT_S
from arbutusbridge.core.peers.findings import (
    PROBERS_PER_UPSTREAM,
    REMOTE_PROBE_INTERVAL_S,
)
from arbutusbridge.core.peers.versionsync import LIST_READ_INTERVAL_S
from arbutusbridge.daemon.upstreams import PROBE_INTERVAL_S

MIB = 1024 * 1024
MAX_CACHED_PAGES = 512
"""Maximum number of pages of claims that one instance caches."""

MAX_FINGERPRINTS = 10_000
CLAIMS_PER_PAGE = 100

MAX_QUERY_CORE_FRACTION = 0.7
"""Fraction of a core that queries may use, so that queues stay short."""

DIRECTIONS = 2
"""Bytes are counted once as sent and once as received."""

MESSAGES_PER_EXCHANGE = 2
"""A batch of sub-requests to a peer and the batch of its replies."""


@dataclass(frozen=True, slots=True)
class Slopes:
    """Marginal cost of each quantity that a deployment scales with.

    Attributes:
      query: Processor seconds of a query, by shards queried.
      message: Processor seconds of sending and receiving peer messages.
      tier: Memory of a tier in bytes, by upstreams.
      adopt: Processor seconds of unpacking and checking a configuration
        version, by upstreams.
      configure: Processor seconds of applying a version, by upstreams.
      version: Bytes of a packed version, by upstreams.
      reports: Processor seconds of status reports, by reports.
      members: Memory of the membership in bytes, by known instances.
      fingerprints: Memory in bytes, by quarantined fingerprints.
      claims: Memory of a decoded page in bytes, by claims.
      page: Bytes of an encoded page, by claims.
      page_time: Processor seconds of decoding and encoding a page, by claims.
      peer_bytes: Bytes per second that a node sends to peers, by nodes.
      peer_time: Fraction of a core that a node spends on peers, by nodes.
      log: Processor seconds of logging, by decision lines.
    """

    query: Slope
    message: Slope
    tier: Slope
    adopt: Slope
    configure: Slope
    version: Slope
    reports: Slope
    members: Slope
    fingerprints: Slope
    claims: Slope
    page: Slope
    page_time: Slope
    peer_bytes: Slope
    peer_time: Slope
    log: Slope

    @classmethod
    def from_measurements(cls, seed: int, sizes: SlopeSizes) -> Slopes:
        """Measures every slope."""
        measure_slope = Slope.from_measurements
        upstream_counts, nodes = sizes.upstreams, sizes.nodes
        traffic = {n: _gossip.measure_traffic(n, seed) for n in nodes}
        query = functools.partial(_paths.measure_query_s, seed)
        return cls(
            measure_slope("query", "s", "shard", sizes.widths, query),
            measure_slope(
                "message",
                "s",
                "message",
                MESSAGE_COUNTS,
                _paths.measure_message_s,
            ),
            measure_slope(
                "tier",
                "B",
                "upstream",
                upstream_counts,
                _state.measure_tier_bytes,
            ),
            measure_slope(
                "adopt",
                "s",
                "upstream",
                upstream_counts,
                _state.measure_adopt_s,
            ),
            measure_slope(
                "configure",
                "s",
                "upstream",
                upstream_counts,
                _state.measure_configure_s,
            ),
            measure_slope(
                "version",
                "B",
                "upstream",
                upstream_counts,
                _state.version_bytes,
            ),
            measure_slope(
                "reports",
                "s",
                "report",
                upstream_counts,
                _state.measure_report_s,
            ),
            measure_slope(
                "members",
                "B",
                "instance",
                MEMBER_COUNTS,
                _state.measure_member_bytes,
            ),
            measure_slope(
                "fingerprints",
                "B",
                "fingerprint",
                FINGERPRINT_COUNTS,
                _state.measure_quarantine_bytes,
            ),
            measure_slope(
                "claims", "B", "claim", CLAIM_COUNTS, _state.measure_claim_bytes
            ),
            measure_slope(
                "page", "B", "claim", CLAIM_COUNTS, _paths.measure_page_bytes
            ),
            measure_slope(
                "page_time", "s", "claim", CLAIM_COUNTS, _paths.measure_page_s
            ),
            measure_slope(
                "peer_bytes",
                "B/s",
                "node",
                nodes,
                lambda n: traffic[n].bytes_per_s,
            ),
            measure_slope(
                "peer_time",
                "core",
                "node",
                nodes,
                lambda n: traffic[n].core_fraction,
            ),
            measure_slope(
                "log", "s", "line", LINE_COUNTS, _paths.measure_log_s
            ),
        )

    def all(self) -> list[Slope]:
        """Returns every slope."""
        return [getattr(self, name) for name in self.__dataclass_fields__]


@dataclass(frozen=True, slots=True)
class SlopeSizes:
    """Sizes at which the slow slopes are measured.

    Attributes:
      widths: Numbers of shards that a query is sent to.
      upstreams: Numbers of upstreams.
      nodes: Numbers of nodes in the fleet.
    """

    widths: tuple[int, ...] = (58, 115, 230)
    upstreams: tuple[int, ...] = (620, 1250, 2500)
    nodes: tuple[int, ...] = (48, 240, 570)


# Sizes at which the fast slopes are measured.
MESSAGE_COUNTS = (500, 1000, 2000)
MEMBER_COUNTS = (140, 280, 570)
FINGERPRINT_COUNTS = (500, 1000, 2000)
CLAIM_COUNTS = (100, 1000, 4000)
LINE_COUNTS = (500, 1000, 2000)


def measure(seed: int, sizes: SlopeSizes | None = None) -> Report:
    """Measures the slopes and extrapolates to the planned deployment."""
    slopes = Slopes.from_measurements(seed, sizes or SlopeSizes())
    report = Report("capacity", seed)
    for slope in slopes.all():
        report.figures[f"slope_{slope.name}"] = slope.text()
    add_query_figures(slopes, report)
    add_scatter_figures(slopes, report)
    add_control_figures(slopes, report)
    add_store_figures(slopes, report)
    add_bounds(report)
    return report


def add_query_figures(slopes: Slopes, report: Report) -> None:
    """Adds the processor time of the query path at an entry instance."""
    figures = report.figures
    seconds = slopes.query.at(_targets.SHARDS_PER_QUERY)
    cores = _targets.QUERIES_PER_NODE * seconds
    figures["queries_a_second_a_node"] = round(_targets.QUERIES_PER_NODE, 1)
    figures["sub_requests_a_second_a_node"] = round(
        _targets.SUB_REQUESTS_PER_NODE
    )
    figures["query_ms"] = round(seconds * 1e3, 2)
    figures["sub_request_us"] = round(
        seconds / _targets.SHARDS_PER_QUERY * 1e6, 2
    )
    figures["query_cores_a_node"] = round(cores, 2)
    figures["processes_a_node"] = math.ceil(cores / MAX_QUERY_CORE_FRACTION)
    figures["log_share_of_query"] = round(slopes.log.slope / seconds, 4)


def add_scatter_figures(slopes: Slopes, report: Report) -> None:
    """Adds figures of direct and two-level scatter under connection limits."""
    figures = report.figures
    processes = figures["processes_a_node"] * _targets.NODES_PER_DATA_CENTRE
    for connections in (
        _targets.MIN_UPSTREAM_CONNECTIONS,
        _targets.MAX_UPSTREAM_CONNECTIONS,
    ):
        max_connections = connections * _targets.REPLICAS_PER_DATA_CENTRE
        name = f"at_{connections}_connections"
        figures[f"{name}_connections_a_process"] = round(
            max_connections / processes, 1
        )
        figures[f"{name}_direct_fits"] = (
            max_connections / processes >= _targets.SHARDS_PER_QUERY
        )
        groups = math.ceil(processes / connections)
        figures[f"{name}_groups"] = groups
        figures[f"{name}_shards_a_process"] = round(
            _targets.SHARDS_PER_QUERY / groups, 1
        )
        figures[f"{name}_two_level_cores_a_node"] = round(
            figures["query_cores_a_node"]
            + _targets.QUERIES_PER_NODE
            * (groups - 1)
            * MESSAGES_PER_EXCHANGE
            * slopes.message.slope,
            2,
        )


def add_control_figures(slopes: Slopes, report: Report) -> None:
    """Adds the processor time, bytes and memory of a node's control plane."""
    figures = report.figures
    upstreams, nodes = _targets.REPLICAS, _targets.NODES
    changes_per_s = _targets.CHANGES_PER_DAY / _targets.DAY_S
    change_s = slopes.adopt.at(upstreams) + slopes.configure.at(upstreams)
    share = PROBERS_PER_UPSTREAM / _targets.NODES_PER_DATA_CENTRE
    local = _targets.REPLICAS_PER_DATA_CENTRE
    probes = share * (
        local / PROBE_INTERVAL_S + (upstreams - local) / REMOTE_PROBE_INTERVAL_S
    )
    reports_per_s = upstreams / REMOTE_PROBE_INTERVAL_S
    probe_s = figures["sub_request_us"] / 1e6
    shares = {
        "peers": slopes.peer_time.at(nodes),
        "probes": probes * probe_s,
        "reports": reports_per_s * slopes.reports.slope,
        "changes": changes_per_s * change_s,
        "list": slopes.message.slope,
    }
    for name, value in shares.items():
        figures[f"control_core_{name}"] = round(value, 6)
    figures["control_core_share"] = round(sum(shares.values()), 5)
    figures["change_ms"] = round(change_s * 1e3, 1)
    version = slopes.version.at(upstreams)
    changed_bytes_per_s = 2 * changes_per_s * version
    sent = slopes.peer_bytes.at(nodes) + changed_bytes_per_s
    figures["control_bytes_a_second"] = round(DIRECTIONS * sent)
    instances = nodes * figures["processes_a_node"]
    sent = slopes.peer_bytes.at(instances) + changed_bytes_per_s
    figures["control_bytes_if_every_process_is_an_instance"] = round(
        DIRECTIONS * sent * figures["processes_a_node"]
    )
    figures["probes_a_second"] = round(probes, 2)
    figures["version_bytes"] = round(version)
    state = (
        slopes.tier.at(upstreams)
        + slopes.members.at(nodes)
        + slopes.fingerprints.at(MAX_FINGERPRINTS)
        + MAX_CACHED_PAGES * slopes.claims.at(CLAIMS_PER_PAGE)
    )
    figures["state_mb"] = round(state / MIB, 2)
    figures["resident_mb"] = round(_state.resident_mb(), 1)
    figures["control_mb"] = round(
        figures["state_mb"] + figures["resident_mb"], 1
    )


def add_store_figures(slopes: Slopes, report: Report) -> None:
    """Adds the calls that all instances together make to the store."""
    figures = report.figures
    watchers = WATCHERS_PER_DATA_CENTRE * _targets.DATA_CENTRES
    changes = _targets.CHANGES_PER_DAY / _targets.DAY_S
    figures["store_watches_waiting"] = watchers
    figures["store_reads_a_second"] = round(
        watchers
        * (1 / WATCH_TIMEOUT_S + 1 / LIST_READ_INTERVAL_S + 2 * changes),
        2,
    )
    figures["store_config_writes_a_second"] = round(2 * changes, 4)
    claims = _targets.MAX_STORE_VALUE_BYTES / slopes.page.slope
    figures["claims_a_page_at_most"] = round(claims)
    figures["records_a_second_unbatched"] = _targets.MAX_STORE_WRITES_PER_S / 2


def add_bounds(report: Report) -> None:
    """Adds the bounds that the targets set."""
    report.at_most("control_core_share", _targets.MAX_CONTROL_CORE_FRACTION)
    report.at_most("control_mb", _targets.MAX_CONTROL_MEMORY_MIB)
    report.at_most("control_bytes_a_second", _targets.MAX_CONTROL_BYTES_PER_S)
    report.at_most("store_reads_a_second", _targets.MAX_STORE_READS_PER_S)
    report.at_most("version_bytes", _targets.MAX_STORE_VALUE_BYTES)
