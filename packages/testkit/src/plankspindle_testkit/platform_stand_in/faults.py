"""Faults that a test can set in the platform stand-in."""

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
        Delay of every answer, in milliseconds.
    lose_answers : int
        Number of the next writes that take effect, but whose answers are lost.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0

    def consume_lost_answer(self) -> bool:
        """Return whether this answer is to be lost, and count it as lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
