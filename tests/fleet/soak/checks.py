"""What must hold, checked from what callers and upstreams saw."""

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
from soak.upstreams import Run

ALLOWED_ROLLBACK_S = 0.25
"""Time in which an older version may still be seen after a newer one, in seconds."""
CLOSE_CROSSING_S = 0.2
"""Time in which a request may cross the close of its connection, in seconds."""
CALLER_GAVE_UP_S = 3.9
"""Time from which on a caller gave up, and the connection was not closed on it."""
MAX_STALL_S = 0.5
MIN_SERVED_SHARE = 0.9
NOT_FOUND_STATUS = 404
OK = 200
UNDUE_STATUSES = (401, 429)
"""Answers that are never due to a known key whose workspace is below its quota."""


@frozen(kw_only=True)
class ObservedRequest:
    """One request and what its caller saw.

    Parameters
    ----------
    request, vm, prefix : str
        Its id, where it was sent, and its route.
    incarnation : int
        Which process of the VM took it; None if that was not one alone.
    sent_at, ended_at : float
        Monotonic seconds.
    status : int or None
        Status of a whole answer.
    is_lost : bool
        Whether its connection was made, but ended or stayed silent without an answer.
    has_key : bool
        Whether it carried an affinity key.
    surplus : str
        What came that was no answer to it, if something did.
    """

    request: str
    vm: str
    prefix: str
    incarnation: int | None
    sent_at: float
    ended_at: float
    status: int | None
    is_lost: bool = False
    has_key: bool = False
    surplus: str = ""


@frozen(kw_only=True)
class Violation:
    """Something that must hold and did not.

    Parameters
    ----------
    check : str
        Which check found it.
    detail : str
        What was seen.
    at : float
        When, monotonic seconds.
    """

    check: str
    detail: str
    at: float


