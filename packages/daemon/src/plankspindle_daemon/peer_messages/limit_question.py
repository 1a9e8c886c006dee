"""Question whether a limit that an upstream announced has ended."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class LimitQuestion:
    """The sender keeps a limit, and asks for later answers of the upstream.

    Parameters
    ----------
    sender : str
        Name of the VM that keeps it.
    life : str
        Incarnation id of the upstream.
    ago_ms : int
        Age of the last answer that announced it, as far as the sender knows.
    """

    sender: str
    life: str
    ago_ms: int
