"""Slots of upstreams that the members of a failure domain share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.messages import SlotsRequested
from plankspindle_daemon.dispatch.messages import TimePassed
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.upstreams.share_manager import ShareManager

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.peer_messages.slot_messages import SlotRequest


@define(kw_only=True)
class SharedSlots:
    """Keep the shares of this VM, and lend idle slots to members.

    Parameters
    ----------
    vm : str
        Name of this VM.
    membership : Membership
        The members.
    services : ServiceRegistry
        Services in force.
    leave : Leave
        The planned stop of this VM.
    started_at : float
        Monotonic seconds.
    settle_s : float
        Time for which a new process listens for peers before it takes slots, in
        seconds.
    """

    vm: str
    membership: Membership
    services: ServiceRegistry
    leave: Leave
    started_at: float
    settle_s: float
    _shares: ShareManager = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._shares = ShareManager(
            vm=self.vm,
            membership=self.membership,
            started_at=self.started_at,
            settle_s=self.settle_s,
        )

    def invalidate(self, now: float) -> None:
        """Listen for peers anew, as after a pause."""
        self._shares.restart_settling(now)

    def update_shares(
        self, configuration: Configuration | None, now: float
    ) -> list[ServiceEffect]:
        """Bring all shares closer to their targets.

        Parameters
        ----------
        configuration : Configuration or None
            The version in force.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of ServiceEffect
            What follows for requests that wait for a share that grew.
        """
        if configuration is None:
            return []
        effects: list[ServiceEffect] = []
        for service, dispatcher in self.services.dispatchers_by_service.items():
            declared = configuration.services_by_name.get(service)
            # Asked at each heartbeat: without the last question it took 0.07 of 0.9 s
            # of work in 30 s, profiled at 80 entry VMs and 220 upstreams telling loads.
            if declared is None or not dispatcher.shares_slots:
                continue
            longest_s = declared.longest_timeout_ms / 1000
            if self._shares.update_all(
                dispatcher.upstreams_by_name.values(), max_request_s=longest_s, now=now
            ):
                effects += self._handle(service, TimePassed(), now)
        return effects

    def lend(
        self, request: SlotRequest, reply_to: Endpoint, now: float
    ) -> list[ServiceEffect]:
        """Lend slots to a member, unless this VM leaves.

        Parameters
        ----------
        request : SlotRequest
            What is asked for.
        reply_to : Endpoint
            Where the member listens.
        now : float
            Monotonic seconds.

        Notes
        -----
        Whoever this VM does not count gets none, since its share may overlap.
        """
        known = request.sender in self.membership.members_by_name
        if not known or self.leave.is_leaving:
            return []
        asked = SlotsRequested(request=request, reply_to=reply_to)
        return self._handle(self.services.service_of(request.upstream), asked, now)

    def _handle(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[ServiceEffect]:
        effects = self.services.handle(service, event, now)
        return [ServiceEffect(service, each) for each in effects]

    def expire_removals(self, configuration: Configuration | None, now: float) -> None:
        """Forget removed members whose work at shared slots must have ended.

        Parameters
        ----------
        configuration : Configuration or None
            The version in force.
        now : float
            Monotonic seconds.
        """
        if configuration is None:
            return
        services = configuration.services_by_name.values()
        longest_ms = max((each.longest_timeout_ms for each in services), default=0)
        self.membership.expire_removals(before=now - longest_ms / 1000)
