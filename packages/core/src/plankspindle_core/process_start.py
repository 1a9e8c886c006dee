"""When this process began, as near as it can know."""

from __future__ import annotations

import time
from typing import Final

PROCESS_STARTED_AT: Final = time.clock_gettime(time.CLOCK_BOOTTIME)
"""Seconds on the clock of :mod:`plankspindle_core.steady_clock`.

Whoever starts a process imports this module first: other imports take up to a second on
a small machine.
"""
