"""Guarantees, checked against what callers, upstreams and operators observed."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen

from plankspindle_core.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

MAX_LATE_S = 1.0
"""Time after the deadline within which a caller must have an answer, in seconds."""
MIN_SERVED_SHARE = 0.9
"""Share of the reads that must be served once all faults are over."""
MAX_RESIDENT_KB = 200_000
MAX_DESCRIPTORS = 400


@frozen(kw_only=True)
class AttemptRecord:
    """One attempt of a request as its caller observed it.

    Parameters
    ----------
    mark : str
        Identifies the request; shared by its attempts.
    log_id : str
        Id of the attempt in log lines; empty without an answer.
    vm : str
        VM that it was sent to.
    is_idempotent : bool
        Whether the request may run more than once.
    outcome : Outcome or None
        Reported outcome; None without an answer.
    is_own_answer : bool
        Whether the answer belongs to the request and is complete.
    sent_at, completed_at, deadline : float
        Seconds since the start of the soak.
    is_cut_off : bool
        Whether its connection closed without a complete answer after the request was
        sent completely.
    """

    mark: str
    log_id: str
    vm: str
    is_idempotent: bool
    outcome: Outcome | None
    is_own_answer: bool
    sent_at: float
    completed_at: float
    deadline: float
    is_cut_off: bool = False


@frozen(kw_only=True)
class Violation:
    """A violated guarantee.

    Parameters
    ----------
    guarantee : str
        Name of the guarantee.
    detail : str
        What was observed.
    log_id : str
        Log id of a request for ``explain``; empty if there is none.
    """

    guarantee: str
    detail: str
    log_id: str = ""


@define
class Span:
    """Period of a disturbance.

    Parameters
    ----------
    begin, end : float
        Seconds since the start of the soak; the end is infinite while it lasts.
    """

    begin: float
    end: float = math.inf

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether it overlaps another period."""
        return self.begin <= end and begin <= self.end


@frozen(kw_only=True)
class DrainedRuns:
    """Requests that a drained upstream started between two polls.

    Parameters
    ----------
    upstream : str
        The upstream.
    begin, end : float
        Times of the polls, seconds since the start of the soak.
    marks : tuple of str
        Marks of the requests that it started.
    """

    upstream: str
    begin: float
    end: float
    marks: tuple[str, ...]


@define(kw_only=True)
class Observations:
    """Everything observed so far.

    Attributes
    ----------
    attempts : list of AttemptRecord
        Attempts of all callers.
    runs_by_mark : Counter of str
        Runs at all upstreams.
    disturbances_by_target : dict of str to list of Span
        Periods in which a VM, an upstream, their links or the platform was disturbed.
    allowed_cuts_by_vm : dict of str to list of Span
        Periods in which a fault may have closed connections of callers of a VM.
    versions_by_incarnation : dict of (str, int) to list of int
        Versions in force that each incarnation of a VM showed, in order.
    unexpected_exits : list of (str, int, str)
        Processes that exited by themselves: VM, status, last line of the log.
    unexpected_errors : list of (str, str)
        Unexpected errors: VM, line of the log.
    cut_off_by_stop : list of (str, int)
        VM, and number of requests that its graceful stop cut off.
    drained_runs : list of DrainedRuns
        Runs that a drained upstream started after the drain must be in effect.
    drains_watched : int
        Drains that were in effect while some VM of the upstream's failure domain, which
        would use it otherwise, was undisturbed.
    in_flight_marks : set of str
        Requests with an attempt that may be in flight.
    is_recovering : bool
        Whether the faults are over; callers then send no slow requests.
    """

    attempts: list[AttemptRecord] = Factory(list)
    runs_by_mark: Counter[str] = Factory(Counter)
    disturbances_by_target: dict[str, list[Span]] = Factory(dict)
    allowed_cuts_by_vm: dict[str, list[Span]] = Factory(dict)
    versions_by_incarnation: dict[tuple[str, int], list[int]] = Factory(dict)
    unexpected_exits: list[tuple[str, int, str]] = Factory(list)
    unexpected_errors: list[tuple[str, str]] = Factory(list)
    cut_off_by_stop: list[tuple[str, int]] = Factory(list)
    drained_runs: list[DrainedRuns] = Factory(list)
    in_flight_marks: set[str] = Factory(set)
    drains_watched: int = 0
    is_recovering: bool = False
    checks: int = 0

    def is_disturbed(self, name: str, begin: float, end: float) -> bool:
        """Return whether a VM, an upstream or the platform was disturbed meanwhile."""
        spans = self.disturbances_by_target.get(name, ())
        return any(each.overlaps(begin, end) for each in spans)


