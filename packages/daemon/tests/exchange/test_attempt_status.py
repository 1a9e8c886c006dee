"""Tests of the status that a completed attempt reports."""

from __future__ import annotations

from typing import Any
from typing import cast

import curio
import h11
import pytest

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.exchange.attempt import Attempt
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_testkit.builders import build_ticket


@pytest.mark.parametrize("status", [None, 200, 500])
def test_status_of_the_answer_is_reported(status: int | None) -> None:
    ticket = build_ticket(1)
    unused = cast("Any", None)
    attempt = Attempt(
        number=1,
        outgoing=unused,
        ticket=ticket,
        assigned=Assign(
            ticket=ticket, upstream="u", endpoint=Endpoint("127.0.0.1", 9001)
        ),
        timeout=unused,
        pool=unused,
        record=unused,
        trace=RequestTrace(
            request_id="r", id_is_from_caller=False, started_at=0.0, started_at_unix=0.0
        ),
    )
    if status is not None:
        attempt.head = h11.Response(status_code=status, headers=[])
    completed = curio.run(attempt.end, AttemptOutcome.ANSWERED)
    assert completed is not None
    assert completed.status == status
