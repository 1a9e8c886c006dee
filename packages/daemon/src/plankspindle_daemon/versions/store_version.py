"""Order of the transactions of the platform's store across its returns from a copy."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA


@frozen(kw_only=True, order=True)
class StoreVersion:
    """A transaction of the store; later eras come after earlier ones.

    The number alone orders nothing: a store that returns from a copy gives the numbers
    after the copy out again.

    Parameters
    ----------
    era : int
        Era of the store in which the transaction was committed or read.
    number : int
        Number that the store gave to the transaction.
    """

    era: int = UNKNOWN_ERA
    number: int = 0

    def __str__(self) -> str:
        """Return the form used in logs."""
        return f"{self.era}.{self.number}"
