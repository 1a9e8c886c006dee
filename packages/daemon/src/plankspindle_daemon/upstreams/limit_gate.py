"""What one entry VM may send to an upstream that names a limit over all of them."""

from __future__ import annotations

from collections import deque

from attrs import Factory

from plankspindle_core.classes import define

ASK_S = 0.03
"""Longest time for which a request waits for a token, rather than go elsewhere, in s.

That is the way to the holder of the own region and back, with room for a busy one.
"""
LIFTING_ANSWERS = 4
LIFTING_S = 1.0
"""Answers in a row without a limit, and the time from first to last, that end it.

One answer without it says little: an upstream that fails a request may leave it out.
"""
TOKEN_S = 0.5
"""Life of a token that no request has used, in seconds.

Tokens are counted when they are given: one that is used late counts in a later window.
"""


@define(kw_only=True)
class LimitGate:
    """Tokens for one life of an upstream, of which each request needs one.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the upstream takes from all entry VMs together.
    heard_at : float
        When an answer last named it, here or elsewhere, monotonic seconds.

    Attributes
    ----------
    used : int
        Tokens that requests have used here.
    """

    limit_per_s: float
    heard_at: float
    used: int = 0
    _token_ends: deque[float] = Factory(deque)
    _silent_at_by_number: dict[int, float] = Factory(dict)
    _asked_until: float = 0.0
    _closed_until: float = 0.0

    @property
    def is_doubted(self) -> bool:
        """Whether an answer since the limit was last named did not name it."""
        return bool(self._silent_at_by_number)

    def note_named(self, limit_per_s: float, heard_at: float) -> None:
        """Take that an answer named the limit."""
        if heard_at >= self.heard_at:
            self.limit_per_s, self.heard_at = limit_per_s, heard_at
            self._silent_at_by_number.clear()

    def note_silent(self, number: int, sent_at: float) -> None:
        """Take that an answer named no limit.

        Parameters
        ----------
        number : int
            Number of the answer, the same at all entry VMs that hear of it.
        sent_at : float
            When its request was sent, monotonic seconds; a limit that was named later
            than that is not in doubt.
        """
        if sent_at > self.heard_at:
            self._silent_at_by_number[number] = sent_at

    def is_lifted(self) -> bool:
        """Tell whether enough answers in a row have named no limit."""
        times = self._silent_at_by_number.values()
        if len(times) < LIFTING_ANSWERS:
            return False
        return max(times) - min(times) >= LIFTING_S

    def has_token(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        while self._token_ends and self._token_ends[0] <= now:
            self._token_ends.popleft()
        return bool(self._token_ends)

    def take(self, now: float) -> None:
        """Use a token for a request that starts."""
        if self.has_token(now):
            self._token_ends.popleft()
            self.used += 1

    def is_asking(self, now: float) -> bool:
        """Tell whether a token is on its way that is worth waiting for."""
        return now < self._asked_until

    def may_ask(self, now: float) -> bool:
        """Tell whether a token can be asked for."""
        return not self.is_asking(now) and now >= self._closed_until

    def opens_at(self, now: float) -> float:
        """Give when the next token may be had, monotonic seconds."""
        return now if self.has_token(now) else max(now, self._closed_until)

    def note_asked(self, now: float) -> None:
        """Record that a token was asked for."""
        self._asked_until = now + ASK_S

    def add_token(self, now: float) -> None:
        """Take a token that was given."""
        self._asked_until = 0.0
        self._token_ends.append(now + TOKEN_S)

    def close(self, until: float) -> None:
        """Record that no token is to be had until a time, monotonic seconds."""
        self._asked_until = 0.0
        self._closed_until = until


def life_of(upstream: str, incarnation: int) -> str:
    """Name one life of an upstream, at all entry VMs alike."""
    return f"{upstream}#{incarnation}"
