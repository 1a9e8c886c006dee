"""Outcomes for requests that need a token."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class TokenTaken:
    """A request has its token."""

    ticket: int


@frozen(kw_only=True)
class TokenRefused:
    """A request gets no token now.

    Parameters
    ----------
    ticket : int
        The request.
    retry_after_s : float
        Time after which to retry, in seconds.
    is_over_quota : bool
        Whether the workspace has used up its quota; otherwise no holder was reached.
    """

    ticket: int
    retry_after_s: float
    is_over_quota: bool
