"""Entry VMs that drains keep look-ups and requests away from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.drains.drain_schedule import DrainSchedule
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.platform.live_list import VmKind

if TYPE_CHECKING:
    from collections.abc import Iterator


@define(kw_only=True)
class VmDrains:
    """Drained entry VMs, this one among them.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    schedule : DrainSchedule
        Drains of the version in force.
    membership : Membership
        The entry VMs.

    Attributes
    ----------
    refuses_from : float or None
        When this VM refuses requests, monotonic seconds.
    drained_vms : set of str
        Entry VMs that look-ups must not name.
    """

    vm: str
    failure_domain: str
    schedule: DrainSchedule
    membership: Membership
    refuses_from: float | None = None
    drained_vms: set[str] = Factory(set)

    def refresh(self, *, now: float, wall: float) -> None:
        """Work out anew who is drained.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        configuration = self.schedule.configuration
        if configuration is None:
            return
        self.refuses_from = self.schedule.vm_refusal_at(
            self.vm, self.failure_domain, now=now, wall=wall
        )
        self.drained_vms = set()
        if configuration.drains_by_id:
            self.drained_vms = {
                name
                for name, domain in self._entry_vms()
                if self.schedule.vm_is_drained(name, domain, wall=wall)
            }

    def refuses(self, now: float) -> bool:
        """Tell whether this VM refuses requests by now."""
        return self.refuses_from is not None and now >= self.refuses_from

    def _entry_vms(self) -> Iterator[tuple[str, str]]:
        members = set(self.membership.member_names())
        for listed in self.membership.listed_by_name.values():
            if listed.kind is VmKind.ENTRY and listed.name not in members:
                yield listed.name, listed.failure_domain
        for name in members:
            yield name, self.failure_domain
