"""The planned size, worked out from slopes that are measured here.

``docs/CAPACITY.md`` is written from what this prints.
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
PAGES_KEPT = 512
"""Pages of claims that one instance remembers at most."""

FINGERPRINTS_KEPT = 10_000
CLAIMS_A_PAGE = 100

CORE_USE = 0.7
"""Share of a core that queries may take, so that queues stay short."""

DIRECTIONS = 2
"""Bytes are counted as sent and as received."""

MESSAGES_A_PAIR = 2
"""A batch of sub-requests to a peer, and its batch of replies."""


@dataclass(frozen=True, slots=True)
class Slopes:
    """What one more of each thing costs.

    Attributes:
      query: Processor seconds of a query, by shards asked.
      message: Processor seconds of sending and taking peer messages.
      tier: Memory of the core in bytes, by upstreams.
      adopt: Processor seconds of checking a version, by upstreams.
      configure: Processor seconds of putting it in force, by upstreams.
      version: Bytes of a packed version, by upstreams.
      reports: Processor seconds of status reports, by reports.
      members: Memory in bytes, by instances known.
      fingerprints: Memory in bytes, by quarantined fingerprints.
      claims: Memory in bytes, by claims of a page.
      page: Bytes of a page, by claims.
      page_time: Processor seconds of one read and write, by claims.
      peer_bytes: Bytes a second that a node sends, by nodes.
      peer_time: Share of a core that a node spends on peers, by nodes.
      log: Processor seconds, by decision lines.
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
    def measured(cls, seed: int, sizes: Sizes) -> Slopes:
        """Measures every slope."""
        line = Slope.measured
        up, nodes = sizes.upstreams, sizes.nodes
        traffic = {n: _gossip.traffic(n, seed) for n in nodes}
        query = functools.partial(_paths.query_seconds, seed)
        return cls(
            line("query", "s", "shard", sizes.widths, query),
            line("message", "s", "message", MESSAGES, _paths.message_seconds),
            line("tier", "B", "upstream", up, _state.tier_bytes),
            line("adopt", "s", "upstream", up, _state.adopt_seconds),
            line("configure", "s", "upstream", up, _state.configure_seconds),
            line("version", "B", "upstream", up, _state.version_bytes),
            line("reports", "s", "report", up, _state.report_seconds),
            line("members", "B", "instance", MEMBERS, _state.member_bytes),
            line(
                "fingerprints",
                "B",
                "fingerprint",
                FINGERPRINTS,
                _state.quarantine_bytes,
            ),
            line("claims", "B", "claim", CLAIMS, _state.claim_bytes),
            line("page", "B", "claim", CLAIMS, _paths.page_bytes),
            line("page_time", "s", "claim", CLAIMS, _paths.page_seconds),
            line(
                "peer_bytes",
                "B/s",
                "node",
                nodes,
                lambda n: traffic[n].bytes_a_second,
            ),
            line(
                "peer_time",
                "core",
                "node",
                nodes,
                lambda n: traffic[n].core_share,
            ),
            line("log", "s", "line", LINES, _paths.log_seconds),
        )

    def all(self) -> list[Slope]:
        """Returns every slope."""
        return [getattr(self, name) for name in self.__dataclass_fields__]


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes at which the slow slopes are measured."""

    widths: tuple[int, ...] = (58, 115, 230)
    upstreams: tuple[int, ...] = (620, 1250, 2500)
    nodes: tuple[int, ...] = (48, 240, 570)


MESSAGES = (500, 1000, 2000)
MEMBERS = (140, 280, 570)
FINGERPRINTS = (500, 1000, 2000)
CLAIMS = (100, 1000, 4000)
LINES = (500, 1000, 2000)


def measure(seed: int, sizes: Sizes | None = None) -> Report:
    """Measures the slopes and works out the planned size."""
    slopes = Slopes.measured(seed, sizes or Sizes())
    report = Report("capacity", seed)
    for slope in slopes.all():
        report.figures[f"slope_{slope.name}"] = slope.text()
    work_out_queries(slopes, report)
    work_out_scatter(slopes, report)
    work_out_control(slopes, report)
    work_out_store(slopes, report)
    state_bounds(report)
    return report


def work_out_queries(slopes: Slopes, report: Report) -> None:
    """Works out the processor time of the entry query path."""
    figures = report.figures
    seconds = slopes.query.at(_targets.SHARDS_A_QUERY)
    cores = _targets.QUERIES_A_NODE * seconds
    figures["queries_a_second_a_node"] = round(_targets.QUERIES_A_NODE, 1)
    figures["sub_requests_a_second_a_node"] = round(
        _targets.SUB_REQUESTS_A_NODE
    )
    figures["query_ms"] = round(seconds * 1e3, 2)
    figures["sub_request_us"] = round(
        seconds / _targets.SHARDS_A_QUERY * 1e6, 2
    )
    figures["query_cores_a_node"] = round(cores, 2)
    figures["processes_a_node"] = math.ceil(cores / CORE_USE)
    figures["log_share_of_query"] = round(slopes.log.slope / seconds, 4)


def work_out_scatter(slopes: Slopes, report: Report) -> None:
    """Works out direct and two-level scatter under connection limits."""
    figures = report.figures
    places = figures["processes_a_node"] * _targets.NODES_A_DATA_CENTRE
    for connections in (
        _targets.FEWEST_CONNECTIONS,
        _targets.MOST_CONNECTIONS,
    ):
        most = connections * _targets.REPLICAS_A_DATA_CENTRE
        name = f"at_{connections}_connections"
        figures[f"{name}_connections_a_process"] = round(most / places, 1)
        figures[f"{name}_direct_fits"] = (
            most / places >= _targets.SHARDS_A_QUERY
        )
        groups = math.ceil(places / connections)
        figures[f"{name}_groups"] = groups
        figures[f"{name}_shards_a_process"] = round(
            _targets.SHARDS_A_QUERY / groups, 1
        )
        figures[f"{name}_two_level_cores_a_node"] = round(
            figures["query_cores_a_node"]
            + _targets.QUERIES_A_NODE
            * (groups - 1)
            * MESSAGES_A_PAIR
            * slopes.message.slope,
            2,
        )


def work_out_control(slopes: Slopes, report: Report) -> None:
    """Works out what a node spends on control."""
    figures = report.figures
    upstreams, nodes = _targets.REPLICAS, _targets.NODES
    changes_a_second = _targets.CHANGES_A_DAY / _targets.DAY_SECONDS
    change = slopes.adopt.at(upstreams) + slopes.configure.at(upstreams)
    share = PROBERS_PER_UPSTREAM / _targets.NODES_A_DATA_CENTRE
    local = _targets.REPLICAS_A_DATA_CENTRE
    probes = share * (
        local / PROBE_INTERVAL_S + (upstreams - local) / REMOTE_PROBE_INTERVAL_S
    )
    heard = upstreams / REMOTE_PROBE_INTERVAL_S
    probe_seconds = figures["sub_request_us"] / 1e6
    shares = {
        "peers": slopes.peer_time.at(nodes),
        "probes": probes * probe_seconds,
        "reports": heard * slopes.reports.slope,
        "changes": changes_a_second * change,
        "list": slopes.message.slope,
    }
    for name, value in shares.items():
        figures[f"control_core_{name}"] = round(value, 6)
    figures["control_core_share"] = round(sum(shares.values()), 5)
    figures["change_ms"] = round(change * 1e3, 1)
    version = slopes.version.at(upstreams)
    changed = 2 * changes_a_second * version
    sent = slopes.peer_bytes.at(nodes) + changed
    figures["control_bytes_a_second"] = round(DIRECTIONS * sent)
    instances = nodes * figures["processes_a_node"]
    sent = slopes.peer_bytes.at(instances) + changed
    figures["control_bytes_if_every_process_is_an_instance"] = round(
        DIRECTIONS * sent * figures["processes_a_node"]
    )
    figures["probes_a_second"] = round(probes, 2)
    figures["version_bytes"] = round(version)
    state = (
        slopes.tier.at(upstreams)
        + slopes.members.at(nodes)
        + slopes.fingerprints.at(FINGERPRINTS_KEPT)
        + PAGES_KEPT * slopes.claims.at(CLAIMS_A_PAGE)
    )
    figures["state_mb"] = round(state / MIB, 2)
    figures["resident_mb"] = round(_state.resident_mb(), 1)
    figures["control_mb"] = round(
        figures["state_mb"] + figures["resident_mb"], 1
    )


def work_out_store(slopes: Slopes, report: Report) -> None:
    """Works out the calls that all instances together make to the store."""
    figures = report.figures
    watchers = WATCHERS_PER_DATA_CENTRE * _targets.DATA_CENTRES
    changes = _targets.CHANGES_A_DAY / _targets.DAY_SECONDS
    figures["store_watches_waiting"] = watchers
    figures["store_reads_a_second"] = round(
        watchers
        * (1 / WATCH_TIMEOUT_S + 1 / LIST_READ_INTERVAL_S + 2 * changes),
        2,
    )
    figures["store_config_writes_a_second"] = round(2 * changes, 4)
    claims = _targets.STORE_VALUE_BYTES / slopes.page.slope
    figures["claims_a_page_at_most"] = round(claims)
    figures["records_a_second_unbatched"] = _targets.STORE_WRITES_A_SECOND / 2


def state_bounds(report: Report) -> None:
    """States the bounds of the letter."""
    report.at_most("control_core_share", _targets.CONTROL_CORE_SHARE)
    report.at_most("control_mb", _targets.CONTROL_MB)
    report.at_most("control_bytes_a_second", _targets.CONTROL_BYTES_A_SECOND)
    report.at_most("store_reads_a_second", _targets.STORE_READS_A_SECOND)
    report.at_most("version_bytes", _targets.STORE_VALUE_BYTES)
