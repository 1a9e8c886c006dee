"""Steps of a request, as small records that become log lines if it ends badly."""

from __future__ import annotations

from enum import Enum
from typing import ClassVar

from plankspindle_core.classes import frozen


class Executed(Enum):
    """Whether an attempt was run by its upstream."""

    YES = "yes"
    MAYBE = "maybe"
    NO = "no"


@frozen(kw_only=True)
class Routed:
    """The request was read and its service chosen.

    Parameters
    ----------
    service, operation : str
        Service, and the route or operation by which it is served.
    rank : int
        Rank of its priority class.
    idempotent : bool
        Whether it may run more than once.
    max_attempts : int
        Most upstreams that it may be sent to.
    timeout_ms, left_ms : int
        Longest time of the operation, and time until its deadline.
    version : int
        Configuration by which it was read.
    version_age_ms : int, optional
        For how long that has been in force here.
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
    version_age_ms: int | None = None


@frozen(kw_only=True)
class ClaimDecided:
    """A request with an id or key was held against what is known of it.

    Parameters
    ----------
    verdict : str
        What memory or table say.
    platform_available : bool
        Whether the platform answers calls.
    """

    EVENT: ClassVar[str] = "claim_decided"
    verdict: str
    platform_available: bool


@frozen(kw_only=True)
class Queued:
    """The request waits for an upstream.

    Parameters
    ----------
    ahead, limit : int
        Requests that are served before it, and the most that may wait.
    """

    EVENT: ClassVar[str] = "request_queued"
    ahead: int
    limit: int


@frozen(kw_only=True)
class Placed:
    """The request got an upstream.

    Parameters
    ----------
    upstream : str
        Which one.
    own_load : int
        Requests that this VM runs there, this one not counted.
    others_load : float
        Requests of other VMs there, as reported and faded.
    report_age_ms : int, optional
        Age of that report.
    slots : int
        Slots of the upstream.
    rtt_ms : float, optional
        Way there and back.
    latency : float
        Its latency relative to that of all upstreams.
    hit : bool, optional
        Whether the affinity key prefers it.
    leaves_region : bool, optional
        Whether it stands in another region.
    preferred : str, optional
        The upstream that the key prefers, if it is another one.
    not_preferred : str, optional
        Why that one was not taken.
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


@frozen(kw_only=True)
class Rejected:
    """The request gets no upstream.

    Parameters
    ----------
    reason : str
        Why.
    retry_after_ms : int
        When the caller should come back.
    queued, capacity, in_flight : int
        Waiting requests, requests that may run at the service's upstreams from here,
        and those that do.
    usual_ms : int
        Usual duration of such a request.
    left_ms : int
        Time until its deadline.
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
    """The request was moved to another entry VM.

    Parameters
    ----------
    to : str
        Caller listener of that VM.
    """

    EVENT: ClassVar[str] = "request_sent_on"
    to: str


@frozen(kw_only=True)
class Sent:
    """An attempt is being sent.

    Parameters
    ----------
    attempt : int
        Its number, from 1 on.
    to : str
        Address.
    connection : str
        ``new`` or ``reused``.
    rested_ms : int, optional
        How long a reused connection had rested.
    connect_ms : int, optional
        Time that a new one needed.
    deadline_ms : int
        Time handed on to the other side.
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
    """An attempt ended.

    Parameters
    ----------
    attempt : int
        Its number.
    upstream : str
        Where it went.
    verdict : str
        How the upstream is judged by it.
    came : str
        What was seen.
    ran : Executed
        Whether the upstream ran the request.
    took_ms : int
        Time since it was sent.
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
    """Another attempt was allowed or withheld.

    Parameters
    ----------
    taken : bool
        Whether there is another attempt.
    because : str
        What decided.
    budget_left : float
        Retries that the service's budget still allows here.
    """

    EVENT: ClassVar[str] = "retry_decided"
    taken: bool
    because: str
    budget_left: float


@frozen(kw_only=True)
class RequestQuarantined:
    """The request is sent to no upstream, since several have ended under it.

    Parameters
    ----------
    identity : str
        The request as commands and other log lines name it, whatever its tries' ids.
    for_ms : int
        For how long it has been in quarantine.
    trials : int
        How often it was let through since then.
    retry_after_ms : int
        Time until it is let through next.
    """

    EVENT: ClassVar[str] = "request_held_back"
    identity: str
    for_ms: int
    trials: int
    retry_after_ms: int


@frozen(kw_only=True)
class Suspected:
    """The request is not sent to another upstream, since several ended under it.

    Parameters
    ----------
    identity : str
        The request, whatever its tries' ids.
    """

    EVENT: ClassVar[str] = "request_suspected"
    identity: str


@frozen(kw_only=True)
class QuotaTokenDecided:
    """The request was held against the quota of its workspace.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    taken : bool
        Whether it may be sent to an upstream.
    waited_ms : int
        Time that the decision took.
    over_quota : bool, optional
        Whether the workspace has used its quota, if the request may not be sent;
        otherwise no VM that hands out tokens was reached.
    """

    EVENT: ClassVar[str] = "quota_token_decided"
    workspace: str
    taken: bool
    waited_ms: int
    over_quota: bool | None


Step = (
    Routed
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
