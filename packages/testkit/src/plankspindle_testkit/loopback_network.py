"""A loopback network of its own for each run of the tests or of a soak.

Notes
-----
Each process that asks for a host claims one network ``127.N.0.0/16`` and keeps it until
it ends, so that runs on one machine never meet on an address. Linux routes all of
127.0.0.0/8 to loopback; nothing needs to be set up.
"""

from __future__ import annotations

import errno
import socket
from functools import cache

from attrs import define
from attrs import field

OCTETS = range(1, 255)
"""Networks that can be claimed; 127.0 is left to demo, benchmarks and others."""
GUARD_PORT = 19_999
"""Port of a claim, below 32768: from there on the kernel gives ports to connections."""
_GUARD_HOST = (255, 254)


@define(kw_only=True)
class LoopbackNetwork:
    """A network that belongs to one process.

    Parameters
    ----------
    octet : int
        Second octet of its addresses.
    guard : socket.socket
        Holds the claim. The kernel closes it when the process ends, however it ends.
    """

    octet: int
    guard: socket.socket = field(repr=False)

    @classmethod
    def claim(cls, *, guard_port: int = GUARD_PORT) -> LoopbackNetwork:
        """Claim the first network that is free.

        Parameters
        ----------
        guard_port : int
            Port that is bound for the claim; claims on different ports don't see one
            another.

        Raises
        ------
        RuntimeError
            If all are claimed.
        """
        for octet in OCTETS:
            guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                guard.bind((_host(octet, *_GUARD_HOST), guard_port))
            except OSError as error:
                guard.close()
                if error.errno != errno.EADDRINUSE:
                    raise
            else:
                return cls(octet=octet, guard=guard)
        raise RuntimeError(
            f"no loopback network is free: end one of {len(OCTETS)} runs, or what"
            f" listens at 0.0.0.0:{guard_port}"
        )

    def host(self, third: int, last: int) -> str:
        """Give one of its addresses by its last two octets."""
        return _host(self.octet, third, last)

    def close(self) -> None:
        """Give the network back."""
        self.guard.close()


@cache
def process_network() -> LoopbackNetwork:
    """Give the network of this process; it is claimed when it is first asked for."""
    return LoopbackNetwork.claim()


def loopback_host(third: int, last: int) -> str:
    """Give an address in the network of this process by its last two octets."""
    return process_network().host(third, last)


def _host(octet: int, third: int, last: int) -> str:
    return f"127.{octet}.{third}.{last}"
