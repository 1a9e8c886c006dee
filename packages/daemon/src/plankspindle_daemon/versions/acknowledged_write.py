"""A write that the platform's store has acknowledged, and may lose."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.store_era import MAX_COPY_AGE_S

if TYPE_CHECKING:
    from plankspindle_daemon.versions.store_era import StoreEra


@frozen(kw_only=True)
class AcknowledgedWrite:
    """When the store acknowledged a write.

    Parameters
    ----------
    era : int
        Era of the store at that time.
    at : float
        Monotonic seconds.
    """

    era: int
    at: float

    def may_be_lost(self, store_era: StoreEra) -> bool:
        """Return whether the store has returned from a copy that may lack the write."""
        is_recent = store_era.known_since - self.at <= MAX_COPY_AGE_S
        return store_era.number > self.era and is_recent
