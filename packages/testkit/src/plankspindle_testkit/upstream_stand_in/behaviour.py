"""How an upstream stand-in behaves."""

from __future__ import annotations

from enum import Enum

from attrs import define


class Mode(Enum):
    """What an upstream stand-in does with a request."""

    SERVE = "serve"
    SHED = "shed"
    FAIL = "fail"
    HANG = "hang"
    TRUNCATE = "truncate"
    CLOSE_AFTER_RUN = "close-after-run"
    EXTRA_BYTES = "extra-bytes"


@define(kw_only=True)
class Behaviour:
    """Present behaviour.

    Parameters
    ----------
    mode : Mode
        What is done with requests.
    service_ms : float
        Time that a request takes, in milliseconds.
    claims_idle : bool
        Whether the load report says idle whatever runs.
    leaving : bool
        Whether the load report says that it is leaving.
    leaves_at : float, optional
        Planned time of leaving, seconds since the Unix epoch.
    crash_path : str, optional
        Path of a request under which the process ends.
    """

    mode: Mode = Mode.SERVE
    service_ms: float = 5.0
    claims_idle: bool = False
    leaving: bool = False
    leaves_at: float | None = None
    crash_path: str | None = None
