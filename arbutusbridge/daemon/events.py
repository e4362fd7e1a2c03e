"""Events between the tasks of one instance."""

from __future__ import annotations

from circuits import Event


class dispatch(Event):  # noqa: N801 - circuits names events in lower case
    """Sub-requests for the upstream pools: ``dispatch(attempts)``."""


class cancel(Event):  # noqa: N801
    """Attempts that nobody waits for any more: ``cancel(cancels)``."""


class replies_received(Event):  # noqa: N801
    """Replies of upstreams, batched per turn: ``replies_received(replies)``."""


class closed_idle(Event):  # noqa: N801
    """Upstreams that closed idle connections: ``closed_idle(names)``."""


class status_reports(Event):  # noqa: N801
    """Status reports of upstreams: ``status_reports(reports)``."""


class due(Event):  # noqa: N801
    """Tokens of timers that are due: ``due(tokens)``."""


class search(Event):  # noqa: N801
    """A caller's search: ``search(request)``."""


class record(Event):  # noqa: N801
    """A caller's record: ``record(request)``."""


class abandon(Event):  # noqa: N801
    """A caller that has gone: ``abandon(request_id)``."""


class answered(Event):  # noqa: N801
    """The final answer to a caller: ``answered(answer)``."""


class notice_received(Event):  # noqa: N801
    """A peer's notice: ``notice_received(notice)``."""


class found_by_peers(Event):  # noqa: N801
    """Peers' findings about upstreams: ``found_by_peers(findings)``."""


class counted(Event):  # noqa: N801
    """Instances that shares are divided by: ``counted(instances)``."""


class config_message(Event):  # noqa: N801
    """A peer's message about configuration: ``config_message(action)``."""


class configured(Event):  # noqa: N801
    """A configuration version in force: ``configured(configuration)``."""


class stopping(Event):  # noqa: N801
    """This instance begins a planned stop: ``stopping()``."""


class drained(Event):  # noqa: N801
    """This instance has finished all its work: ``drained()``."""


class allotted(Event):  # noqa: N801
    """What this instance may hold: ``allotted(allocation, digest)``."""


class within(Event):  # noqa: N801
    """Connections are within the shares of a count: ``within(digest)``."""


class request_arrived(Event):  # noqa: N801
    """A caller's request to forward: ``request_arrived(request)``."""


class caller_left(Event):  # noqa: N801
    """A caller that closed its connection: ``caller_left(request)``."""


class attempts_ended(Event):  # noqa: N801
    """Ends of forwarded attempts, by turn: ``attempts_ended(replies)``."""


class upstreams_changed(Event):  # noqa: N801
    """Changed keys of upstreams: ``upstreams_changed(items)``."""


class routing_changed(Event):  # noqa: N801
    """Changed keys of the routing configuration: ``routing_changed(items)``."""


class store_recovered(Event):  # noqa: N801
    """The store replied again after a failed call: ``store_recovered()``."""


class instances_changed(Event):  # noqa: N801
    """Changed keys of running instances: ``instances_changed(items)``."""


class peer_message(Event):  # noqa: N801
    """A message of another forwarding instance: ``peer_message(message)``."""
