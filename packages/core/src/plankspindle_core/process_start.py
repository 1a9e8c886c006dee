"""Approximate start time of this process."""

from __future__ import annotations

import time
from typing import Final

PROCESS_STARTED_AT: Final = time.clock_gettime(time.CLOCK_BOOTTIME)
"""Import time of this module, in seconds of :mod:`plankspindle_core.steady_clock`.

Entry points import this module before any other, since the other imports take up to a
second on a small machine.
"""
