"""Failures of HTTP exchanges, as values."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen
class ConnectFailed:
    """No connection was made, so no byte was sent.

    Parameters
    ----------
    detail : str
        What the operating system said.
    is_refused : bool
        Whether the host answered that nobody listens there.
    """

    detail: str
    is_refused: bool = False


@frozen
class ConnectionLost:
    """The peer closed, reset or broke the protocol before the answer was complete.

    Parameters
    ----------
    detail : str
        What was seen.
    """

    detail: str


@frozen
class TimedOut:
    """The time allowed for the exchange ran out.

    Parameters
    ----------
    seconds : float
        Time that was allowed.
    """

    seconds: float


HttpError = ConnectFailed | ConnectionLost | TimedOut
