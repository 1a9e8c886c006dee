"""The requests that are held back, as one entry VM knows them."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.stable_hash import stable_hash

FIRST_PROBE_DELAY_S = 60.0
"""Time until a quarantined request is let through for the first time, in seconds.

Each further one comes after twice the time. A trial costs an upstream if the request
still crashes it, and all that is in flight there.
"""
MAX_PROBE_DELAY_S = 3_600.0
ENTRY_RETENTION_S = 86_400.0
"""Time after which a quarantined request is forgotten, in seconds."""
MAX_ENTRIES = 256
AGE_TOLERANCE_S = 2.0
"""Time by which ages that entry VMs tell may be off, in seconds.

A clearance of up to that much earlier goes before a quarantine.
"""


@frozen(kw_only=True)
class QuarantineEntry:
    """A request that is held back.

    Parameters
    ----------
    identity : int
        The request.
    quarantined_at : float
        When it was put in quarantine, monotonic seconds.
    probe_attempts : int
        How often it was let through since then.
    """

    identity: int
    quarantined_at: float
    probe_attempts: int = 0

    @property
    def next_probe_at(self) -> float:
        """When it is let through next, monotonic seconds."""
        waited_s = 0.0
        for trial in range(
            min(self.probe_attempts + 1, int(ENTRY_RETENTION_S / FIRST_PROBE_DELAY_S))
        ):
            waited_s += min(
                MAX_PROBE_DELAY_S, FIRST_PROBE_DELAY_S * 2.0 ** min(trial, 16)
            )
        return self.quarantined_at + waited_s


@define(kw_only=True)
class QuarantineList:
    """Quarantined requests, and those that were cleared again.

    Attributes
    ----------
    entries_by_identity : dict of int to QuarantineEntry
        What is held back.
    cleared_at_by_identity : dict of int to float
        When requests were answered after they had been held back, monotonic seconds.
    digest : int
        Digest of both, 64 bits; zero if there is nothing.
    """

    entries_by_identity: dict[int, QuarantineEntry] = Factory(dict)
    cleared_at_by_identity: dict[int, float] = Factory(dict)
    digest: int = 0

    def add(self, entry: QuarantineEntry) -> bool:
        """Take an entry, made here or told; tell whether it is new.

        Notes
        -----
        Of two entries of one request, the one with more trials counts: the next
        follows later.
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
        """Take out a request that was answered; tell whether it was held back."""
        known = self.entries_by_identity.get(identity)
        if known is None or known.quarantined_at > at + AGE_TOLERANCE_S:
            return False
        del self.entries_by_identity[identity]
        self.cleared_at_by_identity[identity] = at
        self._update_digest()
        return True

    def expire(self, now: float) -> None:
        """Forget what is old."""
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
