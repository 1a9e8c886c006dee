"""Removal of expired claim rows, which bounds the size of the table."""

from __future__ import annotations

import time
from random import Random
from typing import Any

from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.idempotency.claim_row import CLAIM_PREFIX
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import Transaction

SWEEP_PERIOD_S = 10.0
PAGE_ROWS = 100
POSITION_DIGITS = 8


@define(kw_only=True)
class ClaimSweeper:
    """Read pages of claims at random positions and delete expired rows.

    Parameters
    ----------
    platform : PlatformClient
        Client of the table service.
    membership : Membership
        Membership, whose size determines how often this process sweeps.
    random : Random
        Source of positions and of the decision to sweep.
    supervisor : Supervisor
        Supervisor of the background task.

    Notes
    -----
    There is no leader election. In each period every process sweeps with probability
    one over the number of members, so a failure domain sweeps about one page a period
    whatever its size. Two sweeps of the same page do no harm: a delete is conditional
    on the version that was read.
    """

    platform: PlatformClient
    membership: Membership
    random: Random
    supervisor: Supervisor
    removed: int = 0
    _task: Any = None

    async def start(self) -> None:
        """Start the background task."""
        self._task = await self.supervisor.spawn(self._run)

    async def close(self) -> None:
        """Stop the background task."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            await sleep(SWEEP_PERIOD_S * self.random.uniform(0.5, 1.5))
            if self.random.random() * len(self.membership.member_names()) < 1.0:
                await self.sweep(time.time())

    async def sweep(self, wall: float) -> None:
        """Read one page and delete its expired rows.

        Parameters
        ----------
        wall : float
            Current time, seconds since the Unix epoch.
        """
        position = f"{self.random.getrandbits(4 * POSITION_DIGITS):0{POSITION_DIGITS}x}"
        page = await self.platform.read_range(
            prefix=CLAIM_PREFIX, after=CLAIM_PREFIX + position, limit=PAGE_ROWS
        )
        if page.is_err():
            return
        expired = [row for row in page.unwrap() if _has_expired(row, wall)]
        if not expired:
            return
        writes = [row.replaced_by(None) for row in expired]
        committed = await self.platform.commit(Transaction(writes=writes))
        if committed.is_ok():
            self.removed += len(writes)


def _has_expired(row: Row, wall: float) -> bool:
    decoded = claim_row_from_mapping(row.value)
    return decoded.is_ok() and decoded.unwrap().expires_at < wall
