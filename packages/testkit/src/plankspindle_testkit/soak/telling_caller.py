"""What all callers of a soak have and note."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define

from plankspindle_core import header_names
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.builders import BRONZE_KEY
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.promises import Observations
from plankspindle_testkit.soak.promises import Told
from plankspindle_testkit.soak.telling import is_own
from plankspindle_testkit.soak.telling import log_id_of
from plankspindle_testkit.soak.telling import outcome_of

if TYPE_CHECKING:
    from plankspindle_core.http.fetch import HttpAnswer

AUTHORIZATION = (header_names.AUTHORIZATION, b"Bearer " + BRONZE_KEY.encode())


@define(kw_only=True)
class TellingCaller:
    """Mark requests, and note what was told of each.

    Parameters
    ----------
    name : str
        Part of the marks of its requests.
    layout : Layout
        Where entry VMs are reached.
    seen : Observations
        Where to note what was told.
    began_at : float
        Start of the soak, monotonic seconds.
    random : Random
        Source of choices.
    """

    name: str
    layout: Layout
    seen: Observations
    began_at: float
    random: Random
    sent: int = 0

    def now(self) -> float:
        """Seconds of the soak."""
        return monotonic() - self.began_at

    def next_mark(self) -> str:
        """Mark the next request."""
        self.sent += 1
        return f"{self.name}-{self.sent}"

    def note(
        self,
        answer: HttpAnswer | None,
        *,
        mark: str,
        vm: str,
        is_read: bool,
        asked_at: float,
        timeout_ms: int,
        is_cut: bool = False,
    ) -> Told:
        """Note what was told of a request.

        Parameters
        ----------
        answer : HttpAnswer or None
            Its answer; None if none came.
        mark, vm : str
            Its mark, and where it was sent.
        is_read : bool
            Whether it may run more than once.
        asked_at : float
            When it was sent, seconds of the soak.
        timeout_ms : int
            Time that it was given, in milliseconds.
        is_cut : bool
            Whether its connection closed without a whole answer.
        """
        told = Told(
            mark=mark,
            request="" if answer is None else log_id_of(answer),
            vm=vm,
            may_repeat=is_read,
            outcome=None if answer is None else outcome_of(answer),
            is_own=answer is not None and is_own(answer, mark),
            asked_at=asked_at,
            told_at=self.now(),
            deadline=asked_at + timeout_ms / 1000,
            is_cut=is_cut,
        )
        self.seen.told.append(told)
        return told
