"""Packets between entry VMs: delayed, lost, duplicated, reordered or partitioned."""

from __future__ import annotations

from random import Random

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.peer_message import PeerMessage


@frozen(kw_only=True)
class Packet:
    """One message in transit.

    Parameters
    ----------
    deliver_at : float
        Simulated time of its arrival, in seconds.
    sender, to : Endpoint
        Peer listeners.
    message : PeerMessage
        The message.
    """

    deliver_at: float
    sender: Endpoint
    to: Endpoint
    message: PeerMessage


@define(kw_only=True)
class FakeNetwork:
    """Network between the entry VMs.

    Parameters
    ----------
    random : Random
        Source of delays and faults.
    loss : float
        Probability that a packet is lost.
    duplication : float
        Probability that a packet arrives twice.
    max_delay_s : float
        Longest delay, in seconds.
    """

    random: Random
    loss: float = 0.1
    duplication: float = 0.05
    max_delay_s: float = 0.05
    partitions: set[frozenset[Endpoint]] = field(factory=set)
    _packets: list[Packet] = field(factory=list)

    def send(
        self, message: PeerMessage, *, sender: Endpoint, to: Endpoint, now: float
    ) -> None:
        """Send a message, which may be lost or duplicated."""
        if (
            frozenset((sender, to)) in self.partitions
            or self.random.random() < self.loss
        ):
            return
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            delay = self.random.uniform(0, self.max_delay_s)
            packet = Packet(
                deliver_at=now + delay, sender=sender, to=to, message=message
            )
            self._packets.append(packet)

    def pop_due(self, now: float) -> list[Packet]:
        """Remove the packets that have arrived, and return them in order of arrival."""
        arrived = [each for each in self._packets if each.deliver_at <= now]
        self._packets = [each for each in self._packets if each.deliver_at > now]
        return sorted(arrived, key=lambda each: each.deliver_at)
