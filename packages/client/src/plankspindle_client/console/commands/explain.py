"""``plankspindle explain``: what happened to one request."""

from __future__ import annotations

import sys
from itertools import chain
from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import show_result
from plankspindle_client.explaining.cause import cause_of
from plankspindle_client.explaining.request_story import RequestStory

if TYPE_CHECKING:
    from typing import TextIO

    from plankspindle_client.explaining.logged_event import LoggedEvent

EXIT_NOT_FOUND = 1
_LOG_FILE = click.File("r", errors="replace")


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=_LOG_FILE)
@click.pass_context
def explain(context: click.Context, request_id: str, files: tuple[TextIO, ...]) -> None:
    """Tell what happened to a request, from logs of entry VMs.

    REQUEST_ID is the id that the caller sent, or the one in the answer's
    Plankspindle-Log-Id. FILES are logs of any number of VMs; standard input if none are
    given.
    """
    lines = chain.from_iterable(files or (sys.stdin,))
    story = RequestStory.read(request_id, lines)
    if not story.steps:
        click.echo(_not_found(story), err=True)
        raise SystemExit(EXIT_NOT_FOUND)
    show_result(context, _as_mapping(story), render_story(story))


def render_story(story: RequestStory) -> list[str]:
    """Write a story as lines of text.

    Parameters
    ----------
    story : RequestStory
        A request of which at least one event is known.
    """
    vms = sorted({each.vm for each in story.steps})
    lines = [f"request {story.request} on {', '.join(vms)}"]
    lines += [_render(story, each) for each in story.steps]
    if story.around:
        lines.append("at that time:")
        lines += [_render(story, each) for each in story.around]
    if story.lines_dropped:
        lines.append(f"these logs lack {story.lines_dropped} lines that were dropped")
    return [*lines, cause_of(story)]


def _render(story: RequestStory, event: LoggedEvent) -> str:
    since_ms = (event.at - story.steps[0].at).total_seconds() * 1000
    fields = " ".join(f"{key}={each}" for key, each in event.fields.items())
    when = event.at.strftime("%H:%M:%S.%f")[:-3]
    return f"  {when} {since_ms:+7.0f} ms  {event.vm}  {event.event}  {fields}".rstrip()


def _not_found(story: RequestStory) -> str:
    text = (
        f"none of {story.lines} lines names request {story.request!r}: give the logs of"
        " all entry VMs; of requests that were served in time only some are logged"
    )
    if story.lines_dropped:
        text += f"; {story.lines_dropped} lines were dropped"
    return text


def _as_mapping(story: RequestStory) -> dict[str, Any]:
    return {
        "request": story.request,
        "cause": cause_of(story),
        "steps": [_event_mapping(each) for each in story.steps],
        "around": [_event_mapping(each) for each in story.around],
        "lines_dropped": story.lines_dropped,
    }


def _event_mapping(event: LoggedEvent) -> dict[str, Any]:
    return {
        "time": event.at.isoformat(),
        "vm": event.vm,
        "event": event.event,
        **event.fields,
    }
