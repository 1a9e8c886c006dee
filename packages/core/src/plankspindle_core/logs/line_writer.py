"""Non-blocking writer of log lines to a file descriptor."""

from __future__ import annotations

import os
import select
import time
from collections import deque

from plankspindle_core.steady_clock import monotonic

MAX_PENDING_BYTES = 262_144
"""Longest buffer of unread lines, in bytes: about 3 s of a busy entry VM's log."""
CHUNK_BYTES = 4_096
"""Bytes per write: a pipe that polls as writable accepts this many without blocking."""
POLL_INTERVAL_S = 0.02


class LineWriter:
    """Write lines to a file descriptor, and drop lines if its reader is too slow.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, such as that of standard output.
    max_pending_bytes : int
        Size of the buffer in bytes; lines that do not fit are dropped.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the writer was created.

    Notes
    -----
    The descriptor stays in blocking mode, since other processes may share it. It is
    polled before each write of at most ``CHUNK_BYTES``, which a writable pipe accepts
    completely.
    """

    def __init__(
        self, *, descriptor: int, max_pending_bytes: int = MAX_PENDING_BYTES
    ) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._max_pending_bytes = max_pending_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._is_broken = False
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes."""
        return self._pending_bytes

    def add(self, line: str) -> bool:
        """Buffer a line; return False if it was dropped.

        Parameters
        ----------
        line : str
            A line without its newline.
        """
        encoded = line.encode() + b"\n"
        is_full = self._pending_bytes + len(encoded) > self._max_pending_bytes
        if is_full or self._is_broken:
            self.dropped += 1
            return False
        self._pending.append(encoded)
        self._pending_bytes += len(encoded)
        return True

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._pending and self._is_ready():
            self._write(self._next_chunk())

    def drain(self, *, wait_s: float) -> None:
        """Write all buffered lines, waiting for a slow reader for a limited time.

        Parameters
        ----------
        wait_s : float
            Longest time to wait, in seconds.
        """
        until = monotonic() + wait_s
        self.flush()
        while self._pending and monotonic() < until:
            time.sleep(POLL_INTERVAL_S)
            self.flush()

    def _is_ready(self) -> bool:
        events = self._poll.poll(0)
        return bool(events) and bool(events[0][1] & select.POLLOUT)

    def _next_chunk(self) -> bytes:
        """Take complete lines from the buffer, or a part of one that is too long.

        A log collector then never reads a partial line that fits in one chunk.
        """
        chunk = bytearray()
        while self._pending and len(chunk) + len(self._pending[0]) <= CHUNK_BYTES:
            chunk += self._pending.popleft()
        if not chunk:
            long = self._pending.popleft()
            chunk += long[:CHUNK_BYTES]
            self._pending.appendleft(long[CHUNK_BYTES:])
        self._pending_bytes -= len(chunk)
        return bytes(chunk)

    def _write(self, chunk: bytes) -> None:
        try:
            written = os.write(self._descriptor, chunk)
        except OSError:
            # The reader has closed the pipe. Requests must not fail because of the log.
            self._is_broken = True
            self._pending.clear()
            self._pending_bytes = 0
            return
        if written < len(chunk):
            self._pending.appendleft(chunk[written:])
            self._pending_bytes += len(chunk) - written
