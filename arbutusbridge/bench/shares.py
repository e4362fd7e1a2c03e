"""Connections at upstreams while every instance is replaced in turn."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from arbutusbridge.bench._peers import Peer, PeerNet
from arbutusbridge.bench._topology import DATA_CENTRES
from arbutusbridge.bench.report import Report
from arbutusbridge.core.membership.members import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.membership.members import Identity

    Allow = Callable[["Holder"], dict[str, int]]

INSTANCES = 8
REPLACEMENTS = 40
REPLACE_EVERY_S = 12.0
LIMITS = {"small": 25, "large": 110, "middle": 35, "scarce": 6}
"""Connections that each upstream accepts; the last is under the instances."""

TURN_S = 0.2
BUSY_SHARE = 0.5
"""Share of idle connections that get a request in a turn."""

LONGEST_REPLY_S = 1.5
DRAIN_S = 2.0
CRASH_SHARE = 0.05
PAIR_SHARE = 0.25
"""Share of replacements in which two instances start at once."""

READY_WAIT_S = 30.0
"""Longest wait for a successor to be ready before an instance is stopped."""

SAME_NAME_SHARE = 0.3
PART_AT_S = 200.0
PART_FOR_S = 60.0


class Holder(Peer):
    """An instance that always wants all connections that it may have.

    Attributes:
      busy_until: For each connection of an upstream, when it is idle.
      joined_after: Seconds from its start to its shares, None before.
    """

    def __init__(self, net: PeerNet, identity: Identity, allow: Allow) -> None:
        super().__init__(net, identity)
        self.gossip.shares.followed = True
        self.allow = allow
        self.started_at = net.now
        self.joined_after: float | None = None
        self.draining = False
        self.busy_until: dict[str, list[float]] = {n: [] for n in LIMITS}

    def turn(self) -> None:
        """Opens and closes connections as its shares say."""
        if not self.running:
            return
        now = self.net.now
        shares = self.gossip.shares
        digest = shares.digest(now)
        within = True
        allowed = dict.fromkeys(LIMITS, 0)
        if not self.draining:
            allowed = self.allow(self)
        for name, most in allowed.items():
            held = self.close_spare(self.busy_until[name], most, now)
            held += [0.0] * (most - len(held))
            within = within and len(held) <= most
            self.busy_until[name] = [self.use(at, now) for at in held]
        if within:
            shares.note_within(digest)
        if shares.joined and self.joined_after is None:
            self.joined_after = now - self.started_at
        self.net.schedule.after(TURN_S, self.turn)

    def close_spare(
        self, held: list[float], most: int, now: float
    ) -> list[float]:
        """Closes idle connections beyond a number; busy ones stay."""
        order = sorted(held, reverse=True)
        return order[:most] + [at for at in order[most:] if at > now]

    def use(self, busy_until: float, now: float) -> float:
        """Gives an idle connection a request by chance."""
        if busy_until > now or self.net.rng.random() > BUSY_SHARE:
            return busy_until
        return now + self.net.rng.uniform(0.0, LONGEST_REPLY_S)

    def stop(self) -> None:
        """Stops in order: leaves, drains, says that it has stopped."""
        self.gossip.state = MemberState.LEAVING
        self.net.drop(self)
        self.draining = True
        self.net.schedule.after(DRAIN_S, self.say_stopped_if_idle)

    def say_stopped_if_idle(self) -> None:
        """Says that it has stopped once no connection is left."""
        if any(self.busy_until.values()):
            self.net.schedule.after(TURN_S, self.say_stopped_if_idle)
        else:
            self.say_stopped()

    def end(self) -> None:
        """Ends its process and with it every connection."""
        self.running = False
        for name in self.busy_until:
            self.busy_until[name] = []

    def crash(self) -> None:
        """Ends without a word."""
        self.net.drop(self)
        self.end()


@dataclass
class Fleet:
    """Instances under replacement and the most connections seen.

    Attributes:
      most: Most connections seen at each upstream, over its limit.
    """

    net: PeerNet
    allow: Allow
    started: list[Holder] = field(default_factory=list)
    most: dict[str, float] = field(default_factory=dict)

    def stop_when_ready(self, old: Holder, new: Holder, until: float) -> None:
        """Lets an instance go when its successor is ready or has had time."""
        if not old.running or old.draining:
            return
        if new.gossip.shares.joined or self.net.now >= until:
            old.stop()
            return
        self.net.schedule.after(TURN_S, self.stop_when_ready, old, new, until)

    def start(self, place: str, name: str | None = None) -> Holder:
        """Starts one instance."""
        name = name or f"entry-{len(self.started)}"
        identity = self.net.identity(name, place)
        holder = Holder(self.net, identity, self.allow)
        self.started.append(holder)
        self.net.start(holder)
        holder.turn()
        return holder

    def current(self) -> list[Holder]:
        """Returns the instances that run and are not being stopped."""
        return [h for h in self.started if h.running and not h.draining]

    def replace(self) -> None:
        """Starts one or two instances and lets as many go."""
        rng = self.net.rng
        count = 2 if rng.random() < PAIR_SHARE else 1
        for old in self.current()[:count]:
            if rng.random() < CRASH_SHARE:
                old.crash()
                same = rng.random() < SAME_NAME_SHARE
                self.start(old.place, old.name if same else None)
            else:
                new = self.start(old.place)
                self.stop_when_ready(old, new, self.net.now + READY_WAIT_S)

    def observe(self) -> None:
        """Counts connections as an upstream does."""
        for name, limit in LIMITS.items():
            count = sum(len(h.busy_until[name]) for h in self.started)
            self.most[name] = max(self.most.get(name, 0.0), count / limit)
        self.net.schedule.after(TURN_S / 2, self.observe)


def by_protocol(holder: Holder) -> dict[str, int]:
    """Returns the connections that the sharing protocol allows."""
    allocation = holder.gossip.shares.allocation(holder.net.now)
    return {n: allocation.connections(n, most) for n, most in LIMITS.items()}


def by_count(holder: Holder) -> dict[str, int]:
    """Returns the limits over the instances counted, the baseline."""
    counted = holder.gossip.membership.counted(holder.net.now)
    return {name: max(1, most // counted) for name, most in LIMITS.items()}


def run(seed: int, replacements: int, allow: Allow) -> Fleet:
    """Starts a fleet, replaces its instances and parts a data centre."""
    net = PeerNet(random.Random(seed))
    fleet = Fleet(net, allow)
    for number in range(INSTANCES):
        place = DATA_CENTRES[number % len(DATA_CENTRES)]
        at = net.rng.uniform(0.0, 3.0)
        net.schedule.at(at, fleet.start, place, f"entry-{number}")
    fleet.observe()
    at = 30.0
    for _ in range(replacements):
        at += net.rng.uniform(0.5, 1.5) * REPLACE_EVERY_S
        net.schedule.at(at, fleet.replace)
    net.schedule.at(PART_AT_S, setattr, net, "parted", DATA_CENTRES[0])
    net.schedule.at(PART_AT_S + PART_FOR_S, setattr, net, "parted", None)
    net.schedule.run_until(at + 60.0)
    return fleet


def measure(seed: int) -> Report:
    """Replaces every instance several times, with and without protocol."""
    report = Report("shares", seed)
    fleet = run(seed, REPLACEMENTS, by_protocol)
    baseline = run(seed, REPLACEMENTS, by_count)
    waits = sorted(h.joined_after or 999.0 for h in fleet.started[INSTANCES:])
    held = {
        name: sum(len(h.busy_until[name]) for h in fleet.current()) / limit
        for name, limit in LIMITS.items()
    }
    figures = report.figures
    figures["instances_started"] = len(fleet.started)
    figures["most_connections_over_limit"] = round(max(fleet.most.values()), 3)
    figures["by_upstream"] = {n: round(v, 3) for n, v in fleet.most.items()}
    figures["by_count_alone"] = {
        n: round(v, 3) for n, v in baseline.most.items()
    }
    figures["held_over_limit_at_the_end"] = {
        n: round(v, 3) for n, v in held.items()
    }
    figures["seconds_to_join_p50"] = round(waits[len(waits) // 2], 1)
    figures["seconds_to_join_p90"] = round(waits[len(waits) * 9 // 10], 1)
    figures["never_joined"] = sum(wait == 999.0 for wait in waits)
    report.at_most("most_connections_over_limit", 1.0)
    return report
