"""The events of one request, and what was known around it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from plankspindle_client.explaining.logged_event import LoggedEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

BEFORE = timedelta(seconds=10)
AFTER = timedelta(seconds=1)
"""Time around a request in which other events may have to do with it."""
_OF_UPSTREAM = "upstream_standing"
_OF_DAEMON = frozenset(
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
ENDS = frozenset({"request_failed", "request_late", "request_served"})


@define(kw_only=True)
class RequestStory:
    """One request as logs tell it.

    Parameters
    ----------
    request : str
        Its id.

    Attributes
    ----------
    steps : list of LoggedEvent
        What happened to it, in order.
    around : list of LoggedEvent
        What else happened on its VMs and to its upstreams at that time, in order.
    lines : int
        Lines that were read.
    lines_dropped : int
        Lines that the logs say they lack.
    """

    request: str
    steps: list[LoggedEvent] = field(factory=list)
    around: list[LoggedEvent] = field(factory=list)
    lines: int = 0
    lines_dropped: int = 0

    @classmethod
    def read(cls, request: str, lines: Iterable[str]) -> RequestStory:
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
            story.lines += 1
            event = LoggedEvent.read(line)
            if event is None:
                continue
            if event.request == request:
                story.steps.append(event)
            elif event.event == _OF_UPSTREAM or event.event in _OF_DAEMON:
                others.append(event)
                story.lines_dropped += _dropped(event)
        story.steps.sort(key=lambda each: (each.at, each.vm, each.step))
        story.around = sorted(
            (each for each in others if story._has_to_do_with(each)),
            key=lambda each: each.at,
        )
        return story

    def _has_to_do_with(self, event: LoggedEvent) -> bool:
        if not self.steps or event.vm not in {each.vm for each in self.steps}:
            return False
        if not self.steps[0].at - BEFORE <= event.at <= self.steps[-1].at + AFTER:
            return False
        if event.event != _OF_UPSTREAM:
            return True
        named = {each.fields.get("upstream") for each in self.steps}
        preferred = {each.fields.get("preferred") for each in self.steps}
        return event.fields.get("upstream") in named | preferred

    def end(self) -> LoggedEvent | None:
        """Give the event that tells how it ended; the last one of several VMs."""
        ends = [each for each in self.steps if each.event in ENDS]
        return ends[-1] if ends else None

    def last(self, event: str) -> LoggedEvent | None:
        """Give the last event of a kind."""
        found = [each for each in self.steps if each.event == event]
        return found[-1] if found else None


def _dropped(event: LoggedEvent) -> int:
    return event.number("lines") if event.event == "log_lines_dropped" else 0
