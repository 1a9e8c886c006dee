"""Era of the platform's store, which rises when the store returns from a copy.

A store that returns from a copy has lost the writes that it acknowledged after the copy
was made, and gives their transaction numbers out again.
"""

from __future__ import annotations

import math

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event

UNKNOWN_ERA = 0
"""Era of a store that does not report one, or was not heard of yet."""
RESTORE_S = 2.5
"""Time after a return from a copy for lost writes to be restored, in seconds.

Upstreams restore theirs within 2 s; the remaining 0.5 s allow for a read.
"""
MAX_COPY_AGE_S = 60.0
"""Highest age of a copy from which the store returns, in seconds.

Writes that were acknowledged longer before a return are in the copy. The platform says
that a copy is some seconds old.
"""


@define(kw_only=True)
class StoreEra:
    """The latest era of the store that this VM knows of.

    Attributes
    ----------
    number : int
        The era; ``UNKNOWN_ERA`` before the first answer that names one.
    known_since : float
        When this VM learned of it, monotonic seconds.
    returns : int
        Number of times that the store returned from a copy while this process ran.
    """

    number: int = UNKNOWN_ERA
    known_since: float = -math.inf
    returns: int = 0

    def restoring_left_s(self, now: float) -> float:
        """Return the time until lost writes are restored, in seconds; zero if passed.

        It counts from when this VM learned of the era, also of the first one that it
        learned: the store may have returned just before.
        """
        return max(0.0, self.known_since + RESTORE_S - now)

    def observe(self, number: int, now: float, *, source: str = "platform") -> bool:
        """Record the era of an answer of the store, or of a message of another VM.

        Parameters
        ----------
        number : int
            The era.
        now : float
            Monotonic seconds.
        source : str
            Where it was learned, for the log.

        Returns
        -------
        bool
            Whether the store has returned from a copy since the last call.
        """
        if number <= self.number:
            return False
        before, self.number = self.number, number
        self.known_since = now
        if before == UNKNOWN_ERA:
            return False
        self.returns += number - before
        log_event("store_returned", era=number, before=before, source=source)
        return True
