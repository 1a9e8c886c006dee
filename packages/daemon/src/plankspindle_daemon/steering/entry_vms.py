"""The entry VMs that look-ups may name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.steering.steering import EntryVm

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from plankspindle_daemon.membership.member import Member
    from plankspindle_daemon.membership.membership import Membership
    from plankspindle_daemon.platform.live_list import ListedVm


def known_entry_vms(
    membership: Membership, *, drained: AbstractSet[str], now: float
) -> dict[str, EntryVm]:
    """Give all entry VMs but the own one, by name.

    Parameters
    ----------
    membership : Membership
        Members and the platform's list; what members say of themselves goes first.
    drained : set of str
        Entry VMs that must not be named.
    now : float
        Monotonic seconds.
    """
    entries: dict[str, EntryVm] = {}
    for listed in membership.listed_by_name.values():
        entry = _of_listed(listed, drained)
        if entry is not None:
            entries[entry.name] = entry
    for member in membership.members_by_name.values():
        if member.caller_endpoint is not None:
            is_silent = membership.is_silent(member, now)
            entries[member.name] = EntryVm(
                name=member.name,
                failure_domain=member.failure_domain
                or membership.options.failure_domain,
                endpoint=member.caller_endpoint,
                usable=not is_silent and _is_usable(member, drained),
            )
    return entries


def _is_usable(member: Member, drained: AbstractSet[str]) -> bool:
    is_ready = member.readiness is Readiness.READY and not member.listed_leaving
    return is_ready and member.name not in drained


def _of_listed(listed: ListedVm, drained: AbstractSet[str]) -> EntryVm | None:
    if listed.kind is not VmKind.ENTRY or listed.caller_endpoint is None:
        return None
    return EntryVm(
        name=listed.name,
        failure_domain=listed.failure_domain,
        endpoint=listed.caller_endpoint,
        usable=not listed.leaving and listed.name not in drained,
    )
