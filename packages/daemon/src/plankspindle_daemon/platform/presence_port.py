"""The list of VMs, as one of them writes to it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from plankspindle_daemon.platform.errors import PlatformUnavailable


class PresencePort(Protocol):
    """Enters this VM in the platform's list and takes it out.

    Attributes
    ----------
    is_present : bool
        Whether the list names this VM, as far as known.
    """

    is_present: bool

    async def announce(self) -> Result[None, PlatformUnavailable]:
        """Enter this VM."""

    async def withdraw(self) -> Result[None, PlatformUnavailable]:
        """Take this VM out; it is harmless to fail."""

    async def remove(self, name: str) -> Result[None, PlatformUnavailable]:
        """Take out another VM that died, unless its entry changes meanwhile."""
