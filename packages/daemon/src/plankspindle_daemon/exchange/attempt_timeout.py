"""Timeout after which a request abandons an upstream and tries another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.node.dispatch_runner import DispatchRunner

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket

ATTEMPT_TIMEOUT_FACTOR = 4.0
"""Multiple of the expected duration after which another upstream may be tried."""
MIN_ATTEMPT_TIMEOUT_S = 0.6


@define(kw_only=True)
class AttemptTimeout:
    """Decide whether a request abandons an upstream that answers no request.

    Parameters
    ----------
    service : str
        Name of the requested service.
    exchange : Exchange
        State machine of the request.
    dispatch : DispatchRunner
        Source of expected durations and of the times of upstreams' last answers.
    """

    service: str
    exchange: Exchange
    dispatch: DispatchRunner

    def timeout_s(self, ticket: Ticket) -> float | None:
        """Return the seconds until another upstream may be tried; None for never.

        Only an idempotent request whose body can be sent again may be tried elsewhere.
        """
        policy = self.exchange.policy
        if not (policy.idempotent and policy.resendable):
            return None
        expected_s = self.dispatch.expected_duration_s(self.service, ticket)
        return max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_FACTOR * expected_s)

    def may_abandon(self, ticket: Ticket, upstream: str, sent_at: float) -> bool:
        """Return whether to abandon an upstream and try another one.

        Parameters
        ----------
        ticket : Ticket
            The request as admission sees it.
        upstream : str
            The upstream that has not answered this request.
        sent_at : float
            When the request was sent there, monotonic seconds.

        Notes
        -----
        While this VM is leaving, no attempt is abandoned: a planned stop must not
        interrupt running requests.
        """
        return (
            not self.dispatch.node.leave.is_leaving
            and self.dispatch.answered_at(self.service, upstream) < sent_at
            and self.exchange.can_retry()
            and self._could_go_elsewhere(ticket, upstream)
        )

    def _could_go_elsewhere(self, ticket: Ticket, upstream: str) -> bool:
        """Return whether another upstream or entry VM could take a request."""
        if self.dispatch.node.reach.is_cut_off:
            return True
        return self.dispatch.could_place_elsewhere(self.service, ticket, upstream)
