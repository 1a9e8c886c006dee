"""Stages of a roll-out."""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    """Stage of a roll-out, as its name appears in messages, records and logs.

    Notes
    -----
    ``HALTED`` is the decision to roll back before the platform has acknowledged it; it
    takes effect at once. ``COMPLETE`` and ``ROLLED_BACK`` were acknowledged.
    """

    PREPARING = "preparing"
    CANARY = "canary"
    MOVING = "moving"
    HALTED = "halted"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled-back"

    @property
    def is_final(self) -> bool:
        """Whether the platform has acknowledged the end of the roll-out."""
        return self in (Stage.COMPLETE, Stage.ROLLED_BACK)

    def merged(self, other: Stage) -> Stage:
        """Return the later of two stages of the same order; roll-backs win."""
        return max(self, other, key=_ORDER.index)


_ORDER = [
    Stage.PREPARING,
    Stage.CANARY,
    Stage.MOVING,
    Stage.HALTED,
    Stage.COMPLETE,
    Stage.ROLLED_BACK,
]
