"""What one entry VM reports about itself, in heartbeats and lookups."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.configuration.head_freshness import HeadFreshness
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.dispatch.unresponsive_hint_relay import UnresponsiveHintRelay
from plankspindle_daemon.drains.vm_drains import VmDrains
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.heartbeat import ALL_UPSTREAMS
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.reachability.upstream_reach import UpstreamReach
from plankspindle_daemon.steering.steering import EntryVm

MAX_OVER_SHARE_NAMED = 16
"""Most upstreams that a heartbeat names as over their share.

If there are more, the heartbeat reports every upstream as over its share.
"""


@define(kw_only=True)
class SelfReport:
    """Determine the readiness of this VM, and create its heartbeats.

    Parameters
    ----------
    vm, failure_domain : str
        Name of this VM, and the failure domain that it is located in.
    caller_endpoint, peer_endpoint : Endpoint
        Addresses of its listeners.
    incarnation : int
        Random number that identifies this process.
    needs_list : bool
        Whether upstreams are declared only by the platform's list.
    membership : Membership
        Members of the failure domain.
    leave : Leave
        Planned stop of this VM.
    services : ServiceRegistry
        Services in force.
    vm_drains : VmDrains
        Drained entry VMs.
    head : HeadFreshness
        When any entry VM last read the head of the configuration.
    quarantine : Quarantine
        Quarantined requests.
    reach : UpstreamReach
        Whether this VM reaches upstreams.

    Attributes
    ----------
    list_read_at : float or None
        When the platform's list was last read, in monotonic seconds; None if never.
    """

    vm: str
    failure_domain: str
    caller_endpoint: Endpoint
    peer_endpoint: Endpoint
    incarnation: int
    needs_list: bool
    membership: Membership
    leave: Leave
    services: ServiceRegistry
    vm_drains: VmDrains
    head: HeadFreshness
    quarantine: Quarantine
    reach: UpstreamReach
    list_read_at: float | None = None
    _sequence: int = 0

    def accepts(self, now: float) -> bool:
        """Return whether this VM accepts new requests."""
        return self.leave.accepts and not self.vm_drains.refuses(now)

    def readiness(self, version: ConfigurationVersion) -> Readiness:
        """Return the readiness of this VM.

        Parameters
        ----------
        version : ConfigurationVersion
            Configuration in force.
        """
        if self.leave.is_leaving or self.vm in self.vm_drains.drained_vms:
            return Readiness.LEAVING
        if version.is_none or self._is_list_missing():
            return Readiness.STARTING
        overloaded = self.services.is_overloaded()
        return Readiness.OVERLOADED if overloaded else Readiness.READY

    def _is_list_missing(self) -> bool:
        """Return whether upstreams come from a list that was never read."""
        return self.needs_list and self.list_read_at is None

    def entry_vm(self, version: ConfigurationVersion) -> EntryVm:
        """Return this VM as an entry for lookups.

        Parameters
        ----------
        version : ConfigurationVersion
            Configuration in force.
        """
        return EntryVm(
            name=self.vm,
            failure_domain=self.failure_domain,
            endpoint=self.caller_endpoint,
            usable=self.readiness(version) is Readiness.READY,
            is_cut_off=self.reach.is_cut_off,
        )

    def heartbeat(
        self, version: ConfigurationVersion, *, now: float, left: bool, is_watched: bool
    ) -> Heartbeat:
        """Create the next heartbeat.

        Parameters
        ----------
        version : ConfigurationVersion
            Configuration in force.
        now : float
            Monotonic seconds.
        left : bool
            Whether this process has left, so that no further heartbeat follows.
        is_watched : bool
            Whether the recipient watches this VM.
        """
        self._sequence += 1
        unresponsive = self._unresponsive_upstreams(now)
        return Heartbeat(
            sender=self.vm,
            incarnation=self.incarnation,
            sequence=self._sequence,
            failure_domain=self.failure_domain,
            caller_endpoint=self.caller_endpoint,
            peer_endpoint=self.peer_endpoint,
            readiness=Readiness.LEFT if left else self.readiness(version),
            view_digest=self.membership.view_digest(),
            over_share=self._over_share(now),
            configuration_version=version,
            head_read_ago_ms=self.head.age_ms(now),
            silent_upstreams=tuple(each.name for each in unresponsive),
            silent_incarnations=tuple(each.incarnation for each in unresponsive),
            is_watched=is_watched,
            quarantine_digest=self.quarantine.quarantine_list.digest,
            is_cut_off=self.reach.is_cut_off,
        )

    def _unresponsive_upstreams(self, now: float) -> tuple[UpstreamState, ...]:
        """Return upstreams to hint at; none while it may be this VM that is cut off."""
        if self.reach.is_doubtful:
            return ()
        return UnresponsiveHintRelay(services=self.services).collect(now)

    def _over_share(self, now: float) -> tuple[str, ...]:
        names = self.services.upstreams_over_share(now)
        if len(names) > MAX_OVER_SHARE_NAMED:
            return (ALL_UPSTREAMS,)
        return tuple(names)
