"""Median processor time of a function."""

from __future__ import annotations

import time
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS = 5


def median_ms(function: Callable[[], object]) -> float:
    """Run a function ``REPEATS`` times; return the median in milliseconds."""
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        function()
        times.append((time.process_time() - began) * 1000)
    return median(times)
