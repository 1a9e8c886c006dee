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
    """Outcome of an attempt to run a request on an upstream."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@frozen
class RequestArrived:
    """A request was admitted and needs an upstream."""

    ticket: Ticket


@frozen
class RequestWithdrawn:
    """A waiting request was cancelled."""

    ticket_id: int


@frozen(kw_only=True)
class AttemptCompleted:
    """An attempt completed and frees its slot.

    Parameters
    ----------
    ticket : Ticket
        The request.
    upstream : str
        Upstream that the attempt ran on.
    outcome : AttemptOutcome
        Its outcome.
    head_s : float, optional
        Time to the head of the response, in seconds.
    total_s : float, optional
        Time to the end of the response, in seconds.
    connect_s : float, optional
        Time that a new connection took, in seconds.
    reported_load : int, optional
        Requests running and queued on the upstream, as reported in its response.
    waited_s : float, optional
        Time spent waiting for the head of a response that never arrived, in seconds.
    incarnation : int
        Incarnation of the upstream that the attempt ran on; zero if unknown.
    status : int, optional
        Status of the answer; None if no head of an answer arrived.
    is_doubtful : bool
        Whether this VM may reach no upstream, so that a failure tells nothing of this
        one.
    cause : str
        Observed failure of the upstream, for the log.
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
    status: int | None = None
    is_doubtful: bool = False
    cause: str = field(default="", eq=False)


@frozen(kw_only=True)
class StatementReceived:
    """A response carried a statement of the upstream about itself.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    incarnation : int
        Incarnation that responded; zero if unknown.
    statement : UpstreamStatement
        The statement.
    sent_at : float
        When the answered request was sent, monotonic time in seconds.
    """

    upstream: str
    incarnation: int
    statement: UpstreamStatement
    sent_at: float


@frozen(kw_only=True)
class ProbeCompleted:
    """A probe of an upstream completed.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    report : LoadReport, optional
        Load report that it returned; None if there was none or it was unreadable.
    wall : float
        Seconds since the Unix epoch.
    reached : bool
        Whether a connection was established.
    """

    upstream: str
    report: LoadReport | None
    wall: float
    reached: bool = True


@frozen(kw_only=True)
class SlotsRequested:
    """A peer requests idle slots."""

    request: SlotRequest
    reply_to: Endpoint


@frozen
class SlotsGranted:
    """A peer lends slots."""

    grant: SlotGrant


@frozen
class TimePassed:
    """Timers are to be checked."""


@frozen
class ProcessPaused:
    """The process detected that it had not run for a while."""


@frozen
class UpstreamsUnreachable:
    """This VM reaches no upstream, so nothing is worth waiting for."""


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
    | UpstreamsUnreachable
)


class RejectReason(Enum):
    """Why a request is rejected."""

    QUEUE_FULL = "queue-full"
    EVICTED = "evicted"
    TOO_LATE = "too-late"
    BUSY = "busy"
    NO_UPSTREAM = "no-upstream"
    LEAVING = "leaving"
    WITHHELD = "withheld"
    CUT_OFF = "cut-off"


@frozen(kw_only=True)
class Assign:
    """Run a request on an upstream; its slot is taken from now on.

    Parameters
    ----------
    ticket : Ticket
        The request.
    upstream : str
        Name of the upstream.
    endpoint : Endpoint
        Address on which the upstream listens.
    incarnation : int
        Incarnation of the upstream that is meant; zero if unknown.
    step : Placed, optional
        Values behind the choice, for the request trace.
    """

    ticket: Ticket
    upstream: str
    endpoint: Endpoint
    incarnation: int = 0
    step: Placed | None = field(default=None, eq=False)

    def cancellation(self) -> AttemptCompleted:
        """Return the completion of an attempt that is cancelled.

        Returns
        -------
        AttemptCompleted
            Event that frees the slot and has no effect on the upstream's health.
        """
        return AttemptCompleted(
            ticket=self.ticket,
            upstream=self.upstream,
            outcome=AttemptOutcome.CANCELLED,
            incarnation=self.incarnation,
        )


@frozen(kw_only=True)
class Reject:
    """Reject a request that was not run and will not be.

    Parameters
    ----------
    ticket : Ticket
        The request.
    reason : RejectReason
        Why it is rejected.
    retry_after_s : float
        Time after which the caller should retry, in seconds.
    step : Rejected, optional
        Values behind the rejection, for the request trace.
    """

    ticket: Ticket
    reason: RejectReason
    retry_after_s: float
    step: Rejected | None = field(default=None, eq=False)


@frozen(kw_only=True)
class SendProbe:
    """Request the load report of an upstream."""

    upstream: str
    endpoint: Endpoint


@frozen(kw_only=True)
class RequestToken:
    """Request a token of the rate limit that an upstream stated.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    incarnation : int
        Incarnation of the upstream that is meant; zero if unknown.
    """

    upstream: str
    incarnation: int


@frozen
class RequestSlots:
    """Request slots of a peer, which the caller chooses from its member list."""

    request: SlotRequest


@frozen(kw_only=True)
class GrantSlots:
    """Lend slots to a peer."""

    grant: SlotGrant
    to: Endpoint


DispatchEffect = Assign | Reject | SendProbe | RequestSlots | GrantSlots | RequestToken
