"""Events and effects of the state machine of one exchange."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.dispatch.messages import AttemptOutcome

MAX_ATTEMPTS = 1_000
"""Default limit of attempts; the retry budget stops retries long before it."""


@frozen(kw_only=True)
class ExecutionPolicy:
    """Whether and how often a request may be run.

    Parameters
    ----------
    idempotent : bool
        Whether it may run more than once.
    resendable : bool
        Whether its body is kept for another attempt.
    recorded : bool
        Whether it carries an id or key, so that its answer is kept for repeats, and it
        is completed even if its caller disconnects.
    may_have_run_elsewhere : bool
        Whether another process may have run a copy of the request, so that this one can
        never answer that it was not run.
    max_attempts : int
        Maximum number of times that it is sent.
    """

    idempotent: bool
    resendable: bool
    recorded: bool
    may_have_run_elsewhere: bool = False
    max_attempts: int = MAX_ATTEMPTS


@frozen
class ToUpstream:
    """Send the request to an upstream from this VM."""


@frozen(kw_only=True)
class ToPeer:
    """Forward the request to another entry VM.

    Parameters
    ----------
    endpoint : Endpoint
        Caller listener of that VM.
    may_run_locally : bool
        Whether this VM may run the request if the other VM provably did not.
    """

    endpoint: Endpoint
    may_run_locally: bool


Route = ToUpstream | ToPeer


@frozen(kw_only=True)
class Assigned:
    """An upstream was assigned."""

    upstream: str
    endpoint: Endpoint


@frozen(kw_only=True)
class RelayAssigned:
    """Another entry VM is to serve the request, as this one reaches no upstream.

    Parameters
    ----------
    vm : str
        Name of that VM.
    endpoint : Endpoint
        Its listener for callers.
    """

    vm: str
    endpoint: Endpoint


@frozen(kw_only=True)
class Refused:
    """No upstream was assigned, or the request may not be sent to one.

    Parameters
    ----------
    reason : str
        Reason code.
    retry_after_s : float
        Seconds after which the caller may retry.
    status : int
        HTTP status of the answer, if the request has not run.
    """

    reason: str
    retry_after_s: float
    status: int = 503


@frozen
class Connected:
    """A connection is open; nothing of the request was sent on it."""


@frozen
class ConnectFailed:
    """No connection could be opened, so nothing was sent."""


@frozen(kw_only=True)
class HeadReceived:
    """The head of an answer was received.

    Parameters
    ----------
    proves_not_run : bool
        Whether the other side states explicitly that it did not run the request.
    is_misdirected : bool
        Whether another upstream than the assigned one answered.
    refused : Refused, optional
        How another entry VM, to which the request was relayed, refused it for good.
    """

    proves_not_run: bool = False
    is_misdirected: bool = False
    refused: Refused | None = None


@frozen(kw_only=True)
class ConnectionBroken:
    """The connection was lost before the answer was complete.

    Parameters
    ----------
    bytes_handed_over : bool
        Whether any byte of the request was handed to the socket.
    """

    bytes_handed_over: bool


@frozen
class UpstreamUnresponsive:
    """The upstream has answered no request since this one was sent."""


@frozen
class AnswerRelayed:
    """The complete answer was relayed."""


@frozen
class CallerDisconnected:
    """The caller closed its connection."""


@frozen
class DeadlineExceeded:
    """The deadline of the request has passed."""


ExchangeEvent = (
    Assigned
    | RelayAssigned
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
    """Get an upstream from the dispatcher; leads to Assigned or Refused."""

    excluded: frozenset[str]


@frozen
class WithdrawTicket:
    """Stop waiting for an upstream."""


@frozen(kw_only=True)
class OpenConnection:
    """Acquire a connection; leads to Connected or ConnectFailed.

    Parameters
    ----------
    endpoint : Endpoint
        Address to connect to.
    fresh : bool
        Whether the connection must be new, or idle only for a short time. The other
        side may close a kept-alive connection at the moment of writing, which leaves it
        unknown whether the request ran.
    """

    endpoint: Endpoint
    fresh: bool


@frozen
class SendRequest:
    """Send the request; leads to HeadReceived or a loss of connection."""


@frozen
class RelayAnswer:
    """Relay the answer; leads to AnswerRelayed or the loss of either connection."""


@frozen
class ReleaseUpstream:
    """Release the slot; any outcome but ANSWERED closes the connection."""

    outcome: AttemptOutcome


@frozen
class ClosePeerConnection:
    """Close the connection to another entry VM."""


@frozen(kw_only=True)
class AnswerCaller:
    """Answer the caller with the outcome of the request.

    Parameters
    ----------
    status : int
        Status code.
    outcome : Outcome
        Whether the request was run, as far as it is known.
    reason : str
        Reason code.
    retry_after_s : float, optional
        Seconds after which the caller may retry.
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
