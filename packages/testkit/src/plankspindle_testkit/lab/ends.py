"""How attempts end, as dispatchers are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import Ended
from plankspindle_daemon.dispatch.messages import Stated
from plankspindle_daemon.dispatch.messages import Verdict

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
    from plankspindle_testkit.lab.requests import AnswerTold
    from plankspindle_testkit.lab.requests import Handled


def ended_of(
    handled: Handled,
    upstream: str,
    verdict: Verdict,
    now: float,
    load: int | None = None,
) -> Ended:
    """Give the end of the present attempt of a request.

    Parameters
    ----------
    handled : Handled
        The request.
    upstream : str
        Where it was.
    verdict : Verdict
        How it ended.
    now : float
        Seconds of the run.
    load : int, optional
        Requests that ran and waited there, as the answer told.
    """
    return Ended(
        ticket=handled.ticket,
        upstream=upstream,
        verdict=verdict,
        reported_load=load,
        incarnation=handled.incarnation,
        waited_s=now - handled.sent_at,
    )


def answered_of(
    handled: Handled, upstream: str, told: AnswerTold, connect_s: float, now: float
) -> Ended:
    """Give the end of the present attempt of a request that was answered.

    Parameters
    ----------
    handled : Handled
        The request.
    upstream : str
        What answered it.
    told : AnswerTold
        What its answer told.
    connect_s, now : float
        Time that a connection needs, and now, in seconds.
    """
    took_s = now - handled.sent_at
    return Ended(
        ticket=handled.ticket,
        upstream=upstream,
        verdict=Verdict.ANSWERED,
        head_s=took_s,
        total_s=took_s,
        connect_s=connect_s,
        reported_load=told.load,
        incarnation=handled.incarnation,
    )


def given_back(handled: Handled, upstream: str, incarnation: int) -> Ended:
    """Give the end of a request that is not sent to the upstream that it got."""
    return Ended(
        ticket=handled.ticket,
        upstream=upstream,
        verdict=Verdict.CANCELLED,
        incarnation=incarnation,
    )


def stated_of(handled: Handled, upstream: str, statement: UpstreamStatement) -> Stated:
    """Give what an upstream said of itself in its answer to a request."""
    return Stated(
        upstream=upstream,
        incarnation=handled.incarnation,
        statement=statement,
        sent_at=handled.sent_at,
    )
