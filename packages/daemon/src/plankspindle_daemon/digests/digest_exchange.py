"""Periodic messages of an entry VM to other failure domains."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.digests.digest_table import DigestTable
from plankspindle_daemon.digests.own_digest import one_vm_per_domain
from plankspindle_daemon.digests.own_digest import sum_loads
from plankspindle_daemon.headroom.headroom_manager import HeadroomManager
from plankspindle_daemon.headroom.headroom_targets import choose_targets
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.peer_message import SendToPeer

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.configuration.shift import Shift
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

DIGEST_PERIOD_S = 1.0
"""Period of load digests, on which forecasts of shift plans are based, in seconds."""
STATUS_PERIOD_S = 5.0
"""Period where heartbeats reach the entry VMs of all failure domains, in seconds.

The platform's operator changes the configuration there, no plan is forecast, and only
``plankspindle status`` reads digests. Each digest wakes the receiver; with nine failure
domains each VM receives 1.8 a second at this period instead of 9.
"""


@define(kw_only=True)
class DigestExchange:
    """Sends load digests, and requests headroom for shifts.

    Parameters
    ----------
    vm, failure_domain : str
        Name and failure domain of this VM.
    random : Random
        Source of the choice of receivers.
    membership : Membership
        Members and the platform's list of entry VMs.
    headroom : HeadroomManager
        Headroom grants.

    Attributes
    ----------
    digests : DigestTable
        Newest digests received, including the one of this VM.
    """

    vm: str
    failure_domain: str
    random: Random
    membership: Membership
    headroom: HeadroomManager
    digests: DigestTable = field(factory=DigestTable)
    _next_digest_at: float = 0.0

    def own_digest(
        self,
        dispatchers_by_service: Mapping[str, Dispatcher],
        version: ConfigurationVersion,
        now: float,
    ) -> LoadDigest:
        """Return the load digest of this VM.

        Parameters
        ----------
        dispatchers_by_service : mapping of str to Dispatcher
            Dispatchers of this VM.
        version : ConfigurationVersion
            Version of the configuration in force.
        now : float
            Monotonic seconds.
        """
        return LoadDigest(
            sender=self.vm,
            failure_domain=self.failure_domain,
            configuration_version=version,
            loads=sum_loads(dispatchers_by_service, now),
        )

    def tick(
        self,
        dispatchers_by_service: Mapping[str, Dispatcher],
        *,
        version: ConfigurationVersion,
        shifts: Iterable[Shift],
        configuration: Configuration | None,
        drained: AbstractSet[str],
        now: float,
    ) -> list[SendToPeer]:
        """Return the digests and headroom requests that are due."""
        return [
            *self._send_digests(dispatchers_by_service, version, now),
            *self._request_headroom(shifts, configuration, drained=drained, now=now),
        ]

    def _send_digests(
        self,
        dispatchers_by_service: Mapping[str, Dispatcher],
        version: ConfigurationVersion,
        now: float,
    ) -> list[SendToPeer]:
        """Return digests for one VM of each failure domain, once a period."""
        if now < self._next_digest_at:
            return []
        has_all_domains = self.membership.options.all_domains
        self._next_digest_at = now + (
            STATUS_PERIOD_S if has_all_domains else DIGEST_PERIOD_S
        )
        digest = self.own_digest(dispatchers_by_service, version, now)
        self.digests.record(digest, now)
        listed = self.membership.listed_by_name.values()
        endpoints = one_vm_per_domain(listed, own_name=self.vm, random=self.random)
        return [SendToPeer(message=digest, to=endpoint) for endpoint in endpoints]

    def _request_headroom(
        self,
        shifts: Iterable[Shift],
        configuration: Configuration | None,
        *,
        drained: AbstractSet[str],
        now: float,
    ) -> list[SendToPeer]:
        """Return requests to other regions for headroom for shifts, once a period."""
        if not self.headroom.is_request_due(now) or configuration is None:
            return []
        targets = choose_targets(
            shifts,
            configuration,
            listed=self.membership.listed_by_name.values(),
            drained=drained,
            random=self.random,
        )
        return [
            request
            for target in targets
            for request in self.headroom.request_headroom(target, now)
        ]
