"""Detection of failed entry VMs by a few watchers of each, in a fleet of any size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.membership.member import Member
from plankspindle_daemon.peer_messages.suspicion import Suspect
from plankspindle_daemon.peer_messages.suspicion import Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable


WATCHER_HEARTBEAT_S = 1.0
"""Period of heartbeats to watchers, in seconds.

With up to 25 members all of them get heartbeats more often than that, and need no
watchers.
"""
WATCHERS_PER_VM = 5
"""Watchers of each entry VM, in as many failure domains, none of them its own.

Of five, two remain when a whole region of three failure domains is lost.
"""
SUSPECT_AFTER_S = 3.0
"""Time without heartbeats after which a watcher suspects a VM, in seconds.

This is three missing heartbeats. Lookups may name a failed VM for some seconds, and
callers cache answers for 5 s; at 5 percent packet loss one in 8,000 windows of three
heartbeats is lost by chance.
"""
SUSPICION_SENDS = 3
"""Times that a suspicion is sent, a second apart, since datagrams are lost."""
MAX_SUSPECTS_PER_MESSAGE = 16
"""Members that one message names, so that it stays below 1,000 bytes."""


@define(kw_only=True)
class FailureDetector:
    """Choose the watchers of this VM, and watch the VMs that chose this one.

    Parameters
    ----------
    vm, failure_domain : str
        Name and failure domain of this VM.
    members_by_name : dict of str to Member
        The other members, maintained by the membership.

    Notes
    -----
    With heartbeats from all to all, whose period is stretched to a byte budget, a
    failure is detected after four periods: 31 s at 195 entry VMs, 720 s at 4,500. Here
    each VM sends a heartbeat a second to five others, which notify all members if it
    becomes silent: 3 s at any size, for 1 kB/s more. As in SWIM (A. Das, I. Gupta and
    A. Motivala, SWIM: Scalable Weakly-consistent Infection-style Process Group
    Membership Protocol), a VM that is suspected wrongly receives the suspicion and
    refutes it; unlike there, a watcher does not probe but waits, and notifies all
    members itself.
    """

    vm: str
    failure_domain: str
    members_by_name: dict[str, Member]
    _watchers: tuple[str, ...] = ()
    _watched: set[str] = Factory(set)
    _broadcasts_by_name: dict[str, _SuspicionBroadcast] = Factory(dict)
    _next_heartbeat: float = 0.0

    def watchers(self) -> tuple[str, ...]:
        """Return the names of the members that watch this VM."""
        return self._watchers

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether the period of heartbeats to watchers has passed."""
        return now >= self._next_heartbeat

    def choose_watchers(self, alive: Iterable[Member], now: float) -> tuple[str, ...]:
        """Return the names of the members that must get a heartbeat now.

        Parameters
        ----------
        alive : iterable of Member
            Members that are not silent.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of str
            The watchers, and those that have just been replaced.

        Notes
        -----
        A watcher is kept as long as it is alive, whoever joins. One that is replaced
        gets a last heartbeat that says so; if that is lost, its suspicion is refuted.
        """
        self._next_heartbeat = now + WATCHER_HEARTBEAT_S
        alive_by_name = {each.name: each for each in alive}
        kept = [name for name in self._watchers if name in alive_by_name]
        before, self._watchers = self._watchers, tuple(kept)
        if len(kept) < WATCHERS_PER_VM:
            self._watchers = tuple(self._fill_up(kept, alive_by_name))
        return tuple(dict.fromkeys((*self._watchers, *before)))

    def _fill_up(self, kept: list[str], alive_by_name: dict[str, Member]) -> list[str]:
        ordered = sorted(
            (name for name in alive_by_name if name not in kept),
            key=lambda name: stable_hash(f"{self.vm}|{name}"),
        )
        chosen = list(kept)
        domains = {alive_by_name[name].failure_domain for name in kept}
        domains.add(self.failure_domain)
        for name in ordered:
            domain = alive_by_name[name].failure_domain
            if len(chosen) < WATCHERS_PER_VM and domain not in domains:
                chosen.append(name)
                domains.add(domain)
        others = (name for name in ordered if name not in chosen)
        return [*chosen, *others][:WATCHERS_PER_VM]

    def record_heartbeat(self, member: Member, *, is_watched: bool) -> None:
        """Record a new heartbeat, which refutes any suspicion."""
        member.suspected_by.clear()
        self._broadcasts_by_name.pop(member.name, None)
        if is_watched:
            self._watched.add(member.name)
        else:
            self._watched.discard(member.name)

    def remove(self, name: str) -> None:
        """Stop watching a member that has left."""
        self._watched.discard(name)
        self._broadcasts_by_name.pop(name, None)

    def due_suspicions(self, now: float) -> list[Suspicion]:
        """Return the suspicions that must be sent to all members now."""
        suspects = [
            Suspect(
                name=member.name,
                incarnation=member.incarnation,
                sequence=member.sequence,
            )
            for member in self._silent(now)
            if self._is_broadcast_due(member.name, now)
        ]
        for suspect in suspects:
            self.members_by_name[suspect.name].suspected_by.add(self.vm)
        return [
            Suspicion(
                sender=self.vm,
                suspects=tuple(suspects[at : at + MAX_SUSPECTS_PER_MESSAGE]),
            )
            for at in range(0, len(suspects), MAX_SUSPECTS_PER_MESSAGE)
        ]

    def _silent(self, now: float) -> list[Member]:
        self._watched &= self.members_by_name.keys()
        watched = (self.members_by_name[name] for name in sorted(self._watched))
        return [each for each in watched if _silence_s(each, now) > SUSPECT_AFTER_S]

    def _is_broadcast_due(self, name: str, now: float) -> bool:
        broadcast = self._broadcasts_by_name.setdefault(name, _SuspicionBroadcast())
        if broadcast.sends >= SUSPICION_SENDS or now < broadcast.next_at:
            return False
        broadcast.sends += 1
        broadcast.next_at = now + WATCHER_HEARTBEAT_S
        return True

    def apply_suspicion(
        self, suspicion: Suspicion, own_incarnation: int, now: float
    ) -> bool:
        """Apply the suspicion of a watcher.

        Parameters
        ----------
        suspicion : Suspicion
            Members from which the watcher gets no heartbeats.
        own_incarnation : int
            Incarnation of this process.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether this VM is suspected itself, and must refute it.
        """
        is_own = False
        for suspect in suspicion.suspects:
            if suspect.name == self.vm:
                is_own |= suspect.incarnation == own_incarnation
                continue
            member = self.members_by_name.get(suspect.name)
            if member is not None and _is_current(member, suspect, now):
                member.suspected_by.add(suspicion.sender)
        return is_own


@define(kw_only=True)
class _SuspicionBroadcast:
    """How often a suspicion was sent to all members, and when it is sent again."""

    sends: int = 0
    next_at: float = 0.0


def _silence_s(member: Member, now: float) -> float:
    return 0.0 if member.last_heartbeat_at is None else now - member.last_heartbeat_at


def _is_current(member: Member, suspect: Suspect, now: float) -> bool:
    """Return whether a suspicion is of the latest heartbeat, or that heartbeat is old.

    A member may have sent this VM one heartbeat more than its watcher just before it
    failed.
    """
    if member.incarnation != suspect.incarnation:
        return False
    is_newest = suspect.sequence >= member.sequence
    return is_newest or _silence_s(member, now) > SUSPECT_AFTER_S - WATCHER_HEARTBEAT_S
