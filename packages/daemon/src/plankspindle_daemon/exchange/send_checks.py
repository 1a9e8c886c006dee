"""Checks of a request before each sending: the quarantine, and a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import RequestQuarantined
from plankspindle_daemon.traces.steps import Suspected

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry

QUARANTINED = "quarantined"
SUSPECTED = "suspected"
MIN_QUARANTINE_RETRY_AFTER_S = 1.0
"""Minimum ``Retry-After`` of a quarantined request, in seconds."""
LEAVING = RejectReason.LEAVING.value
LEAVING_RETRY_AFTER_S = 0.1
"""Other entry VMs can serve the request at once."""
DURATION_FACTOR = 3.0
"""Multiple of its expected duration that a request must have left of a planned stop.

Durations vary, and a request that is cut off may have run.
"""


@frozen(kw_only=True)
class QuarantineCheck:
    """Refuse a request under which upstreams crash.

    Parameters
    ----------
    quarantine : Quarantine
        Quarantined requests.
    identity : RequestIdentity
        Identity of the request.
    trace : RequestTrace
        Trace of the request.
    """

    quarantine: Quarantine
    identity: RequestIdentity
    trace: RequestTrace

    def refuse(self, *, may_have_run: bool) -> Refused | None:
        """Refuse a quarantined request; return None if it may be sent.

        Parameters
        ----------
        may_have_run : bool
            Whether it may have run already. It is then refused as soon as it is
            suspected of crashing upstreams.
        """
        return self._refuse(may_have_run, is_sent_now=False)

    def refuse_on_send(self, *, may_have_run: bool) -> Refused | None:
        """Check again: it may have been quarantined while it waited for an upstream."""
        return self._refuse(may_have_run, is_sent_now=True)

    def _refuse(self, may_have_run: bool, *, is_sent_now: bool) -> Refused | None:
        quarantine, now = self.quarantine, monotonic()
        if not quarantine.is_active:
            return None
        identity = self.identity
        if may_have_run and quarantine.is_suspected(identity.value):
            self.trace.record(Suspected(identity=identity.text), now)
            return Refused(reason=SUSPECTED, retry_after_s=MIN_QUARANTINE_RETRY_AFTER_S)
        if is_sent_now:
            entry = quarantine.blocking_entry_on_send(identity.value, now)
        else:
            entry = quarantine.blocking_entry(identity.value, now)
        return None if entry is None else self._quarantined(entry, now)

    def _quarantined(self, entry: QuarantineEntry, now: float) -> Refused:
        retry_after_s = max(MIN_QUARANTINE_RETRY_AFTER_S, entry.next_probe_at - now)
        step = RequestQuarantined(
            identity=self.identity.text,
            for_ms=round(1000 * (now - entry.quarantined_at)),
            trials=entry.probe_attempts,
            retry_after_ms=round(1000 * retry_after_s),
        )
        self.trace.record(step, now)
        return Refused(reason=QUARANTINED, retry_after_s=retry_after_s)


@frozen(kw_only=True)
class LeaveCheck:
    """Refuse requests that may not end before the planned stop of this VM does.

    Parameters
    ----------
    service : str
        Name of the requested service.
    dispatch : DispatchRunner
        Source of expected durations, and of the state of the planned stop.
    """

    service: str
    dispatch: DispatchRunner

    def refuse(self, ticket: Ticket) -> Refused | None:
        """Return the refusal of a request, or None if it may be sent now.

        Parameters
        ----------
        ticket : Ticket
            The request; nothing takes longer than until its deadline.
        """
        stop_at, now = self.dispatch.node.leave.deadline, monotonic()
        if ticket.deadline <= stop_at:
            return None
        expected_s = self.dispatch.expected_duration_s(self.service, ticket)
        if now + DURATION_FACTOR * expected_s <= stop_at:
            return None
        return Refused(reason=LEAVING, retry_after_s=LEAVING_RETRY_AFTER_S)
