"""Chooses entry VMs that died to be taken out of the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from plankspindle_daemon.membership.membership import Membership

DEAD_AFTER_S = 30.0
"""Silence after which a listed entry VM is taken for dead, in seconds.

A live one that was cut off so long enters itself again when it reads the list. In a
large fleet rounds of heartbeats come each 20 s and more, and one may be lost, so that
its watchers' word or four rounds are waited for, too.
"""
REMOVAL_INTERVAL_S = 10.0
"""Pause between two removals, in seconds: at most 0.2 calls a second of the fleet."""


@define(kw_only=True)
class DeadVmSelector:
    """Choose one dead entry VM at a time.

    Notes
    -----
    Nobody is elected: the first by name of those that are heard takes the turn. Two
    that both think so do no harm, since a removal demands the row as it was read.
    """

    _next_at: float = 0.0

    def select(self, membership: Membership, now: float) -> str | None:
        """Give the name of an entry VM to be removed, or None.

        Parameters
        ----------
        membership : Membership
            The members; those in the list are never forgotten by themselves.
        now : float
            Monotonic seconds.
        """
        if now < self._next_at:
            return None
        self._next_at = now + REMOVAL_INTERVAL_S
        others = membership.members_by_name
        heard = [
            name
            for name, member in others.items()
            if member.last_heartbeat_at is not None
            and not membership.is_silent(member, now)
        ]
        own = membership.options.vm
        if not heard or own != min([own, *heard]):
            return None
        dead = [
            name
            for name, member in others.items()
            if name in membership.listed_by_name
            and membership.is_silent(member, now)
            and now - (member.last_heartbeat_at or member.known_since) > DEAD_AFTER_S
        ]
        return min(dead, default=None)
