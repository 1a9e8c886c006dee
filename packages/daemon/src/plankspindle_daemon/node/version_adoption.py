"""Puts versions of the configuration in force, and offers them to other VMs."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_daemon.configuration.configuration_in_force import (
    ConfigurationInForce,
)
from plankspindle_daemon.configuration.version_exchange import FetchedContent
from plankspindle_daemon.configuration.version_exchange import SameContent
from plankspindle_daemon.node.effects import NodeEffect
from plankspindle_daemon.node.version_gossip import VersionGossip
from plankspindle_daemon.reachability.version_floor import VersionFloor

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.content_messages import ContentChunk
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion


@define(kw_only=True)
class VersionAdoption:
    """Adopt higher versions, which come from the platform or from other entry VMs.

    Parameters
    ----------
    in_force : ConfigurationInForce
        The version in force.
    versions : VersionGossip
        Announces versions to members, and fetches higher ones from them.
    floor : VersionFloor
        Versions that requests may be served by.
    apply : callable
        Applies a content at a time in monotonic seconds, and returns the effects.
    """

    in_force: ConfigurationInForce
    versions: VersionGossip
    floor: VersionFloor
    apply: Callable[[Configuration, float], list[NodeEffect]]

    def adopt(
        self, configuration: Configuration, *, version: ConfigurationVersion, now: float
    ) -> list[NodeEffect]:
        """Put a version of the configuration in force as a whole.

        Parameters
        ----------
        configuration : Configuration
            A valid version.
        version : ConfigurationVersion
            The version; without effect unless it is higher than the present one.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of NodeEffect
            Messages on the new version, and effects for waiting requests.
        """
        content = self.in_force.adopt(configuration, version, now)
        if content is None:
            return []
        self.floor.record(version, now)
        self.versions.exchange.serve_version(
            version, partial(encode_configuration, configuration)
        )
        return [*self.versions.announce(), *self.apply(content, now)]

    def receive_content_chunk(
        self, chunk: ContentChunk, now: float
    ) -> list[NodeEffect]:
        """Apply a chunk of a higher version, and adopt the version once complete."""
        received = self.versions.receive_chunk(chunk, now)
        if isinstance(received, SameContent):
            return self._adopt_same(received.version, now)
        if not isinstance(received, FetchedContent):
            return [*received]
        decoded = self.in_force.decode(received.content)
        if decoded.is_err():
            return []
        return self.adopt(decoded.unwrap(), version=received.version, now=now)

    def _adopt_same(
        self, version: ConfigurationVersion, now: float
    ) -> list[NodeEffect]:
        """Adopt a higher version of the present content."""
        must_apply = self.in_force.adopt_same(version, now)
        if self.in_force.version != version:
            return []
        self.floor.record(version, now)
        self.versions.exchange.serve_same_content(version)
        effects: list[NodeEffect] = [*self.versions.announce()]
        if must_apply and self.in_force.content is not None:
            effects += self.apply(self.in_force.content, now)
        return effects

    def end_retention_if_due(self, now: float) -> list[NodeEffect]:
        """Apply the content without retained drains if they end now."""
        content = self.in_force.end_retention_if_due(now)
        return [] if content is None else self.apply(content, now)
