"""Events and effects of one exchange."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.dispatch.messages import AttemptOutcome

MAX_ATTEMPTS = 1_000
"""Bound where nothing else is declared; the retry budget ends retries long before."""


@frozen(kw_only=True)
class ExecutionPolicy:
    """What the request allows.

    Parameters
    ----------
    idempotent : bool
        Whether it may run more than once.
    resendable : bool
        Whether its body is at hand for another attempt.
    recorded : bool
        Whether it carries an id or key, so that its answer is kept for repeats and it
        goes on when its caller is gone.
    may_have_run_elsewhere : bool
        Whether a copy of the request may have run under another process, so that this
        one can never say that it was not run.
    max_attempts : int
        Most upstreams that it may be sent to.
    """

    idempotent: bool
    resendable: bool
    recorded: bool
    may_have_run_elsewhere: bool = False
    max_attempts: int = MAX_ATTEMPTS


@frozen
class ToUpstream:
    """The request is for an upstream of this failure domain."""


@frozen(kw_only=True)
class ToPeer:
    """The request is for another entry VM.

    Parameters
    ----------
    endpoint : Endpoint
        Its caller listener.
    may_run_locally : bool
        Whether this VM may run the request if the other provably did not.
    """

    endpoint: Endpoint
    may_run_locally: bool


Route = ToUpstream | ToPeer


@frozen(kw_only=True)
class Assigned:
    """An upstream was found."""

    upstream: str
    endpoint: Endpoint


@frozen(kw_only=True)
class Refused:
    """No upstream was found, or none may be asked.

    Parameters
    ----------
    reason : str
        Why, in a word.
    retry_after_s : float
        When to come back, in seconds from now.
    status : int
        Status with which the caller is told, if the request has not run.
    """

    reason: str
    retry_after_s: float
    status: int = 503


@frozen
class Connected:
    """A connection is ready; nothing was sent on it."""


@frozen
class ConnectFailed:
    """No connection was made, so nothing was sent."""


@frozen(kw_only=True)
class HeadReceived:
    """The head of an answer came.

    Parameters
    ----------
    proves_not_run : bool
        Whether the other side says explicitly that it did not run the request.
    is_misdirected : bool
        Whether it is another one than the wanted upstream.
    """

    proves_not_run: bool = False
    is_misdirected: bool = False


@frozen(kw_only=True)
class ConnectionBroken:
    """The connection ended before the answer was complete.

    Parameters
    ----------
    bytes_handed_over : bool
        Whether any byte of the request was handed to the socket.
    """

    bytes_handed_over: bool


@frozen
class UpstreamUnresponsive:
    """Neither this request nor any other got an answer from the upstream for long."""


@frozen
class AnswerRelayed:
    """The whole answer was relayed."""


@frozen
class CallerDisconnected:
    """The caller closed its connection."""


@frozen
class DeadlineExceeded:
    """The time of the request is over."""


ExchangeEvent = (
    Assigned
    | Refused
    | Connected
    | ConnectFailed
    | HeadReceived
    | ConnectionBroken
    | UpstreamUnresponsive
    | AnswerRelayed
    | CallerDisconnected
    | DeadlineExceeded
)


@frozen
class FindUpstream:
    """Ask the dispatcher for an upstream; leads to Assigned or Refused."""

    excluded: frozenset[str]


@frozen
class WithdrawTicket:
    """Stop waiting for an upstream."""


@frozen(kw_only=True)
class OpenConnection:
    """Get a connection; leads to Connected or ConnectFailed.

    Parameters
    ----------
    endpoint : Endpoint
        Where to.
    fresh : bool
        Whether it must be a new one. A kept-alive connection may be closed by the other
        side at the moment of writing, which leaves in doubt whether the request ran.
    """

    endpoint: Endpoint
    fresh: bool


@frozen
class SendRequest:
    """Send the request; leads to HeadReceived or Broke."""


@frozen
class RelayAnswer:
    """Relay the answer to the caller; leads to AnswerRelayed, a break or a close."""


@frozen
class ReleaseUpstream:
    """Give the slot back; anything but ANSWERED closes the connection."""

    verdict: AttemptOutcome


@frozen
class ClosePeerConnection:
    """Close the connection to another entry VM."""


@frozen(kw_only=True)
class AnswerCaller:
    """Answer with what is known of the request.

    Parameters
    ----------
    status : int
        Status code.
    outcome : Outcome
        Truth about the execution.
    reason : str
        Why, in one token.
    retry_after_s : float, optional
        When to come back, in seconds.
    """

    status: int
    outcome: Outcome
    reason: str
    retry_after_s: float | None = None


@frozen
class AbortCaller:
    """Reset the caller's connection, since its answer cannot be completed."""


ExchangeEffect = (
    FindUpstream
    | WithdrawTicket
    | OpenConnection
    | SendRequest
    | RelayAnswer
    | ReleaseUpstream
    | ClosePeerConnection
    | AnswerCaller
    | AbortCaller
)
