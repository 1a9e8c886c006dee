"""The newest load digests of all entry VMs that were heard."""

from __future__ import annotations

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.load_digest import ServiceLoad

MAX_DIGEST_AGE_S = 30.0
MAX_SENDERS = 10_000


@frozen(kw_only=True)
class ReceivedDigest:
    """A digest and when it came."""

    digest: LoadDigest
    received_at: float


@define(kw_only=True)
class DigestTable:
    """Digests by sender.

    Attributes
    ----------
    received_by_vm : dict of str to ReceivedDigest
        The newest digest of each VM.
    """

    received_by_vm: dict[str, ReceivedDigest] = field(factory=dict)

    def record(self, digest: LoadDigest, now: float) -> None:
        """Keep a digest; the oldest goes when there are too many."""
        self.received_by_vm.pop(digest.sender, None)
        if len(self.received_by_vm) >= MAX_SENDERS:
            del self.received_by_vm[next(iter(self.received_by_vm))]
        self.received_by_vm[digest.sender] = ReceivedDigest(
            digest=digest, received_at=now
        )

    def load_of(self, *, service: str, domains: set[str], now: float) -> ServiceLoad:
        """Add up the load of a service in some failure domains, as far as heard.

        Parameters
        ----------
        service : str
            Name of the service.
        domains : set of str
            Names of failure domains.
        now : float
            Monotonic seconds; digests older than ``MAX_REPORT_AGE_S`` do not count.
        """
        loads = [
            load
            for heard in self.received_by_vm.values()
            if heard.digest.failure_domain in domains
            and now - heard.received_at <= MAX_DIGEST_AGE_S
            for load in heard.digest.loads
            if load.service == service
        ]
        return ServiceLoad(
            service=service,
            capacity=sum(each.capacity for each in loads),
            in_flight=sum(each.in_flight for each in loads),
            queued=sum(each.queued for each in loads),
        )

    def reporting_domains(self, now: float) -> set[str]:
        """Name the failure domains that were heard lately."""
        return {
            heard.digest.failure_domain
            for heard in self.received_by_vm.values()
            if now - heard.received_at <= MAX_DIGEST_AGE_S
        }
