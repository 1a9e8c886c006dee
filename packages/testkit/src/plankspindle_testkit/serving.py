"""Run stand-ins as separate processes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from curio import sleep

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_SERVING_S = 3600.0


class Startable(Protocol):
    """A server with an explicit start and close."""

    async def start(self) -> None:
        """Start."""

    async def close(self) -> None:
        """Close."""


async def serve_until_killed(servers: Sequence[Startable]) -> None:
    """Start servers and serve until the process is killed, at most an hour."""
    for server in servers:
        await server.start()
    try:
        await sleep(MAX_SERVING_S)
    finally:
        for server in servers:
            await server.close()
