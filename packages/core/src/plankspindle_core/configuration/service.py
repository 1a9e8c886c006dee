"""A service, with its queueing, retry and slot sharing rules."""

from __future__ import annotations

from enum import Enum

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.operation import Operation
from plankspindle_core.configuration.operation import default_operation

DEFAULT_QUEUE_LIMIT = 256
DEFAULT_RETRY_PERCENT = 10
DEFAULT_RETRY_BURST = 30


class SlotSharing(Enum):
    """How entry VMs share the slots of an upstream."""

    MEMBERS = "members"
    """Equal shares for the members of its failure domain, plus loans of slots."""
    REPORTED = "reported"
    """Any entry VM may use it, based on own counts and the load that it reports."""


@frozen(kw_only=True)
class Service:
    """Queueing and execution rules of one service.

    Parameters
    ----------
    operations : list of Operation
        Declared operations; the longest matching prefix wins.
    default_class : str, optional
        Priority class of callers without a key. Without it they get status 401.
    queue_limit : int
        Longest queue of one entry VM, in requests.
    retry_percent : int
        Retries allowed as a share of first attempts, in percent.
    retry_burst : int
        Retries that all entry VMs together may make beyond that share.
    slot_sharing : SlotSharing
        How entry VMs share the slots of its upstreams.
    cold_requests_per_s : float
        Requests per second that a cold upstream can serve, from all entry VMs together;
        zero if it can serve as many as a warm one.
    cold_ms : int
        Time for which an upstream is cold after its start, in milliseconds.
    """

    operations: list[Operation] = field(factory=list)
    default_class: str | None = None
    queue_limit: int = field(default=DEFAULT_QUEUE_LIMIT, validator=validators.gt(0))
    retry_percent: int = field(
        default=DEFAULT_RETRY_PERCENT,
        validator=[validators.ge(0), validators.le(100)],
    )
    retry_burst: int = field(default=DEFAULT_RETRY_BURST, validator=validators.ge(0))
    slot_sharing: SlotSharing = SlotSharing.MEMBERS
    cold_requests_per_s: float = field(default=0.0, validator=validators.ge(0))
    cold_ms: int = field(default=0, validator=validators.ge(0))

    def operation_for(self, method: str, path: str) -> Operation:
        """Return the operation that a request belongs to.

        Parameters
        ----------
        method : str
            Method of the request.
        path : str
            Path below the service, with its leading slash.

        Returns
        -------
        Operation
            The declared operation with the longest prefix, or the default one.
        """
        matching = [each for each in self.operations if each.matches(method, path)]
        if not matching:
            return default_operation(method)
        return max(matching, key=lambda each: len(each.path_prefix))

    @property
    def longest_timeout_ms(self) -> int:
        """Longest timeout of any request of this service, in milliseconds."""
        undeclared = default_operation("GET").timeout_ms
        return max([undeclared, *(each.timeout_ms for each in self.operations)])
