"""Request coalescing: identical searches in flight share one scatter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.model import Preference

if TYPE_CHECKING:
    from arbutusbridge.core.messages import SearchRequest, Version
    from arbutusbridge.core.model import Configuration, Policy
    from arbutusbridge.core.requests.query import Query

JOIN_WINDOW_FRACTION = 0.5
"""Part of the first member's time limit during which others may join it."""

CoalescingKey = tuple[str, int, tuple[object, ...]]
"""Fingerprint, configuration version and policy fields that affect hedging."""


@dataclass(slots=True)
class ScatterMember:
    """One caller's request that a scatter answers.

    Attributes:
      request: The caller's request.
      policy: Policy for the request.
      deadline: Time by which the caller must be answered.
    """

    request: SearchRequest
    policy: Policy
    deadline: float


def coalescing_key(
    fingerprint: str, configuration: Configuration, policy: Policy
) -> CoalescingKey:
    """Returns the key that searches must have in common to share a scatter.

    Policies may differ in deadline, urgency and number of hits, which are
    applied to each member. Fields that affect hedging must be equal. So must
    the minimum coverage under a policy that prefers latency, as it then
    decides how long the scatter waits.
    """
    min_coverage = None
    if policy.prefer is Preference.LATENCY:
        min_coverage = policy.least_coverage
    hedging = (
        policy.prefer,
        policy.hedge_quantile,
        policy.extra_load,
        min_coverage,
    )
    return (fingerprint, configuration.version, hedging)


class Coalescer:
    """Finds the scatters that later identical searches may join.

    Attributes:
      joinable: Newest queued or running scatter of each key, and the time
        until which it may be joined.
      enabled: Whether coalescing is enabled.
      joined: Number of searches that joined another's scatter.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.joinable: dict[CoalescingKey, tuple[Query, float]] = {}
        self.joined = 0

    def make_joinable(self, query: Query, now: float) -> None:
        """Lets later searches join a scatter for a part of its time limit."""
        if self.enabled:
            until = now + (query.deadline - now) * JOIN_WINDOW_FRACTION
            self.joinable[query.coalescing_key] = (query, until)

    def find_scatter(
        self, key: CoalescingKey, newest: Version | None, now: float
    ) -> Query | None:
        """Returns a scatter that a new search may join.

        Args:
          key: Coalescing key of the new search.
          newest: Version that a new scatter would use, None if none is served.
          now: The time.
        """
        found = self.joinable.get(key)
        if found is None:
            return None
        query, until = found
        if query.finished or now >= until:
            return None
        serving = query.serving
        if serving and newest is not None and newest > serving.version:
            return None
        return query

    def join(self, query: Query, member: ScatterMember) -> bool:
        """Adds a member to a scatter.

        Returns:
          Whether the scatter became more urgent.
        """
        self.joined += 1
        query.members[member.request.request_id] = member
        query.deadline = max(query.deadline, member.deadline)
        urgency = int(member.policy.urgency)
        more_urgent = urgency < query.urgency
        query.urgency = min(query.urgency, urgency)
        return more_urgent

    def discard(self, query: Query) -> None:
        """Drops a finished scatter, unless a newer one has its key by now."""
        found = self.joinable.get(query.coalescing_key)
        if found is not None and found[0] is query:
            del self.joinable[query.coalescing_key]
