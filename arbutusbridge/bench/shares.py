"""Connections at upstreams while instances are replaced one after another."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.bench._peers import Peer, PeerNetwork
from arbutusbridge.bench._topology import DATA_CENTRES
from arbutusbridge.bench.report import Report
from arbutusbridge.core.membership.members import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.membership.members import Identity

    Allow = Callable[["ConnectionHolder"], dict[str, int]]
    """Returns the connections that an instance may open, by upstream."""

INSTANCES = 8
REPLACEMENTS = 40
REPLACEMENT_INTERVAL_S = 12.0
CONNECTION_LIMITS = {"small": 25, "large": 110, "middle": 35, "scarce": 6}
"""Connections that each upstream accepts.

``scarce`` accepts fewer connections than there are instances.
"""

ADJUSTMENT_INTERVAL_S = 0.2
BUSY_FRACTION = 0.5
"""Fraction of idle connections that get a request in each interval."""

MAX_REPLY_TIME_S = 1.5
DRAIN_TIME_S = 2.0
"""Minimum time from the start of a graceful stop to its announcement."""

CRASH_FRACTION = 0.05
"""Fraction of replaced instances that crash rather than stop."""

PAIR_FRACTION = 0.25
"""Fraction of replacements in which two instances start at once."""

READY_TIMEOUT_S = 30.0
"""Time after which an instance is stopped although no successor is ready."""

SAME_NAME_FRACTION = 0.3
"""Fraction of crashed instances whose replacement keeps their name."""

PARTITION_AT_S = 200.0
PARTITION_DURATION_S = 60.0


class ConnectionHolder(Peer):
    """An instance that always opens every connection it is allowed.

    Attributes:
      allocate: Returns the connections that an instance may open, by
        upstream.
      started_at: Time at which it started, in seconds.
      joined_after_s: Seconds from its start until it joined the sharing
        protocol, None before.
      draining: Whether it accepts no new requests before it stops.
      busy_until: For each upstream, the time at which each open connection
        becomes idle.
    """

    def __init__(
        self, net: PeerNetwork, identity: Identity, allocate: Allow
    ) -> None:
        super().__init__(net, identity)
        self.gossip.shares.enforced = True
        self.allocate = allocate
        self.started_at = net.now
        self.joined_after_s: float | None = None
        self.draining = False
        self.busy_until: dict[str, list[float]] = {
            n: [] for n in CONNECTION_LIMITS
        }

    def adjust_connections(self) -> None:
        """Opens and closes connections to match the instance's shares."""
        if not self.running:
            return
        now = self.net.now
        shares = self.gossip.shares
        digest = shares.digest(now)
        within = True
        allowed = dict.fromkeys(CONNECTION_LIMITS, 0)
        if not self.draining:
            allowed = self.allocate(self)
        for name, max_connections in allowed.items():
            held = self.close_idle_connections(
                self.busy_until[name], max_connections, now
            )
            held += [0.0] * (max_connections - len(held))
            within = within and len(held) <= max_connections
            self.busy_until[name] = [
                self.use_connection(at, now) for at in held
            ]
        if within:
            shares.record_within_shares(digest)
        if shares.joined and self.joined_after_s is None:
            self.joined_after_s = now - self.started_at
        self.net.schedule.after(ADJUSTMENT_INTERVAL_S, self.adjust_connections)

    def close_idle_connections(
        self, held: list[float], max_connections: int, now: float
    ) -> list[float]:
        """Closes idle connections above a maximum; busy ones stay open."""
        latest_busy_first = sorted(held, reverse=True)
        return latest_busy_first[:max_connections] + [
            at for at in latest_busy_first[max_connections:] if at > now
        ]

    def use_connection(self, busy_until: float, now: float) -> float:
        """Starts a request on an idle connection with some probability.

        Returns:
          The time at which the connection becomes idle.
        """
        if busy_until > now or self.net.rng.random() > BUSY_FRACTION:
            return busy_until
        return now + self.net.rng.uniform(0.0, MAX_REPLY_TIME_S)

    def stop(self) -> None:
        """Stops gracefully: leaves, drains and announces that it stopped."""
        self.gossip.state = MemberState.LEAVING
        self.net.remove_from_list(self)
        self.draining = True
        self.net.schedule.after(DRAIN_TIME_S, self.announce_stopped_if_idle)

    def announce_stopped_if_idle(self) -> None:
        """Announces that it stopped once no connection is open."""
        if any(self.busy_until.values()):
            self.net.schedule.after(
                ADJUSTMENT_INTERVAL_S, self.announce_stopped_if_idle
            )
        else:
            self.announce_stopped()

    def end(self) -> None:
        """Ends its process, which closes every connection."""
        self.running = False
        for name in self.busy_until:
            self.busy_until[name] = []

    def crash(self) -> None:
        """Ends without an announcement to its peers."""
        self.net.remove_from_list(self)
        self.end()


