"""Update on the rate limit that an upstream announced."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class LimitNews:
    """An answer of an upstream announced a fleet-wide limit, or omitted it.

    Parameters
    ----------
    sender : str
        Name of the VM that received the answer.
    life : str
        Incarnation id of the upstream.
    limit_per_s : float
        Requests per second that the upstream accepts from all entry VMs together.
    is_silent : bool
        Whether the answer omitted the limit; ``limit_per_s`` has no meaning then.
    number : int
        Random id of the answer, since an update is sent more than once.
    ago_ms : int
        Age of the answer that announced the limit, or of the request whose answer
        omitted it.
    """

    sender: str
    life: str
    limit_per_s: float
    is_silent: bool
    number: int
    ago_ms: int
