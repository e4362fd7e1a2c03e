"""Registration of this instance in the store and count of all instances."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.messages import StoreStatus
from arbutusbridge.daemon.logs import get_logger
from arbutusbridge.forwarding.gather import Peer
from arbutusbridge.forwarding.gatherwire import (
    InstanceRecord,
    decode_instance_record,
    encode_instance_record,
)
from arbutusbridge.forwarding.presence import (
    LEASE_DURATION_S,
    RENEW_INTERVAL_S,
    RESTORE_LEASES_PER_S,
    RETRY_DELAY_S,
    InstanceCount,
    data_centre_prefix,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import StoreItem, StoreResult
    from arbutusbridge.daemon.dialect import Dialect
    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

CALL_TIMEOUT_S = 1.5
"""Timeout of a store call."""

NO_DATA_CENTRE = "-"
"""Data centre in the key of an instance that accepts no messages."""


class InstancePresence(BaseComponent):
    """Keeps this instance's key under a lease and counts the instances.

    Attributes:
      instance_count: State of the lease and the instance count.
      stopping: Whether a planned stop has started.
      restores: Number of times that the store came back from an older copy;
        timers and results from before the last one are ignored.
      items: Keys of the running instances.
      loaded: Whether the keys have been read.
      on_instances: Called with the instance count and the list of peers.
      lease_s: Time to live of this instance's lease, in seconds.
      get_renew_delay_s: Returns the delay before the next renewal, in seconds.
    """

    channel = "presence"

    def __init__(
        self,
        name: str,
        instance_record: InstanceRecord | None,
        store: PlatformClient,
        dialect: Dialect,
        timers: TimerService,
        on_instances: Callable[[int, list[Peer]], None],
        lease_s: float = LEASE_DURATION_S,
        get_renew_delay_s: Callable[[], float] = lambda: RENEW_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.lease_s = lease_s
        self.get_renew_delay_s = get_renew_delay_s
        # Without a record, peers count this instance but send no messages.
        place = (
            instance_record.data_centre
            if instance_record is not None
            else NO_DATA_CENTRE
        )
        self.key = f"{data_centre_prefix(place)}{name}"
        self.value = (
            encode_instance_record(instance_record)
            if instance_record is not None
            else b""
        )
        self.store = store
        self.dialect = dialect
        self.timers = timers
        self.on_instances = on_instances
        self.instance_count = InstanceCount()
        self.stopping = False
        self.restores = 0
        self.items: dict[str, StoreItem] = {}
        self.loaded = False
        on_instances(self.instance_count.instances, [])
        timers.after(0.0, self.channel, self.restores)

    @handler("due")
    def on_due(self, tokens: list[Any]) -> None:
        """Renews the lease and counts the instances again."""
        if self.restores not in tokens:
            return
        self.count()
        if not self.stopping:
            self.renew()

    @handler("store_restored", channel="*")
    def on_store_restored(self, era: int) -> None:
        """Takes a new lease and writes the key again.

        The number of the lease may belong to another instance now. The calls of
        the instances are spread.
        """
        lease = self.instance_count.lease
        self.restores += 1
        self.instance_count.clear_lease()
        spread_s = self.instance_count.instances / RESTORE_LEASES_PER_S
        delay_s = random.uniform(0.0, spread_s)
        logger.notice(
            "instance lease void, taking a new one",
            extra={"era": era, "lease": lease, "in_ms": round(delay_s * 1000)},
        )
        self.timers.after(delay_s, self.channel, self.restores)

    @handler("stopping", channel="*")
    def on_stopping(self) -> None:
        """Revokes the lease, so that peers stop sending requests."""
        lease = self.instance_count.lease
        self.stopping = True
        if lease:
            self.instance_count.clear_lease()
            token = (self.channel, "end")
            request = self.dialect.end(lease)
            self.store.send_call(
                request, token, lambda _result: None, CALL_TIMEOUT_S
            )

    def renew(self) -> None:
        """Grants the lease, writes the key or renews the lease, as due."""
        instance_count = self.instance_count
        if not instance_count.lease:
            self.send_call(self.dialect.lease(self.lease_s), "lease")
        elif not instance_count.key_written:
            request = self.dialect.write(
                self.key, self.value, instance_count.lease
            )
            self.send_call(request, "write")
        else:
            self.send_call(self.dialect.renew(instance_count.lease), "renewed")

    def send_call(self, request: Any, purpose: str) -> None:
        """Sends one call to the store."""
        token = (self.channel, purpose)
        on_done = functools.partial(self.on_result, self.restores)
        self.store.send_call(request, token, on_done, CALL_TIMEOUT_S)

    def on_result(self, restores: int, result: StoreResult) -> None:
        """Handles the result of a call and schedules the next one.

        Args:
          restores: Value of the counter when the call was sent.
          result: The result.
        """
        if restores != self.restores:
            return
        purpose = result.token[1]
        instance_count = self.instance_count
        done = result.status is StoreStatus.DONE
        if self.stopping:
            return
        if done and purpose == "lease":
            instance_count.lease = result.index
            self.renew()
            return
        if done and purpose == "write":
            instance_count.key_written = True
        elif result.status is StoreStatus.CONFLICT:
            logger.notice(
                "instance lease expired", extra={"lease": instance_count.lease}
            )
            instance_count.clear_lease()
        delay_s = self.get_renew_delay_s() if done else RETRY_DELAY_S
        self.timers.after(delay_s, self.channel, self.restores)

    @handler("instances_changed", channel="*")
    def on_instances_changed(self, items: list[StoreItem]) -> None:
        """Applies changed keys of instances."""
        for item in items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        self.loaded = True
        self.count()

    def count(self) -> None:
        """Counts the running instances and reports them.

        Does nothing before their keys have been read.
        """
        if not self.loaded:
            return
        items = self.items.values()
        before = self.instance_count.instances
        after = self.instance_count.count(len(items), self.timers.clock())
        if after != before:
            logger.info(
                "running instances counted",
                extra={
                    "found": len(items),
                    "shared_by": after,
                    "before": before,
                },
            )
        peers = [decode_peer(item) for item in items if item.key != self.key]
        self.on_instances(after, [peer for peer in peers if peer is not None])


def decode_peer(item: StoreItem) -> Peer | None:
    """Decodes the record of a peer; returns None if it accepts no messages."""
    instance_record = decode_instance_record(item.value or b"")
    if instance_record is None:
        return None
    name = item.key.rpartition("/")[2]
    address = (instance_record.ip, instance_record.port)
    return Peer(
        name,
        instance_record.data_centre,
        address,
        instance_record.capacity,
        protocol=instance_record.protocol,
    )
