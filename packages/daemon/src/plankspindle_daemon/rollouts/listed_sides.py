"""Listed upstreams of both software versions of a roll-out."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.version_counts import ListedVersion

MIN_WARM_SHARE = 0.5
"""Part of the target's listed upstreams that must be warm for the canary."""
MIN_UPSTREAM_RATIO = 0.25
"""Least number of the target's upstreams, as a share of the baseline's."""


@frozen(kw_only=True)
class ListedSides:
    """Upstreams of the baseline and of the target.

    Parameters
    ----------
    baseline, target : ListedVersion
        The upstreams; none if they are not listed.
    """

    baseline: ListedVersion
    target: ListedVersion

    @classmethod
    def of(
        cls, listed: dict[str, ListedVersion], *, baseline: str | None, target: str
    ) -> ListedSides:
        """Return both sides of the listed versions."""
        return cls(
            baseline=listed.get(baseline or "", ListedVersion()),
            target=listed.get(target, ListedVersion()),
        )

    def suffice_for_canary(self, *, is_urgent: bool) -> bool:
        """Return whether enough of the target's upstreams are listed and warm.

        Parameters
        ----------
        is_urgent : bool
            Whether any warm upstream is enough.
        """
        target = self.target
        if is_urgent:
            return target.warm > 0
        is_warm = target.warm > 0 and target.warm >= MIN_WARM_SHARE * target.listed
        return is_warm and self.suffice_for_all()

    def suffice_for_all(self) -> bool:
        """Return whether the target has enough upstreams for all requests."""
        needed = MIN_UPSTREAM_RATIO * self.baseline.listed
        return self.target.listed >= max(1, needed)
