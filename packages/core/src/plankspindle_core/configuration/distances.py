"""Declared one-way delays."""

from __future__ import annotations

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Distances:
    """One-way delays in milliseconds, declared by operators.

    Parameters
    ----------
    between_failure_domains_ms : float
        Between two failure domains of one region.
    between_regions_ms : float
        Between two regions.
    to_callers_ms : float
        Between a caller and the nearest entry VM.
    """

    between_failure_domains_ms: float = field(default=1.0, validator=validators.ge(0))
    between_regions_ms: float = field(default=20.0, validator=validators.ge(0))
    to_callers_ms: float = field(default=5.0, validator=validators.ge(0))
