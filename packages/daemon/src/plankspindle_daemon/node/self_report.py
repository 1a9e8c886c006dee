"""What one entry VM says of itself, to members and in look-ups."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.configuration.head_watch import HeadWatch
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.dispatch.unresponsive_hint_relay import UnresponsiveHintRelay
from plankspindle_daemon.drains.vm_drains import VmDrains
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.heartbeat import ALL_UPSTREAMS
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.steering.steering import EntryVm

MAX_OVER_SHARE_NAMED = 16
"""Upstreams that a heartbeat names as over share; of more, it says all of them."""


@define(kw_only=True)
class SelfReport:
    """Work out the readiness of this VM, and make its heartbeats.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    caller_endpoint, peer_endpoint : Endpoint
        Its listeners.
    incarnation : int
        Random number of this process.
    needs_list : bool
        Whether upstreams are declared by the platform's list alone.
    membership : Membership
        Members of the failure domain.
    leave : Leave
        The planned stop of this VM.
    services : ServiceRegistry
        Services in force.
    vm_drains : VmDrains
        Drained entry VMs.
    head : HeadWatch
        When anybody read the head of the configuration.
    quarantine : Quarantine
        Requests that are held back.

    Attributes
    ----------
    list_read_at : float or None
        When the platform's list was last read, monotonic seconds.
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
    head: HeadWatch
    quarantine: Quarantine
    list_read_at: float | None = None
    _sequence: int = 0

    def accepts(self, now: float) -> bool:
        """Tell whether new requests are accepted here."""
        return self.leave.accepts and not self.vm_drains.refuses(now)

    def readiness(self, version: int) -> Readiness:
        """Give the readiness of this VM.

        Parameters
        ----------
        version : int
            Configuration in force; zero if there is none.
        """
        if self.leave.is_leaving or self.vm in self.vm_drains.drained:
            return Readiness.LEAVING
        if version == 0 or self._is_list_missing():
            return Readiness.STARTING
        overloaded = self.services.is_overloaded()
        return Readiness.OVERLOADED if overloaded else Readiness.READY

    def _is_list_missing(self) -> bool:
        """Tell whether upstreams come from a list that was never read."""
        return self.needs_list and self.list_read_at is None

    def entry_vm(self, version: int) -> EntryVm:
        """Give this VM as look-ups may name it.

        Parameters
        ----------
        version : int
            Configuration in force; zero if there is none.
        """
        return EntryVm(
            name=self.vm,
            failure_domain=self.failure_domain,
            endpoint=self.caller_endpoint,
            usable=self.readiness(version) is Readiness.READY,
        )

    def heartbeat(
        self, version: int, *, now: float, left: bool, is_watched: bool
    ) -> Heartbeat:
        """Make the next heartbeat.

        Parameters
        ----------
        version : int
            Configuration in force; zero if there is none.
        now : float
            Monotonic seconds.
        left : bool
            Whether it is the last one, after which nothing of this process runs.
        is_watched : bool
            Whether it goes to watchers of this VM.
        """
        self._sequence += 1
        silent = UnresponsiveHintRelay(services=self.services).collect(now)
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
            head_read_ago_ms=self.head.ago_ms(now),
            silent_upstreams=tuple(each.name for each in silent),
            silent_incarnations=tuple(each.incarnation for each in silent),
            is_watched=is_watched,
            quarantine_digest=self.quarantine.quarantine_list.digest,
        )

    def _over_share(self, now: float) -> tuple[str, ...]:
        names = self.services.upstreams_over_share(now)
        if len(names) > MAX_OVER_SHARE_NAMED:
            return (ALL_UPSTREAMS,)
        return tuple(names)
