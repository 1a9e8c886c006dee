"""An IP address and port."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import ip_address

from plankspindle_core.classes import frozen

MAX_PORT = 65535
PARSE_CACHE_SIZE = 4_096
"""Entries of the cache of parsed texts, 1 MB; a VM's heartbeats repeat the same two."""


@frozen
class Endpoint:
    """An IP address and a port; host names are never resolved.

    Parameters
    ----------
    host : str
        IPv4 or IPv6 address.
    port : int
        Port, 1 to 65535.
    """

    host: str
    port: int

    def __lt__(self, other: Endpoint) -> bool:
        """Order by host and port.

        Lists of all members are sorted every second; the method that attrs generates
        takes five times as long.
        """
        return (self.host, self.port) < (other.host, other.port)

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Parse a text such as ``127.0.0.1:80`` or ``[::1]:80``.

        Parameters
        ----------
        text : str
            The endpoint as written in settings and configurations.

        Returns
        -------
        Endpoint
            The parsed endpoint.

        Raises
        ------
        ValueError
            If the host is not an IP address or the port is out of range.
        """
        return _parse(text)

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@lru_cache(maxsize=PARSE_CACHE_SIZE)
def _parse(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(
            f"{text!r} is not an endpoint; write IP:PORT, such as 10.0.0.1:7000"
        ) from None
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} has no port between 1 and {MAX_PORT}")
    return Endpoint(host, int(port))
