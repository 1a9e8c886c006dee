"""Messages between the entry VMs of a run."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from typing import cast

from attrs import define

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.crash_news import CrashNews
from plankspindle_daemon.quotas.quotas import QuotaMessage
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.lab_vm import LabVm
from plankspindle_testkit.lab.lab_vm import peer_endpoint_of
from plankspindle_testkit.lab.simulated_clock import SimulatedClock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.peer_messages.peer_message import PeerMessage
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer


@define(kw_only=True)
class PeerNetwork:
    """Delivers updates on crashing requests and messages on rate limits.

    Parameters
    ----------
    clock : SimulatedClock
        Clock of the run.
    deployment : Deployment
        Entry VMs, and the delays between them.
    random : Random
        Source of message loss.
    handle_quota_message : callable
        Passes a message on limits, with the address for replies, to an entry VM.
    loss : float
        Share of the messages that are lost, from 0 to 1.
    is_cut : callable
        Returns whether all messages from one VM to another are lost, given their
        names.

    Attributes
    ----------
    sent : int
        Number of messages sent.
    """

    clock: SimulatedClock
    deployment: Deployment
    random: Random
    handle_quota_message: Callable[[LabVm, QuotaMessage, Endpoint], None]
    loss: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda _sender, _receiver: False
    sent: int = 0

    def send(self, sender: LabVm, effects: Iterable[SendToPeer]) -> None:
        """Send messages of an entry VM, some of which are lost."""
        for effect in effects:
            receiver = self.deployment.vms_by_name[effect.to.host]
            self.sent += 1
            is_lost = self.random.random() < self.loss
            if is_lost or self.is_cut(sender.name, receiver.name):
                continue
            delay_s = self.deployment.one_way_s(sender.domain, receiver.domain)
            deliver = partial(self._deliver, sender, receiver.name, effect.message)
            self.clock.schedule(delay_s, deliver)

    def _deliver(self, sender: LabVm, receiver: str, message: PeerMessage) -> None:
        vm = self.deployment.vms_by_name[receiver]
        if not vm.is_up:
            return
        reply_to = peer_endpoint_of(sender.name)
        if isinstance(message, CrashNews):
            self.send(
                vm, vm.quarantine.handle_update(message, reply_to, self.clock.now)
            )
        else:
            self.handle_quota_message(vm, cast("QuotaMessage", message), reply_to)
