"""How an upstream stand-in behaves."""

from __future__ import annotations

from enum import Enum

from attrs import define


class Mode(Enum):
    """How an upstream stand-in handles a request."""

    SERVE = "serve"
    SHED = "shed"
    FAIL = "fail"
    HANG = "hang"
    TRUNCATE = "truncate"
    CLOSE_AFTER_RUN = "close-after-run"
    EXTRA_BYTES = "extra-bytes"


@define(kw_only=True)
class Behaviour:
    """Present behaviour of an upstream stand-in.

    Parameters
    ----------
    mode : Mode
        How requests are handled.
    service_ms : float
        Duration of a request, in milliseconds.
    claims_idle : bool
        Whether the load report always shows no requests in flight.
    leaving : bool
        Whether the load report shows that the upstream is leaving.
    leaves_at : float, optional
        Planned time of leaving, seconds since the Unix epoch.
    crash_path : str, optional
        Path whose requests end the process.
    fail_every : int
        Answer every so many-th request with status 500; zero for none.
    """

    mode: Mode = Mode.SERVE
    service_ms: float = 5.0
    claims_idle: bool = False
    leaving: bool = False
    leaves_at: float | None = None
    crash_path: str | None = None
    fail_every: int = 0
