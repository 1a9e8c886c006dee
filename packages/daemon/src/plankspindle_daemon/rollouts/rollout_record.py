"""What must last of a roll-out, and the interface that keeps it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from plankspindle_core.classes import frozen
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.rollouts.stage import Stage

if TYPE_CHECKING:
    from result import Result

    from plankspindle_daemon.platform.errors import ConditionFailed
    from plankspindle_daemon.platform.errors import PlatformUnavailable


@frozen(kw_only=True)
class RolloutRecord:
    """Software version in force of a service, and its last order.

    Parameters
    ----------
    service : str
        The service.
    baseline_version : str
        Software version in force before the order; the target version is in force once
        the stage is ``COMPLETE``.
    order : int
        Number of the last order; zero if there was none.
    target_version : str
        Software version that the order names; empty if there was none.
    duration_ms : int
        Duration of the order in milliseconds.
    stage : Stage
        ``CANARY``, ``MOVING``, ``COMPLETE`` or ``ROLLED_BACK``; ``ROLLED_BACK`` if
        there was no order.
    ordered_at_s : float
        Time of the order on the store's clock, in seconds.
    moving_at_s : float
        Start of the stage ``MOVING`` on the store's clock, in seconds; zero before.
    ends_at_s : float
        Time by which the baseline version is to run nothing any more, on the store's
        clock in seconds; zero before the stage ``MOVING``.
    """

    service: str
    baseline_version: str
    order: int = 0
    target_version: str = ""
    duration_ms: int = 0
    stage: Stage = Stage.ROLLED_BACK
    ordered_at_s: float = 0.0
    moving_at_s: float = 0.0
    ends_at_s: float = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether there was no order, or the last one has reached its end."""
        return self.order == 0 or self.stage.is_final

    @property
    def version_in_force(self) -> str:
        """Software version in force."""
        is_complete = self.stage is Stage.COMPLETE
        return self.target_version if is_complete else self.baseline_version


@frozen(kw_only=True)
class StoredRollout:
    """A record as read, or that there is none.

    Parameters
    ----------
    record : RolloutRecord, optional
        The record; None if there is none, or it cannot be read.
    row : Row
        Its row, on whose version a write depends.
    store_now_s : float
        The store's clock at the time of the read, in seconds.
    """

    record: RolloutRecord | None
    row: Row
    store_now_s: float


class RolloutRecordPort(Protocol):
    """Keeps records at the platform, and publishes their stage to the operator."""

    async def read(self, service: str) -> Result[StoredRollout, PlatformUnavailable]:
        """Read the record of a service."""

    async def write(
        self, record: RolloutRecord, *, replacing: Row
    ) -> Result[None, ConditionFailed | PlatformUnavailable]:
        """Write a record if its row is as it was read.

        The stage is published in the same transaction: ``CANARY`` and ``MOVING`` as
        running.
        """
