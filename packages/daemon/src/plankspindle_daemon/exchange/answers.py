"""Answers that this daemon itself sends to callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from plankspindle_core import header_names
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.traces.request_trace import Completion

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_core.http.server_exchange import ServerExchange
    from plankspindle_daemon.exchange.caller_request import BadRequest
    from plankspindle_daemon.exchange.dialect import Dialect
    from plankspindle_daemon.exchange.messages import AnswerCaller
    from plankspindle_daemon.traces.request_trace import RequestTrace

DEFAULT_RETRY_AFTER_S = 0.5
_UNAUTHORIZED = 401
_TOO_MANY = 429
_UNAVAILABLE = 503
_STATUSES_WITH_RETRY_AFTER = (_TOO_MANY, _UNAVAILABLE)
_TEXT = (b"content-type", b"text/plain")


async def answer_with_outcome(
    source: ServerExchange, answer: AnswerCaller, dialect: Dialect, trace: RequestTrace
) -> None:
    """Answer a caller with the outcome of its request, as far as it is known.

    Parameters
    ----------
    source : ServerExchange
        HTTP exchange with the caller.
    answer : AnswerCaller
        Status, outcome and reason to send.
    dialect : Dialect
        Authentication scheme, and format of ``Retry-After``.
    trace : RequestTrace
        Trace of the request.
    """
    headers = [
        (header_names.OUTCOME, answer.outcome.value.encode()),
        (header_names.REASON, answer.reason.encode()),
        _TEXT,
        *_log_id(trace),
    ]
    retry_after_s = None
    if answer.status == _UNAUTHORIZED:
        headers.append((b"www-authenticate", dialect.key_scheme.encode()))
    if answer.status in _STATUSES_WITH_RETRY_AFTER:
        retry_after_s = answer.retry_after_s or DEFAULT_RETRY_AFTER_S
        rounds_up = not dialect.fractional_retry_after
        seconds = (
            f"{math.ceil(retry_after_s) if rounds_up else retry_after_s:.3g}".encode()
        )
        headers.append((header_names.RETRY_AFTER, seconds))
        exact_ms = str(math.ceil(retry_after_s * 1000)).encode()
        headers.append((header_names.RETRY_AFTER_MS, exact_ms))
    trace.complete(
        _COMPLETION_BY_OUTCOME[answer.outcome],
        status=answer.status,
        reason=answer.reason,
        retry_after_s=retry_after_s,
    )
    body = f"{answer.outcome.value}: {answer.reason}\n".encode()
    await source.answer(status=answer.status, headers=headers, body=body)


_COMPLETION_BY_OUTCOME = {
    Outcome.DONE: Completion.SERVED,
    Outcome.NOT_RUN: Completion.NOT_RUN,
    Outcome.UNKNOWN: Completion.UNKNOWN,
}


async def refuse(
    source: ServerExchange,
    error: BadRequest,
    trace: RequestTrace | None = None,
    *,
    key_scheme: str = "Bearer",
) -> None:
    """Reject a request that was not run, with what the caller must change.

    Parameters
    ----------
    source : ServerExchange
        HTTP exchange with the caller.
    error : BadRequest
        Status, and what is wrong with the request.
    trace : RequestTrace, optional
        Trace of the request, if it is for a service.
    key_scheme : str
        Authentication scheme under which callers send API keys.
    """
    headers: HeaderList = [
        _TEXT,
        (header_names.OUTCOME, Outcome.NOT_RUN.value.encode()),
    ]
    if error.status == _UNAUTHORIZED:
        headers.append((b"www-authenticate", key_scheme.encode()))
    if error.status == _UNAVAILABLE:
        headers.append((header_names.RETRY_AFTER, b"1"))
    if trace is not None:
        headers += _log_id(trace)
        completion = (
            Completion.NOT_RUN if error.status == _UNAVAILABLE else Completion.REFUSED
        )
        trace.complete(completion, status=error.status, reason=error.reason)
    await source.answer(
        status=error.status, headers=headers, body=(error.reason + "\n").encode()
    )


def _log_id(trace: RequestTrace) -> HeaderList:
    """Return a header with the id of the request in logs, unless the caller set it."""
    if trace.id_is_from_caller:
        return []
    return [(header_names.LOG_ID, trace.request_id.encode("latin-1", "replace"))]
