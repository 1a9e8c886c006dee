"""How long one upstream is waited for before another is tried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.node.dispatch_runner import DispatchRunner

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket

ATTEMPT_TIMEOUT_FACTOR = 4.0
"""Usual durations after which a silent upstream is given up for another."""
MIN_ATTEMPT_TIMEOUT_S = 0.6


@define(kw_only=True)
class AttemptTimeout:
    """Decide whether a request leaves an upstream that seems to answer nobody.

    Parameters
    ----------
    service : str
        The service asked for.
    exchange : Exchange
        The decisions on the request.
    dispatch : DispatchRunner
        Keeper of durations and of what upstreams answered.
    """

    service: str
    exchange: Exchange
    dispatch: DispatchRunner

    def timeout_s(self, ticket: Ticket) -> float | None:
        """Give the time after which another upstream may be tried; None for never."""
        terms = self.exchange.policy
        if not (terms.idempotent and terms.resendable):
            return None
        usual_s = self.dispatch.expected_duration_s(self.service, ticket)
        return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * usual_s)

    def may_abandon(self, ticket: Ticket, upstream: str, sent_at: float) -> bool:
        """Tell whether to try another upstream; a planned stop breaks nothing off.

        Parameters
        ----------
        ticket : Ticket
            The request as admission sees it.
        upstream : str
            The upstream that is silent to this request.
        sent_at : float
            When the request was sent there, monotonic seconds.
        """
        return (
            not self.dispatch.node.leave.is_leaving
            and self.dispatch.answered_at(self.service, upstream) < sent_at
            and self.exchange.can_retry()
            and self.dispatch.could_place_elsewhere(self.service, ticket, upstream)
        )
