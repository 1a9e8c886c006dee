"""Fair turns on the event loop for tasks whose input never runs out."""

from __future__ import annotations

from curio import sleep

STEPS_PER_TURN = 32
"""Steps of a turn, such as an event of a parser, of some 10 to 50 us each."""


class TurnLimit:
    """Let other tasks run, and due timeouts expire, after a number of steps.

    Parameters
    ----------
    steps : int
        Steps of a turn.

    Notes
    -----
    Operations on a curio socket return at once while the socket is ready. A task whose
    peer always has bytes ready would otherwise never be suspended: nothing else would
    run, and neither timeouts nor cancellations would reach the task.
    """

    def __init__(self, *, steps: int = STEPS_PER_TURN) -> None:
        self._steps = steps
        self._left = steps

    async def step(self) -> None:
        """Count a step, and end the turn if it was the last one.

        Raises
        ------
        TaskTimeout, TaskCancelled
            If the task's time limit has passed, or it was cancelled.
        """
        self._left -= 1
        if self._left <= 0:
            self.restart()
            await sleep(0)

    def restart(self) -> None:
        """Begin a turn, as after an operation that suspended the task."""
        self._left = self._steps
