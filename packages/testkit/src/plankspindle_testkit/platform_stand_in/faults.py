"""Faults that the platform stand-in shows on request."""

from __future__ import annotations

from attrs import define


@define(kw_only=True)
class Faults:
    """Present faults.

    Parameters
    ----------
    down : bool
        Whether every call fails before it takes effect.
    delay_ms : int
        Time by which every answer is late, in milliseconds.
    lose_answers : int
        Writes whose answers are still to be lost after they took effect.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0

    def consume_lost_answer(self) -> bool:
        """Use up one lost answer, if any is left."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
