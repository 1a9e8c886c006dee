"""Tests that writing log lines never blocks."""

from __future__ import annotations

import contextlib
import os
import threading
from typing import TYPE_CHECKING

import pytest

from plankspindle_core.logs.line_writer import CHUNK_BYTES
from plankspindle_core.logs.line_writer import LineWriter

if TYPE_CHECKING:
    from collections.abc import Iterator

LINE = "x" * 200
MANY = 20_000


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def test_stalled_reader_causes_dropped_lines_and_bounded_memory(
    pipe: tuple[int, int],
) -> None:
    _, descriptor = pipe
    writer = LineWriter(descriptor=descriptor, max_pending_bytes=10_000)
    done = threading.Event()

    def write() -> None:
        for _ in range(MANY):
            writer.add(LINE)
            writer.flush()
        done.set()

    # If one write blocked on the reader, the thread would never finish.
    threading.Thread(target=write, daemon=True).start()
    assert done.wait(60.0)
    assert writer.pending_bytes <= 10_000
    assert writer.dropped > MANY / 2


def test_reader_gets_complete_lines_in_order(pipe: tuple[int, int]) -> None:
    reader, descriptor = pipe
    writer = LineWriter(descriptor=descriptor)
    lines = [f"{number} {LINE}" for number in range(1_000)]
    for line in lines:
        assert writer.add(line)
    read = b""
    while writer.pending_bytes:
        writer.flush()
        read += os.read(reader, 65_536)
    os.close(descriptor)
    while chunk := os.read(reader, 65_536):
        read += chunk
    assert read.decode().splitlines() == lines


def test_every_write_contains_complete_lines_except_of_too_long_ones(
    pipe: tuple[int, int],
) -> None:
    reader, descriptor = pipe
    writer = LineWriter(descriptor=descriptor)
    written: list[bytes] = []
    writer._write = written.append  # type: ignore[method-assign]
    lines = [LINE] * 50 + ["y" * 10_000] + [LINE] * 50
    for line in lines:
        writer.add(line)
    writer.flush()
    os.close(reader)
    assert all(len(each) <= CHUNK_BYTES for each in written)
    broken = [each for each in written if not each.endswith(b"\n")]
    assert len(broken) == 2
    assert b"".join(written).decode().splitlines() == lines
    assert writer.pending_bytes == 0


def test_closed_log_pipe_raises_no_error(pipe: tuple[int, int]) -> None:
    reader, descriptor = pipe
    os.close(reader)
    writer = LineWriter(descriptor=descriptor)
    writer.add("first")
    writer.flush()
    assert not writer.add("second")
    writer.drain(wait_s=0.0)
    assert (writer.dropped, writer.pending_bytes) == (1, 0)