def check_all(observations: Observations) -> Iterator[Violation]:
    """Yield all violations in what was observed so far."""
    observations.checks += 1
    yield from _at_most_once(observations)
    yield from _not_run_did_not_run(observations)
    yield from _answers_match(observations)
    yield from _answered_in_time(observations)
    yield from _versions_never_revert(observations)
    for vm, status, line in observations.unexpected_exits:
        yield Violation(guarantee="runs on", detail=f"{vm} ended with {status}: {line}")
    for vm, line in observations.unexpected_errors:
        yield Violation(guarantee="no unexpected error", detail=f"{vm}: {line}")
    for vm, count in observations.cut_off_by_stop:
        yield Violation(guarantee="a stop cuts nothing", detail=f"{vm} cut off {count}")


def _at_most_once(observations: Observations) -> Iterator[Violation]:
    for attempt in observations.attempts:
        runs = observations.runs_by_mark[attempt.mark]
        if not attempt.is_idempotent and runs > 1:
            detail = f"{attempt.mark} ran {runs} times"
            yield Violation(
                guarantee="at most once", detail=detail, log_id=attempt.log_id
            )


def _not_run_did_not_run(observations: Observations) -> Iterator[Violation]:
    possibly_run = {
        each.mark
        for each in observations.attempts
        if each.outcome is not Outcome.NOT_RUN
    }
    for attempt in observations.attempts:
        settled = (
            attempt.mark not in possibly_run
            and attempt.mark not in observations.in_flight_marks
        )
        if settled and observations.runs_by_mark[attempt.mark]:
            detail = f"{attempt.mark} ran although each attempt returned not-run"
            yield Violation(
                guarantee="not-run is true", detail=detail, log_id=attempt.log_id
            )


def _answers_match(observations: Observations) -> Iterator[Violation]:
    for attempt in observations.attempts:
        if attempt.outcome is Outcome.DONE and not attempt.is_own_answer:
            detail = f"{attempt.mark} got an answer that is not its own"
            yield Violation(
                guarantee="own answer", detail=detail, log_id=attempt.log_id
            )


def _answered_in_time(observations: Observations) -> Iterator[Violation]:
    for attempt in observations.attempts:
        late_s = attempt.completed_at - attempt.deadline
        if late_s > MAX_LATE_S and not observations.is_disturbed(
            attempt.vm, attempt.sent_at - MAX_LATE_S, attempt.completed_at
        ):
            detail = (
                f"{attempt.mark} at {attempt.vm} had no answer {late_s:.1f} s after its"
                f" deadline: sent at {attempt.sent_at:.2f}, completed at"
                f" {attempt.completed_at:.2f}, outcome {attempt.outcome},"
                f" cut {attempt.is_cut_off}"
            )
            yield Violation(guarantee="answered", detail=detail, log_id=attempt.log_id)


def _versions_never_revert(observations: Observations) -> Iterator[Violation]:
    for (vm, _), versions in observations.versions_by_incarnation.items():
        if versions != sorted(versions):
            detail = f"{vm} showed versions {versions}"
            yield Violation(guarantee="versions never revert", detail=detail)


def check_end(
    observations: Observations,
    *,
    recovered_from: float,
    versions: Mapping[str, int],
    accepted: int,
    unconfirmed: int = 0,
) -> Iterator[Violation]:
    """Check what must hold once the faults are over.

    Parameters
    ----------
    observations : Observations
        What was observed.
    recovered_from : float
        Time when recovery must be complete, seconds since the start of the soak.
    versions : mapping of str to int
        Version in force at each VM.
    accepted : int
        Newest accepted version.
    unconfirmed : int
        Newest version whose confirmation got no definite answer; either all VMs have it
        or none.
    """
    reads = [
        each
        for each in observations.attempts
        if each.is_idempotent and each.sent_at >= recovered_from
    ]
    served = sum(each.outcome is Outcome.DONE for each in reads)
    if served < MIN_SERVED_SHARE * len(reads) or not reads:
        detail = f"{served} of {len(reads)} reads were served in the end"
        failed = [each.log_id for each in reads if each.outcome is not Outcome.DONE]
        log_id = failed[-1] if failed else ""
        yield Violation(guarantee="recovers", detail=detail, log_id=log_id)
    in_doubt = unconfirmed > accepted and set(versions.values()) == {unconfirmed}
    expected = unconfirmed if in_doubt else accepted
    for vm, version in versions.items():
        if version != expected:
            detail = f"{vm} has version {version} of {accepted}"
            yield Violation(guarantee="accepted is in force", detail=detail)


def check_growth(
    resident_kb: Mapping[str, int],
    descriptors: Mapping[str, int],
    connections: Mapping[str, str],
) -> Iterator[Violation]:
    """Check that memory and descriptors of processes have levelled off."""
    for vm, kb in resident_kb.items():
        if kb > MAX_RESIDENT_KB:
            yield Violation(guarantee="memory levels off", detail=f"{vm} has {kb} kB")
    for vm, count in descriptors.items():
        if count > MAX_DESCRIPTORS:
            detail = f"{vm} has {count} open: {connections.get(vm)}"
            yield Violation(guarantee="descriptors level off", detail=detail)
