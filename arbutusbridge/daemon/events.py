"""Events between the tasks of one instance."""

from __future__ import annotations

from circuits import Event


class dispatch(Event):  # noqa: N801 - circuits names events in lower case
    """Sub-requests for the upstream pools: ``dispatch(attempts)``."""


class cancel(Event):  # noqa: N801
    """Attempts that nobody waits for any more: ``cancel(cancels)``."""


class settled(Event):  # noqa: N801
    """Replies of upstreams, batched per turn: ``settled(replies)``."""


class closed_idle(Event):  # noqa: N801
    """Upstreams that closed idle connections: ``closed_idle(names)``."""


class statuses(Event):  # noqa: N801
    """Status reports of upstreams: ``statuses(reports)``."""


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


class heard(Event):  # noqa: N801
    """A peer's notice: ``heard(notice)``."""


class found_by_peers(Event):  # noqa: N801
    """Peers' findings about upstreams: ``found_by_peers(findings)``."""


class counted(Event):  # noqa: N801
    """Instances that shares are divided by: ``counted(instances)``."""


class peer_said(Event):  # noqa: N801
    """What a peer said of configuration versions: ``peer_said(action)``."""


class configured(Event):  # noqa: N801
    """A configuration version in force: ``configured(configuration)``."""


class stopping(Event):  # noqa: N801
    """This instance begins a planned stop: ``stopping()``."""


class ended(Event):  # noqa: N801
    """This instance has finished all its work: ``ended()``."""


class allotted(Event):  # noqa: N801
    """What this instance may hold: ``allotted(allocation, digest)``."""


class within(Event):  # noqa: N801
    """Connections are within the shares of a count: ``within(digest)``."""


class arrived(Event):  # noqa: N801
    """A caller's request to forward: ``arrived(request)``."""


class caller_left(Event):  # noqa: N801
    """A caller that closed its connection: ``caller_left(request)``."""


class ended_attempts(Event):  # noqa: N801
    """Ends of forwarded attempts, by turn: ``ended_attempts(replies)``."""


class announced(Event):  # noqa: N801
    """Changed keys of upstreams: ``announced(items)``."""


class routed(Event):  # noqa: N801
    """A routing configuration that the store holds: ``routed(items)``."""


class store_regained(Event):  # noqa: N801
    """The store replied again after a failed call: ``store_regained()``."""


class present(Event):  # noqa: N801
    """Changed keys of running instances: ``present(items)``."""


class peer_message(Event):  # noqa: N801
    """A message of another forwarding instance: ``peer_message(message)``."""
