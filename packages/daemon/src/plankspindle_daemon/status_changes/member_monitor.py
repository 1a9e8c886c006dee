"""Detects status changes of other entry VMs and of whole failure domains."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.status_changes.status_change import StatusChange

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.membership.member import Member
    from plankspindle_daemon.membership.membership import Membership


class HeartbeatStatus(Enum):
    """Whether heartbeats of a member arrive."""

    RECEIVED = "heard"
    NEVER_RECEIVED = "never-heard"
    SUSPECTED = "suspected"


@frozen
class _ObservedMember:
    heartbeat_status: HeartbeatStatus
    incarnation: int
    failure_domain: str | None
    is_cut_off: bool


@define(kw_only=True)
class MemberMonitor:
    """Report changes of the members since the previous check."""

    _observed_by_name: dict[str, _ObservedMember] = field(factory=dict)
    _lost_domains: set[str] = field(factory=set)

    def observe(self, membership: Membership, now: float) -> list[StatusChange]:
        """Return the changes since the previous call.

        Parameters
        ----------
        membership : Membership
            Present members.
        now : float
            Monotonic seconds.
        """
        suspect_after_s = membership.suspect_after_s()
        observed_by_name = {
            name: self._observe_member(
                member, _heartbeat_status(member, suspect_after_s, now)
            )
            for name, member in membership.members_by_name.items()
        }
        changes = [
            *self._member_changes(membership, observed_by_name, now),
            *self._member_removals(observed_by_name),
        ]
        self._observed_by_name = observed_by_name
        return [*changes, *self._domain_changes()]

    def _observe_member(
        self, member: Member, heartbeat_status: HeartbeatStatus
    ) -> _ObservedMember:
        """Return the previous object if it still holds, for a check by identity."""
        previous = self._observed_by_name.get(member.name)
        if (
            previous is not None
            and previous.heartbeat_status is heartbeat_status
            and previous.incarnation == member.incarnation
            and previous.failure_domain == member.failure_domain
            and previous.is_cut_off is member.is_cut_off
        ):
            return previous
        return _ObservedMember(
            heartbeat_status,
            member.incarnation,
            member.failure_domain,
            member.is_cut_off,
        )

    def _member_changes(
        self,
        membership: Membership,
        observed_by_name: dict[str, _ObservedMember],
        now: float,
    ) -> Iterator[StatusChange]:
        for name, observed in observed_by_name.items():
            previous = self._observed_by_name.get(name)
            if previous is observed:
                continue
            member = membership.members_by_name[name]
            last_heartbeat_at = member.last_heartbeat_at
            fields = {
                "member": name,
                "domain": observed.failure_domain,
                "was": "new" if previous is None else previous.heartbeat_status.value,
                "now": observed.heartbeat_status.value,
                "incarnation": f"{observed.incarnation:016x}",
                "restarted": previous is not None
                and previous.incarnation != observed.incarnation,
                "listed": name in membership.listed_by_name,
                "cut_off": observed.is_cut_off or None,
                "suspected_by": ",".join(sorted(member.suspected_by)) or None,
                "silent_ms": None
                if last_heartbeat_at is None
                else round(1000 * (now - last_heartbeat_at)),
            }
            yield StatusChange(event="member_standing", fields=fields)

    def _member_removals(
        self, observed_by_name: dict[str, _ObservedMember]
    ) -> Iterator[StatusChange]:
        for name, previous in self._observed_by_name.items():
            if name not in observed_by_name:
                fields = {"member": name, "domain": previous.failure_domain}
                statuses = {"was": previous.heartbeat_status.value, "now": "removed"}
                yield StatusChange(
                    event="member_standing", fields={**fields, **statuses}
                )

    def _domain_changes(self) -> Iterator[StatusChange]:
        """Yield domains that lost all heartbeats, and domains that have some again."""
        has_heartbeat_by_domain: dict[str, bool] = {}
        for observed in self._observed_by_name.values():
            if observed.failure_domain is not None:
                has_heartbeat = observed.heartbeat_status is HeartbeatStatus.RECEIVED
                any_heartbeat = has_heartbeat_by_domain.get(
                    observed.failure_domain, False
                )
                has_heartbeat_by_domain[observed.failure_domain] = (
                    any_heartbeat or has_heartbeat
                )
        for domain, has_heartbeat in has_heartbeat_by_domain.items():
            if has_heartbeat and domain in self._lost_domains:
                self._lost_domains.discard(domain)
                yield StatusChange(event="domain_regained", fields={"domain": domain})
            elif not has_heartbeat and domain not in self._lost_domains:
                self._lost_domains.add(domain)
                yield StatusChange(event="domain_lost", fields={"domain": domain})


def _heartbeat_status(
    member: Member, suspect_after_s: float, now: float
) -> HeartbeatStatus:
    if member.last_heartbeat_at is None:
        return HeartbeatStatus.NEVER_RECEIVED
    is_suspected = member.is_suspected(now=now, suspect_after_s=suspect_after_s)
    return HeartbeatStatus.SUSPECTED if is_suspected else HeartbeatStatus.RECEIVED
