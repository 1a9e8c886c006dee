"""Statistics of a process from ``/proc``."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import signal

_HANDLED = ("SigIgn", "SigCgt")


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process in kB; zero if it is gone."""
    resident = _status_of(pid).get("VmRSS", "0")
    return int(resident.split()[0])


def descriptor_count(pid: int) -> int:
    """Return the number of open file descriptors; zero if the process is gone."""
    with contextlib.suppress(OSError):
        return len(os.listdir(f"/proc/{pid}/fd"))
    return 0


def cpu_wait_s(pid: int) -> float:
    """Return the time that a process was runnable without a CPU, in seconds."""
    with contextlib.suppress(OSError, IndexError):
        text = Path(f"/proc/{pid}/schedstat").read_text(encoding="utf-8")
        return int(text.split()[1]) / 1e9
    return 0.0


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or catches a signal, so that it survives it."""
    status = _status_of(pid)
    bit = 1 << (number - 1)
    return any(int(status.get(key, "0"), 16) & bit for key in _HANDLED)


def _status_of(pid: int) -> dict[str, str]:
    with contextlib.suppress(OSError):
        lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
        pairs = (line.partition(":") for line in lines)
        return {key: value.strip() for key, _, value in pairs}
    return {}
