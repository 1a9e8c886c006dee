"""Outcome, log id and identity of an answer."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from plankspindle_core import header_names
from plankspindle_core.http.headers import find_header
from plankspindle_core.outcome import Outcome

if TYPE_CHECKING:
    from plankspindle_core.http.fetch import HttpAnswer


def read_outcome(answer: HttpAnswer) -> Outcome | None:
    """Return the reported outcome; None if the answer has none."""
    text = find_header(answer.headers, header_names.OUTCOME)
    return None if text is None else Outcome(text.decode())


def read_log_id(answer: HttpAnswer) -> str:
    """Return the id of the request in log lines; empty if the answer has none."""
    return (find_header(answer.headers, header_names.LOG_ID) or b"").decode()


def answers_request(answer: HttpAnswer, mark: str) -> bool:
    """Return whether an answer names the request, or is a failure of the upstream."""
    if answer.status >= 500:
        return True
    try:
        return bool(json.loads(answer.body)["path"] == f"/{mark}")
    except (ValueError, KeyError, TypeError):
        return False
