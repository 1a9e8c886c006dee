"""The entry VMs that read the platform for one another, in their order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.membership.membership import Membership

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint

MIN_GROUP_SIZE = 6
"""Entry VMs of a domain from which on they share reads.

A reader asks about five times as often as a VM that reads for itself alone, so that the
others notice in time when it falls silent.
"""
MAX_GROUP_SIZE = 32
"""Entry VMs that one reader tells, two messages a second of some 100 bytes each."""


@define(kw_only=True)
class ReaderGroup:
    """Entry VMs of the own failure domain, at most ``MAX_GROUP_SIZE``, by name.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    membership : Membership
        The members.

    Notes
    -----
    Dead members keep their place until they are unlisted: who is heard decides, not who
    is counted.
    """

    vm: str
    failure_domain: str
    membership: Membership
    _view: tuple[str, ...] = ()
    _names: tuple[str, ...] = ()

    def names(self) -> tuple[str, ...]:
        """Give all names in order, this VM included."""
        view = self.membership.member_names()
        if view is not self._view:
            self._view = view
            self._names = self._own_group(view)
        return self._names

    def _own_group(self, view: tuple[str, ...]) -> tuple[str, ...]:
        members = self.membership.members_by_name
        near = [
            name
            for name in view
            if name == self.vm or members[name].failure_domain == self.failure_domain
        ]
        groups = -(-len(near) // MAX_GROUP_SIZE)
        size = -(-len(near) // groups)
        first = near.index(self.vm) // size * size
        return tuple(near[first : first + size])

    def is_large_enough(self) -> bool:
        """Tell whether the group is large enough to share reads."""
        return len(self.names()) >= MIN_GROUP_SIZE

    def rank(self) -> int:
        """Give the number of members that come before this VM."""
        return self.names().index(self.vm)

    def is_before(self, name: str) -> bool:
        """Tell whether a VM of the group comes before this one."""
        return name in self.names() and name < self.vm

    def peer_endpoints(self) -> list[Endpoint]:
        """Give where the other members are reached."""
        members = self.membership.members_by_name
        return [members[name].peer_endpoint for name in self.names() if name != self.vm]
