"""Selects the entry VMs that aggregate the crash reports of a request."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.membership.member import SUSPICION_QUORUM
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.platform.live_list import VmKind

AGGREGATORS_PER_REQUEST = 3
"""Entry VMs that aggregate the reports of one request, in as many failure domains."""


@frozen(kw_only=True)
class CandidateVm:
    """An entry VM that may aggregate reports.

    Parameters
    ----------
    name, failure_domain : str
        Name of the VM and the failure domain that it is located in.
    endpoint : Endpoint, optional
        Its address for messages; None for this VM.
    """

    name: str
    failure_domain: str
    endpoint: Endpoint | None


@define(kw_only=True)
class AggregatorSelector:
    """Select aggregators by rendezvous hashing, so that all entry VMs select the same.

    Parameters
    ----------
    vm, failure_domain : str
        Name and failure domain of this VM.
    membership : Membership
        The other entry VMs.
    """

    vm: str
    failure_domain: str
    membership: Membership

    def select(self, identity: int, now: float) -> list[CandidateVm]:
        """Return the aggregators of a request; the first may send its probe attempts.

        Notes
        -----
        The attempts of a request arrive at arbitrary entry VMs, so in a large fleet
        each VM sees a crash at most once. Reporting to all VMs would cost a message for
        each pair of VMs when a failure domain is lost; reporting to a few costs the
        same at any fleet size.
        """
        ranked = sorted(
            self.candidates(now),
            key=lambda each: stable_hash(f"{identity} {each.name}"),
        )
        first_by_domain: dict[str, CandidateVm] = {}
        for each in ranked:
            first_by_domain.setdefault(each.failure_domain, each)
        first = list(first_by_domain.values())[:AGGREGATORS_PER_REQUEST]
        rest = [each for each in ranked if each not in first]
        return [*first, *rest][:AGGREGATORS_PER_REQUEST]

    def candidates(self, now: float) -> list[CandidateVm]:
        """Return this VM and all others that are not known to have failed."""
        return [self._own_candidate(), *self._live_candidates(now)]

    def known_count(self, now: float, *, max_silence_s: float) -> int:
        """Return the number of VMs with those that are silent for less than a time.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        max_silence_s : float
            Time without heartbeats, in seconds.
        """
        members = self.membership.members_by_name
        heard = sum(
            now - (each.last_heartbeat_at or each.known_since) <= max_silence_s
            for each in members.values()
        )
        listed = sum(each.name not in members for each in self._listed_candidates())
        return 1 + heard + listed

    def peer_endpoints(self) -> list[Endpoint]:
        """Return the addresses of all other entry VMs, in all failure domains."""
        endpoints = set(self.membership.peer_endpoints())
        endpoints |= {
            each.endpoint for each in self._listed_candidates() if each.endpoint
        }
        own = self.membership.listed_by_name.get(self.vm)
        if own is not None and own.peer_endpoint is not None:
            endpoints.discard(own.peer_endpoint)
        return sorted(endpoints)

    def _own_candidate(self) -> CandidateVm:
        return CandidateVm(
            name=self.vm, failure_domain=self.failure_domain, endpoint=None
        )

    def _live_candidates(self, now: float) -> list[CandidateVm]:
        """Return the members that are not known to be silent.

        Members without a heartbeat so far are included: a process that has just started
        would otherwise select among the few that it has received heartbeats from, and
        disagree with all other VMs.
        """
        silence_s = self.membership.suspect_after_s()
        members = self.membership.members_by_name
        live = [
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
        return [
            *live,
            *(each for each in self._listed_candidates() if each.name not in members),
        ]

    def _listed_candidates(self) -> list[CandidateVm]:
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
