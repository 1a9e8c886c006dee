"""What an entry VM has heard of the limit of an upstream."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class LimitNews:
    """An upstream names a limit over all entry VMs, or did not name it once.

    Parameters
    ----------
    sender : str
        Name of the VM that heard it.
    life : str
        Life of the upstream.
    limit_per_s : float
        Requests a second that it takes from all of them.
    is_silent : bool
        Whether an answer named none; the limit says nothing then.
    number : int
        Random number of the answer, since news comes more than once.
    ago_ms : int
        Age of what is told: of the answer that named the limit, or of the request
        whose answer named none.
    """

    sender: str
    life: str
    limit_per_s: float
    is_silent: bool
    number: int
    ago_ms: int
