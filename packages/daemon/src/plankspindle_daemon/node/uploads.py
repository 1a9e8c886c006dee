"""Uploads in progress, which give way to requests that wait for an upstream."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen


@frozen(kw_only=True, eq=False)
class Upload:
    """A request whose body is passed on to its upstream as it arrives.

    Parameters
    ----------
    service : str
        Service whose slot it uses.
    max_stall_s : float
        Time without progress after which it gives way, in seconds.
    stalled_s : callable
        Returns the seconds since its caller last sent something; zero unless more is
        awaited from there.
    interrupt : callable
        Interrupts it, which releases its slot. Its upstream has not run it.
    """

    service: str
    max_stall_s: float
    stalled_s: Callable[[], float]
    interrupt: Callable[[], Awaitable[None]]

    @property
    def gives_way(self) -> bool:
        """Whether its caller has stopped for too long to keep others waiting."""
        return self.stalled_s() > self.max_stall_s


@define(kw_only=True)
class Uploads:
    """All uploads in progress at this VM.

    Notes
    -----
    An upload holds a slot of its upstream for as long as its caller takes. A stalled
    one is interrupted only where another request needs a slot.
    """

    _uploads: dict[Upload, None] = Factory(dict)

    @contextmanager
    def include(self, upload: Upload) -> Iterator[None]:
        """Count an upload as being in progress within the context."""
        self._uploads[upload] = None
        try:
            yield
        finally:
            del self._uploads[upload]

    async def give_way(self, service: str) -> None:
        """Interrupt the upload of a service that is stalled for longest, if any is."""
        stalled = [
            each for each in self._uploads if each.service == service and each.gives_way
        ]
        if stalled:
            worst = max(stalled, key=lambda each: each.stalled_s())
            await worst.interrupt()
