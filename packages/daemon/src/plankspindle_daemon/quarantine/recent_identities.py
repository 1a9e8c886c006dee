"""A bounded set of requests, by the time at which each was last added."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define

MAX_IDENTITIES = 1_024


@define(kw_only=True)
class RecentIdentities:
    """Requests and when each was last added; beyond a bound the oldest are removed."""

    _added_at: dict[int, float] = Factory(dict)

    def __contains__(self, identity: int) -> bool:
        """Return whether a request is in the set."""
        return identity in self._added_at

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._added_at)

    def add(self, identity: int, now: float) -> None:
        """Add a request, or renew it, at the current time in monotonic seconds."""
        self._added_at.pop(identity, None)
        self._added_at[identity] = now
        if len(self._added_at) > MAX_IDENTITIES:
            del self._added_at[next(iter(self._added_at))]

    def remove(self, identity: int) -> bool:
        """Remove a request; return whether it was in the set."""
        return self._added_at.pop(identity, None) is not None

    def expire(self, *, before: float) -> None:
        """Remove requests that were last added before a time in monotonic seconds."""
        kept = self._added_at.items()
        self._added_at = {identity: at for identity, at in kept if at >= before}
