"""An eliot destination that writes one line of key=value pairs an event."""

from __future__ import annotations

import logging
import sys
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import eliot

from plankspindle_core.logs.line_rendering import render_line
from plankspindle_core.logs.line_writer import LineWriter
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TextIO

LINES_PER_S = 100.0
"""Lines a second of one kind of event; a busy VM's failed requests need about 50."""
BURST_LINES = 1_000.0
"""Lines of one kind of event at once."""
DROP_REPORT_PERIOD_S = 1.0
"""Period of telling how many lines were dropped."""
CLOSE_TIMEOUT_S = 0.5
"""Longest wait for the reader of the log when the process ends."""
_LOOP_LOGGER = "curio"
_OMITTED_KEYS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type", "at"}
)


class LineSink(Protocol):
    """Takes lines without making anybody wait.

    Attributes
    ----------
    dropped : int
        Lines that it dropped.
    """

    dropped: int

    def add(self, line: str) -> bool:
        """Take a line; False if it was dropped."""

    def flush(self) -> None:
        """Hand on what can be handed on at this moment."""

    def drain(self, *, wait_s: float) -> None:
        """Hand on everything, waiting a bounded time."""


class StreamSink:
    """Writes lines to a text stream at once, as tests want it.

    Parameters
    ----------
    stream : TextIO
        Where the lines go.
    """

    def __init__(self, *, stream: TextIO) -> None:
        self.dropped = 0
        self._stream = stream

    def add(self, line: str) -> bool:
        """Write a line."""
        self._stream.write(line + "\n")
        return True

    def flush(self) -> None:
        """Flush the stream."""
        self._stream.flush()

    def drain(self, *, wait_s: float) -> None:
        """Flush the stream."""
        del wait_s
        self._stream.flush()


class KeyValueDestination:
    """Render eliot messages as ``time=... event=... key=value`` lines.

    Parameters
    ----------
    sink : LineSink
        Where the lines go.
    vm : str, optional
        Name that every line carries, so that logs of several VMs can be read together.
    clock : callable
        Gives monotonic seconds.

    Attributes
    ----------
    dropped_by_event : Counter of str
        Lines that were dropped, by event.

    Notes
    -----
    Each kind of event has a token bucket of its own, so that a flood of one kind does
    not hide the others.
    """

    def __init__(
        self,
        *,
        sink: LineSink,
        vm: str | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.dropped_by_event: Counter[str] = Counter()
        self._sink = sink
        self._clock = clock
        self._common = {} if vm is None else {"vm": vm}
        self._buckets_by_event: dict[str, TokenBucket] = {}
        self._reported_by_event: Counter[str] = Counter()
        self._next_report_at = 0.0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message."""
        event = message.get("message_type") or message.get("action_type", "message")
        if not self._bucket_of(event).take(self._clock()):
            self.dropped_by_event[event] += 1
            return
        self._add(event, message)

    def flush(self, now: float) -> None:
        """Hand lines on, and tell once a second how many were dropped.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if (
            now >= self._next_report_at
            and self.dropped_by_event != self._reported_by_event
        ):
            self._next_report_at = now + DROP_REPORT_PERIOD_S
            self._report_dropped()
        self._sink.flush()

    def close(self) -> None:
        """Hand everything on, waiting a little for a slow reader."""
        self._sink.drain(wait_s=CLOSE_TIMEOUT_S)

    def _bucket_of(self, event: str) -> TokenBucket:
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            bucket = TokenBucket(per_s=LINES_PER_S, burst=BURST_LINES)
            self._buckets_by_event[event] = bucket
        return bucket

    def _add(self, event: str, message: dict[str, Any]) -> None:
        wall = message.get("at") or message.get("timestamp", 0.0)
        given = {key: each for key, each in message.items() if key not in _OMITTED_KEYS}
        line = render_line(event=event, wall=wall, fields={**self._common, **given})
        if not self._sink.add(line):
            self.dropped_by_event[event] += 1

    def _report_dropped(self) -> None:
        newly = self.dropped_by_event - self._reported_by_event
        self._reported_by_event = Counter(self.dropped_by_event)
        kinds = ",".join(f"{event}:{count}" for event, count in newly.items())
        eliot.log_message(
            message_type="log_lines_dropped", lines=newly.total(), by_event=kinds
        )


def start_logging(
    *, stream: TextIO | None = None, vm: str | None = None
) -> KeyValueDestination:
    """Send every event to standard output, or to a stream, as key=value lines.

    Parameters
    ----------
    stream : TextIO, optional
        A stream to be written at once, in place of standard output.
    vm : str, optional
        Name that every line carries.

    Returns
    -------
    KeyValueDestination
        The destination, to be given to :func:`stop_logging`.
    """
    # It warns of each operation that ends a little after its timeout, in lines of its
    # own form that push the cause of a failure out of sight.
    logging.getLogger(_LOOP_LOGGER).setLevel(logging.ERROR)
    sink: LineSink
    if stream is None:
        sink = LineWriter(descriptor=sys.stdout.fileno())
    else:
        sink = StreamSink(stream=stream)
    destination = KeyValueDestination(sink=sink, vm=vm)
    eliot.add_destinations(destination)
    return destination


def stop_logging(destination: KeyValueDestination) -> None:
    """Stop sending events to a destination, and hand on what waits there."""
    eliot.remove_destination(destination)
    destination.close()


def log_event(event: str, **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    **fields : object
        Its key=value pairs; ``at`` is when it happened, seconds since the Unix epoch,
        if that was not now.
    """
    eliot.log_message(message_type=event, **fields)
