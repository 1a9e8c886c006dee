"""What an entry VM believes of an upstream, in one word."""

from __future__ import annotations

from enum import Enum


class Standing(Enum):
    """What this VM believes of an upstream."""

    WELL = "well"
    WARMING_UP = "warming-up"
    BACKED_OFF = "backed-off"
    COLD = "cold"
    DRAINED = "drained"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    MISPLACED = "misplaced"
