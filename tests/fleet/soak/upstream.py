"""An upstream of a soak, and the records of the requests that it gets."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING
from typing import Any

from attrs import Factory
from attrs import define

from plankspindle_core.endpoint import Endpoint
from soak.history import Span
from soak.layout import SLOTS
from soak.software_version import BASELINE
from soak.software_version import SoftwareVersion

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList

LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"


@define(kw_only=True)
class Upstream:
    """One incarnation of an upstream.

    Parameters
    ----------
    name, service, zone : str
        Its id, its service and its location.
    endpoint : Endpoint
        Its address.
    left_at : float
        When the store acknowledged that it leaves or is removed, monotonic seconds.
    crashed_at : float
        When it crashed under a request, monotonic seconds.
    limit_per_s, retry_after_s : float, optional
        Limit that it announces, in requests per second, and retry-after period with
        which it rejects requests, in seconds.
    announces_leaving : bool
        Whether its answers announce that it leaves.
    malformed_statement : tuple of (bytes, bytes), optional
        Header of its answers that is a malformed statement.
    withheld_spans : list of Span
        Time spans in which its statements limited or stopped requests.
    relisted_until_by_vm : dict of str to float
        When the entry that a return of the store had brought back went again, for VMs
        that could not know that it was gone before; monotonic seconds.
    software : SoftwareVersion
        Software that it runs.
    in_force_at : float
        When its software came into force, monotonic seconds; infinite before.
    is_last : bool
        Whether no incarnation follows at its address.
    in_flight : int
        Requests that run there.
    """

    name: str
    service: str
    zone: str
    endpoint: Endpoint
    left_at: float = inf
    is_draining: bool = False
    is_listed: bool = True
    is_lapsed: bool = False
    has_vanished: bool = False
    crashed_at: float = inf
    sequence: int = 0
    limit_per_s: float | None = None
    retry_after_s: float | None = None
    announces_leaving: bool = False
    malformed_statement: tuple[bytes, bytes] | None = None
    withheld_spans: list[Span] = Factory(list)
    relisted_until_by_vm: dict[str, float] = Factory(dict)
    software: SoftwareVersion = BASELINE
    in_force_at: float = -inf
    is_last: bool = False
    in_flight: int = 0

    def left_at_for(self, vm: str) -> float:
        """Return when the store told a VM, or would have, that it leaves or is gone."""
        return max(self.left_at, self.relisted_until_by_vm.get(vm, self.left_at))

    @property
    def has_crashed(self) -> bool:
        """Whether it crashed under a request."""
        return self.crashed_at < inf

    @property
    def is_staying(self) -> bool:
        """Whether it is listed and neither drains, nor has lapsed or crashed."""
        is_ending = self.is_draining or self.is_lapsed or self.has_crashed
        return self.is_listed and not is_ending

    def is_withheld(self, begin: float, end: float) -> bool:
        """Return whether its statements limited or stopped requests in a time span."""
        return any(
            each.begin <= end and begin <= each.end for each in self.withheld_spans
        )

    def statements(self, *, names_limit: bool = True) -> HeaderList:
        """Return the statement headers of an answer, with or without the limit."""
        statement_headers: HeaderList = []
        if self.limit_per_s is not None and names_limit:
            statement_headers.append((LIMIT, str(self.limit_per_s).encode()))
        if self.announces_leaving or self.is_draining:
            statement_headers.append((LEAVING, b"1"))
        if self.malformed_statement is not None:
            statement_headers.append(self.malformed_statement)
        return statement_headers

    def row(self) -> dict[str, Any] | None:
        """Return its entry in the store, or None if it is removed or has lapsed."""
        if not self.is_listed or self.is_lapsed:
            return None
        self.sequence += 1
        return {
            "address": str(self.endpoint),
            "info": {
                "service": self.service,
                "config_version": self.software.name,
                "zone": self.zone,
                "slots": SLOTS,
            },
            "status": {
                "state": "draining" if self.is_draining else "ready",
                "sequence": self.sequence,
                "cold_remaining": "0ms",
            },
        }


@define(kw_only=True)
class Run:
    """Execution of a request at an upstream.

    Parameters
    ----------
    at : Upstream
        The upstream.
    arrived_at : float
        When the request arrived, monotonic seconds.
    others_left : int
        Upstreams of the service that left longer ago than the bound and still serve.
    others_vanished : int
        Number of these that vanished in an outage of the store.
    is_aborted : bool
        Whether the upstream aborts the connection instead of answering.
    hides_key : bool
        Whether the request had its caller's workspace and no API key.
    is_flawed : bool
        Whether its answer is bad because of the upstream's software.
    ended_at : float
        When the upstream stopped to work on it, monotonic seconds.
    """

    at: Upstream
    arrived_at: float
    others_left: int = 0
    others_vanished: int = 0
    is_aborted: bool = False
    hides_key: bool = True
    is_flawed: bool = False
    ended_at: float = inf


@define(kw_only=True)
class Arrival:
    """A request that reached an upstream, and the statement in its answer.

    Parameters
    ----------
    at : Upstream
        The upstream.
    request : str
        Id of the request.
    arrived_at, answered_at : float
        Monotonic seconds.
    limit_per_s, retry_after_s : float, optional
        Limit at that time, in requests per second, and retry-after period, in seconds.
    names_limit : bool
        Whether the answer includes the limit.
    is_leaving : bool
        Whether the answer announces that the upstream leaves.
    """

    at: Upstream
    request: str
    arrived_at: float
    answered_at: float = inf
    limit_per_s: float | None = None
    names_limit: bool = True
    retry_after_s: float | None = None
    is_leaving: bool = False

    def record_answer(self, now: float) -> None:
        """Record the statement of the upstream at the time of the answer.

        A statement that is sent twice, once malformed, counts as not sent.
        """
        malformed_name = (
            self.at.malformed_statement[0] if self.at.malformed_statement else None
        )
        self.answered_at = now
        self.limit_per_s = self.at.limit_per_s
        self.names_limit = self.names_limit and malformed_name != LIMIT
        is_leaving = self.at.announces_leaving or self.at.is_draining
        self.is_leaving = is_leaving and malformed_name != LEAVING
        self.retry_after_s = (
            None if malformed_name == RETRY_AFTER else self.at.retry_after_s
        )
