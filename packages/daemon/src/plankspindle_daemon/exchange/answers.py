"""Answers of this program's own to callers."""

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
_COME_BACK = (_TOO_MANY, _UNAVAILABLE)
_TEXT = (b"content-type", b"text/plain")


async def answer_with_outcome(
    source: ServerExchange, answer: AnswerCaller, dialect: Dialect, trace: RequestTrace
) -> None:
    """Tell a caller what is known of its request.

    Parameters
    ----------
    source : ServerExchange
        The caller's side.
    answer : AnswerCaller
        What is known.
    dialect : Dialect
        Form of the time to come back.
    trace : RequestTrace
        What happened to the request.
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
    if answer.status in _COME_BACK:
        retry_after_s = answer.retry_after_s or DEFAULT_RETRY_AFTER_S
        whole = not dialect.fractional_retry_after
        seconds = f"{math.ceil(retry_after_s) if whole else retry_after_s:.3g}".encode()
        headers.append((header_names.RETRY_AFTER, seconds))
        exact = str(math.ceil(retry_after_s * 1000)).encode()
        headers.append((b"plankspindle-retry-after-ms", exact))
    trace.complete(
        _ENDINGS[answer.outcome],
        status=answer.status,
        reason=answer.reason,
        retry_after_s=retry_after_s,
    )
    body = f"{answer.outcome.value}: {answer.reason}\n".encode()
    await source.answer(status=answer.status, headers=headers, body=body)


_ENDINGS = {
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
    """Tell a caller what to change; its request was not run.

    Parameters
    ----------
    source : ServerExchange
        The caller's side.
    error : BadRequest
        What is wrong.
    trace : RequestTrace, optional
        What happened to the request, if it is one for a service.
    key_scheme : str
        Scheme by which a key is to be sent.
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
        ending = (
            Completion.NOT_RUN if error.status == _UNAVAILABLE else Completion.REFUSED
        )
        trace.complete(ending, status=error.status, reason=error.reason)
    await source.answer(
        status=error.status, headers=headers, body=(error.reason + "\n").encode()
    )


def _log_id(trace: RequestTrace) -> HeaderList:
    """Name the id by which logs tell of the request, unless the caller chose it."""
    if trace.id_is_from_caller:
        return []
    return [(header_names.LOG_ID, trace.request_id.encode("latin-1", "replace"))]
