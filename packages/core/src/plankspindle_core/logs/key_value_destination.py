"""An eliot destination that writes each event as one line of key=value pairs."""

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
"""Rate limit of each event name; failed requests of a busy VM need about 50 lines/s."""
BURST_LINES = 1_000.0
"""Burst of lines with the same event name."""
DROP_REPORT_PERIOD_S = 1.0
"""Period of the log line that reports how many lines were dropped, in seconds."""
CLOSE_TIMEOUT_S = 0.5
"""Longest wait for the reader of the log when the process exits, in seconds."""
_LOOP_LOGGER = "curio"
_OMITTED_KEYS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type", "at"}
)


class LineSink(Protocol):
    """Accepts log lines without blocking.

    Attributes
    ----------
    dropped : int
        Number of dropped lines.
    """

    dropped: int

    def add(self, line: str) -> bool:
        """Add a line; return False if it was dropped."""

    def flush(self) -> None:
        """Write as much as possible without blocking."""

    def drain(self, *, wait_s: float) -> None:
        """Write all lines, waiting for at most ``wait_s`` seconds."""


class StreamSink:
    """Writes lines to a text stream at once, for tests.

    Parameters
    ----------
    stream : TextIO
        Stream that the lines are written to.
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
        Sink that the lines are written to.
    vm : str, optional
        Name added to every line, so that logs of several VMs can be read together.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    dropped_by_event : Counter of str
        Number of dropped lines by event name.

    Notes
    -----
    Each event name has a token bucket of its own, so that a flood of one event does not
    suppress the others.
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
        """Write one eliot message."""
        event = message.get("message_type") or message.get("action_type", "message")
        if not self._bucket_of(event).take(self._clock()):
            self.dropped_by_event[event] += 1
            return
        self._add(event, message)

    def flush(self, now: float) -> None:
        """Flush the sink, and log once per second how many lines were dropped.

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
        """Write all pending lines, waiting ``CLOSE_TIMEOUT_S`` at most."""
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
    """Write every event to standard output, or to a stream, as key=value lines.

    Parameters
    ----------
    stream : TextIO, optional
        Stream that is written at once, instead of standard output.
    vm : str, optional
        Name added to every line.

    Returns
    -------
    KeyValueDestination
        The destination, to be passed to :func:`stop_logging`.
    """
    # curio warns of every operation that ends slightly after its timeout. These lines
    # have another format and bury the cause of a failure.
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
    """Remove a destination, and write its pending lines."""
    eliot.remove_destination(destination)
    destination.close()


def log_event(event: str, **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    **fields : object
        Fields of the event; ``at`` is the time of the event, seconds since the Unix
        epoch, if that is not the present.
    """
    eliot.log_message(message_type=event, **fields)
