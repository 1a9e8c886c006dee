"""Requests of a run, as their callers and the entry VMs see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.listeners import request_resolver
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.lab.lab_vm import LabVm

if TYPE_CHECKING:
    from plankspindle_testkit.lab.pattern import ModelOperation

MAX_ATTEMPTS = 2
"""Upstreams that one request may be sent to."""
NO_ATTEMPT = -1
"""Number of the attempt of a request that waits."""


@frozen(kw_only=True)
class Crash:
    """The end of an upstream under a request.

    Parameters
    ----------
    after_s : float
        Time from the begin of the request, in seconds.
    down_s : float
        Time after which the upstream is back, in seconds.
    """

    after_s: float
    down_s: float


@frozen(kw_only=True)
class Request:
    """A caller's request.

    Parameters
    ----------
    operation : str
        Its kind.
    key : str
        The thing that it concerns.
    domain : str
        Failure domain of the caller.
    first_at, deadline : float
        Time of the first try, and when the caller gives up, in seconds.
    retry_count : int
        How often the caller came back.
    identity : int
        The same for requests with the same caller, path and body.
    crash : Crash, optional
        What it does to an upstream that begins it.
    """

    operation: str
    key: str
    domain: str
    first_at: float
    deadline: float
    retry_count: int = 0
    identity: int = 0
    crash: Crash | None = None


@define(kw_only=True)
class ActiveRequest:
    """A request at an entry VM.

    Parameters
    ----------
    request : Request
        What the caller wants.
    vm : LabVm
        Where it is.
    ticket : Ticket
        The request as admission sees it.
    service : str
        The service asked for.
    attempts : int
        Upstreams that it was sent to.
    upstream : str, optional
        Where it is now.
    incarnation : int
        Which life of that.
    attempt : int
        Number of the present attempt.
    sent_at : float
        When that began, in seconds.
    may_have_run : bool
        Whether an upstream was lost while it was in flight there.
    is_completed : bool
        Whether the request has ended here.
    """

    request: Request
    vm: LabVm
    ticket: Ticket
    service: str
    attempts: int = 0
    upstream: str | None = None
    incarnation: int = 0
    attempt: int = NO_ATTEMPT
    sent_at: float = 0.0
    may_have_run: bool = False
    is_completed: bool = False


@frozen(kw_only=True)
class ReportedAnswer:
    """What the head of an answer tells.

    Parameters
    ----------
    load : int
        Requests that run and wait at the upstream.
    statement : UpstreamStatement
        What it says of itself.
    """

    load: int
    statement: UpstreamStatement


def ticket_of(
    request: Request,
    operation: ModelOperation,
    *,
    number: int,
    to_caller_s: float,
    now: float,
) -> Ticket:
    """Give a request as an entry VM's admission sees it."""
    target_s = operation.target_ms / 1000
    return Ticket(
        id=number,
        rank=operation.rank,
        operation=request.operation,
        deadline=request.deadline - to_caller_s,
        expected_s=request_resolver.EXPECTED_DURATION_SHARE * target_s,
        affinity=f"{request.operation}/{request.key}",
        queue_deadline=now + request_resolver.MAX_QUEUE_WAIT_SHARE * target_s,
    )


def may_abandon(handled: ActiveRequest, now: float) -> bool:
    """Tell whether a request may leave an upstream that answers nobody."""
    book, upstream = handled.vm.registry, handled.upstream
    dispatcher = book.dispatchers_by_service[handled.service]
    known = dispatcher.upstreams_by_name.get(upstream or "")
    if known is not None and known.answered_at >= handled.sent_at:
        return False
    return (
        upstream is not None
        and handled.attempts < MAX_ATTEMPTS
        and book.budgets_by_service[handled.service].can_retry()
        and dispatcher.could_place_elsewhere(handled.ticket, upstream, now)
    )
