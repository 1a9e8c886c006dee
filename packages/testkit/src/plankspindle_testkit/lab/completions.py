"""How attempts end, as dispatchers are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import StatementReceived

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
    from plankspindle_testkit.lab.requests import ActiveRequest
    from plankspindle_testkit.lab.requests import ReportedAnswer


def completion_of(
    handled: ActiveRequest,
    upstream: str,
    outcome: AttemptOutcome,
    now: float,
    load: int | None = None,
) -> AttemptCompleted:
    """Give the end of the present attempt of a request.

    Parameters
    ----------
    handled : ActiveRequest
        The request.
    upstream : str
        Where it was.
    outcome : AttemptOutcome
        How it ended.
    now : float
        Seconds of the run.
    load : int, optional
        Requests that ran and waited there, as the answer told.
    """
    return AttemptCompleted(
        ticket=handled.ticket,
        upstream=upstream,
        outcome=outcome,
        reported_load=load,
        incarnation=handled.incarnation,
        waited_s=now - handled.sent_at,
    )


def answered_completion_of(
    handled: ActiveRequest,
    upstream: str,
    answer: ReportedAnswer,
    connect_s: float,
    now: float,
) -> AttemptCompleted:
    """Give the end of the present attempt of a request that was answered.

    Parameters
    ----------
    handled : ActiveRequest
        The request.
    upstream : str
        What answered it.
    answer : ReportedAnswer
        What its answer told.
    connect_s, now : float
        Time that a connection needs, and now, in seconds.
    """
    took_s = now - handled.sent_at
    return AttemptCompleted(
        ticket=handled.ticket,
        upstream=upstream,
        outcome=AttemptOutcome.ANSWERED,
        head_s=took_s,
        total_s=took_s,
        connect_s=connect_s,
        reported_load=answer.load,
        incarnation=handled.incarnation,
    )


def unsent_completion_of(
    handled: ActiveRequest, upstream: str, incarnation: int
) -> AttemptCompleted:
    """Give the end of a request that is not sent to the upstream that it got."""
    return AttemptCompleted(
        ticket=handled.ticket,
        upstream=upstream,
        outcome=AttemptOutcome.CANCELLED,
        incarnation=incarnation,
    )


def statement_event_of(
    handled: ActiveRequest, upstream: str, statement: UpstreamStatement
) -> StatementReceived:
    """Give what an upstream said of itself in its answer to a request."""
    return StatementReceived(
        upstream=upstream,
        incarnation=handled.incarnation,
        statement=statement,
        sent_at=handled.sent_at,
    )
