"""Selects failed entry VMs for removal from the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from plankspindle_daemon.membership.membership import Membership

DEAD_AFTER_S = 30.0
"""Time without heartbeats after which a listed entry VM is removed, in seconds.

A live one that was partitioned for so long adds itself again when it reads the list. In
a large fleet heartbeat rounds are 20 s and more apart, and one may be lost, so the
suspicions of its watchers or four missed rounds are required, too.
"""
REMOVAL_INTERVAL_S = 10.0
"""Pause between two removals, in seconds: at most 0.2 calls a second of the fleet."""


@define(kw_only=True)
class DeadVmSelector:
    """Select one failed entry VM at a time.

    Notes
    -----
    There is no leader election: the live VM with the first name performs removals. It
    does no harm if two VMs do so, since a removal is conditional on the row version
    that was read.
    """

    _next_at: float = 0.0

    def select(self, membership: Membership, now: float) -> str | None:
        """Return the name of an entry VM to be removed, or None.

        Parameters
        ----------
        membership : Membership
            The members; those in the list do not expire on their own.
        now : float
            Monotonic seconds.
        """
        if now < self._next_at:
            return None
        self._next_at = now + REMOVAL_INTERVAL_S
        others = membership.members_by_name
        live = [
            name
            for name, member in others.items()
            if member.last_heartbeat_at is not None
            and not membership.is_silent(member, now)
        ]
        own = membership.options.vm
        if not live or own != min([own, *live]):
            return None
        dead = [
            name
            for name, member in others.items()
            if name in membership.listed_by_name
            and membership.is_silent(member, now)
            and now - (member.last_heartbeat_at or member.known_since) > DEAD_AFTER_S
        ]
        return min(dead, default=None)
