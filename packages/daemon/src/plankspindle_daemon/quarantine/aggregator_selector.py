"""Which entry VMs count the ends of upstreams under a request."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.membership.member import SUSPICION_QUORUM
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.platform.live_list import VmKind

AGGREGATORS_PER_REQUEST = 3
"""Entry VMs that count for one request, in as many failure domains."""


@frozen(kw_only=True)
class CandidateVm:
    """Another entry VM.

    Parameters
    ----------
    name, failure_domain : str
        Its name, and where it stands.
    endpoint : Endpoint, optional
        Where messages reach it; None for this VM.
    """

    name: str
    failure_domain: str
    endpoint: Endpoint | None


@define(kw_only=True)
class AggregatorSelector:
    """Choose them by a hash, so that all entry VMs choose the same.

    Parameters
    ----------
    vm, failure_domain : str
        This VM, and where it stands.
    membership : Membership
        The other ones.
    """

    vm: str
    failure_domain: str
    membership: Membership

    def select(self, identity: int, now: float) -> list[CandidateVm]:
        """Choose for a request, the one that tries it out first.

        Notes
        -----
        A request comes to any entry VM, so that in a large fleet each of them sees it
        once. A report to all of them would cost a message for each pair of VMs when a
        failure domain is lost; to a few it costs the same at any size.
        """
        ranked = sorted(
            [self._own(), *self._alive(now)],
            key=lambda each: stable_hash(f"{identity} {each.name}"),
        )
        chosen: dict[str, CandidateVm] = {}
        for each in ranked:
            chosen.setdefault(each.failure_domain, each)
        first = list(chosen.values())[:AGGREGATORS_PER_REQUEST]
        rest = [each for each in ranked if each not in first]
        return [*first, *rest][:AGGREGATORS_PER_REQUEST]

    def peer_endpoints(self) -> list[Endpoint]:
        """Give the addresses of all other entry VMs, of all failure domains."""
        endpoints = set(self.membership.peer_endpoints())
        endpoints |= {each.endpoint for each in self._listed() if each.endpoint}
        own = self.membership.listed_by_name.get(self.vm)
        if own is not None and own.peer_endpoint is not None:
            endpoints.discard(own.peer_endpoint)
        return sorted(endpoints)

    def _own(self) -> CandidateVm:
        return CandidateVm(
            name=self.vm, failure_domain=self.failure_domain, endpoint=None
        )

    def _alive(self, now: float) -> list[CandidateVm]:
        """Give members that are not known as silent; those not heard yet count.

        A process that has just started would else choose among the few that it heard,
        and others than all other VMs.
        """
        silence_s = self.membership.suspect_after_s()
        members = self.membership.members_by_name
        alive = [
            CandidateVm(
                name=each.name,
                failure_domain=each.failure_domain,
                endpoint=each.peer_endpoint,
            )
            for each in members.values()
            if len(each.suspected_by) < SUSPICION_QUORUM
            and (
                each.last_heartbeat_at is None
                or now - each.last_heartbeat_at <= silence_s
            )
        ]
        return [*alive, *(each for each in self._listed() if each.name not in members)]

    def _listed(self) -> list[CandidateVm]:
        return [
            CandidateVm(
                name=each.name,
                failure_domain=each.failure_domain,
                endpoint=each.peer_endpoint,
            )
            for each in self.membership.listed_by_name.values()
            if each.kind is VmKind.ENTRY
            and each.name != self.vm
            and each.peer_endpoint is not None
            and not each.leaving
        ]
