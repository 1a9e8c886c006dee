"""Describe the cause of a request's outcome."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plankspindle_client.explaining.logged_event import LoggedEvent
    from plankspindle_client.explaining.request_trace import RequestTrace


WITHHELD = "withheld"
_CAUSES_BY_REASON = {
    "key-revoked": "Its API key was revoked while it waited, and it was not run.",
    "cut-off": (
        "The entry VM reached no upstream, no other one took the request, and it was"
        " not run: look for upstream_contact."
    ),
    "store-restoring": (
        "Its key was not claimed, and it was not run: the platform's store had returned"
        " from a copy and lacked claims until they were written again."
    ),
}


_VERSION_REASONS = {
    "baseline": "the version in force",
    "canary": "as one of the few requests of a roll-out that try the new version",
    "moving": "as a roll-out moves requests to the new version",
    "complete": "the version that a complete roll-out put in force",
    "fallback": "as no upstream of a version that should be used was listed",
}


def describe_cause(trace: RequestTrace) -> str:
    """Return a few sentences on the cause of a request's outcome.

    Parameters
    ----------
    trace : RequestTrace
        Trace with at least one event of the request.
    """
    return (
        _describe_outcome(trace)
        + _describe_relay(trace)
        + _describe_software_version(trace)
    )


def _describe_relay(trace: RequestTrace) -> str:
    """Return which entry VM served for one that reached no upstream, if any."""
    relayed = trace.last_event("request_relayed")
    if relayed is None:
        return ""
    return (
        f" {relayed.vm} reached no upstream and relayed it to"
        f" {relayed.fields.get('to')}."
    )


def _describe_software_version(trace: RequestTrace) -> str:
    """Return the software version of the last attempt, if versions share requests."""
    placed = trace.last_event("request_placed")
    if placed is None:
        return ""
    reason = placed.fields.get("software_version_reason")
    if reason is None:
        return ""
    software_version = placed.fields.get("software_version") or "unknown"
    return (
        f" It was sent to software version {software_version},"
        f" {_VERSION_REASONS.get(reason, reason)}."
    )


def _describe_outcome(trace: RequestTrace) -> str:
    end = trace.completion()
    if end is None:
        return "Its end is not in these logs: read those of all entry VMs."
    ending = end.fields.get("ending")
    if ending == "refused":
        return f"It was refused ({end.fields.get('status')}): {_reason(end)}."
    cause = _CAUSES_BY_REASON.get(_reason(end))
    if ending == "not-run" and cause is not None:
        return cause
    if ending == "caller-gone":
        return f"Its caller went away after {end.int_field('took_ms')} ms."
    blocked = trace.last_event("request_held_back")
    if blocked is not None:
        return _describe_quarantine(trace, blocked)
    token = trace.last_event("quota_token_decided")
    if token is not None and token.fields.get("taken") == "false":
        return _describe_quota_refusal(token)
    rejected = trace.last_event("request_rejected")
    attempted = trace.last_event("attempt_ended")
    if ending == "not-run" and rejected is not None and trace.steps[-2] is rejected:
        return _describe_rejection(rejected, attempted)
    if ending in ("unknown", "broken-off", "not-run") and attempted is not None:
        return _describe_attempt(trace, attempted)
    if ending == "served":
        return (
            f"It was served after {end.int_field('took_ms')} ms;"
            f" {_longest_interval(trace)}."
        )
    return f"It ended as {ending}: {_reason(end)}; {_longest_interval(trace)}."


def _reason(completion: LoggedEvent) -> str:
    return completion.fields.get("reason", "no reason was logged")


def _describe_rejection(rejected: LoggedEvent, attempted: LoggedEvent | None) -> str:
    text = (
        f"It was rejected as {rejected.fields.get('reason')}, and was not run:"
        f" {rejected.int_field('queued')} requests waited,"
        f" {rejected.int_field('in_flight')} of {rejected.int_field('capacity')} places"
        f" were in use, such a request usually takes {rejected.int_field('usual_ms')}"
        f" ms and {rejected.int_field('left_ms')} ms were left; it was told to come"
        f" back after"
        f" {rejected.int_field('retry_after_ms')} ms."
    )
    if rejected.fields.get("reason") == WITHHELD:
        text += (
            " Every upstream that may take it rests, or names a limit over all entry"
            " VMs that is used up: look for upstream_stated above."
        )
    if attempted is None:
        return text
    return f"{text} Before that, an attempt ended: {attempted.fields.get('came')}."


def _describe_quota_refusal(token: LoggedEvent) -> str:
    workspace = token.fields.get("workspace")
    waited = f"it was decided after {token.int_field('waited_ms')} ms"
    if token.fields.get("over_quota") == "true":
        return (
            f"Workspace {workspace} had used its quota, and the request was not run;"
            f" {waited}. plankspindle workspaces shows its limit."
        )
    return (
        f"No entry VM that hands out the quota of workspace {workspace} answered, and"
        f" the request was not run; {waited}."
    )


def _describe_quarantine(trace: RequestTrace, blocked: LoggedEvent) -> str:
    text = (
        f"It was held back: the same request, {blocked.fields.get('identity')}, was in"
        f" flight at several upstreams when they ended, and has been in quarantine for"
        f" {blocked.int_field('for_ms')} ms; it is let through next after"
        f" {blocked.int_field('retry_after_ms')} ms."
    )
    attempted = trace.last_event("attempt_ended")
    if attempted is None:
        return f"{text} This try was sent to no upstream."
    return f"{text} Before that: {_describe_attempt(trace, attempted)}"


def _describe_attempt(trace: RequestTrace, attempted: LoggedEvent) -> str:
    text = (
        f"Attempt {attempted.int_field('attempt')} at"
        f" {attempted.fields.get('upstream')} ended after"
        f" {attempted.int_field('took_ms')} ms: {attempted.fields.get('came')}."
    )
    ran = attempted.fields.get("ran")
    if ran == "maybe":
        text += " It may have run."
    elif ran == "no":
        text += " It has not run."
    suspected = trace.last_event("request_suspected")
    if suspected is not None:
        identity = suspected.fields.get("identity")
        text += f" It was not sent again: upstreams ended under the same, {identity}."
        return text
    decided = trace.last_event("retry_decided")
    if decided is not None and decided.fields.get("taken") == "false":
        text += f" It was not sent again: {decided.fields.get('because')}."
    return text


def _longest_interval(trace: RequestTrace) -> str:
    """Describe the longest interval between two events of a request."""
    intervals = [
        ((after.at - before.at).total_seconds() * 1000, before, after)
        for before, after in pairwise(trace.steps)
    ]
    if not intervals:
        return "nothing is known of its time"
    longest_ms, before, after = max(intervals, key=lambda each: each[0])
    return (
        f"the longest part, {longest_ms:.0f} ms, lies between {before.event} and"
        f" {after.event}{_upstream_suffix(after)}"
    )


def _upstream_suffix(event: LoggedEvent) -> str:
    upstream = event.fields.get("upstream")
    return "" if upstream is None else f" (upstream {upstream})"
