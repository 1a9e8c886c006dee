"""Checks of invariants from the observations of callers and upstreams."""

from __future__ import annotations

from collections import Counter
from collections import deque
from math import inf

from attrs import Factory
from attrs import define
from attrs import frozen

from soak.history import NO_SERVICE
from soak.history import RUN_ONCE_PREFIXES
from soak.history import Disturbances
from soak.history import History
from soak.layout import Bounds
from soak.upstream import Run

ALLOWED_ROLLBACK_S = 0.25
"""Time in which an older version may still be observed after a newer one, in s."""
CLOSE_CROSSING_S = 0.2
"""Time in which a request may cross the close of its connection, in seconds."""
CALLER_GAVE_UP_S = 3.9
"""Duration of a request from which on its caller timed out, in seconds.

Shorter ones without an answer were lost by a close of the connection.
"""
MAX_STALL_S = 0.5
MIN_SERVED_SHARE = 0.9
NOT_FOUND_STATUS = 404
OK = 200
UNDUE_STATUSES = (401, 429)
"""Statuses that are never correct for a known key and a workspace below its quota."""


@frozen(kw_only=True)
class ObservedRequest:
    """One request as observed by its caller.

    Parameters
    ----------
    request, vm, prefix : str
        Id of the request, entry VM that got it, and its route.
    incarnation : int
        Number of the process that ran on the VM; None if it was restarted meanwhile.
    sent_at, ended_at : float
        Monotonic seconds.
    status : int or None
        Status of the answer if that was complete.
    is_lost : bool
        Whether its connection was established, but closed or timed out without answer.
    key : str
        Its affinity key; empty without one.
    surplus : str
        Description of received data that is no answer to it; empty if there was none.
    served_by : str
        VM that sent it to an upstream, as its answer names it; empty if none does.
    sender_incarnation : int, optional
        Number of the process that ran on that VM.
    """

    request: str
    vm: str
    prefix: str
    incarnation: int | None
    sent_at: float
    ended_at: float
    status: int | None
    is_lost: bool = False
    key: str = ""
    surplus: str = ""
    served_by: str = ""
    sender_incarnation: int | None = None

    @property
    def sender(self) -> str:
        """VM that sent it to an upstream: another one if it was relayed."""
        return self.served_by or self.vm

    @property
    def has_own_key(self) -> bool:
        """Whether it had an affinity key that no other request has."""
        return self.key == self.request


@frozen(kw_only=True)
class Violation:
    """Violation of an invariant.

    Parameters
    ----------
    check : str
        Name of the check that detected it.
    detail : str
        Description of the observations.
    at : float
        Time of the violation, monotonic seconds.
    """

    check: str
    detail: str
    at: float


