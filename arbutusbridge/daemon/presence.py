"""Keep this instance's key in the store and count those of the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.forwarding.gather import Peer
from arbutusbridge.forwarding.gatherwire import (
    InstanceRecord,
    decode_card,
    encode_card,
)
from arbutusbridge.forwarding.presence import (
    LEASE_S,
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    InstanceCount,
    prefix_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import StoreItem, StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

CALL_TIMEOUT_S = 1.5
"""Time that a call may take."""

NO_DATA_CENTRE = "-"
"""Stands in a key for the data centre of an instance that takes no messages."""


class InstancePresence(BaseComponent):
    """Announces this instance and reports how many there are.

    Attributes:
      presence: What is known.
      stopping: Whether this instance is about to end.
      items: Keys of the running instances.
      loaded: Whether they were read once.
      on_instances: Called with each count to share by and the other instances.
      lease_s: Length of the own lease.
      renew_s: Returns the time to the next renewal.
    """

    channel = "presence"

    def __init__(
        self,
        name: str,
        card: InstanceRecord | None,
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
        on_instances: Callable[[int, list[Peer]], None],
        lease_s: float = LEASE_S,
        renew_s: Callable[[], float] = lambda: RENEW_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.lease_s = lease_s
        self.renew_s = renew_s
        # An instance without a card is only counted.
        place = card.data_centre if card is not None else NO_DATA_CENTRE
        self.key = f"{prefix_of(place)}{name}"
        self.value = encode_card(card) if card is not None else b""
        self.store = store
        self.dialect = dialect
        self.timers = timers
        self.on_instances = on_instances
        self.presence = InstanceCount()
        self.stopping = False
        self.items: dict[str, StoreItem] = {}
        self.loaded = False
        on_instances(self.presence.instances, [])
        timers.after(0.0, self.channel, "renew")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Renews the lease, and counts anew what was believed so far."""
        self.count()
        if not self.stopping:
            self.renew()

    @handler("stopping", channel="*")
    def on_stopping(self) -> None:
        """Ends the own lease, so that peers ask this instance no more."""
        lease = self.presence.lease
        self.stopping = True
        if lease:
            self.presence.forget()
            token = (self.channel, "end")
            request = self.dialect.end(lease)
            self.store.send_call(
                request, token, lambda _result: None, CALL_TIMEOUT_S
            )

    def renew(self) -> None:
        """Takes the next step towards a key under a living lease."""
        presence = self.presence
        if not presence.lease:
            self.send_call(self.dialect.lease(self.lease_s), "lease")
        elif not presence.written:
            request = self.dialect.write(self.key, self.value, presence.lease)
            self.send_call(request, "write")
        else:
            self.send_call(self.dialect.renew(presence.lease), "renewed")

    def send_call(self, request: Any, purpose: str) -> None:
        """Makes one call."""
        token = (self.channel, purpose)
        self.store.send_call(request, token, self.on_result, CALL_TIMEOUT_S)

    def on_result(self, result: StoreResult) -> None:
        """Takes a call's result."""
        purpose = result.token[1]
        presence = self.presence
        done = result.status is StoreStatus.DONE
        if self.stopping:
            return
        if done and purpose == "lease":
            presence.lease = result.index
            self.renew()
            return
        if done and purpose == "write":
            presence.written = True
        elif result.status is StoreStatus.CONFLICT:
            logger.notice("own lease ended", extra={"lease": presence.lease})
            presence.forget()
        pause = self.renew_s() if done else RETRY_DELAY_S
        self.timers.after(pause, self.channel, "renew")

    @handler("instances_changed", channel="*")
    def on_instances_changed(self, items: list[StoreItem]) -> None:
        """Takes changes of the instances' keys."""
        for item in items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        self.loaded = True
        self.count()

    def count(self) -> None:
        """Counts the running instances, once their keys are known."""
        if not self.loaded:
            return
        items = self.items.values()
        before = self.presence.instances
        after = self.presence.count(len(items), self.timers.clock())
        if after != before:
            logger.info(
                "instances counted",
                extra={
                    "found": len(items),
                    "shared_by": after,
                    "before": before,
                },
            )
        peers = [decode_peer(item) for item in items if item.key != self.key]
        self.on_instances(after, [peer for peer in peers if peer is not None])


def decode_peer(item: StoreItem) -> Peer | None:
    """Returns the instance that a key stands for, if it takes messages."""
    card = decode_card(item.value or b"")
    if card is None:
        return None
    name = item.key.rpartition("/")[2]
    address = (card.ip, card.port)
    return Peer(name, card.data_centre, address, card.capacity)