@dataclass
class ReplacementFleet:
    """Instances under replacement and their peak connection counts.

    Attributes:
      net: Network between the instances.
      allocate: Returns the connections that an instance may open, by
        upstream.
      started: Every instance started so far.
      max_connection_ratios: Largest number of connections observed at each
        upstream, over its limit.
    """

    net: PeerNetwork
    allocate: Allow
    started: list[ConnectionHolder] = field(default_factory=list)
    max_connection_ratios: dict[str, float] = field(default_factory=dict)

    def stop_when_ready(
        self, old: ConnectionHolder, new: ConnectionHolder, deadline: float
    ) -> None:
        """Stops an instance once its successor is ready or a deadline passed.

        Args:
          old: Instance to stop.
          new: Its successor.
          deadline: Time from which the instance stops regardless, in seconds.
        """
        if not old.running or old.draining:
            return
        if new.gossip.shares.joined or self.net.now >= deadline:
            old.stop()
            return
        self.net.schedule.after(
            ADJUSTMENT_INTERVAL_S, self.stop_when_ready, old, new, deadline
        )

    def start(self, place: str, name: str | None = None) -> ConnectionHolder:
        """Starts one instance in a data centre."""
        name = name or f"entry-{len(self.started)}"
        identity = self.net.make_identity(name, place)
        holder = ConnectionHolder(self.net, identity, self.allocate)
        self.started.append(holder)
        self.net.start(holder)
        holder.adjust_connections()
        return holder

    def list_active_holders(self) -> list[ConnectionHolder]:
        """Returns the instances that run and are not draining."""
        return [h for h in self.started if h.running and not h.draining]

    def replace(self) -> None:
        """Starts one or two instances and stops or crashes as many."""
        rng = self.net.rng
        count = 2 if rng.random() < PAIR_FRACTION else 1
        for old in self.list_active_holders()[:count]:
            if rng.random() < CRASH_FRACTION:
                old.crash()
                reuses_name = rng.random() < SAME_NAME_FRACTION
                self.start(old.place, old.name if reuses_name else None)
            else:
                new = self.start(old.place)
                self.stop_when_ready(old, new, self.net.now + READY_TIMEOUT_S)

    def sample_connections(self) -> None:
        """Samples the connections at each upstream, at a fixed interval."""
        for name, limit in CONNECTION_LIMITS.items():
            count = sum(len(h.busy_until[name]) for h in self.started)
            self.max_connection_ratios[name] = max(
                self.max_connection_ratios.get(name, 0.0), count / limit
            )
        self.net.schedule.after(
            ADJUSTMENT_INTERVAL_S / 2, self.sample_connections
        )


def allocate_by_protocol(holder: ConnectionHolder) -> dict[str, int]:
    """Returns the connections that the sharing protocol allows, by upstream."""
    allocation = holder.gossip.shares.allocation(holder.net.now)
    return {
        n: allocation.connections(n, max_connections)
        for n, max_connections in CONNECTION_LIMITS.items()
    }


def allocate_by_count(holder: ConnectionHolder) -> dict[str, int]:
    """Returns each limit divided by the instances counted, as a baseline."""
    counted = holder.gossip.membership.counted(holder.net.now)
    return {
        name: max(1, max_connections // counted)
        for name, max_connections in CONNECTION_LIMITS.items()
    }


def run(seed: int, replacements: int, allocate: Allow) -> ReplacementFleet:
    """Runs a fleet through replacements and a partition of a data centre."""
    net = PeerNetwork(random.Random(seed))
    fleet = ReplacementFleet(net, allocate)
    for number in range(INSTANCES):
        place = DATA_CENTRES[number % len(DATA_CENTRES)]
        at = net.rng.uniform(0.0, 3.0)
        net.schedule.at(at, fleet.start, place, f"entry-{number}")
    fleet.sample_connections()
    at = 30.0
    for _ in range(replacements):
        at += net.rng.uniform(0.5, 1.5) * REPLACEMENT_INTERVAL_S
        net.schedule.at(at, fleet.replace)
    net.schedule.at(
        PARTITION_AT_S, setattr, net, "partitioned_data_centre", DATA_CENTRES[0]
    )
    net.schedule.at(
        PARTITION_AT_S + PARTITION_DURATION_S,
        setattr,
        net,
        "partitioned_data_centre",
        None,
    )
    net.schedule.run_until(at + 60.0)
    return fleet


def measure(seed: int) -> Report:
    """Replaces instances with and without the sharing protocol."""
    report = Report("shares", seed)
    fleet = run(seed, REPLACEMENTS, allocate_by_protocol)
    baseline = run(seed, REPLACEMENTS, allocate_by_count)
    # 999.0 stands for an instance that never joined.
    join_delays_s = sorted(
        h.joined_after_s or 999.0 for h in fleet.started[INSTANCES:]
    )
    held = {
        name: sum(len(h.busy_until[name]) for h in fleet.list_active_holders())
        / limit
        for name, limit in CONNECTION_LIMITS.items()
    }
    figures = report.figures
    figures["instances_started"] = len(fleet.started)
    figures["most_connections_over_limit"] = round(
        max(fleet.max_connection_ratios.values()), 3
    )
    figures["by_upstream"] = {
        n: round(v, 3) for n, v in fleet.max_connection_ratios.items()
    }
    figures["by_count_alone"] = {
        n: round(v, 3) for n, v in baseline.max_connection_ratios.items()
    }
    figures["held_over_limit_at_the_end"] = {
        n: round(v, 3) for n, v in held.items()
    }
    figures["seconds_to_join_p50"] = round(
        join_delays_s[len(join_delays_s) // 2], 1
    )
    figures["seconds_to_join_p90"] = round(
        join_delays_s[len(join_delays_s) * 9 // 10], 1
    )
    figures["never_joined"] = sum(wait == 999.0 for wait in join_delays_s)
    report.at_most("most_connections_over_limit", 1.0)
    return report
