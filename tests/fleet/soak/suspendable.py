"""The daemon on a machine that may be suspended.

The steady clock stands still while a machine is suspended; ``CLOCK_BOOTTIME`` goes on.
A process that is only stopped sees both go on, so the time for which it was stopped is
taken off its steady clock here.
"""

from __future__ import annotations

import mmap
import os
import runpy
import struct
import time

SUSPENDED = "PLANKSPINDLE_SUSPENDED"
"""Names the file that holds the seconds for which the machine was suspended so far."""
SECONDS = struct.Struct("d")
DAEMON = "plankspindle_platform"


def exclude_suspended_time() -> None:
    """Take the time for which the machine was suspended off the steady clock."""
    with open(os.environ[SUSPENDED], "r+b") as file:
        suspended = mmap.mmap(file.fileno(), SECONDS.size)
    steady = time.monotonic

    def monotonic() -> float:
        (seconds,) = SECONDS.unpack(suspended[: SECONDS.size])
        return steady() - float(seconds)

    time.monotonic = monotonic


if __name__ == "__main__":
    exclude_suspended_time()
    runpy.run_module(DAEMON, run_name="__main__", alter_sys=True)
