"""State machine of a planned stop."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.lookup_ttl import LOOKUP_TTL_S

LINGER_S = 2.0 * LOOKUP_TTL_S
"""Time for which requests are still accepted, until kept look-up answers run out."""


@frozen
class Serving:
    """Requests are accepted and look-ups name this VM."""


@frozen
class Lingering:
    """Look-ups no longer name this VM, but requests are still accepted."""

    until: float
    deadline: float


@frozen
class Finishing:
    """Running requests finish; new ones are refused as not run."""

    deadline: float


@frozen
class Left:
    """Nothing runs any more; the process may exit."""

    aborted_requests: int


LeaveState = Serving | Lingering | Finishing | Left


@define(kw_only=True)
class Leave:
    """Leaving of this VM, from the request to stop until nothing runs.

    Parameters
    ----------
    leave_s : float
        Longest time for all of it, in seconds.
    linger_s : float
        Time for which requests are still accepted, in seconds.
    """

    leave_s: float
    linger_s: float = LINGER_S
    state: LeaveState = Serving()

    @property
    def is_leaving(self) -> bool:
        """Whether look-ups must not name this VM."""
        return not isinstance(self.state, Serving)

    @property
    def accepts(self) -> bool:
        """Whether new requests are accepted."""
        return isinstance(self.state, Serving | Lingering)

    def begin(self, now: float) -> None:
        """Begin to leave; asking again changes nothing."""
        if isinstance(self.state, Serving):
            until = now + min(self.linger_s, self.leave_s)
            self.state = Lingering(until, now + self.leave_s)

    def advance(self, *, running: int, now: float) -> LeaveState:
        """Go on as far as time and running requests allow.

        Parameters
        ----------
        running : int
            Requests that run or wait here.
        now : float
            Monotonic seconds.

        Returns
        -------
        LeaveState
            The state reached; ``Left.cut_off`` counts the requests that ran longer than
            the bound.
        """
        match self.state:
            case Lingering(until=until, deadline=give_up_at) if now >= until:
                self.state = Finishing(give_up_at)
            case _:
                pass
        match self.state:
            case Finishing(deadline=give_up_at) if running == 0 or now >= give_up_at:
                self.state = Left(running)
            case _:
                pass
        return self.state
