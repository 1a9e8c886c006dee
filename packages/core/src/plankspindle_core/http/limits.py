"""Limits of an HTTP listener."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class HttpLimits:
    """Connection, size and time limits of one listener.

    Parameters
    ----------
    max_connections : int
        Open connections; further ones are closed at once.
    max_header_bytes : int
        Longest request head, in bytes.
    header_timeout_s : float
        Longest time for a request head to arrive, in seconds.
    idle_timeout_s : float
        Longest time for which an idle connection is kept open, in seconds.
    body_timeout_s : float
        Longest time without progress while a request body is received or an answer is
        sent, in seconds.
    """

    max_connections: int = 2_000
    max_header_bytes: int = 32_768
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 30.0