@define(kw_only=True)
class Checks:
    """All checks.

    Parameters
    ----------
    bounds : Bounds
        Times allowed.
    history : History
        What was put in force.
    disturbances : Disturbances
        What was disturbed.

    Attributes
    ----------
    violations : list of Violation
        What was found.
    counts : Counter of str
        Requests and how many of them each check could judge.
    requests_with_runs : list of tuple of Told and list of Run
        Requests and where they ran; runs that begin later join.
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
        """Note that something does not hold."""
        self.violations.append(Violation(check=check, detail=detail, at=at))

    def record_request(self, request: ObservedRequest, runs: list[Run]) -> None:
        """Take a request that has ended.

        Parameters
        ----------
        request : Told
            What its caller saw.
        runs : list of Run
            Where it ran.
        """
        self.requests.append(request)
        self.requests_with_runs.append((request, runs))
        self._waiting.append((request, runs))

    def evaluate(self, before: float = inf) -> None:
        """Judge what ended before some time, until when all is known."""
        while self._waiting and self._waiting[0][0].ended_at < before:
            self._evaluate(*self._waiting.popleft())

    def _evaluate(self, told: ObservedRequest, runs: list[Run]) -> None:
        self.counts["requests"] += 1
        for run in runs:
            self._check_handled(told, run.at.service, run.arrived_at)
            self._check_upstream(told, run)
            if not run.hides_key:
                self.fail("key and workspace", f"{told}: {run}", run.arrived_at)
        if told.status in UNDUE_STATUSES:
            self.fail("good key refused", f"{told}", told.ended_at)
        if told.status == NOT_FOUND_STATUS:
            self._check_handled(told, NO_SERVICE, told.ended_at)
        self.counts["judged for running once"] += (
            told.prefix in RUN_ONCE_PREFIXES and bool(runs)
        )
        if told.prefix in RUN_ONCE_PREFIXES and len(runs) > 1:
            self.fail("once", f"{told} ran {len(runs)} times", told.ended_at)
        if told.surplus:
            detail = f"{told}: {told.surplus}"
            self.fail("answered twice", detail, told.ended_at)
        self._check_lost(told, runs)

    def _check_handled(
        self, told: ObservedRequest, ran_at: str, seen_at: float
    ) -> None:
        possible = [
            number
            for number, version in enumerate(self.history.versions)
            if version.sent_at <= seen_at and version.allows(told.prefix, ran_at)
        ]
        handled = f"{told}: handled at {seen_at:.3f} by {ran_at or 'no route'}"
        if not possible:
            self.fail("allowed", handled, seen_at)
            return
        if self.disturbances.is_undisturbed(told.vm, told.sent_at, seen_at):
            self.counts["judged for lateness"] += 1
            due = self._due_version(told.sent_at)
            if possible[-1] < due:
                late = f"{handled}, version {possible[-1]} at most; {due} was due"
                self.fail("in force", late, seen_at)
        if told.incarnation is not None:
            self._check_rollback(told, told.incarnation, possible, seen_at, handled)

    def _due_version(self, now: float) -> int:
        later, apply = self.disturbances.extended_deadline, self.bounds.config_apply
        for number in range(len(self.history.versions) - 1, 0, -1):
            if later(self.history.versions[number].acked_at, apply, now) < now:
                return number
        return 0

    def _check_rollback(
        self,
        told: ObservedRequest,
        life: int,
        possible: list[int],
        seen_at: float,
        handled: str,
    ) -> None:
        floors = self._floors_by_incarnation.setdefault((told.vm, life), [])
        before = told.sent_at - ALLOWED_ROLLBACK_S
        before -= self.disturbances.stalled_s(before, seen_at)
        floor = max((number for at, number in floors if at < before), default=0)
        self.counts["judged for going back"] += floor > 0
        least = min((each for each in possible if each >= floor), default=None)
        if least is None:
            self.fail("goes back", f"{handled}, {floor} was in force before", seen_at)
        elif not floors or least > floors[-1][1]:
            floors.append((seen_at, least))

    def _check_upstream(self, told: ObservedRequest, run: Run) -> None:
        if not self.disturbances.is_undisturbed(
            told.vm, run.arrived_at, run.arrived_at
        ):
            return
        late_s = run.arrived_at - run.at.left_at
        self.counts["judged for upstreams that left"] += run.others_left > 0
        vanished = run.others_vanished > 0
        self.counts["judged for upstreams that vanished in outages"] += vanished
        due = self.disturbances.extended_deadline(
            run.at.left_at, self.bounds.drain, run.arrived_at
        )
        if run.arrived_at > due:
            detail = f"{told} reached {run.at.name} {late_s:.3f} s after it left"
            self.fail("left", detail, run.arrived_at)
        for evacuation in self.history.evacuations:
            late_s = run.arrived_at - evacuation.acked_at
            due = self.disturbances.extended_deadline(
                evacuation.acked_at, self.bounds.evacuate, run.arrived_at
            )
            is_due = due < run.arrived_at < evacuation.undone_at
            self.counts["judged for evacuations"] += is_due
            if is_due and run.at.zone == evacuation.zone:
                detail = f"{told} reached {run.at.name} {late_s:.3f} s after evacuation"
                self.fail("evacuated", detail, run.arrived_at)

    def _check_lost(self, told: ObservedRequest, runs: list[Run]) -> None:
        took_s = told.ended_at - told.sent_at
        held_s = self.disturbances.stalled_s(told.sent_at, told.ended_at)
        if not told.is_lost or not (runs or took_s > CLOSE_CROSSING_S + held_s):
            return
        if any(run.is_aborted for run in runs):
            return
        calm = self.disturbances.is_undisturbed(
            told.vm, told.sent_at, told.ended_at, include_planned=False
        )
        self.counts["without an answer"] += 1
        if calm and not (took_s > CALLER_GAVE_UP_S and held_s > MAX_STALL_S):
            detail = f"{told} got no answer in {took_s:.3f} s; ran {len(runs)} times"
            self.fail("answered", detail, told.ended_at)

    def check_served(self, vms: list[str], since: float) -> None:
        """Check that each VM serves what the newest version allows, once all is over.

        Parameters
        ----------
        vms : list of str
            All entry VMs.
        since : float
            From when on requests count, monotonic seconds.
        """
        routes = self.history.versions[-1].service_by_prefix
        for vm in vms:
            asked = [
                each
                for each in self.requests
                if each.vm == vm and each.sent_at > since and each.prefix in routes
            ]
            served = sum(each.status == OK for each in asked)
            if not asked or served < MIN_SERVED_SHARE * len(asked):
                self.fail("served", f"{vm} served {served} of {len(asked)}", since)
