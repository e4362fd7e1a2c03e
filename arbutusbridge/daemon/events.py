"""Events between the components of one instance.

The docstring of each class shows how the event is created.
"""

from __future__ import annotations

from circuits import Event


class dispatch(Event):  # noqa: N801 - circuits names events in lower case
    """Sub-requests to send to upstreams: ``dispatch(attempts)``."""


class cancel(Event):  # noqa: N801
    """Attempts to cancel at upstreams: ``cancel(cancels)``."""


class replies_received(Event):  # noqa: N801
    """Replies of one event loop turn: ``replies_received(replies)``."""


class closed_idle(Event):  # noqa: N801
    """Upstreams that closed idle connections: ``closed_idle(names)``."""


class upstream_checked(Event):  # noqa: N801
    """Check of a lost upstream: ``upstream_checked(upstream, accepted)``."""


class upstream_connected(Event):  # noqa: N801
    """New connection that has stayed open: ``upstream_connected(upstream)``."""


class quarantine_changed(Event):  # noqa: N801
    """Changed keys of quarantines: ``quarantine_changed(items)``."""


class status_reports(Event):  # noqa: N801
    """Status reports of upstreams: ``status_reports(reports)``."""


class due(Event):  # noqa: N801
    """Tokens of due timers: ``due(tokens)``."""


class search(Event):  # noqa: N801
    """A caller's search: ``search(request)``."""


class record(Event):  # noqa: N801
    """A caller's record: ``record(request)``."""


class abandon(Event):  # noqa: N801
    """A caller that closed its connection: ``abandon(request_id)``."""


class answered(Event):  # noqa: N801
    """The final answer to a caller: ``answered(answer)``."""


class notice_received(Event):  # noqa: N801
    """A notice from a peer: ``notice_received(notice)``."""


class found_by_peers(Event):  # noqa: N801
    """Upstream status reported by peers: ``found_by_peers(findings)``."""


class counted(Event):  # noqa: N801
    """Number of instances that share connections: ``counted(instances)``."""


class config_message(Event):  # noqa: N801
    """A peer's message about configuration: ``config_message(action)``."""


class configured(Event):  # noqa: N801
    """A new configuration in force: ``configured(configuration)``."""


class stopping(Event):  # noqa: N801
    """A planned stop of this instance starts: ``stopping()``."""


class drained(Event):  # noqa: N801
    """A planned stop of this instance is complete: ``drained()``."""


class allotted(Event):  # noqa: N801
    """Connection shares of this instance: ``allotted(allocation, digest)``."""


class within(Event):  # noqa: N801
    """Open connections are within the shares: ``within(digest)``."""


class request_arrived(Event):  # noqa: N801
    """A caller's request to forward: ``request_arrived(request)``."""


class caller_left(Event):  # noqa: N801
    """A forwarded request's caller disconnected: ``caller_left(request)``."""


class attempts_ended(Event):  # noqa: N801
    """Ended attempts of one event loop turn: ``attempts_ended(replies)``."""


class upstreams_changed(Event):  # noqa: N801
    """Changed keys of upstreams: ``upstreams_changed(items)``."""


class evacuations_changed(Event):  # noqa: N801
    """Changed keys of evacuations: ``evacuations_changed(items)``."""


class routing_changed(Event):  # noqa: N801
    """Changed keys of the routing configuration: ``routing_changed(items)``."""


class store_restored(Event):  # noqa: N801
    """The store came back from an older copy: ``store_restored(era)``."""


class store_recovered(Event):  # noqa: N801
    """First usable store reply after a failure: ``store_recovered()``."""


class instances_changed(Event):  # noqa: N801
    """Changed keys of running instances: ``instances_changed(items)``."""


class peer_message(Event):  # noqa: N801
    """A message from a forwarding instance: ``peer_message(message)``."""
