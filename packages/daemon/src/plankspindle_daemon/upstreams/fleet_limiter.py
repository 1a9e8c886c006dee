"""Tokens of one entry VM for an upstream with a limit over all entry VMs."""

from __future__ import annotations

from collections import deque

from attrs import Factory

from plankspindle_core.classes import define

TOKEN_WAIT_S = 0.03
"""Maximum time for which a request waits for a token before it is placed elsewhere, s.

It covers a round trip to the holder in the local region, with a margin for a busy one.
"""
LIFT_AFTER_ANSWERS = 4
LIFT_AFTER_S = 1.0
"""Consecutive answers without a limit, and their time span in seconds, that lift it.

A single such answer is weak evidence: an upstream may omit the limit when a request
fails.
"""
TRIAL_RATE_PER_S = 0.6
TRIAL_GROWTH = 2.5
"""Lowest rate of requests to an upstream in doubt, and its growth with each answer.

Few requests reach an upstream with a limit near zero, and only their answers show its
end. The first answer without a limit makes room for the next, and so on; one that
announces the limit again takes it back.
"""
WANTED_S = 2.0
"""Time for which a request that lacked a token keeps the limit in question, in s."""
QUESTION_AFTER_S = 1.0
"""Age of the last announcement from which other VMs are asked, in seconds."""
MIN_QUESTION_GAP_S = 0.5
MAX_QUESTION_GAP_S = 4.0
"""Time between two questions, in seconds. It doubles while the limit stands."""
TOKEN_LIFETIME_S = 0.5
"""Lifetime of an unused token, in seconds.

Tokens are counted when they are granted: one that is used late counts in a later
window.
"""


@define(kw_only=True)
class FleetLimiter:
    """Tokens for one incarnation of an upstream; each request uses one.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the upstream accepts from all entry VMs together.
    announced_at : float
        When an answer last announced the limit, to this VM or another, monotonic
        seconds.

    Attributes
    ----------
    used : int
        Tokens that requests have used at this VM.
    """

    limit_per_s: float
    announced_at: float
    used: int = 0
    _token_expiries: deque[float] = Factory(deque)
    _sent_at_by_answer_without_limit: dict[int, float] = Factory(dict)
    _pending_until: float = 0.0
    _blocked_until: float = 0.0
    _wanted_until: float = 0.0
    _next_question_at: float = 0.0
    _question_gap_s: float = MIN_QUESTION_GAP_S

    @property
    def has_answers_without_limit(self) -> bool:
        """Whether an answer without a limit followed the last announcement."""
        return bool(self._sent_at_by_answer_without_limit)

    @property
    def rate_per_s(self) -> float:
        """Requests per second that may be sent, from all entry VMs together.

        This is the limit until answers put it in doubt by announcing none.
        """
        answers = len(self._sent_at_by_answer_without_limit)
        if not answers:
            return self.limit_per_s
        return max(self.limit_per_s, TRIAL_RATE_PER_S * TRIAL_GROWTH**answers)

    @property
    def heard_at(self) -> float:
        """When the latest request was sent, or answered, that the rate is based on."""
        sent_times = self._sent_at_by_answer_without_limit.values()
        return max(self.announced_at, *sent_times) if sent_times else self.announced_at

    def record_limit(self, limit_per_s: float, announced_at: float) -> None:
        """Record that an answer announced the limit."""
        if announced_at >= self.announced_at:
            self.limit_per_s, self.announced_at = limit_per_s, announced_at
            self._sent_at_by_answer_without_limit.clear()

    def record_answer_without_limit(self, number: int, sent_at: float) -> None:
        """Record that an answer announced no limit.

        Parameters
        ----------
        number : int
            Number of the answer, the same at all entry VMs that receive the update.
        sent_at : float
            When its request was sent, monotonic seconds. If the limit was announced
            later than that, the answer is ignored.
        """
        if sent_at > self.announced_at:
            rate_before = self.rate_per_s
            self._sent_at_by_answer_without_limit[number] = sent_at
            if self.rate_per_s > rate_before:
                self._blocked_until = 0.0
            self._question_gap_s = MIN_QUESTION_GAP_S
            self._next_question_at = sent_at + MIN_QUESTION_GAP_S

    def lacks_token(self, now: float) -> bool:
        """Return whether a request that wants a token now has none, and record it."""
        if self.has_token(now):
            return False
        self._wanted_until = now + WANTED_S
        return True

    def is_question_due(self, now: float) -> bool:
        """Return whether to ask other VMs now whether the limit has ended."""
        return (
            now < self._wanted_until
            and now >= self._next_question_at
            and now - self.announced_at >= QUESTION_AFTER_S
        )

    def record_question(self, now: float) -> None:
        """Record that other VMs were asked."""
        self._next_question_at = now + self._question_gap_s
        self._question_gap_s = min(MAX_QUESTION_GAP_S, 2 * self._question_gap_s)

    def is_lifted(self) -> bool:
        """Return whether enough consecutive answers have announced no limit."""
        sent_times = self._sent_at_by_answer_without_limit.values()
        if len(sent_times) < LIFT_AFTER_ANSWERS:
            return False
        return max(sent_times) - min(sent_times) >= LIFT_AFTER_S

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        while self._token_expiries and self._token_expiries[0] <= now:
            self._token_expiries.popleft()
        return bool(self._token_expiries)

    def use_token(self, now: float) -> None:
        """Use a token for a request that starts."""
        if self.has_token(now):
            self._token_expiries.popleft()
            self.used += 1

    def has_pending_request(self, now: float) -> bool:
        """Return whether a requested token is expected soon enough to wait for it."""
        return now < self._pending_until

    def may_request_token(self, now: float) -> bool:
        """Return whether a token can be requested."""
        return not self.has_pending_request(now) and now >= self._blocked_until

    def next_token_at(self, now: float) -> float:
        """Return when the next token may be available, monotonic seconds."""
        return now if self.has_token(now) else max(now, self._blocked_until)

    def record_token_request(self, now: float) -> None:
        """Record that a token was requested."""
        self._pending_until = now + TOKEN_WAIT_S

    def add_token(self, now: float) -> None:
        """Add a granted token."""
        self._pending_until = 0.0
        self._token_expiries.append(now + TOKEN_LIFETIME_S)

    def block(self, until: float) -> None:
        """Record that no token is available until a time, monotonic seconds."""
        self._pending_until = 0.0
        self._blocked_until = until


def incarnation_id_of(upstream: str, incarnation: int) -> str:
    """Return the name of one incarnation of an upstream, the same at all entry VMs."""
    return f"{upstream}#{incarnation}"
