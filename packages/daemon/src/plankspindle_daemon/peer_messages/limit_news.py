"""What an entry VM has learned of the limit of an upstream."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class LimitNews:
    """An upstream names a limit over all entry VMs, or none any more.

    Parameters
    ----------
    sender : str
        Name of the VM that learned it.
    life : str
        Life of the upstream.
    limit_per_s : float
        Requests a second that it takes from all of them.
    is_lifted : bool
        Whether it names none any more; the limit says nothing then.
    ago_ms : int
        Age of what is told: of the answer that named the limit, or of the request
        whose answer named none.
    """

    sender: str
    life: str
    limit_per_s: float
    is_lifted: bool
    ago_ms: int
