"""Affinity keys that upstreams answered lately."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.upstream_rankings import MAX_CACHED_KEYS

SEEN_KEY_TTL_S = 15.0
"""Time for which an upstream is assumed to cache a key that it answered, in seconds.

A hot key overflows to its second upstream every few seconds, which renews the entry.
"""
MAX_SEEN_KEYS = 2 * MAX_CACHED_KEYS
"""Limit on the recorded pairs of a key and an upstream that has seen it."""


@define(kw_only=True)
class SeenKeys:
    """Record when upstreams of one service answered this VM for affinity keys.

    Attributes
    ----------
    seen_at : dict of (str, str) to float
        Monotonic time in seconds by key and name of the upstream.
    """

    seen_at: dict[tuple[str, str], float] = Factory(dict)

    def has_seen(self, key: str, upstream: str, now: float) -> bool:
        """Return whether an upstream answered this VM for a key within the TTL."""
        seen_at = self.seen_at.get((key, upstream))
        return seen_at is not None and now - seen_at < SEEN_KEY_TTL_S

    def record_seen(self, key: str, upstream: str, now: float) -> None:
        """Record that an upstream answered for a key."""
        if len(self.seen_at) >= MAX_SEEN_KEYS:
            self.seen_at = {
                pair: at
                for pair, at in self.seen_at.items()
                if now - at < SEEN_KEY_TTL_S
            }
        if len(self.seen_at) < MAX_SEEN_KEYS:
            self.seen_at[key, upstream] = now

    def discard(self, upstream: str) -> None:
        """Discard the keys recorded for an upstream."""
        self.seen_at = {
            pair: at for pair, at in self.seen_at.items() if pair[1] != upstream
        }
