"""Keeps records of roll-outs in the table service of the product's own platform."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import Transaction
from plankspindle_daemon.rollouts.record_codec import decode_record
from plankspindle_daemon.rollouts.record_codec import encode_record
from plankspindle_daemon.rollouts.record_codec import record_key
from plankspindle_daemon.rollouts.rollout_record import StoredRollout

if TYPE_CHECKING:
    from result import Result

    from plankspindle_daemon.platform.errors import ConditionFailed
    from plankspindle_daemon.platform.errors import PlatformUnavailable
    from plankspindle_daemon.platform.table import Row
    from plankspindle_daemon.rollouts.rollout_record import RolloutRecord


@frozen(kw_only=True)
class PlatformRolloutRecords:
    """Records as rows of the table service.

    Parameters
    ----------
    platform : PlatformClient
        Client of the table service.
    wall_clock : callable
        Wall time in seconds. The table service tells no time, so the clocks of the VMs
        must agree.

    Notes
    -----
    Operators read the stage over the operator listener, so nothing else is published.
    """

    platform: PlatformClient
    wall_clock: Callable[[], float] = time.time

    async def read(self, service: str) -> Result[StoredRollout, PlatformUnavailable]:
        """Read the record of a service."""
        read = await self.platform.read_row(record_key(service))
        return read.map(
            lambda row: StoredRollout(
                record=decode_record(service, row.value),
                row=row,
                store_now_s=self.wall_clock(),
            )
        )

    async def write(
        self, record: RolloutRecord, *, replacing: Row
    ) -> Result[None, ConditionFailed | PlatformUnavailable]:
        """Write a record if its row is as it was read."""
        write = replacing.replaced_by(encode_record(record))
        return await self.platform.commit(Transaction(writes=[write]))
