"""What one entry VM may send to an upstream that names a limit over all of them."""

from __future__ import annotations

from collections import deque

from attrs import Factory

from plankspindle_core.classes import define

TOKEN_WAIT_S = 0.03
"""Longest time for which a request waits for a token, rather than go elsewhere, in s.

That is the way to the holder of the own region and back, with room for a busy one.
"""
LIFT_AFTER_ANSWERS = 4
LIFT_AFTER_S = 1.0
"""Answers in a row without a limit, and the time from first to last, that end it.

One answer without it says little: an upstream that fails a request may leave it out.
"""
TOKEN_LIFETIME_S = 0.5
"""Life of a token that no request has used, in seconds.

Tokens are counted when they are given: one that is used late counts in a later window.
"""


@define(kw_only=True)
class FleetLimiter:
    """Tokens for one life of an upstream, of which each request needs one.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the upstream takes from all entry VMs together.
    announced_at : float
        When an answer last named it, here or elsewhere, monotonic seconds.

    Attributes
    ----------
    used : int
        Tokens that requests have used here.
    """

    limit_per_s: float
    announced_at: float
    used: int = 0
    _token_expiries: deque[float] = Factory(deque)
    _sent_at_by_answer_without_limit: dict[int, float] = Factory(dict)
    _pending_until: float = 0.0
    _blocked_until: float = 0.0

    @property
    def has_answers_without_limit(self) -> bool:
        """Whether an answer since the limit was last named did not name it."""
        return bool(self._sent_at_by_answer_without_limit)

    def record_limit(self, limit_per_s: float, announced_at: float) -> None:
        """Take that an answer named the limit."""
        if announced_at >= self.announced_at:
            self.limit_per_s, self.announced_at = limit_per_s, announced_at
            self._sent_at_by_answer_without_limit.clear()

    def record_answer_without_limit(self, number: int, sent_at: float) -> None:
        """Take that an answer named no limit.

        Parameters
        ----------
        number : int
            Number of the answer, the same at all entry VMs that hear of it.
        sent_at : float
            When its request was sent, monotonic seconds; a limit that was named later
            than that is not in doubt.
        """
        if sent_at > self.announced_at:
            self._sent_at_by_answer_without_limit[number] = sent_at

    def is_lifted(self) -> bool:
        """Tell whether enough answers in a row have named no limit."""
        times = self._sent_at_by_answer_without_limit.values()
        if len(times) < LIFT_AFTER_ANSWERS:
            return False
        return max(times) - min(times) >= LIFT_AFTER_S

    def has_token(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        while self._token_expiries and self._token_expiries[0] <= now:
            self._token_expiries.popleft()
        return bool(self._token_expiries)

    def use_token(self, now: float) -> None:
        """Use a token for a request that starts."""
        if self.has_token(now):
            self._token_expiries.popleft()
            self.used += 1

    def has_pending_request(self, now: float) -> bool:
        """Tell whether a token is on its way that is worth waiting for."""
        return now < self._pending_until

    def may_request_token(self, now: float) -> bool:
        """Tell whether a token can be asked for."""
        return not self.has_pending_request(now) and now >= self._blocked_until

    def next_token_at(self, now: float) -> float:
        """Give when the next token may be had, monotonic seconds."""
        return now if self.has_token(now) else max(now, self._blocked_until)

    def record_token_request(self, now: float) -> None:
        """Record that a token was asked for."""
        self._pending_until = now + TOKEN_WAIT_S

    def add_token(self, now: float) -> None:
        """Take a token that was given."""
        self._pending_until = 0.0
        self._token_expiries.append(now + TOKEN_LIFETIME_S)

    def block(self, until: float) -> None:
        """Record that no token is to be had until a time, monotonic seconds."""
        self._pending_until = 0.0
        self._blocked_until = until


def incarnation_id_of(upstream: str, incarnation: int) -> str:
    """Name one life of an upstream, at all entry VMs alike."""
    return f"{upstream}#{incarnation}"
