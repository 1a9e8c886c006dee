"""The events of one request, and what was known around it."""

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
"""Time around a request in which other events may have to do with it."""
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
    """One request as logs tell it.

    Parameters
    ----------
    request : str
        Its id.

    Attributes
    ----------
    steps : list of LoggedEvent
        What happened to it, in order.
    context_events : list of LoggedEvent
        What else happened on its VMs and to its upstreams at that time, in order.
    line_count : int
        Lines that were read.
    dropped_line_count : int
        Lines that the logs say they lack.
    """

    request: str
    steps: list[LoggedEvent] = field(factory=list)
    context_events: list[LoggedEvent] = field(factory=list)
    line_count: int = 0
    dropped_line_count: int = 0

    @classmethod
    def from_lines(cls, request: str, lines: Iterable[str]) -> RequestTrace:
        """Read the logs of any number of VMs.

        Parameters
        ----------
        request : str
            Id of the request.
        lines : iterable of str
            Lines in any order; what is no event is skipped.
        """
        story = cls(request=request)
        others: list[LoggedEvent] = []
        for line in lines:
            story.line_count += 1
            event = LoggedEvent.parse(line)
            if event is None:
                continue
            if event.request == request:
                story.steps.append(event)
            elif event.event == _UPSTREAM_EVENT or event.event in _DAEMON_EVENTS:
                others.append(event)
                story.dropped_line_count += _dropped_lines(event)
        story.steps.sort(key=lambda each: (each.at, each.vm, each.step))
        story.context_events = sorted(
            (each for each in others if story._is_relevant(each)),
            key=lambda each: each.at,
        )
        return story

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
        """Give the event that tells how it ended; the last one of several VMs."""
        ends = [each for each in self.steps if each.event in COMPLETION_EVENTS]
        return ends[-1] if ends else None

    def last_event(self, event: str) -> LoggedEvent | None:
        """Give the last event of a kind."""
        found = [each for each in self.steps if each.event == event]
        return found[-1] if found else None


def _dropped_lines(event: LoggedEvent) -> int:
    return event.int_field("lines") if event.event == "log_lines_dropped" else 0
