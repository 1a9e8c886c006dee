"""Steps of a request: small records that are logged if the request fails or is late.

Each class is one log event: ``EVENT`` is its name, the fields are those of the line.
"""

from __future__ import annotations

from enum import Enum
from typing import ClassVar

from plankspindle_core.classes import frozen


class Executed(Enum):
    """Whether the upstream ran an attempt."""

    YES = "yes"
    MAYBE = "maybe"
    NO = "no"


@frozen(kw_only=True)
class Routed:
    """The request was read and its service chosen.

    Parameters
    ----------
    service, operation : str
        Service, and its matching route or operation.
    rank : int
        Rank of the request's priority class.
    idempotent : bool
        Whether it may run more than once.
    max_attempts : int
        Maximum number of attempts.
    timeout_ms, left_ms : int
        Timeout of the operation, and time until the deadline, in ms.
    version, revision, era : int
        Version of the configuration used: number of the store's transaction, revision
        of the content, and era of the store.
    version_age_ms : int, optional
        Time for which that version has been in force on this VM, in ms.
    """

    EVENT: ClassVar[str] = "request_routed"
    service: str
    operation: str
    rank: int
    idempotent: bool
    max_attempts: int
    timeout_ms: int
    left_ms: int
    version: int
    revision: int = 0
    era: int = 0
    version_age_ms: int | None = None


@frozen(kw_only=True)
class ClaimDecided:
    """The id or key of a request was checked for earlier runs.

    Parameters
    ----------
    verdict : str
        Result of the check, from memory or the platform's table.
    platform_available : bool
        Whether the platform answers calls.
    """

    EVENT: ClassVar[str] = "claim_decided"
    verdict: str
    platform_available: bool


@frozen(kw_only=True)
class Relayed:
    """The request goes to another entry VM, as this one reaches no upstream.

    Parameters
    ----------
    to : str
        Name of that VM.
    asked_before : int
        Entry VMs that were asked before and did not serve it.
    """

    EVENT: ClassVar[str] = "request_relayed"
    to: str
    asked_before: int


@frozen(kw_only=True)
class RelayAccepted:
    """Another entry VM, which reaches no upstream, relayed the request to this one.

    Parameters
    ----------
    sender : str
        Name of that VM.
    attempts : int
        Attempts that may still be made.
    """

    EVENT: ClassVar[str] = "relay_accepted"
    sender: str
    attempts: int


@frozen(kw_only=True)
class Queued:
    """The request waits for an upstream.

    Parameters
    ----------
    ahead, limit : int
        Requests ahead of it in the queue, and the maximum length of the queue.
    """

    EVENT: ClassVar[str] = "request_queued"
    ahead: int
    limit: int


@frozen(kw_only=True)
class Placed:
    """The request was assigned to an upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    own_load : int
        Requests of this VM in flight there, without this one.
    others_load : float
        Requests of other VMs in flight there, as last reported and decayed with age.
    report_age_ms : int, optional
        Age of that report, in ms.
    slots : int
        Slots of the upstream.
    rtt_ms : float, optional
        Round-trip time to the upstream, in ms.
    latency : float
        Latency of the upstream, relative to that of all upstreams.
    hit : bool, optional
        Whether the affinity key prefers this upstream.
    leaves_region : bool, optional
        Whether the upstream is located in another region.
    preferred : str, optional
        Upstream preferred by the affinity key, if it is another one.
    not_preferred : str, optional
        Why the preferred upstream was not chosen.
    software_version : str, optional
        Software version of the upstream, if versions share the service's requests.
    software_version_reason : str, optional
        Why the request may use that version, as one token.
    """

    EVENT: ClassVar[str] = "request_placed"
    upstream: str
    own_load: int
    others_load: float
    slots: int
    latency: float
    report_age_ms: int | None = None
    rtt_ms: float | None = None
    hit: bool | None = None
    leaves_region: bool | None = None
    preferred: str | None = None
    not_preferred: str | None = None
    software_version: str | None = None
    software_version_reason: str | None = None


