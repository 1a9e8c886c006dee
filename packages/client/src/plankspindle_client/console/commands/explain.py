"""``plankspindle explain``: what happened to one request."""

from __future__ import annotations

import sys
from itertools import chain
from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import print_result
from plankspindle_client.explaining.cause import describe_cause
from plankspindle_client.explaining.request_trace import RequestTrace

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
    trace = RequestTrace.from_lines(request_id, lines)
    if not trace.steps:
        click.echo(_not_found(trace), err=True)
        raise SystemExit(EXIT_NOT_FOUND)
    print_result(context, _trace_mapping(trace), render_trace(trace))


def render_trace(trace: RequestTrace) -> list[str]:
    """Render a trace as lines of text.

    Parameters
    ----------
    trace : RequestTrace
        Trace with at least one event of the request.
    """
    vms = sorted({each.vm for each in trace.steps})
    lines = [f"request {trace.request} on {', '.join(vms)}"]
    lines += [_render(trace, each) for each in trace.steps]
    if trace.context_events:
        lines.append("at that time:")
        lines += [_render(trace, each) for each in trace.context_events]
    if trace.dropped_line_count:
        lines.append(
            f"these logs lack {trace.dropped_line_count} lines that were dropped"
        )
    return [*lines, describe_cause(trace)]


def _render(trace: RequestTrace, event: LoggedEvent) -> str:
    since_ms = (event.at - trace.steps[0].at).total_seconds() * 1000
    fields = " ".join(f"{key}={each}" for key, each in event.fields.items())
    when = event.at.strftime("%H:%M:%S.%f")[:-3]
    return f"  {when} {since_ms:+7.0f} ms  {event.vm}  {event.event}  {fields}".rstrip()


def _not_found(trace: RequestTrace) -> str:
    text = (
        f"none of {trace.line_count} lines names request {trace.request!r}: give the"
        " logs of all entry VMs; of requests that were served in time only some are"
        " logged"
    )
    if trace.dropped_line_count:
        text += f"; {trace.dropped_line_count} lines were dropped"
    return text


def _trace_mapping(trace: RequestTrace) -> dict[str, Any]:
    return {
        "request": trace.request,
        "cause": describe_cause(trace),
        "steps": [_event_mapping(each) for each in trace.steps],
        "around": [_event_mapping(each) for each in trace.context_events],
        "lines_dropped": trace.dropped_line_count,
    }


def _event_mapping(event: LoggedEvent) -> dict[str, Any]:
    return {
        "time": event.at.isoformat(),
        "vm": event.vm,
        "event": event.event,
        **event.fields,
    }
