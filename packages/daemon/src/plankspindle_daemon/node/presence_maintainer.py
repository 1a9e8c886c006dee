"""Keeps this VM in the platform's list, and removes entries of dead VMs from it."""

from __future__ import annotations

from attrs import field
from curio import Event
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.membership.dead_vm_selector import DeadVmSelector
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.platform.presence_port import PresencePort

CHECK_PERIOD_S = 0.5


@define(kw_only=True)
class PresenceMaintainer:
    """Announce this VM in the platform's list, and withdraw it once it leaves.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    presence : PresencePort, optional
        Writer of the list; None where the platform maintains the list itself.
    """

    node: Node
    presence: PresencePort | None
    _dead_vm_selector: DeadVmSelector = field(factory=DeadVmSelector)
    _announce_failed: bool = False

    async def run(self) -> None:
        """Maintain the entry until this VM leaves, withdraw it, then wait for ever."""
        if self.presence is None:
            await _sleep_forever()
            return
        while not self.node.leave.is_leaving:
            if not self.presence.is_present:
                await self._announce(self.presence)
            await self._remove_dead(self.presence)
            await sleep(CHECK_PERIOD_S * self.node.random.uniform(0.8, 1.2))
        withdrawn = await self.presence.withdraw()
        if withdrawn.is_ok():
            log_event("withdrawn")
        else:
            log_event("not_withdrawn", detail=withdrawn.unwrap_err().detail)
        await _sleep_forever()

    async def _announce(self, presence: PresencePort) -> None:
        announced = await presence.announce()
        if announced.is_ok():
            log_event("announced")
        elif not self._announce_failed:
            log_event("not_announced", detail=announced.unwrap_err().detail)
        self._announce_failed = announced.is_err()

    async def _remove_dead(self, presence: PresencePort) -> None:
        name = self._dead_vm_selector.select(self.node.membership, monotonic())
        if name is not None:
            removed = await presence.remove(name)
            failure = removed.err()
            detail = None if failure is None else failure.detail
            log_event("entry_removed", member=name, failure=detail)


async def _sleep_forever() -> None:
    await Event().wait()
