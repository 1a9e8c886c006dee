"""Interface through which a VM registers itself in the platform's list of VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from plankspindle_daemon.platform.errors import PlatformUnavailable


class PresencePort(Protocol):
    """Adds this VM to the platform's list and removes entries from it."""

    @property
    def is_present(self) -> bool:
        """Whether the list contains this VM, as of the last write or read."""

    async def announce(self) -> Result[None, PlatformUnavailable]:
        """Add the entry of this VM to the list."""

    async def withdraw(self) -> Result[None, PlatformUnavailable]:
        """Remove the entry of this VM from the list; a failure is harmless."""

    async def remove(self, name: str) -> Result[None, PlatformUnavailable]:
        """Remove the entry of a VM that failed, unless the entry changes meanwhile."""
