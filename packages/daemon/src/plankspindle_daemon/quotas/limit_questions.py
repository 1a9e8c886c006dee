"""Questions between entry VMs whether a limit of an upstream has ended."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.limit_news import LimitNews
from plankspindle_daemon.peer_messages.limit_question import LimitQuestion
from plankspindle_daemon.peer_messages.peer_message import SendToPeer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter

ASKED_VMS = 3
"""Entry VMs that are asked at once whether a limit has ended."""


@define(kw_only=True)
class LimitQuestions:
    """Ask other VMs about limits that requests lack tokens of, and answer them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    membership : Membership
        Other entry VMs.
    random : Random
        Source of the choice of VMs that are asked.

    Attributes
    ----------
    unlimited_sent_at : callable
        Returns when the last request was sent that an upstream answered to this VM
        without a limit, monotonic seconds; None if there was none.

    Notes
    -----
    A VM without a limit tells nobody of answers that announce none. It may have
    restarted, or have ended the limit by answers that are too old for an announcement
    which only another VM heard. With a limit near zero, that one would get hardly any
    answers of its own, and keep the limit for minutes.
    """

    vm: str
    membership: Membership
    random: Random
    unlimited_sent_at: Callable[[str], float | None] = lambda _incarnation_id: None

    def ask(
        self, limiter_by_incarnation: Mapping[str, FleetLimiter], now: float
    ) -> list[SendToPeer]:
        """Return the questions that are due, each to a few VMs.

        Parameters
        ----------
        limiter_by_incarnation : mapping of str to FleetLimiter
            Limits that this VM keeps.
        now : float
            Monotonic seconds.
        """
        questions: list[SendToPeer] = []
        for incarnation_id, limiter in limiter_by_incarnation.items():
            if limiter.is_question_due(now):
                limiter.record_question(now)
                age_ms = int(1000 * (now - limiter.announced_at))
                questions += self._ask_some(incarnation_id, age_ms)
        return questions

    def _ask_some(self, incarnation_id: str, age_ms: int) -> list[SendToPeer]:
        question = LimitQuestion(sender=self.vm, life=incarnation_id, ago_ms=age_ms)
        members = list(self.membership.members_by_name.values())
        asked = self.random.sample(members, min(ASKED_VMS, len(members)))
        return [SendToPeer(message=question, to=each.peer_endpoint) for each in asked]

    def answer(
        self,
        question: LimitQuestion,
        limiter: FleetLimiter | None,
        reply_to: Endpoint,
        now: float,
    ) -> list[SendToPeer]:
        """Answer with a later answer of the upstream that announced no limit.

        Parameters
        ----------
        question : LimitQuestion
            The question.
        limiter : FleetLimiter, optional
            The limit, if this VM keeps it, too.
        reply_to : Endpoint
            Address of the VM that asks.
        now : float
            Monotonic seconds.
        """
        heard_at = self.unlimited_sent_at(question.life) or -math.inf
        if limiter is not None or heard_at <= now - question.ago_ms / 1000:
            return []
        # The number stands for one answer, which counts once however often it is told.
        number = stable_hash(f"{self.vm} {question.life} {heard_at}") >> 1
        answer = LimitNews(
            sender=self.vm,
            life=question.life,
            limit_per_s=0.0,
            is_silent=True,
            number=number,
            ago_ms=math.ceil(1000 * (now - heard_at)),
        )
        return [SendToPeer(message=answer, to=reply_to)]
