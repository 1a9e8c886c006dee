"""Notices when other entry VMs and whole failure domains come, fall silent or go."""

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
    """What is heard of a member."""

    RECEIVED = "heard"
    NEVER_RECEIVED = "never-heard"
    SUSPECTED = "suspected"


@frozen
class _ObservedMember:
    heartbeat_status: HeartbeatStatus
    incarnation: int
    failure_domain: str | None


@define(kw_only=True)
class MemberMonitor:
    """Compare the members with those before."""

    _observed_by_name: dict[str, _ObservedMember] = field(factory=dict)
    _lost_domains: set[str] = field(factory=set)

    def observe(self, membership: Membership, now: float) -> list[StatusChange]:
        """Give what has changed since the last time.

        Parameters
        ----------
        membership : Membership
            The members.
        now : float
            Monotonic seconds.
        """
        suspect_after_s = membership.suspect_after_s()
        seen = {
            name: self._observe_member(
                member, _heartbeat_status(member, suspect_after_s, now)
            )
            for name, member in membership.members_by_name.items()
        }
        beliefs = [
            *self._member_changes(membership, seen, now),
            *self._member_removals(seen),
        ]
        self._observed_by_name = seen
        return [*beliefs, *self._domain_changes()]

    def _observe_member(
        self, member: Member, hearing: HeartbeatStatus
    ) -> _ObservedMember:
        """Give what was seen before where it still holds, to compare little."""
        was = self._observed_by_name.get(member.name)
        if (
            was is not None
            and was.heartbeat_status is hearing
            and was.incarnation == member.incarnation
            and was.failure_domain == member.failure_domain
        ):
            return was
        return _ObservedMember(hearing, member.incarnation, member.failure_domain)

    def _member_changes(
        self, membership: Membership, seen: dict[str, _ObservedMember], now: float
    ) -> Iterator[StatusChange]:
        for name, found in seen.items():
            was = self._observed_by_name.get(name)
            if was is found:
                continue
            member = membership.members_by_name[name]
            heard = member.last_heartbeat_at
            fields = {
                "member": name,
                "domain": found.failure_domain,
                "was": "new" if was is None else was.heartbeat_status.value,
                "now": found.heartbeat_status.value,
                "incarnation": f"{found.incarnation:016x}",
                "restarted": was is not None and was.incarnation != found.incarnation,
                "listed": name in membership.listed_by_name,
                "suspected_by": ",".join(sorted(member.suspected_by)) or None,
                "silent_ms": None if heard is None else round(1000 * (now - heard)),
            }
            yield StatusChange(event="member_standing", fields=fields)

    def _member_removals(
        self, seen: dict[str, _ObservedMember]
    ) -> Iterator[StatusChange]:
        for name, was in self._observed_by_name.items():
            if name not in seen:
                fields = {"member": name, "domain": was.failure_domain}
                standing = {"was": was.heartbeat_status.value, "now": "removed"}
                yield StatusChange(
                    event="member_standing", fields={**fields, **standing}
                )

    def _domain_changes(self) -> Iterator[StatusChange]:
        """Notice domains none of whose members is heard any more, and their return."""
        heard_by_domain: dict[str, bool] = {}
        for found in self._observed_by_name.values():
            if found.failure_domain is not None:
                is_heard = found.heartbeat_status is HeartbeatStatus.RECEIVED
                known = heard_by_domain.get(found.failure_domain, False)
                heard_by_domain[found.failure_domain] = known or is_heard
        for domain, is_heard in heard_by_domain.items():
            if is_heard and domain in self._lost_domains:
                self._lost_domains.discard(domain)
                yield StatusChange(event="domain_regained", fields={"domain": domain})
            elif not is_heard and domain not in self._lost_domains:
                self._lost_domains.add(domain)
                yield StatusChange(event="domain_lost", fields={"domain": domain})


def _heartbeat_status(
    member: Member, suspect_after_s: float, now: float
) -> HeartbeatStatus:
    if member.last_heartbeat_at is None:
        return HeartbeatStatus.NEVER_RECEIVED
    is_silent = member.is_suspected(now=now, suspect_after_s=suspect_after_s)
    return HeartbeatStatus.SUSPECTED if is_silent else HeartbeatStatus.RECEIVED