@frozen(kw_only=True)
class Rejected:
    """The request was rejected without an upstream.

    Parameters
    ----------
    reason : str
        Why, as one token.
    retry_after_ms : int
        Time after which the caller should retry, in ms.
    queued, capacity, in_flight : int
        Requests of the service on this VM: those waiting, those that may run at its
        upstreams at once, and those in flight.
    usual_ms : int
        Expected duration of such a request, in ms.
    left_ms : int
        Time until the deadline of the request, in ms.
    """

    EVENT: ClassVar[str] = "request_rejected"
    reason: str
    retry_after_ms: int
    queued: int
    capacity: int
    in_flight: int
    usual_ms: int
    left_ms: int


@frozen(kw_only=True)
class Forwarded:
    """The request was forwarded to another entry VM.

    Parameters
    ----------
    to : str
        Address of that VM's caller listener.
    """

    EVENT: ClassVar[str] = "request_sent_on"
    to: str


@frozen(kw_only=True)
class Sent:
    """An attempt was sent.

    Parameters
    ----------
    attempt : int
        Number of the attempt, from 1 on.
    to : str
        Address of the upstream.
    connection : str
        ``new`` or ``reused``.
    rested_ms : int, optional
        Time for which a reused connection was idle, in ms.
    connect_ms : int, optional
        Time taken to open a new connection, in ms.
    deadline_ms : int
        Time left until the deadline, as passed on to the upstream, in ms.
    """

    EVENT: ClassVar[str] = "attempt_sent"
    attempt: int
    to: str
    connection: str
    deadline_ms: int
    rested_ms: int | None = None
    connect_ms: int | None = None


@frozen(kw_only=True)
class AttemptEnded:
    """An attempt was completed.

    Parameters
    ----------
    attempt : int
        Number of the attempt, from 1 on.
    upstream : str
        Upstream to which it was sent.
    verdict : str
        Outcome of the attempt, as counted for the health of the upstream.
    came : str
        Answer or failure observed.
    ran : Executed
        Whether the upstream ran the request.
    took_ms : int
        Time since the attempt was sent, in ms.
    """

    EVENT: ClassVar[str] = "attempt_ended"
    attempt: int
    upstream: str
    verdict: str
    came: str
    ran: Executed
    took_ms: int


@frozen(kw_only=True)
class RetryDecided:
    """A retry was allowed or denied.

    Parameters
    ----------
    taken : bool
        Whether the request is retried.
    because : str
        Reason of the decision, as one token.
    budget_left : float
        Retries left in this VM's retry budget of the service.
    """

    EVENT: ClassVar[str] = "retry_decided"
    taken: bool
    because: str
    budget_left: float


@frozen(kw_only=True)
class RequestQuarantined:
    """The request was refused, as several upstreams have crashed while running it.

    Parameters
    ----------
    identity : str
        Identity of the request in commands and log lines, the same for all attempts
        whatever their request ids.
    for_ms : int
        Time for which the request has been in quarantine, in ms.
    trials : int
        Probe attempts made since then.
    retry_after_ms : int
        Time until the next probe attempt, in ms.
    """

    EVENT: ClassVar[str] = "request_held_back"
    identity: str
    for_ms: int
    trials: int
    retry_after_ms: int


@frozen(kw_only=True)
class Suspected:
    """The request is not retried, as it is suspected of crashing upstreams.

    Parameters
    ----------
    identity : str
        Identity of the request, the same for all attempts whatever their request ids.
    """

    EVENT: ClassVar[str] = "request_suspected"
    identity: str


@frozen(kw_only=True)
class QuotaTokenDecided:
    """The request was checked against the quota of its workspace.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    taken : bool
        Whether a quota token was granted, so that the request may be sent.
    waited_ms : int
        Time that the decision took, in ms.
    over_quota : bool, optional
        Why no token was granted: the workspace has used its quota if true; no VM that
        grants tokens was reached if false.
    """

    EVENT: ClassVar[str] = "quota_token_decided"
    workspace: str
    taken: bool
    waited_ms: int
    over_quota: bool | None


Step = (
    Routed
    | RelayAccepted
    | Relayed
    | ClaimDecided
    | Queued
    | Placed
    | Rejected
    | Forwarded
    | Sent
    | AttemptEnded
    | RetryDecided
    | RequestQuarantined
    | Suspected
    | QuotaTokenDecided
)
