"""Dispatcher events for the completion of attempts and for statements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import StatementReceived

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
    from plankspindle_testkit.lab.requests import ActiveRequest
    from plankspindle_testkit.lab.requests import AnswerHead


def completion_of(
    active: ActiveRequest,
    upstream: str,
    outcome: AttemptOutcome,
    now: float,
    load: int | None = None,
) -> AttemptCompleted:
    """Return the completion of the current attempt of a request.

    Parameters
    ----------
    active : ActiveRequest
        The request.
    upstream : str
        Upstream of the attempt.
    outcome : AttemptOutcome
        Outcome of the attempt.
    now : float
        Simulated time in seconds.
    load : int, optional
        Requests running and waiting at the upstream, as reported in its answer.
    """
    return AttemptCompleted(
        ticket=active.ticket,
        upstream=upstream,
        outcome=outcome,
        reported_load=load,
        incarnation=active.incarnation,
        waited_s=now - active.sent_at,
    )


def answer_completion_of(
    active: ActiveRequest,
    upstream: str,
    answer: AnswerHead,
    connect_s: float,
    now: float,
) -> AttemptCompleted:
    """Return the completion of an attempt that was answered.

    Parameters
    ----------
    active : ActiveRequest
        The request.
    upstream : str
        Upstream that answered.
    answer : AnswerHead
        Load and statement reported in the answer.
    connect_s, now : float
        Connection setup time and simulated time, in seconds.
    """
    duration_s = now - active.sent_at
    return AttemptCompleted(
        ticket=active.ticket,
        upstream=upstream,
        outcome=AttemptOutcome.ANSWERED,
        head_s=duration_s,
        total_s=duration_s,
        connect_s=connect_s,
        reported_load=answer.load,
        incarnation=active.incarnation,
    )


def unsent_completion_of(
    active: ActiveRequest, upstream: str, incarnation: int
) -> AttemptCompleted:
    """Return the completion of a request that is not sent to its assigned upstream."""
    return AttemptCompleted(
        ticket=active.ticket,
        upstream=upstream,
        outcome=AttemptOutcome.CANCELLED,
        incarnation=incarnation,
    )


def statement_event_of(
    active: ActiveRequest, upstream: str, statement: UpstreamStatement
) -> StatementReceived:
    """Return the event for a statement of an upstream in its answer."""
    return StatementReceived(
        upstream=upstream,
        incarnation=active.incarnation,
        statement=statement,
        sent_at=active.sent_at,
    )
