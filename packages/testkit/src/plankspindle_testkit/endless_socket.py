"""Sockets whose peer always has more, for tests of fairness on the event loop."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from itertools import repeat
from socket import socket
from socket import socketpair
from typing import Any

from attrs import define
from attrs import field

from plankspindle_core.steady_clock import monotonic

MAX_HOLD_S = 5.0
"""Time after which a task that was never suspended is taken to hold the loop."""


class LoopHeldError(Exception):
    """A task has read for long without letting any other task run."""


@define(kw_only=True)
class EndlessSocket:
    """A socket that is ready at once, whatever is done with it.

    Parameters
    ----------
    first : bytes
        What is received first.
    repeated : bytes
        What is received from then on, without end.

    Attributes
    ----------
    sent : bytearray
        What was sent to the peer.
    operations : int
        Receives and accepts.
    """

    first: bytes = b""
    repeated: bytes = b""
    sent: bytearray = field(factory=bytearray)
    operations: int = 0
    _began_at: float = field(factory=monotonic)
    _pieces: Iterator[bytes] = field(init=False)
    _pair: list[socket] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        first = [self.first] if self.first else []
        self._pieces = chain(first, repeat(self.repeated))

    def _count(self) -> None:
        self.operations += 1
        if monotonic() - self._began_at > MAX_HOLD_S:
            raise LoopHeldError

    async def recv(self, size: int) -> bytes:
        """Return the next piece at once."""
        self._count()
        return next(self._pieces)

    async def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        """Return the next piece at once, as a datagram."""
        return await self.recv(size), ("127.0.0.1", 9)

    async def accept(self) -> tuple[EndlessSocket, tuple[str, int]]:
        """Return another connection at once, whose peer has closed it."""
        self._count()
        return EndlessSocket(), ("127.0.0.1", 9)

    async def sendall(self, data: bytes) -> None:
        """Take all data at once."""
        self.sent += data

    def setsockopt(self, *option: Any) -> None:
        """Accept any option."""

    def fileno(self) -> int:
        """Return the descriptor of a connection that its peer leaves open."""
        if not self._pair:
            self._pair = list(socketpair())
        return self._pair[0].fileno()

    async def close(self) -> None:
        """Close the descriptor."""
        while self._pair:
            self._pair.pop().close()
