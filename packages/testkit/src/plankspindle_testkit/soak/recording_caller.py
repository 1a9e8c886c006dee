"""Base class of the callers of a soak."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define

from plankspindle_core import header_names
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.builders import BRONZE_KEY
from plankspindle_testkit.soak.answer_reading import answers_request
from plankspindle_testkit.soak.answer_reading import read_log_id
from plankspindle_testkit.soak.answer_reading import read_outcome
from plankspindle_testkit.soak.guarantees import AttemptRecord
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.layout import Layout

if TYPE_CHECKING:
    from plankspindle_core.http.fetch import HttpAnswer

AUTHORIZATION = (header_names.AUTHORIZATION, b"Bearer " + BRONZE_KEY.encode())


@define(kw_only=True)
class RecordingCaller:
    """Caller that marks its requests and records the result of each attempt.

    Parameters
    ----------
    name : str
        Prefix of the marks of its requests.
    layout : Layout
        Addresses of the entry VMs.
    observations : Observations
        Records the attempts.
    began_at : float
        Start of the soak, monotonic seconds.
    random : Random
        Source of random choices.
    """

    name: str
    layout: Layout
    observations: Observations
    began_at: float
    random: Random
    sent: int = 0

    def now(self) -> float:
        """Time since the start of the soak, in seconds."""
        return monotonic() - self.began_at

    def next_mark(self) -> str:
        """Return the mark of the next request."""
        self.sent += 1
        return f"{self.name}-{self.sent}"

    def record_attempt(
        self,
        answer: HttpAnswer | None,
        *,
        mark: str,
        vm: str,
        is_read: bool,
        sent_at: float,
        timeout_ms: int,
        is_cut_off: bool = False,
    ) -> AttemptRecord:
        """Record the result of one attempt.

        Parameters
        ----------
        answer : HttpAnswer or None
            The answer; None if there was none.
        mark, vm : str
            Mark of the request, and VM that it was sent to.
        is_read : bool
            Whether the request may run more than once.
        sent_at : float
            Time of sending, seconds since the start of the soak.
        timeout_ms : int
            Timeout of the request, in milliseconds.
        is_cut_off : bool
            Whether the connection closed without a complete answer.
        """
        attempt = AttemptRecord(
            mark=mark,
            log_id="" if answer is None else read_log_id(answer),
            vm=vm,
            is_idempotent=is_read,
            outcome=None if answer is None else read_outcome(answer),
            is_own_answer=answer is not None and answers_request(answer, mark),
            sent_at=sent_at,
            completed_at=self.now(),
            deadline=sent_at + timeout_ms / 1000,
            is_cut_off=is_cut_off,
        )
        self.observations.attempts.append(attempt)
        return attempt
