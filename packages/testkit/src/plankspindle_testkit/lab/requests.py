"""Requests of a run, from the view of callers and of entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.listeners import request_resolver
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.lab.cut_record import FirstTries
from plankspindle_testkit.lab.lab_vm import LabVm

if TYPE_CHECKING:
    from plankspindle_testkit.lab.pattern import ModelOperation

MAX_ATTEMPTS = 2
"""Maximum number of upstreams to which one request is sent."""
NO_ATTEMPT = -1
"""Attempt number of a request that is at no upstream."""


@frozen(kw_only=True)
class Crash:
    """Crash of an upstream that a request causes.

    Parameters
    ----------
    after_s : float
        Time from the start of the request to the crash, in seconds.
    down_s : float
        Time from the crash to the restart of the upstream, in seconds.
    """

    after_s: float
    down_s: float


@frozen(kw_only=True)
class Request:
    """A caller's request.

    Parameters
    ----------
    operation : str
        Name of the operation.
    key : str
        Key of the resource that it concerns.
    domain : str
        Failure domain of the caller.
    first_at, deadline : float
        Time of the first attempt and time at which the caller gives up, in seconds.
    retry_count : int
        Retries by the caller.
    identity : int
        Identity, which requests with the same caller, path and body share.
    crash : Crash, optional
        Crash that it causes at an upstream that starts it.
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
    """A request in progress at an entry VM.

    Parameters
    ----------
    request : Request
        Request of the caller.
    vm : LabVm
        Entry VM that handles it.
    ticket : Ticket
        Request as the dispatcher sees it.
    service : str
        Name of the service.
    attempts : int
        Number of upstreams to which it was sent.
    upstream : str, optional
        Upstream of the current attempt.
    incarnation : int
        Incarnation of that upstream.
    attempt : int
        Number of the current attempt.
    sent_at : float
        Start of the current attempt, in seconds.
    may_have_run : bool
        Whether a connection was lost while it was in flight.
    is_completed : bool
        Whether the entry VM has completed the request.
    relayed_from : LabVm, optional
        Entry VM that relayed it to the one that handles it.
    asked_vms : frozenset of str
        Entry VMs that declined to serve it.
    first_tries : FirstTries, optional
        Group of first tries that it counts for.
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
    relayed_from: LabVm | None = None
    asked_vms: frozenset[str] = frozenset()
    first_tries: FirstTries | None = None


@frozen(kw_only=True)
class AnswerHead:
    """Load and statement in the head of an answer.

    Parameters
    ----------
    load : int
        Requests running and waiting at the upstream.
    statement : UpstreamStatement
        Statement of the upstream.
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
    """Return the ticket of a request for the dispatcher of an entry VM."""
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


def may_abandon(active: ActiveRequest, now: float) -> bool:
    """Return whether a request may abandon an unresponsive upstream."""
    registry, upstream = active.vm.registry, active.upstream
    dispatcher = registry.dispatchers_by_service[active.service]
    state = dispatcher.upstreams_by_name.get(upstream or "")
    if state is not None and state.answered_at >= active.sent_at:
        return False
    return (
        upstream is not None
        and active.attempts < MAX_ATTEMPTS
        and registry.budgets_by_service[active.service].can_retry()
        and (
            active.vm.reach.is_cut_off
            or dispatcher.could_place_elsewhere(active.ticket, upstream, now)
        )
    )
