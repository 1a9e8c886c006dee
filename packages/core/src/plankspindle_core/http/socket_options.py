"""Options of the sockets of HTTP connections."""

from __future__ import annotations

import select
import socket as stdlib_socket
import struct
from typing import Any

RECEIVE_BYTES = 65_536
"""Most bytes that are read from a connection at once."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Keep-alive probes end an idle connection after 3 s without an answer or reset."""
TCP_USER_TIMEOUT_MS = 2_500
"""Longest time that sent bytes may stay unacknowledged, in milliseconds.

Linux also ends a connection whose keep-alive probes have gone unanswered for this long,
whatever their number. It must be longer than the time to the last but one look, so that
a single lost probe ends no connection whose request is waiting for its answer.
"""
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def detect_unresponsive_peer(connection: Any) -> None:
    """Disable Nagle's algorithm, and detect an unresponsive peer by TCP timeouts."""
    connection.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1)
    for option, value in (
        (stdlib_socket.TCP_NODELAY, 1),
        (stdlib_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (stdlib_socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (stdlib_socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (stdlib_socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        connection.setsockopt(stdlib_socket.IPPROTO_TCP, option, value)


def reset_on_close(connection: Any) -> None:
    """Make the close of a connection a reset, which also drops what is unsent."""
    connection.setsockopt(
        stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, _RESET_ON_CLOSE
    )


def is_closed_by_peer(connection: Any) -> bool:
    """Return whether the other side is closed, also behind unread bytes."""
    poller = select.poll()
    poller.register(connection.fileno(), _DISCONNECT_EVENTS)
    return any(events & _DISCONNECT_EVENTS for _, events in poller.poll(0))
