"""The newest load digest received from each entry VM."""

from __future__ import annotations

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.load_digest import ServiceLoad

MAX_DIGEST_AGE_S = 30.0
"""Age after which a digest is ignored, in seconds."""
MAX_SENDERS = 10_000
"""Digests that are stored, so that memory stays bounded."""


@frozen(kw_only=True)
class ReceivedDigest:
    """A digest and its time of receipt in monotonic seconds."""

    digest: LoadDigest
    received_at: float


@define(kw_only=True)
class DigestTable:
    """Stores the newest digest of each sender.

    Attributes
    ----------
    received_by_vm : dict of str to ReceivedDigest
        The newest digest of each VM.
    """

    received_by_vm: dict[str, ReceivedDigest] = field(factory=dict)

    def record(self, digest: LoadDigest, now: float) -> None:
        """Record a digest; the oldest is evicted at ``MAX_SENDERS``."""
        self.received_by_vm.pop(digest.sender, None)
        if len(self.received_by_vm) >= MAX_SENDERS:
            del self.received_by_vm[next(iter(self.received_by_vm))]
        self.received_by_vm[digest.sender] = ReceivedDigest(
            digest=digest, received_at=now
        )

    def load_of(self, *, service: str, domains: set[str], now: float) -> ServiceLoad:
        """Return the reported load of a service, summed over failure domains.

        Parameters
        ----------
        service : str
            Name of the service.
        domains : set of str
            Names of failure domains.
        now : float
            Monotonic seconds; digests older than ``MAX_DIGEST_AGE_S`` are ignored.
        """
        loads = [
            load
            for received in self.received_by_vm.values()
            if received.digest.failure_domain in domains
            and now - received.received_at <= MAX_DIGEST_AGE_S
            for load in received.digest.loads
            if load.service == service
        ]
        return ServiceLoad(
            service=service,
            capacity=sum(each.capacity for each in loads),
            in_flight=sum(each.in_flight for each in loads),
            queued=sum(each.queued for each in loads),
        )

    def reporting_domains(self, now: float) -> set[str]:
        """Return the failure domains with a digest not older than the maximum age."""
        return {
            received.digest.failure_domain
            for received in self.received_by_vm.values()
            if now - received.received_at <= MAX_DIGEST_AGE_S
        }
