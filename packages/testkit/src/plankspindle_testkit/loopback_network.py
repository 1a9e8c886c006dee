"""Separate loopback networks for simultaneous runs of tests and soaks.

Notes
-----
Each process that needs a host claims one network ``127.N.0.0/16`` and keeps it until it
exits, so that runs on one machine never use the same address. Linux routes all of
127.0.0.0/8 to loopback; no setup is needed.
"""

from __future__ import annotations

import errno
import socket
from functools import cache

from attrs import define
from attrs import field

OCTETS = range(1, 255)
"""Networks that can be claimed; 127.0 is used by the demo, benchmarks and others."""
GUARD_PORT = 19_999
"""Port bound for a claim; from 32768 on the kernel uses ports for connections."""
_GUARD_HOST = (255, 254)


@define(kw_only=True)
class LoopbackNetwork:
    """A network claimed by one process.

    Parameters
    ----------
    octet : int
        Second octet of its addresses.
    guard : socket.socket
        Bound socket that is the claim. The kernel closes it when the process exits for
        any reason.
    """

    octet: int
    guard: socket.socket = field(repr=False)

    @classmethod
    def claim(cls, *, guard_port: int = GUARD_PORT) -> LoopbackNetwork:
        """Claim the first free network.

        Parameters
        ----------
        guard_port : int
            Port that is bound for the claim; claims on different ports are independent.

        Raises
        ------
        RuntimeError
            If all networks are claimed.
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
        """Return the address with the given last two octets."""
        return _host(self.octet, third, last)

    def close(self) -> None:
        """Release the claim."""
        self.guard.close()


@cache
def process_network() -> LoopbackNetwork:
    """Return the network of this process, claimed at the first call."""
    return LoopbackNetwork.claim()


def loopback_host(third: int, last: int) -> str:
    """Return the address in this process's network with the given last two octets."""
    return process_network().host(third, last)


def _host(octet: int, third: int, last: int) -> str:
    return f"127.{octet}.{third}.{last}"
