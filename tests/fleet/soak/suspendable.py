"""Run the daemon as on a machine that may be suspended or partitioned.

The monotonic clock stops while a machine is suspended; ``CLOCK_BOOTTIME`` does not. For
a process that is only stopped both go on, so the time for which it was stopped is
subtracted from its monotonic clock here.
"""

from __future__ import annotations

import mmap
import os
import runpy
import struct
import time

SUSPENDED = "PLANKSPINDLE_SUSPENDED"
"""Variable with the path of the file that has the total suspended time in seconds."""
SECONDS = struct.Struct("d")
DAEMON = "plankspindle_platform"


def exclude_suspended_time() -> None:
    """Subtract the suspended time from the monotonic clock of this process."""
    with open(os.environ[SUSPENDED], "r+b") as file:
        suspended = mmap.mmap(file.fileno(), SECONDS.size)
    steady = time.monotonic

    def monotonic() -> float:
        (seconds,) = SECONDS.unpack(suspended[: SECONDS.size])
        return steady() - float(seconds)

    time.monotonic = monotonic


if __name__ == "__main__":
    exclude_suspended_time()
    from plankspindle_testkit.upstream_partition import install_from_environment

    install_from_environment()
    runpy.run_module(DAEMON, run_name="__main__", alter_sys=True)
