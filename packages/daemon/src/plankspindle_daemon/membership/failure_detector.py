"""Detection of dead entry VMs by a few watchers of each, in a fleet of any size."""

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

All members are greeted more often than that up to 25 of them, and need no watchers.
"""
WATCHERS_PER_VM = 5
"""Watchers of each entry VM, in as many failure domains, none of them its own.

Of five, two remain when a whole region of three failure domains is lost.
"""
SUSPECT_AFTER_S = 3.0
"""Silence after which a watcher suspects, in seconds: three heartbeats are missing.

Look-ups may name a dead VM for some seconds, and callers' answers live for 5 s; at 5
percent loss one in 8,000 windows of three is lost by chance.
"""
SUSPICION_SENDS = 3
"""Times that a suspicion is told, a second apart, since datagrams are lost."""
MAX_SUSPECTS_PER_MESSAGE = 16
"""Members that one message names, below 1,000 bytes."""


@define(kw_only=True)
class FailureDetector:
    """Choose the watchers of this VM, and watch those that chose it.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    members_by_name : dict of str to Member
        The other members, kept by the membership.

    Notes
    -----
    With heartbeats from all to all, whose period is stretched to a byte budget, a death
    is noticed after four periods: 31 s at 195 entry VMs, 720 s at 4,500. Here each VM
    sends a heartbeat a second to five others, which tell all of its silence: 3 s at any
    size, for 1 kB/s more. As in SWIM (A. Das, I. Gupta and A. Motivala, SWIM: Scalable
    Weakly-consistent Infection-style Process Group Membership Protocol), whoever is
    suspected wrongly hears of it and refutes; unlike there, a watcher does not probe
    but waits, and tells all members itself.
    """

    vm: str
    failure_domain: str
    members_by_name: dict[str, Member]
    _watchers: tuple[str, ...] = ()
    _watched: set[str] = Factory(set)
    _broadcasts_by_name: dict[str, _SuspicionBroadcast] = Factory(dict)
    _next_heartbeat: float = 0.0

    def watchers(self) -> tuple[str, ...]:
        """Name the members that watch this VM."""
        return self._watchers

    def is_heartbeat_due(self, now: float) -> bool:
        """Tell whether a second has passed since the watchers were greeted."""
        return now >= self._next_heartbeat

    def choose_watchers(self, alive: Iterable[Member], now: float) -> tuple[str, ...]:
        """Give the members to be greeted now, those that watch no more among them.

        Parameters
        ----------
        alive : iterable of Member
            Members that are heard.
        now : float
            Monotonic seconds.

        Notes
        -----
        A watcher stays one while it lives, whoever joins. One that is replaced hears
        a last heartbeat that says so, and otherwise a refutation.
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
        """Take a new heartbeat, which refutes what was suspected."""
        member.suspected_by.clear()
        self._broadcasts_by_name.pop(member.name, None)
        if is_watched:
            self._watched.add(member.name)
        else:
            self._watched.discard(member.name)

    def remove(self, name: str) -> None:
        """Watch a member no more: it has left."""
        self._watched.discard(name)
        self._broadcasts_by_name.pop(name, None)

    def due_suspicions(self, now: float) -> list[Suspicion]:
        """Give what is to be told to all members of those that are silent."""
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
        told = self._broadcasts_by_name.setdefault(name, _SuspicionBroadcast())
        if told.sends >= SUSPICION_SENDS or now < told.next_at:
            return False
        told.sends += 1
        told.next_at = now + WATCHER_HEARTBEAT_S
        return True

    def apply_suspicion(
        self, suspicion: Suspicion, own_incarnation: int, now: float
    ) -> bool:
        """Take the word of a watcher.

        Parameters
        ----------
        suspicion : Suspicion
            Members that it does not hear.
        own_incarnation : int
            Number of this process.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether this VM is suspected itself, and is to refute it.
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
    """How often all members were told of one, and when they are told again."""

    sends: int = 0
    next_at: float = 0.0


def _silence_s(member: Member, now: float) -> float:
    return 0.0 if member.last_heartbeat_at is None else now - member.last_heartbeat_at


def _is_current(member: Member, suspect: Suspect, now: float) -> bool:
    """Tell whether a suspicion is of what was heard last, or heard long ago.

    A member may have greeted this VM once more than its watcher just before it died.
    """
    if member.incarnation != suspect.incarnation:
        return False
    is_newest = suspect.sequence >= member.sequence
    return is_newest or _silence_s(member, now) > SUSPECT_AFTER_S - WATCHER_HEARTBEAT_S
