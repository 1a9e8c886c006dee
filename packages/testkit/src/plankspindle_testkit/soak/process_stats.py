"""What the kernel tells of a process."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import signal

_HANDLED = ("SigIgn", "SigCgt")


def resident_kb(pid: int) -> int:
    """Read how much memory it has, in kilobytes; zero if it is gone."""
    found = _status_of(pid).get("VmRSS", "0")
    return int(found.split()[0])


def descriptor_count(pid: int) -> int:
    """Count its descriptors; zero if it is gone."""
    with contextlib.suppress(OSError):
        return len(os.listdir(f"/proc/{pid}/fd"))
    return 0


def cpu_wait_s(pid: int) -> float:
    """Read how long it could have run but had no processor, in seconds."""
    with contextlib.suppress(OSError, IndexError):
        text = Path(f"/proc/{pid}/schedstat").read_text(encoding="utf-8")
        return int(text.split()[1]) / 1e9
    return 0.0


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Tell whether a signal is ignored or caught, so that it doesn't end a process."""
    status = _status_of(pid)
    bit = 1 << (number - 1)
    return any(int(status.get(key, "0"), 16) & bit for key in _HANDLED)


def _status_of(pid: int) -> dict[str, str]:
    with contextlib.suppress(OSError):
        lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
        pairs = (line.partition(":") for line in lines)
        return {key: value.strip() for key, _, value in pairs}
    return {}
