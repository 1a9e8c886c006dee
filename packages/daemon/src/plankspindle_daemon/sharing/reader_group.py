"""The entry VMs that read the platform on behalf of one another, ordered by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.membership.membership import Membership

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint

MIN_GROUP_SIZE = 6
"""Fewest entry VMs of a failure domain that share reads.

A reader polls about five times as often as a VM that reads only for itself, so that the
other VMs notice in time when it becomes unresponsive.
"""
MAX_GROUP_SIZE = 32
"""Most entry VMs of a group.

The reader sends each of them two messages per second of about 100 bytes.
"""


@define(kw_only=True)
class ReaderGroup:
    """Group of at most ``MAX_GROUP_SIZE`` entry VMs of the same failure domain.

    Parameters
    ----------
    vm, failure_domain : str
        Name of this VM, and the failure domain that it is located in.
    membership : Membership
        Known entry VMs.

    Notes
    -----
    A dead member keeps its rank until it is removed from the list: whether a VM reads
    depends on the updates that it receives, not on which members are alive.
    """

    vm: str
    failure_domain: str
    membership: Membership
    _member_names: tuple[str, ...] = ()
    _names: tuple[str, ...] = ()

    def names(self) -> tuple[str, ...]:
        """Return all names in order, including this VM."""
        names = self.membership.member_names()
        if names is not self._member_names:
            self._member_names = names
            self._names = self._own_group(names)
        return self._names

    def _own_group(self, names: tuple[str, ...]) -> tuple[str, ...]:
        members = self.membership.members_by_name
        local = [
            name
            for name in names
            if name == self.vm or members[name].failure_domain == self.failure_domain
        ]
        groups = -(-len(local) // MAX_GROUP_SIZE)
        size = -(-len(local) // groups)
        first = local.index(self.vm) // size * size
        return tuple(local[first : first + size])

    def is_large_enough(self) -> bool:
        """Return whether the group is large enough to share reads."""
        return len(self.names()) >= MIN_GROUP_SIZE

    def rank(self) -> int:
        """Return the number of members that precede this VM."""
        return self.names().index(self.vm)

    def is_before(self, name: str) -> bool:
        """Return whether a VM belongs to the group and precedes this one."""
        return name in self.names() and name < self.vm

    def peer_endpoints(self) -> list[Endpoint]:
        """Return the peer endpoints of the other members."""
        members = self.membership.members_by_name
        return [members[name].peer_endpoint for name in self.names() if name != self.vm]
