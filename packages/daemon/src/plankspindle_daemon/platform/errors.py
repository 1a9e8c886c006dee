"""Error values of calls to the platform."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen
class PlatformUnavailable:
    """The platform returned no usable answer; a write may still have taken effect.

    Parameters
    ----------
    detail : str
        Description of the failure.
    tried : bool
        Whether the call was made; if not, the error is no evidence about the
        platform's present state.
    """

    detail: str
    tried: bool = True


@frozen
class ConditionFailed:
    """A transaction was rejected, since rows did not have the expected versions.

    Parameters
    ----------
    keys : tuple of str
        Keys of the rows that differed.
    """

    keys: tuple[str, ...]
