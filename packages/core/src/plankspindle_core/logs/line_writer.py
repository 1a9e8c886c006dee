"""Lines to a file descriptor whose reader is never waited for."""

from __future__ import annotations

import os
import select
import time
from collections import deque

from plankspindle_core.steady_clock import monotonic

MAX_PENDING_BYTES = 262_144
"""Lines that wait for their reader; about three seconds of a busy entry VM's log."""
CHUNK_BYTES = 4_096
"""Bytes written at a time: a pipe that is ready takes this many without waiting."""
POLL_INTERVAL_S = 0.02


class LineWriter:
    """Hand lines to a file descriptor, and drop what its reader leaves standing.

    Parameters
    ----------
    descriptor : int
        Open file descriptor, such as that of standard output.
    max_pending_bytes : int
        Bytes that may wait; further lines are dropped.

    Attributes
    ----------
    dropped : int
        Lines that were dropped since the program began.

    Notes
    -----
    The descriptor stays in blocking mode, since others may share it. It is asked
    whether it is ready before each write of at most ``CHUNK_BYTES``, which a ready pipe
    takes whole.
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
        """Bytes that wait for the reader."""
        return self._pending_bytes

    def add(self, line: str) -> bool:
        """Queue a line; False if it was dropped.

        Parameters
        ----------
        line : str
            A line without its end.
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
        """Write what the reader takes at this moment."""
        while self._pending and self._is_ready():
            self._write(self._next_chunk())

    def drain(self, *, wait_s: float) -> None:
        """Write everything, waiting a bounded time for a slow reader.

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
        """Take whole lines, so that a collector never sees half of one; or a part."""
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
            # Nobody reads any more: a log that cannot be written stops no request.
            self._is_broken = True
            self._pending.clear()
            self._pending_bytes = 0
            return
        if written < len(chunk):
            self._pending.appendleft(chunk[written:])
            self._pending_bytes += len(chunk) - written
