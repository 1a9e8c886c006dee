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
class _Seen:
    hearing: HeartbeatStatus
    incarnation: int
    failure_domain: str | None


@define(kw_only=True)
class MemberMonitor:
    """Compare the members with those before."""

    _seen_by_name: dict[str, _Seen] = field(factory=dict)
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
            name: self._same_or_new(member, _hearing(member, suspect_after_s, now))
            for name, member in membership.members_by_name.items()
        }
        beliefs = [*self._changes(membership, seen, now), *self._removed(seen)]
        self._seen_by_name = seen
        return [*beliefs, *self._domains()]

    def _same_or_new(self, member: Member, hearing: HeartbeatStatus) -> _Seen:
        """Give what was seen before where it still holds, to compare little."""
        was = self._seen_by_name.get(member.name)
        if (
            was is not None
            and was.hearing is hearing
            and was.incarnation == member.incarnation
            and was.failure_domain == member.failure_domain
        ):
            return was
        return _Seen(hearing, member.incarnation, member.failure_domain)

    def _changes(
        self, membership: Membership, seen: dict[str, _Seen], now: float
    ) -> Iterator[StatusChange]:
        for name, found in seen.items():
            was = self._seen_by_name.get(name)
            if was is found:
                continue
            member = membership.members_by_name[name]
            heard = member.last_heartbeat_at
            fields = {
                "member": name,
                "domain": found.failure_domain,
                "was": "new" if was is None else was.hearing.value,
                "now": found.hearing.value,
                "incarnation": f"{found.incarnation:016x}",
                "restarted": was is not None and was.incarnation != found.incarnation,
                "listed": name in membership.listed_by_name,
                "suspected_by": ",".join(sorted(member.suspected_by)) or None,
                "silent_ms": None if heard is None else round(1000 * (now - heard)),
            }
            yield StatusChange(event="member_standing", fields=fields)

    def _removed(self, seen: dict[str, _Seen]) -> Iterator[StatusChange]:
        for name, was in self._seen_by_name.items():
            if name not in seen:
                fields = {"member": name, "domain": was.failure_domain}
                standing = {"was": was.hearing.value, "now": "removed"}
                yield StatusChange(
                    event="member_standing", fields={**fields, **standing}
                )

    def _domains(self) -> Iterator[StatusChange]:
        """Notice domains none of whose members is heard any more, and their return."""
        heard_by_domain: dict[str, bool] = {}
        for found in self._seen_by_name.values():
            if found.failure_domain is not None:
                is_heard = found.hearing is HeartbeatStatus.RECEIVED
                known = heard_by_domain.get(found.failure_domain, False)
                heard_by_domain[found.failure_domain] = known or is_heard
        for domain, is_heard in heard_by_domain.items():
            if is_heard and domain in self._lost_domains:
                self._lost_domains.discard(domain)
                yield StatusChange(event="domain_regained", fields={"domain": domain})
            elif not is_heard and domain not in self._lost_domains:
                self._lost_domains.add(domain)
                yield StatusChange(event="domain_lost", fields={"domain": domain})


def _hearing(member: Member, suspect_after_s: float, now: float) -> HeartbeatStatus:
    if member.last_heartbeat_at is None:
        return HeartbeatStatus.NEVER_RECEIVED
    is_silent = member.is_suspected(now=now, suspect_after_s=suspect_after_s)
    return HeartbeatStatus.SUSPECTED if is_silent else HeartbeatStatus.RECEIVED
