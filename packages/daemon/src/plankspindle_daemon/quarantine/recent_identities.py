"""A bounded set of requests that were named lately."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define

MAX_IDENTITIES = 1_024


@define(kw_only=True)
class RecentIdentities:
    """Requests and when each was named last; the oldest go beyond a bound."""

    _added_at: dict[int, float] = Factory(dict)

    def __contains__(self, identity: int) -> bool:
        """Tell whether a request was named lately."""
        return identity in self._added_at

    def __len__(self) -> int:
        """Count them."""
        return len(self._added_at)

    def add(self, identity: int, now: float) -> None:
        """Note that a request is named now."""
        self._added_at.pop(identity, None)
        self._added_at[identity] = now
        if len(self._added_at) > MAX_IDENTITIES:
            del self._added_at[next(iter(self._added_at))]

    def remove(self, identity: int) -> bool:
        """Forget a request; tell whether it was there."""
        return self._added_at.pop(identity, None) is not None

    def expire(self, *, before: float) -> None:
        """Forget what was named before a time, in monotonic seconds."""
        kept = self._added_at.items()
        self._added_at = {identity: at for identity, at in kept if at >= before}
