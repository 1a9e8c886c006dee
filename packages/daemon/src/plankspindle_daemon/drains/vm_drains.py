"""Entry VMs that drains exclude from lookup answers and from serving."""

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
    """Tracks the drained entry VMs, including this one.

    Parameters
    ----------
    vm, failure_domain : str
        Name and failure domain of this VM.
    schedule : DrainSchedule
        Drains of the version in force.
    membership : Membership
        Members, and the platform's list of entry VMs.

    Attributes
    ----------
    refuses_from : float or None
        When this VM begins to refuse requests, monotonic seconds; None if never.
    drained_vms : set of str
        Names of the entry VMs that lookup answers must leave out.
    """

    vm: str
    failure_domain: str
    schedule: DrainSchedule
    membership: Membership
    refuses_from: float | None = None
    drained_vms: set[str] = Factory(set)

    def refresh(self, *, now: float, wall: float) -> None:
        """Recompute the drained VMs from the drains in force.

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
        """Return whether this VM refuses requests now."""
        return self.refuses_from is not None and now >= self.refuses_from

    def _entry_vms(self) -> Iterator[tuple[str, str]]:
        members = set(self.membership.member_names())
        for listed in self.membership.listed_by_name.values():
            if listed.kind is VmKind.ENTRY and listed.name not in members:
                yield listed.name, listed.failure_domain
        for name in members:
            yield name, self.failure_domain