@define(kw_only=True)
class Checks:
    """Checks of requests against configurations, bounds and disturbances.

    Parameters
    ----------
    bounds : Bounds
        Times within which changes must take effect.
    history : History
        Configurations and evacuations.
    disturbances : Disturbances
        Disturbances and CPU stalls.

    Attributes
    ----------
    violations : list of Violation
        Detected violations.
    counts : Counter of str
        Number of requests, and number of those that each check applied to.
    requests_with_runs : list of tuple of ObservedRequest and list of Run
        Requests and their executions; later executions are added to the lists.
    """

    bounds: Bounds
    history: History
    disturbances: Disturbances
    violations: list[Violation] = Factory(list)
    counts: Counter[str] = Factory(Counter)
    requests: list[ObservedRequest] = Factory(list)
    requests_with_runs: list[tuple[ObservedRequest, list[Run]]] = Factory(list)
    _waiting: deque[tuple[ObservedRequest, list[Run]]] = Factory(deque)
    _floors_by_incarnation: dict[tuple[str, int], list[tuple[float, int]]] = Factory(
        dict
    )

    def fail(self, check: str, detail: str, at: float) -> None:
        """Record a violation."""
        self.violations.append(Violation(check=check, detail=detail, at=at))

    def record_request(self, request: ObservedRequest, runs: list[Run]) -> None:
        """Record a completed request.

        Parameters
        ----------
        request : ObservedRequest
            The request as observed by its caller.
        runs : list of Run
            Its executions at upstreams.
        """
        self.requests.append(request)
        self.requests_with_runs.append((request, runs))
        self._waiting.append((request, runs))

    def evaluate(self, before: float = inf) -> None:
        """Check requests that ended before a time up to which all data is recorded."""
        while self._waiting and self._waiting[0][0].ended_at < before:
            self._evaluate(*self._waiting.popleft())

    def _evaluate(self, request: ObservedRequest, runs: list[Run]) -> None:
        self.counts["requests"] += 1
        for run in runs:
            self._check_version(request, run.at.service, run.arrived_at)
            self._check_upstream(request, run)
            if not run.hides_key:
                self.fail("key and workspace", f"{request}: {run}", run.arrived_at)
        if request.status in UNDUE_STATUSES:
            self.fail("good key refused", f"{request}", request.ended_at)
        if request.status == NOT_FOUND_STATUS:
            self._check_version(request, NO_SERVICE, request.ended_at)
        self.counts["judged for running once"] += (
            request.prefix in RUN_ONCE_PREFIXES and bool(runs)
        )
        if request.prefix in RUN_ONCE_PREFIXES and len(runs) > 1:
            self.fail("once", f"{request} ran {len(runs)} times", request.ended_at)
        if request.surplus:
            detail = f"{request}: {request.surplus}"
            self.fail("answered twice", detail, request.ended_at)
        self._check_lost(request, runs)

    def _check_version(
        self, request: ObservedRequest, service: str, seen_at: float
    ) -> None:
        possible = [
            number
            for number, version in enumerate(self.history.versions)
            if version.sent_at <= seen_at and version.allows(request.prefix, service)
        ]
        description = f"{request}: handled at {seen_at:.3f} by {service or 'no route'}"
        if not possible:
            self.fail("allowed", description, seen_at)
            return
        if self.disturbances.is_undisturbed(request.vm, request.sent_at, seen_at):
            self.counts["judged for lateness"] += 1
            due = self._due_version(request.sent_at)
            if possible[-1] < due:
                late = f"{description}, version {possible[-1]} at most; {due} was due"
                self.fail("in force", late, seen_at)
        if request.incarnation is not None:
            self._check_rollback(
                request, request.incarnation, possible, seen_at, description
            )

    def _due_version(self, now: float) -> int:
        extended_deadline, apply_s = (
            self.disturbances.extended_deadline,
            self.bounds.config_apply,
        )
        for number in range(len(self.history.versions) - 1, 0, -1):
            if (
                extended_deadline(self.history.versions[number].acked_at, apply_s, now)
                < now
            ):
                return number
        return 0

    def _check_rollback(
        self,
        request: ObservedRequest,
        incarnation: int,
        possible: list[int],
        seen_at: float,
        description: str,
    ) -> None:
        floors = self._floors_by_incarnation.setdefault((request.vm, incarnation), [])
        before = request.sent_at - ALLOWED_ROLLBACK_S
        before -= self.disturbances.stalled_s(before, seen_at)
        floor = max((number for at, number in floors if at < before), default=0)
        self.counts["judged for going back"] += floor > 0
        lowest = min((each for each in possible if each >= floor), default=None)
        if lowest is None:
            self.fail(
                "goes back", f"{description}, {floor} was in force before", seen_at
            )
        elif not floors or lowest > floors[-1][1]:
            floors.append((seen_at, lowest))

    def _check_upstream(self, request: ObservedRequest, run: Run) -> None:
        if not self.disturbances.is_undisturbed(
            request.sender, run.arrived_at, run.arrived_at
        ):
            return
        left_at = run.at.left_at_for(request.sender)
        late_s = run.arrived_at - left_at
        self.counts["judged for upstreams that left"] += run.others_left > 0
        vanished = run.others_vanished > 0
        self.counts["judged for upstreams that vanished in outages"] += vanished
        due = self.disturbances.extended_deadline(
            left_at, self.bounds.drain, run.arrived_at
        )
        if run.arrived_at > due:
            detail = f"{request} reached {run.at.name} {late_s:.3f} s after it left"
            self.fail("left", detail, run.arrived_at)
        for evacuation in self.history.evacuations:
            late_s = run.arrived_at - evacuation.acked_at
            due = self.disturbances.extended_deadline(
                evacuation.acked_at, self.bounds.evacuate, run.arrived_at
            )
            must_hold = due < run.arrived_at < evacuation.undone_at
            self.counts["judged for evacuations"] += must_hold
            if must_hold and run.at.zone == evacuation.zone:
                detail = (
                    f"{request} reached {run.at.name} {late_s:.3f} s after evacuation"
                )
                self.fail("evacuated", detail, run.arrived_at)

    def _check_lost(self, request: ObservedRequest, runs: list[Run]) -> None:
        took_s = request.ended_at - request.sent_at
        stalled_s = self.disturbances.stalled_s(request.sent_at, request.ended_at)
        if not request.is_lost or not (runs or took_s > CLOSE_CROSSING_S + stalled_s):
            return
        if any(run.is_aborted for run in runs):
            return
        is_undisturbed = self.disturbances.is_undisturbed(
            request.vm, request.sent_at, request.ended_at, include_planned=False
        )
        self.counts["without an answer"] += 1
        if is_undisturbed and not (
            took_s > CALLER_GAVE_UP_S and stalled_s > MAX_STALL_S
        ):
            detail = f"{request} got no answer in {took_s:.3f} s; ran {len(runs)} times"
            self.fail("answered", detail, request.ended_at)

    def check_served(self, vms: list[str], since: float) -> None:
        """Check at the end that each VM serves the routes of the newest version.

        Parameters
        ----------
        vms : list of str
            All entry VMs.
        since : float
            Only requests sent after this time count, monotonic seconds.
        """
        routes = self.history.versions[-1].service_by_prefix
        for vm in vms:
            sent = [
                each
                for each in self.requests
                if each.vm == vm and each.sent_at > since and each.prefix in routes
            ]
            served = sum(each.status == OK for each in sent)
            if not sent or served < MIN_SERVED_SHARE * len(sent):
                self.fail("served", f"{vm} served {served} of {len(sent)}", since)
