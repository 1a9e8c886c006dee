"""The list of quarantined requests at one entry VM."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.stable_hash import stable_hash

FIRST_PROBE_DELAY_S = 60.0
"""Time until the first probe attempt of a quarantined request, in seconds.

The delay doubles with each further one. A probe attempt costs an upstream, and
everything in flight there, if the request still crashes it.
"""
MAX_PROBE_DELAY_S = 3_600.0
ENTRY_RETENTION_S = 86_400.0
"""Time after which a quarantined request is removed, in seconds."""
MAX_ENTRIES = 256
AGE_TOLERANCE_S = 2.0
"""Tolerated error of the ages in messages between entry VMs, in seconds.

A clearance takes precedence over a quarantine that began up to this much later.
"""


@frozen(kw_only=True)
class QuarantineEntry:
    """A quarantined request.

    Parameters
    ----------
    identity : int
        Digest of the request.
    quarantined_at : float
        When it was quarantined, monotonic seconds.
    probe_attempts : int
        Number of probe attempts since then.
    """

    identity: int
    quarantined_at: float
    probe_attempts: int = 0

    @property
    def next_probe_at(self) -> float:
        """Time of the next probe attempt, monotonic seconds."""
        waited_s = 0.0
        for attempt in range(
            min(self.probe_attempts + 1, int(ENTRY_RETENTION_S / FIRST_PROBE_DELAY_S))
        ):
            waited_s += min(
                MAX_PROBE_DELAY_S, FIRST_PROBE_DELAY_S * 2.0 ** min(attempt, 16)
            )
        return self.quarantined_at + waited_s


@define(kw_only=True)
class QuarantineList:
    """Quarantined requests, and requests that were cleared again.

    Attributes
    ----------
    entries_by_identity : dict of int to QuarantineEntry
        Quarantined requests.
    cleared_at_by_identity : dict of int to float
        When formerly quarantined requests were cleared, monotonic seconds.
    digest : int
        Digest of both, 64 bits; zero if both are empty.
    """

    entries_by_identity: dict[int, QuarantineEntry] = Factory(dict)
    cleared_at_by_identity: dict[int, float] = Factory(dict)
    digest: int = 0

    def add(self, entry: QuarantineEntry) -> bool:
        """Add an entry of this or another VM; return whether it is new.

        Notes
        -----
        Of two entries of one request, the one with more probe attempts is kept, since
        its next attempt is later.
        """
        cleared_at = self.cleared_at_by_identity.get(entry.identity)
        if (
            cleared_at is not None
            and entry.quarantined_at <= cleared_at + AGE_TOLERANCE_S
        ):
            return False
        known = self.entries_by_identity.get(entry.identity)
        if known is not None and known.probe_attempts >= entry.probe_attempts:
            return False
        self.entries_by_identity[entry.identity] = entry
        self.cleared_at_by_identity.pop(entry.identity, None)
        self._evict_oldest()
        self._update_digest()
        return known is None

    def clear(self, identity: int, at: float) -> bool:
        """Remove a request that completed; return whether it was quarantined."""
        known = self.entries_by_identity.get(identity)
        if known is None or known.quarantined_at > at + AGE_TOLERANCE_S:
            return False
        del self.entries_by_identity[identity]
        self.cleared_at_by_identity[identity] = at
        self._update_digest()
        return True

    def expire(self, now: float) -> None:
        """Remove entries and clearances that are past their retention time."""
        before = len(self.entries_by_identity) + len(self.cleared_at_by_identity)
        self.entries_by_identity = {
            each.identity: each
            for each in self.entries_by_identity.values()
            if now - each.quarantined_at <= ENTRY_RETENTION_S
        }
        self.cleared_at_by_identity = {
            identity: at
            for identity, at in self.cleared_at_by_identity.items()
            if now - at <= ENTRY_RETENTION_S
        }
        after = len(self.entries_by_identity) + len(self.cleared_at_by_identity)
        if after != before:
            self._update_digest()

    def _evict_oldest(self) -> None:
        while len(self.entries_by_identity) > MAX_ENTRIES:
            oldest = min(
                self.entries_by_identity.values(), key=lambda e: e.quarantined_at
            )
            del self.entries_by_identity[oldest.identity]
        while len(self.cleared_at_by_identity) > MAX_ENTRIES:
            cleared = self.cleared_at_by_identity
            del cleared[min(cleared, key=cleared.__getitem__)]

    def _update_digest(self) -> None:
        digest = 0
        for entry in self.entries_by_identity.values():
            digest ^= stable_hash(f"{entry.identity} {entry.probe_attempts}")
        for identity in self.cleared_at_by_identity:
            digest ^= stable_hash(f"{identity} cleared")
        self.digest = digest
