"""Simulated memberships of many entry VMs, with one clock and datagram loss."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.membership.messages import MembershipEvent
from plankspindle_daemon.membership.messages import ProcessPaused
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.membership.messages import SuspicionReceived
from plankspindle_daemon.membership.messages import TimePassed
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.suspicion import Suspicion
from plankspindle_testkit.fleet_node import Fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.membership.messages import MembershipEffect
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat

TICK_S = 0.25
ONE_WAY_DELAY_S = 0.035
START_SPREAD_S = 0.3
"""Time over which the starts of all processes are spread, in seconds."""


@define(kw_only=True)
class MembershipFleetVm:
    """One entry VM of the simulation.

    Parameters
    ----------
    number : int
        Its number in the fleet.
    membership : Membership
        Its view of the members.
    """

    number: int
    membership: Membership
    sequence: int = 0
    is_running: bool = True
    sent_count: int = 0


@define(kw_only=True)
class MembershipFleet:
    """Entry VMs that all know one another from the platform's list.

    Parameters
    ----------
    fleet : Fleet
        Size of the fleet.
    random : Random
        Source of datagram loss and start times.
    loss_share : float
        Share of the datagrams that are lost, 0 to 1.

    Attributes
    ----------
    now : float
        Seconds since the start.
    is_blocked : callable
        Returns whether all datagrams from one VM to another are lost, by their numbers.
    """

    fleet: Fleet
    random: Random
    loss_share: float = 0.0
    now: float = 0.0
    is_blocked: Callable[[int, int], bool] = lambda _sender, _receiver: False
    vms: list[MembershipFleetVm] = field(init=False)
    _numbers_by_endpoint: dict[Endpoint, int] = Factory(dict)
    _events: list[tuple[float, int, int, MembershipEvent]] = Factory(list)
    _event_numbers: count[int] = Factory(count)

    def __attrs_post_init__(self) -> None:
        listed = [each for each in self.fleet.live_list() if each.peer_endpoint]
        self.vms = []
        for number, own in enumerate(listed):
            assert own.peer_endpoint is not None
            self._numbers_by_endpoint[own.peer_endpoint] = number
            membership = self.fleet.membership(number)
            self.vms.append(MembershipFleetVm(number=number, membership=membership))
            self._schedule(number, LiveListRead(tuple(listed)), 0.0)
            self._schedule(
                number, TimePassed(), self.random.uniform(0.0, START_SPREAD_S)
            )

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, number, event = heapq.heappop(self._events)
            vm = self.vms[number]
            if isinstance(event, TimePassed):
                self._schedule(number, event, TICK_S)
            if vm.is_running:
                self._perform(vm, vm.membership.handle(event, self.now))
        self.now = until

    def stop(self, numbers: Iterable[int]) -> None:
        """Stop or freeze VMs: they process no events."""
        for number in numbers:
            self.vms[number].is_running = False

    def resume(self, number: int) -> None:
        """Resume a frozen VM."""
        vm = self.vms[number]
        vm.is_running = True
        self._perform(vm, vm.membership.handle(ProcessPaused(), self.now))

    def suspected_by(self, number: int) -> set[str]:
        """Return the names of the members that a VM suspects."""
        membership = self.vms[number].membership
        suspect_after_s = membership.suspect_after_s()
        return {
            name
            for name, member in membership.members_by_name.items()
            if member.is_suspected(now=self.now, suspect_after_s=suspect_after_s)
        }

    def seconds_until(self, condition: Callable[[], bool], *, limit_s: float) -> float:
        """Advance the clock until a condition holds; return the seconds it took.

        Stops after ``limit_s`` if the condition does not hold by then.
        """
        began = self.now
        while not condition() and self.now - began < limit_s:
            self.run(TICK_S)
        return self.now - began

    def all_suspect(self, numbers: Iterable[int]) -> bool:
        """Return whether every running VM suspects exactly the given members."""
        names = {self.fleet.vm_name(number) for number in numbers}
        running = [each.number for each in self.vms if each.is_running]
        return all(self.suspected_by(number) == names for number in running)

    def _schedule(self, number: int, event: MembershipEvent, delay_s: float) -> None:
        due = (self.now + delay_s, next(self._event_numbers), number, event)
        heapq.heappush(self._events, due)

    def _perform(self, vm: MembershipFleetVm, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            match effect:
                case SendHeartbeat(to=to):
                    event = HeartbeatReceived(self._heartbeat(vm, to))
                    self._send(vm, event, to)
                case SendToPeer(message=Suspicion() as suspicion, to=to):
                    self._send(vm, SuspicionReceived(suspicion), to)
                case _:
                    pass

    def _heartbeat(self, vm: MembershipFleetVm, to: Endpoint) -> Heartbeat:
        vm.sequence += 1
        return self.fleet.heartbeat(
            vm.number,
            sequence=vm.sequence,
            is_watched=vm.membership.is_watched_by(to),
        )

    def _send(
        self, vm: MembershipFleetVm, event: MembershipEvent, to: Endpoint
    ) -> None:
        vm.sent_count += 1
        receiver = self._numbers_by_endpoint[to]
        is_lost = self.random.random() < self.loss_share
        if not is_lost and not self.is_blocked(vm.number, receiver):
            self._schedule(receiver, event, ONE_WAY_DELAY_S)
