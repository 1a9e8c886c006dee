"""Events and effects of a dispatcher."""

from __future__ import annotations

from enum import Enum

from attrs import field

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.peer_messages.slot_messages import SlotGrant
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.traces.steps import Placed
from plankspindle_daemon.traces.steps import Rejected
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement


class AttemptOutcome(Enum):
    """How a request at an upstream ended."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@frozen
class RequestArrived:
    """A request wants an upstream."""

    ticket: Ticket


@frozen
class RequestWithdrawn:
    """A waiting request was given up."""

    ticket_id: int


@frozen(kw_only=True)
class AttemptCompleted:
    """A request left its upstream.

    Parameters
    ----------
    ticket : Ticket
        The request.
    upstream : str
        Where it ran.
    outcome : AttemptOutcome
        How it ended.
    head_s : float, optional
        Time to the head of the answer, in seconds.
    total_s : float, optional
        Time to the end of the answer, in seconds.
    connect_s : float, optional
        Time that a new connection needed, in seconds.
    reported_load : int, optional
        Requests that ran and waited there, as the answer told.
    waited_s : float, optional
        Time for which its head was waited for, in seconds, if that never came.
    incarnation : int
        Life of the upstream that it ran in; zero if that is not known.
    cause : str
        What was seen of the upstream, for the log.
    """

    ticket: Ticket
    upstream: str
    outcome: AttemptOutcome
    head_s: float | None = None
    total_s: float | None = None
    connect_s: float | None = None
    reported_load: int | None = None
    waited_s: float | None = None
    incarnation: int = 0
    cause: str = field(default="", eq=False)


@frozen(kw_only=True)
class StatementReceived:
    """An upstream said something of itself in an answer.

    Parameters
    ----------
    upstream : str
        Which one.
    incarnation : int
        Life of it that answered; zero if that is not known.
    statement : UpstreamStatement
        What it said.
    sent_at : float
        When the request was sent that it answered, monotonic seconds.
    """

    upstream: str
    incarnation: int
    statement: UpstreamStatement
    sent_at: float


@frozen(kw_only=True)
class ProbeCompleted:
    """A probe of an upstream ended.

    Parameters
    ----------
    upstream : str
        Which one.
    report : LoadReport, optional
        What it reported; None if it reported nothing that can be read.
    wall : float
        Seconds since the Unix epoch.
    reached : bool
        Whether a connection to it was made.
    """

    upstream: str
    report: LoadReport | None
    wall: float
    reached: bool = True


@frozen(kw_only=True)
class SlotsRequested:
    """A peer asks for idle slots."""

    request: SlotRequest
    reply_to: Endpoint


@frozen
class SlotsGranted:
    """A peer lends slots."""

    grant: SlotGrant


@frozen
class TimePassed:
    """Some time passed."""


@frozen
class ProcessPaused:
    """The process noticed that it was not running for a while."""


DispatchEvent = (
    RequestArrived
    | RequestWithdrawn
    | AttemptCompleted
    | StatementReceived
    | ProbeCompleted
    | SlotsRequested
    | SlotsGranted
    | TimePassed
    | ProcessPaused
)


class RejectReason(Enum):
    """Why a request gets no upstream."""

    QUEUE_FULL = "queue-full"
    EVICTED = "evicted"
    TOO_LATE = "too-late"
    BUSY = "busy"
    NO_UPSTREAM = "no-upstream"
    LEAVING = "leaving"
    WITHHELD = "withheld"


@frozen(kw_only=True)
class Assign:
    """A request gets an upstream; its slot is counted from now on.

    Parameters
    ----------
    ticket : Ticket
        The request.
    upstream : str
        Its upstream.
    endpoint : Endpoint
        Where that listens.
    incarnation : int
        Which life of it is meant; zero if that is not known.
    step : Placed, optional
        What decided, for the log.
    """

    ticket: Ticket
    upstream: str
    endpoint: Endpoint
    incarnation: int = 0
    step: Placed | None = field(default=None, eq=False)

    def cancellation(self) -> AttemptCompleted:
        """Give the end of a request that goes no further at its upstream.

        Returns
        -------
        Ended
            What frees the slot; it says nothing of the upstream.
        """
        return AttemptCompleted(
            ticket=self.ticket,
            upstream=self.upstream,
            outcome=AttemptOutcome.CANCELLED,
            incarnation=self.incarnation,
        )


@frozen(kw_only=True)
class Reject:
    """A request gets no upstream; it was not run and never will be.

    Parameters
    ----------
    ticket : Ticket
        The request.
    reason : RejectReason
        Why.
    retry_after_s : float
        When the caller should come back, in seconds.
    step : Rejected, optional
        What decided, for the log.
    """

    ticket: Ticket
    reason: RejectReason
    retry_after_s: float
    step: Rejected | None = field(default=None, eq=False)


@frozen(kw_only=True)
class SendProbe:
    """An upstream is to be asked for its load report."""

    upstream: str
    endpoint: Endpoint


@frozen(kw_only=True)
class RequestToken:
    """A request waits for a token of the limit that an upstream names.

    Parameters
    ----------
    upstream : str
        The upstream.
    incarnation : int
        Which life of it is meant; zero if that is not known.
    """

    upstream: str
    incarnation: int


@frozen
class RequestSlots:
    """A peer, chosen by the shell's member list, is to be asked for slots."""

    request: SlotRequest


@frozen(kw_only=True)
class GrantSlots:
    """Slots are lent to a peer."""

    grant: SlotGrant
    to: Endpoint


DispatchEffect = Assign | Reject | SendProbe | RequestSlots | GrantSlots | RequestToken
