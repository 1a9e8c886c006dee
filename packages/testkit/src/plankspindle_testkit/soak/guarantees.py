"""Promises, held against what callers, upstreams and operators saw."""

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
"""Time beyond its deadline within which a caller must have an answer, in seconds."""
MIN_SERVED_SHARE = 0.9
"""Part of the reads that must be served once all faults are over."""
MAX_RESIDENT_KB = 200_000
MAX_DESCRIPTORS = 400


@frozen(kw_only=True)
class AttemptRecord:
    """What a caller learned of one try.

    Parameters
    ----------
    mark : str
        Shared by the tries of one request.
    log_id : str
        Id by which logs tell of the try; empty if no answer came.
    vm : str
        Where it was sent.
    is_idempotent : bool
        Whether it may run more than once.
    outcome : Outcome or None
        What was told; None if no answer came.
    is_own_answer : bool
        Whether the answer belongs to the request and is whole.
    sent_at, completed_at, deadline : float
        Seconds of the soak.
    is_cut_off : bool
        Whether its connection closed without a whole answer after all of the request
        was sent on it.
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
    """A broken promise.

    Parameters
    ----------
    guarantee : str
        Its name.
    detail : str
        What was seen.
    log_id : str
        A request to be explained; empty if there is none.
    """

    guarantee: str
    detail: str
    log_id: str = ""


@define
class Span:
    """A time in which something was disturbed.

    Parameters
    ----------
    begin, end : float
        Seconds of the soak; without an end it lasts still.
    """

    begin: float
    end: float = math.inf

    def overlaps(self, begin: float, end: float) -> bool:
        """Tell whether it meets another time."""
        return self.begin <= end and begin <= self.end


@frozen(kw_only=True)
class DrainedRuns:
    """What a drained upstream began from one look at it to the next.

    Parameters
    ----------
    upstream : str
        The upstream.
    begin, end : float
        Times of the looks, seconds of the soak.
    marks : tuple of str
        Marks of the requests that it began to run.
    """

    upstream: str
    begin: float
    end: float
    marks: tuple[str, ...]


@define(kw_only=True)
class Observations:
    """What was seen so far.

    Attributes
    ----------
    attempts : list of Told
        What callers learned.
    runs_by_mark : Counter of str
        Executions at all upstreams.
    disturbances_by_target : dict of str to list of Span
        Times in which a VM, an upstream, their links or the platform were disturbed.
    allowed_cuts_by_vm : dict of str to list of Span
        Times in which a fault may have closed connections of callers of a VM.
    versions_by_incarnation : dict of (str, int) to list of int
        Versions in force that each life of a process showed, in order.
    unexpected_exits : list of (str, int, str)
        Processes that ended by themselves: VM, status, last line of the log.
    unexpected_errors : list of (str, str)
        Errors that no code expected: VM, line of the log.
    cut_off_by_stop : list of (str, int)
        Requests that a planned stop cut off.
    drained_runs : list of DrainedRuns
        Runs that a drained upstream began after the bound.
    drains_watched : int
        Drains during which some VM of the upstream's failure domain, which would use
        it, was undisturbed after the bound.
    in_flight_marks : set of str
        Requests of which a try may be on its way.
    is_recovering : bool
        Whether the faults are over, so that requests that take long stay away, too.
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
        """Tell whether a VM, an upstream or the platform was disturbed at some time."""
        spans = self.disturbances_by_target.get(name, ())
        return any(each.overlaps(begin, end) for each in spans)


def check_all(observations: Observations) -> Iterator[Violation]:
    """Give every promise that is broken by what was seen so far."""
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
    for told in observations.attempts:
        runs = observations.runs_by_mark[told.mark]
        if not told.is_idempotent and runs > 1:
            detail = f"{told.mark} ran {runs} times"
            yield Violation(guarantee="at most once", detail=detail, log_id=told.log_id)


def _not_run_did_not_run(observations: Observations) -> Iterator[Violation]:
    doubtful = {
        each.mark
        for each in observations.attempts
        if each.outcome is not Outcome.NOT_RUN
    }
    for told in observations.attempts:
        settled = (
            told.mark not in doubtful and told.mark not in observations.in_flight_marks
        )
        if settled and observations.runs_by_mark[told.mark]:
            detail = f"{told.mark} was told not-run at each try, but ran"
            yield Violation(
                guarantee="not-run is true", detail=detail, log_id=told.log_id
            )


def _answers_match(observations: Observations) -> Iterator[Violation]:
    for told in observations.attempts:
        if told.outcome is Outcome.DONE and not told.is_own_answer:
            detail = f"{told.mark} got an answer that is not its own"
            yield Violation(guarantee="own answer", detail=detail, log_id=told.log_id)


def _answered_in_time(observations: Observations) -> Iterator[Violation]:
    for told in observations.attempts:
        late_s = told.completed_at - told.deadline
        if late_s > MAX_LATE_S and not observations.is_disturbed(
            told.vm, told.sent_at - MAX_LATE_S, told.completed_at
        ):
            detail = (
                f"{told.mark} at {told.vm} had no answer {late_s:.1f} s too late:"
                f" asked at {told.sent_at:.2f}, told at {told.completed_at:.2f},"
                f" outcome {told.outcome}, cut {told.is_cut_off}"
            )
            yield Violation(guarantee="answered", detail=detail, log_id=told.log_id)


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
        What was seen.
    recovered_from : float
        When recovery must be complete, seconds of the soak.
    versions : mapping of str to int
        Version in force at each VM.
    accepted : int
        Newest accepted version.
    unconfirmed : int
        Newest version whose acceptance was never learned; all VMs have it, or none.
    """
    reads = [
        each
        for each in observations.attempts
        if each.is_idempotent and each.sent_at >= recovered_from
    ]
    served = sum(each.outcome is Outcome.DONE for each in reads)
    if served < MIN_SERVED_SHARE * len(reads) or not reads:
        detail = f"{served} of {len(reads)} reads were served in the end"
        last = [each.log_id for each in reads if each.outcome is not Outcome.DONE]
        request = last[-1] if last else ""
        yield Violation(guarantee="recovers", detail=detail, log_id=request)
    in_doubt = unconfirmed > accepted and set(versions.values()) == {unconfirmed}
    wanted = unconfirmed if in_doubt else accepted
    for vm, version in versions.items():
        if version != wanted:
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
