"""Memberships of many entry VMs on one fake clock, with datagrams that may be lost."""

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
DELAY_S = 0.035
START_S = 0.3
"""Time within which all processes start, in seconds."""


@define(kw_only=True)
class FleetVm:
    """One entry VM.

    Parameters
    ----------
    number : int
        Its number in the fleet.
    membership : Membership
        The members as it counts them.
    """

    number: int
    membership: Membership
    sequence: int = 0
    is_running: bool = True
    sent: int = 0


@define(kw_only=True)
class MembershipFleet:
    """Entry VMs that all know one another from the platform's list.

    Parameters
    ----------
    fleet : Fleet
        How many there are, and where.
    random : Random
        Source of loss and start times.
    loss : float
        Part of the datagrams that are lost.

    Attributes
    ----------
    now : float
        Seconds since the start.
    is_cut : callable
        Tells whether datagrams from one VM to another are lost, by their numbers.
    """

    fleet: Fleet
    random: Random
    loss: float = 0.0
    now: float = 0.0
    is_cut: Callable[[int, int], bool] = lambda _sender, _receiver: False
    vms: list[FleetVm] = field(init=False)
    _numbers_by_endpoint: dict[Endpoint, int] = Factory(dict)
    _events: list[tuple[float, int, int, MembershipEvent]] = Factory(list)
    _counter: count[int] = Factory(count)

    def __attrs_post_init__(self) -> None:
        listed = [each for each in self.fleet.listed() if each.peer_endpoint]
        self.vms = []
        for number, own in enumerate(listed):
            assert own.peer_endpoint is not None
            self._numbers_by_endpoint[own.peer_endpoint] = number
            membership = self.fleet.membership(number)
            self.vms.append(FleetVm(number=number, membership=membership))
            self._later(number, LiveListRead(tuple(listed)), 0.0)
            self._later(number, TimePassed(), self.random.uniform(0.0, START_S))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, number, event = heapq.heappop(self._events)
            vm = self.vms[number]
            if isinstance(event, TimePassed):
                self._later(number, event, TICK_S)
            if vm.is_running:
                self._perform(vm, vm.membership.handle(event, self.now))
        self.now = until

    def stop(self, numbers: Iterable[int]) -> None:
        """Let VMs die, or freeze."""
        for number in numbers:
            self.vms[number].is_running = False

    def wake(self, number: int) -> None:
        """Let a frozen VM go on."""
        vm = self.vms[number]
        vm.is_running = True
        self._perform(vm, vm.membership.handle(ProcessPaused(), self.now))

    def silent_at(self, number: int) -> set[str]:
        """Name the members that a VM takes for silent."""
        membership = self.vms[number].membership
        suspect_after_s = membership.suspect_after_s()
        return {
            name
            for name, member in membership.members_by_name.items()
            if member.is_suspected(now=self.now, suspect_after_s=suspect_after_s)
        }

    def seconds_until(self, is_so: Callable[[], bool], *, at_most: float) -> float:
        """Let time pass until something is so; give the time that it took."""
        began = self.now
        while not is_so() and self.now - began < at_most:
            self.run(TICK_S)
        return self.now - began

    def all_take_for_silent(self, numbers: Iterable[int]) -> bool:
        """Tell whether every running VM takes just some members for silent."""
        names = {self.fleet.vm(number) for number in numbers}
        running = [each.number for each in self.vms if each.is_running]
        return all(self.silent_at(number) == names for number in running)

    def _later(self, number: int, event: MembershipEvent, delay_s: float) -> None:
        due = (self.now + delay_s, next(self._counter), number, event)
        heapq.heappush(self._events, due)

    def _perform(self, vm: FleetVm, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            match effect:
                case SendHeartbeat(to=to):
                    event = HeartbeatReceived(self._heartbeat(vm, to))
                    self._send(vm, event, to)
                case SendToPeer(message=Suspicion() as suspicion, to=to):
                    self._send(vm, SuspicionReceived(suspicion), to)
                case _:
                    pass

    def _heartbeat(self, vm: FleetVm, to: Endpoint) -> Heartbeat:
        vm.sequence += 1
        return self.fleet.heartbeat(
            vm.number,
            sequence=vm.sequence,
            is_watched=vm.membership.is_watched_by(to),
        )

    def _send(self, vm: FleetVm, event: MembershipEvent, to: Endpoint) -> None:
        vm.sent += 1
        receiver = self._numbers_by_endpoint[to]
        is_lost = self.random.random() < self.loss
        if not is_lost and not self.is_cut(vm.number, receiver):
            self._later(receiver, event, DELAY_S)
