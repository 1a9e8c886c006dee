"""The events of one request, and related events of daemons and upstreams."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from plankspindle_client.explaining.logged_event import LoggedEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTEXT_BEFORE = timedelta(seconds=10)
CONTEXT_AFTER = timedelta(seconds=1)
"""Time before and after a request in which other events count as related."""
_UPSTREAM_EVENT = "upstream_standing"
_DAEMON_EVENTS = frozenset(
    {
        "started",
        "stopped",
        "paused",
        "leaving",
        "readiness",
        "configuration_adopted",
        "configuration_unread",
        "configuration_read_again",
        "list_unread",
        "list_read_again",
        "configuration_not_newer",
        "store_returned",
        "drains_retained",
        "rollouts_retained",
        "rollout_stage",
        "rollout_version_in_force",
        "software_versions_unnamed",
        "outdated_entry",
        "announced",
        "claims_restored",
        "claim_run_elsewhere",
        "quarantine_saved",
        "platform_lost",
        "platform_regained",
        "domain_lost",
        "domain_regained",
        "drain_began",
        "drain_ended",
        "part_leaving_region",
        "keys_leaving_region",
        "log_lines_dropped",
        "upstream_crashed",
        "request_watched",
        "request_quarantined",
        "quarantine_trial",
        "quarantine_lifted",
    }
)
COMPLETION_EVENTS = frozenset({"request_failed", "request_late", "request_served"})


@define(kw_only=True)
class RequestTrace:
    """Trace of one request, collected from logs.

    Parameters
    ----------
    request : str
        Id of the request.

    Attributes
    ----------
    steps : list of LoggedEvent
        Events of the request, ordered by time.
    context_events : list of LoggedEvent
        Other events of its VMs and upstreams at that time, ordered by time.
    line_count : int
        Lines that were read.
    dropped_line_count : int
        Lines that the daemons dropped, as their logs report.
    """

    request: str
    steps: list[LoggedEvent] = field(factory=list)
    context_events: list[LoggedEvent] = field(factory=list)
    line_count: int = 0
    dropped_line_count: int = 0

    @classmethod
    def from_lines(cls, request: str, lines: Iterable[str]) -> RequestTrace:
        """Collect the trace of a request from logs of any number of VMs.

        Parameters
        ----------
        request : str
            Id of the request.
        lines : iterable of str
            Lines in any order; lines that are not events are skipped.
        """
        trace = cls(request=request)
        candidates: list[LoggedEvent] = []
        for line in lines:
            trace.line_count += 1
            event = LoggedEvent.parse(line)
            if event is None:
                continue
            if event.request == request:
                trace.steps.append(event)
            elif event.event == _UPSTREAM_EVENT or event.event in _DAEMON_EVENTS:
                candidates.append(event)
                trace.dropped_line_count += _dropped_lines(event)
        trace.steps.sort(key=lambda each: (each.at, each.vm, each.step))
        trace.context_events = sorted(
            (each for each in candidates if trace._is_relevant(each)),
            key=lambda each: each.at,
        )
        return trace

    def _is_relevant(self, event: LoggedEvent) -> bool:
        if not self.steps or event.vm not in {each.vm for each in self.steps}:
            return False
        if (
            not self.steps[0].at - CONTEXT_BEFORE
            <= event.at
            <= self.steps[-1].at + CONTEXT_AFTER
        ):
            return False
        if event.event != _UPSTREAM_EVENT:
            return True
        named = {each.fields.get("upstream") for each in self.steps}
        preferred = {each.fields.get("preferred") for each in self.steps}
        return event.fields.get("upstream") in named | preferred

    def completion(self) -> LoggedEvent | None:
        """Return the completion event, the last one if several VMs logged one."""
        completions = [each for each in self.steps if each.event in COMPLETION_EVENTS]
        return completions[-1] if completions else None

    def last_event(self, event: str) -> LoggedEvent | None:
        """Return the last of the request's events with a given name."""
        found = [each for each in self.steps if each.event == event]
        return found[-1] if found else None


def _dropped_lines(event: LoggedEvent) -> int:
    return event.int_field("lines") if event.event == "log_lines_dropped" else 0
