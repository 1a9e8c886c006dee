"""What roll-outs need of the dispatch of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.version_counts import ListedVersion
    from plankspindle_daemon.dispatch.version_counts import VersionCounts
    from plankspindle_daemon.dispatch.version_split import VersionSplit


class VersionDispatch(Protocol):
    """Divides requests among software versions, and counts their answers."""

    def set_version_split(
        self, service: str, split: VersionSplit, now: float
    ) -> object:
        """Divide the requests of a service from now on, in monotonic seconds."""

    def version_counts(self, service: str) -> VersionCounts:
        """Return the counts of this VM since the order of the present split."""

    def listed_versions(self, service: str) -> dict[str, ListedVersion]:
        """Return the listed upstreams of a service by software version."""
