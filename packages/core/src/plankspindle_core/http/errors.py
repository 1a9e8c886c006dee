"""Error values of HTTP exchanges."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen
class ConnectFailed:
    """The connection was not established, so no byte was sent.

    Parameters
    ----------
    detail : str
        Error of the operating system.
    is_refused : bool
        Whether the host refused the connection, since nothing listens on the port.
    was_attempted : bool
        Whether a connection was attempted at all.
    is_timeout : bool
        Whether nothing came back within the connect timeout.
    """

    detail: str
    is_refused: bool = False
    was_attempted: bool = True
    is_timeout: bool = False


@frozen
class ConnectionLost:
    """The peer closed, reset or broke the protocol before the answer was complete.

    Parameters
    ----------
    detail : str
        Description of the failure.
    """

    detail: str


@frozen
class TimedOut:
    """The exchange was not complete before its timeout.

    Parameters
    ----------
    seconds : float
        The timeout in seconds.
    """

    seconds: float


HttpError = ConnectFailed | ConnectionLost | TimedOut
