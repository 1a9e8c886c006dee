"""Partition a daemon's process from all upstreams, at its connections.

A process on loopback cannot be cut off from some addresses by the network. Its outgoing
connections are wrapped instead, and follow a mode that another process sets in a file.
Connections to other hosts, such as other entry VMs and the platform, are not affected.
"""

from __future__ import annotations

import mmap
import os
from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from curio import TaskTimeout
from curio import sleep
from result import Err

from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.errors import ConnectFailed
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import within

if TYPE_CHECKING:
    from pathlib import Path

    from result import Result

MODE_FILE = "PLANKSPINDLE_PARTITION_FILE"
"""Variable with the path of the file whose first byte is the mode."""
HOSTS = "PLANKSPINDLE_PARTITION_HOSTS"
"""Variable with the IP addresses of the upstreams, separated by commas."""
POLL_S = 0.05
"""Period in which waiting connections look at the mode, in seconds."""
SILENCE_S = 2.0
"""Time after which TCP keep-alive ends a connection that hangs, in seconds."""


class PartitionMode(IntEnum):
    """What happens to connections to upstreams."""

    NONE = 0
    HANG = 1
    """Nothing passes any more, and new connections hang."""
    RESET = 2
    """Open connections are reset, as new ones are."""
    REFUSE_NEW = 3
    """Open connections live on, and new ones are refused."""


def write_mode(path: Path, mode: PartitionMode) -> None:
    """Set the mode of the process that reads a file.

    The file is written in place: a process that has mapped it must not find it empty.
    """
    path.touch()
    with path.open("r+b") as file:
        file.write(bytes([mode]))


@define(kw_only=True)
class UpstreamPartition:
    """The mode of this process, and the hosts that it concerns.

    Parameters
    ----------
    hosts : frozenset of str
        IP addresses of the upstreams.
    read_mode : callable
        Returns the present mode.
    """

    hosts: frozenset[str]
    read_mode: Callable[[], PartitionMode]

    def install(self) -> None:
        """Wrap all connections that this process opens from now on."""
        start = ClientConnection.start
        partition = self

        async def start_partitioned(
            connection: ClientConnection, *, timeout_s: float
        ) -> Result[None, ConnectFailed]:
            if connection.endpoint.host not in partition.hosts:
                return await start(connection, timeout_s=timeout_s)
            match partition.read_mode():
                case PartitionMode.HANG:
                    await sleep(timeout_s)
                    return Err(ConnectFailed("partitioned", is_timeout=True))
                case PartitionMode.RESET:
                    return Err(ConnectFailed("ConnectionResetError: partitioned"))
                case PartitionMode.REFUSE_NEW:
                    return Err(ConnectFailed("ConnectionRefusedError", is_refused=True))
            started = await start(connection, timeout_s=timeout_s)
            if started.is_ok():
                connection._socket = _PartitionedSocket(
                    plain=connection._socket, partition=partition
                )
            return started

        ClientConnection.start = start_partitioned  # type: ignore[method-assign, assignment]


@define(kw_only=True)
class _PartitionedSocket:
    """A connected socket of curio to an upstream, subject to the partition."""

    plain: Any
    partition: UpstreamPartition
    _silent_since: float | None = field(default=None)
    _lost_bytes: bool = False

    @property
    def _socket(self) -> Any:
        """The plain socket, which is asked whether the connection is idle."""
        if self.partition.read_mode() is PartitionMode.RESET:
            return _ResetSocket()
        return self.plain._socket

    async def recv(self, size: int) -> bytes:
        while True:
            await self._pass()
            try:
                received: bytes = await within(POLL_S, self.plain.recv, size)
            except TaskTimeout:
                continue
            await self._pass()
            return received

    async def sendall(self, data: bytes) -> None:
        match self.partition.read_mode():
            case PartitionMode.RESET:
                raise ConnectionResetError("partitioned")
            case PartitionMode.HANG:
                self._lost_bytes = True
            case _:
                await self.plain.sendall(data)

    def setsockopt(self, *option: Any) -> None:
        self.plain.setsockopt(*option)

    async def close(self) -> None:
        await self.plain.close()

    async def _pass(self) -> None:
        """Wait until bytes pass, for as long as keep-alive would."""
        while True:
            mode = self.partition.read_mode()
            if mode is PartitionMode.RESET:
                raise ConnectionResetError("partitioned")
            if mode is not PartitionMode.HANG and not self._lost_bytes:
                self._silent_since = None
                return
            now = monotonic()
            self._silent_since = self._silent_since or now
            if now - self._silent_since > SILENCE_S:
                raise TimeoutError("partitioned")
            await sleep(POLL_S)


class _ResetSocket:
    """Stands for a socket whose connection was reset."""

    def recv(self, *_: int) -> bytes:
        raise ConnectionResetError("partitioned")


def install_from_environment() -> None:
    """Partition this process as the variables say; do nothing without them."""
    path = os.environ.get(MODE_FILE)
    if path is None:
        return
    with open(path, "r+b") as file:
        mode = mmap.mmap(file.fileno(), 1)
    UpstreamPartition(
        hosts=frozenset(os.environ[HOSTS].split(",")),
        read_mode=lambda: PartitionMode(mode[0]),
    ).install()
