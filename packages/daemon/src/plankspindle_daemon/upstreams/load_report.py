"""Load reports of upstreams."""

from __future__ import annotations

import math

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.errors import Unreadable
from plankspindle_core.read_json import read_json

MAX_REPORT_AGE_S = 3.0
MAX_COUNT = 1_000_000
"""Upper bound on reported counts; larger values are cut to it."""


@frozen(kw_only=True)
class LoadReport:
    """Load that an upstream reports.

    Reports lag and may be wrong, so they never raise a limit.

    Parameters
    ----------
    in_flight : int
        Requests that the upstream reports as running.
    slots : int
        Slots that it reports.
    leaving : bool
        Whether it is leaving.
    leaves_at : float, optional
        Planned time of leaving, seconds since the Unix epoch.
    """

    in_flight: int = 0
    slots: int = 1
    leaving: bool = False
    leaves_at: float | None = None

    @property
    def utilisation(self) -> float:
        """Share of its slots in use, from 0 to 1."""
        return min(1.0, max(0.0, self.in_flight / max(1, self.slots)))


def parse_load_report(body: bytes) -> Result[LoadReport, Unreadable]:
    """Parse the JSON body of an upstream's load endpoint.

    Parameters
    ----------
    body : bytes
        JSON object with ``in_flight``, ``slots``, ``leaving`` and ``leaves_at``.

    Returns
    -------
    Result
        The report, or the reason why it is invalid.
    """
    try:
        document = read_json(body)
        leaves_at = document.get("leaves_at")
        if leaves_at is not None and not math.isfinite(leaves_at):
            return Err(
                Unreadable(f"leaves_at must be a finite number, got {leaves_at!r}")
            )
        return Ok(
            LoadReport(
                in_flight=_count(document.get("in_flight", 0)),
                slots=_count(document.get("slots", 1)),
                leaving=bool(document.get("leaving", False)),
                leaves_at=None if leaves_at is None else float(leaves_at),
            )
        )
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        return Err(Unreadable(str(error)))


def _count(value: object) -> int:
    return min(MAX_COUNT, max(0, int(value)))  # type: ignore[call-overload,no-any-return]
