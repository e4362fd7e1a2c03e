"""Lookup of the route that a request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arbutusbridge.forwarding.accounts import AccountTable

if TYPE_CHECKING:
    from arbutusbridge.forwarding.model import (
        InvalidParts,
        Route,
        RoutingConfiguration,
    )


def normalise_host(host: str) -> str:
    """Returns the host that a caller names, in lower case and without port."""
    return host.partition(":")[0].lower()


class RouteTable:
    """Routes of one configuration by host and path.

    Attributes:
      configuration: Configuration that the routes come from.
      routes_by_host: Routes by host and prefix.
      widest_shards: Shards of the route with the most shards.
      top_urgencies: Rank of the most urgent requests to each service.
      owed_weights: Weight owed to each service, by host and prefix of a
        weighted route; names of routes may be equal.
      accounts: Client accounts, None if the configuration names none.
    """

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self.owed_weights: dict[tuple[str, str], dict[str, float]] = {}
        self.accounts = AccountTable.from_config(configuration)
        routes = configuration.routes
        self.widest_shards = max(
            (one.shards for one in routes), key=len, default=()
        )
        self.top_urgencies: dict[str, int] = {}
        ranks: set[int | None] = set()
        if self.accounts is not None:
            ranks = {one.urgency for one in self.accounts.by_name.values()}
        for route in routes:
            urgencies = {
                route.urgency if rank is None else rank for rank in ranks
            }
            if self.accounts is None or route.allows_anonymous:
                urgencies.add(route.urgency)
            urgency = min(urgencies, default=route.urgency)
            prefixes = self.routes_by_host.setdefault(route.host, {})
            known = prefixes.get(route.prefix)
            if known is None or not known.mistake:
                prefixes[route.prefix] = route
            for name in (*route.shards, *(one.name for one in route.services)):
                top = self.top_urgencies.get(name, urgency)
                self.top_urgencies[name] = min(top, urgency)

    @property
    def invalid(self) -> InvalidParts:
        """What could not be decoded of the configuration."""
        return self.configuration.invalid

    def top_urgency(self, service: str) -> int:
        """Returns the rank of the most urgent requests to a service."""
        return self.top_urgencies.get(service, 0)

    def find(self, host: str, target: str) -> Route | None:
        """Returns the route with the longest matching prefix, if any.

        Args:
          host: Host in lower case.
          target: Path, with or without a query.
        """
        prefixes = self.routes_by_host.get(host)
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def is_complete(self, host: str) -> bool:
        """Returns whether all routes of a host are known."""
        return not (self.invalid.any_host or host in self.invalid.hosts)

    def next_service(self, route: Route) -> str:
        """Returns the next service of a weighted route.

        Smooth weighted round robin keeps the share of each service close to its
        weight even over a few requests. One of weight 0 is never owed any, so
        that it is not chosen beside others.
        """
        if len(route.services) == 1:
            return route.services[0].name
        owed = self.owed_weights.setdefault((route.host, route.prefix), {})
        total = 0.0
        for service in route.services:
            total += service.weight
            owed[service.name] = owed.get(service.name, 0.0) + service.weight
        chosen = max(owed, key=lambda name: owed[name])
        owed[chosen] -= total
        return chosen
