"""Identical searches in flight that share one scatter (request coalescing)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from arbutusbridge.core.model import Preference

if TYPE_CHECKING:
    from arbutusbridge.core.messages import SearchRequest, Version
    from arbutusbridge.core.model import Configuration, Policy
    from arbutusbridge.core.requests.query import Query

JOIN_WINDOW_FRACTION = 0.5
"""Share of the first member's time in which others may join it."""

CoalescingKey = tuple[str, int, tuple[object, ...]]
"""Fingerprint, configuration version and what steers the scatter."""


@dataclass(slots=True)
class ScatterMember:
    """One caller's request that a scatter answers.

    Attributes:
      request: What the caller asked.
      policy: What the rules ask for it.
      deadline: When the caller must have its answer.
    """

    request: SearchRequest
    policy: Policy
    deadline: float


def coalescing_key(
    fingerprint: str, configuration: Configuration, policy: Policy
) -> CoalescingKey:
    """Returns the key that searches must have in common to share.

    Policies may differ in deadline, urgency and hits, which are each
    member's own. What steers hedging must be the same; so must the least
    coverage where it decides how long a scatter waits.
    """
    least = None
    if policy.prefer is Preference.LATENCY:
        least = policy.least_coverage
    steering = (policy.prefer, policy.hedge_quantile, policy.extra_load, least)
    return (fingerprint, configuration.version, steering)


class Coalescer:
    """The scatters that later identical searches may join.

    Attributes:
      joinable: The newest scatter of each key, queued or running.
      enabled: Whether searches share at all.
      joined: Searches that joined another's scatter.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled
        self.joinable: dict[CoalescingKey, tuple[Query, float]] = {}
        self.joined = 0

    def offer(self, query: Query, now: float) -> None:
        """Lets later searches join a scatter for a part of its time."""
        if self.enabled:
            until = now + (query.deadline - now) * JOIN_WINDOW_FRACTION
            self.joinable[query.coalescing_key] = (query, until)

    def find(
        self, key: CoalescingKey, newest: Version | None, now: float
    ) -> Query | None:
        """Returns a scatter that a fresh search may join.

        Args:
          key: What both must have in common.
          newest: Version that a fresh scatter would choose, None if none.
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
        """Adds a member; tells whether the scatter became more urgent."""
        self.joined += 1
        query.members[member.request.request_id] = member
        query.deadline = max(query.deadline, member.deadline)
        urgency = int(member.policy.urgency)
        more_urgent = urgency < query.urgency
        query.urgency = min(query.urgency, urgency)
        return more_urgent

    def forget(self, query: Query) -> None:
        """Drops a finished scatter, unless a newer one took its place."""
        found = self.joinable.get(query.coalescing_key)
        if found is not None and found[0] is query:
            del self.joinable[query.coalescing_key]
