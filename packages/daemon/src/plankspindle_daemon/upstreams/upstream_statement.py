"""Statements of an upstream about itself in the headers of an answer."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class UpstreamStatement:
    """Statements of one answer, as parsed by the adapter of its protocol.

    Parameters
    ----------
    limit_per_s : float, optional
        Requests per second that the upstream accepts from all entry VMs together; None
        if it announces no limit.
    is_leaving : bool
        Whether it announces that it is leaving.
    retry_after_s : float, optional
        Time for which it accepts no request from this VM, in seconds, announced when it
        rejected one; None if not given.
    unreadable : tuple of str
        Statements that could not be parsed, each with the reason; they are ignored.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    unreadable: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the answer contains no statement."""
        return self == NO_STATEMENT


NO_STATEMENT = UpstreamStatement()
