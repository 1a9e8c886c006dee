"""What an upstream says of itself in the head of an answer."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class UpstreamStatement:
    """Statements of one answer, as the adapter of its protocol has read them.

    Parameters
    ----------
    limit_per_s : float, optional
        Requests a second that the upstream takes from all entry VMs together; None if
        it names no limit.
    is_leaving : bool
        Whether it says that it leaves.
    retry_after_s : float, optional
        Time for which it wants no request from this VM, in seconds, as it turned one
        away; None if it does not say.
    unreadable : tuple of str
        Statements that could not be read, and why; they count as not made.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    unreadable: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the upstream says nothing of itself."""
        return self == NO_STATEMENT


NO_STATEMENT = UpstreamStatement()
