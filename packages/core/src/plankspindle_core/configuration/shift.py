"""A confirmed shift of a share of a service's requests to another region."""

from __future__ import annotations

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Shift:
    """Move up to a share of a service's requests out of one region.

    Parameters
    ----------
    service : str
        Service whose requests move.
    from_region : str
        Region that the requests are moved out of.
    to_region : str
        Region that they are moved to.
    cap_percent : float
        Largest share of the requests received in ``from_region`` that may be moved, in
        percent.
    ramp_s : float
        Time over which the moved share grows from zero to the cap, in seconds, so that
        the caches of the receiving region can warm up.
    """

    service: str
    from_region: str
    to_region: str
    cap_percent: float = field(validator=[validators.ge(0), validators.le(100)])
    ramp_s: float = field(default=30.0, validator=validators.ge(0))
