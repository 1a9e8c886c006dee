"""A workspace: API keys, priority class, quota and home regions of a customer."""

from __future__ import annotations

import re

from attrs import Factory
from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen

_DIGEST = re.compile("[0-9a-f]{64}")


@frozen(kw_only=True)
class Workspace:
    """A customer whose API keys share a priority class, a quota and home regions.

    Parameters
    ----------
    key_sha256s : list of str
        SHA-256 of each of its API keys in hexadecimal; the keys themselves are not
        stored.
    priority_class : str, optional
        Priority class of its requests, which overrides that of the route; None to use
        that of the route.
    rate_per_s : float
        Requests per second that it may send through all entry VMs together; unlimited
        if zero.
    burst : float
        Requests that it may send at once beyond that rate.
    home_regions : list of str
        The only regions that may serve it; any region if empty.
    """

    key_sha256s: list[str] = field(
        factory=list,
        validator=validators.deep_iterable(validators.matches_re(_DIGEST)),
    )
    priority_class: str | None = None
    rate_per_s: float = field(default=0.0, validator=validators.ge(0))
    burst: float = field(default=0.0, validator=validators.ge(0))
    home_regions: list[str] = Factory(list)

    @property
    def is_limited(self) -> bool:
        """Whether it has a quota."""
        return self.rate_per_s > 0
