"""Deletion of expired claims from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, handler

from arbutusbridge.core.claims.expiry import (
    CLAIMS_PREFIX,
    decode_groups,
    expired_groups,
    group_prefix,
)
from arbutusbridge.core.messages import StoreResult, StoreStatus
from arbutusbridge.daemon.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.daemon.platform import PlatformClient
    from arbutusbridge.daemon.timers import TimerService

logger = get_logger(__name__)

SWEEP_INTERVAL_S = 600.0
"""Interval at which one instance sweeps expired claims."""


class ClaimExpiry(BaseComponent):
    """Deletes expired groups of claims while this instance is a sweeper.

    Two instances may sweep at the same time, which is harmless.

    Attributes:
      is_sweeper: Returns whether this instance sweeps claims.
    """

    channel = "claim_expiry"

    def __init__(
        self,
        platform: PlatformClient,
        timers: TimerService,
        is_sweeper: Callable[[], bool],
    ) -> None:
        super().__init__()
        self.platform = platform
        self.timers = timers
        self.is_sweeper = is_sweeper

    @handler("started", channel="*")
    def on_started(self, _component: Any) -> None:
        """Schedules the first sweep."""
        self.timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")

    @handler("due")
    def on_due(self, _tokens: list[Any]) -> None:
        """Lists the groups of claims, if this instance is a sweeper."""
        self.timers.after(SWEEP_INTERVAL_S, self.channel, "sweep")
        if self.is_sweeper():
            self.platform.list_keys(
                ("groups", ""), CLAIMS_PREFIX, self.on_group_list
            )

    def on_group_list(self, result: StoreResult) -> None:
        """Deletes the expired groups of a list."""
        if result.status is not StoreStatus.DONE or result.value is None:
            return
        try:
            groups = decode_groups(result.value)
        except (ValueError, TypeError, AttributeError) as err:
            logger.error(
                "invalid list of claims refused", extra={"error": str(err)}
            )
            return
        for group in expired_groups(groups, self.timers.wall_ms()):
            token = ("expire", str(group))
            self.platform.delete_tree(
                token, group_prefix(group), self.on_deleted
            )

    def on_deleted(self, result: StoreResult) -> None:
        """Logs a deletion; a later sweep repeats one that failed."""
        logger.info(
            "expired claims deleted",
            extra={"group": result.token[1], "status": result.status.value},
        )
