"""The version of the configuration in force on a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from result import Ok

from plankspindle_core.classes import define
from plankspindle_core.configuration.codec import content_digest
from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.configuration import CallerLimits
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.configuration.retained_drains import RetainedDrains
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA

if TYPE_CHECKING:
    from result import Result

    from plankspindle_core.errors import InvalidDocument


@define(kw_only=True)
class ConfigurationInForce:
    """The newest version that this VM knows, which never reverts.

    Attributes
    ----------
    version : ConfigurationVersion
        The version; ``NO_VERSION`` before the first.
    content : Configuration or None
        The version as applied, with drains that are retained after a return from a copy
        of the platform's store.
    adopted_at : float or None
        When the version was adopted, monotonic seconds.
    retained_drains : RetainedDrains
        Drains that the store lost.
    """

    version: ConfigurationVersion = NO_VERSION
    content: Configuration | None = None
    adopted_at: float | None = None
    retained_drains: RetainedDrains = Factory(RetainedDrains)
    _accepted: Configuration | None = None
    _decoded: Configuration | None = None
    _decoded_digest: str = ""

    @property
    def caller_limits(self) -> CallerLimits:
        """Limits on callers; none before the first version."""
        return CallerLimits() if self.content is None else self.content.caller_limits

    def decode(self, content: bytes) -> Result[Configuration, InvalidDocument]:
        """Decode the content of a version, unless it is the one last decoded.

        While many VMs start, each of their writes to the platform gives the same
        content a higher version, and a VM adopts a dozen of them within a second.
        """
        digest = content_digest(content)
        if self._decoded is not None and digest == self._decoded_digest:
            return Ok(self._decoded)
        decoded = decode_configuration(content)
        if decoded.is_ok():
            self._decoded, self._decoded_digest = decoded.unwrap(), digest
        return decoded

    def adopt(
        self, accepted: Configuration, version: ConfigurationVersion, now: float
    ) -> Configuration | None:
        """Adopt a version; return the content to apply, or None if it is not newer."""
        if version <= self.version:
            return None
        before, self.version = self.version, version
        check_invariant("configuration-never-reverts", self.version > before)
        if version.era > before.era > UNKNOWN_ERA:
            self.retained_drains.begin(self.content, now)
        self.adopted_at = now
        self._accepted = accepted
        self.content = self.retained_drains.apply(accepted, now)
        return self.content

    def adopt_same(self, version: ConfigurationVersion, now: float) -> bool:
        """Adopt a version of the present content; return whether it must be applied.

        That is so only if drains are retained anew.
        """
        before, accepted = self.content, self._accepted
        if accepted is None or self.adopt(accepted, version, now) is None:
            return False
        return self.content != before

    def age_ms(self, now: float) -> int | None:
        """Return for how long the version has been in force; None if there is none."""
        return (
            None if self.adopted_at is None else round((now - self.adopted_at) * 1000)
        )

    def end_retention_if_due(self, now: float) -> Configuration | None:
        """Return the content to apply if retained drains end now."""
        if not self.retained_drains.end_if_due(now) or self.content == self._accepted:
            return None
        self.content = self._accepted
        return self.content
