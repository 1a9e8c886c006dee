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

LATE_S = 1.0
"""Time beyond its deadline within which a caller must have an answer, in seconds."""
LEAST_SERVED = 0.9
"""Part of the reads that must be served once all faults are over."""
MOST_RESIDENT_KB = 200_000
MOST_DESCRIPTORS = 400


@frozen(kw_only=True)
class Told:
    """What a caller learned of one try.

    Parameters
    ----------
    mark : str
        Shared by the tries of one request.
    request : str
        Id by which logs tell of the try; empty if no answer came.
    vm : str
        Where it was sent.
    may_repeat : bool
        Whether it may run more than once.
    outcome : Outcome or None
        What was told; None if no answer came.
    is_own : bool
        Whether the answer belongs to the request and is whole.
    asked_at, told_at, deadline : float
        Seconds of the soak.
    is_cut : bool
        Whether its connection closed without a whole answer after all of the request
        was sent on it.
    """

    mark: str
    request: str
    vm: str
    may_repeat: bool
    outcome: Outcome | None
    is_own: bool
    asked_at: float
    told_at: float
    deadline: float
    is_cut: bool = False


@frozen(kw_only=True)
class Broken:
    """A broken promise.

    Parameters
    ----------
    promise : str
        Its name.
    detail : str
        What was seen.
    request : str
        A request to be explained; empty if there is none.
    """

    promise: str
    detail: str
    request: str = ""


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

    def meets(self, begin: float, end: float) -> bool:
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
    told : list of Told
        What callers learned.
    runs_by_mark : Counter of str
        Executions at all upstreams.
    spans_by_struck : dict of str to list of Span
        Times in which a VM, an upstream, their links or the platform were disturbed.
    cuts_by_vm : dict of str to list of Span
        Times in which a fault may have closed connections of callers of a VM.
    versions_by_life : dict of (str, int) to list of int
        Versions in force that each life of a process showed, in order.
    ends : list of (str, int, str)
        Processes that ended by themselves: VM, status, last line of the log.
    unexpected : list of (str, str)
        Errors that no code expected: VM, line of the log.
    cut_off : list of (str, int)
        Requests that a planned stop cut off.
    drained_runs : list of DrainedRuns
        Runs that a drained upstream began after the bound.
    drains_watched : int
        Drains during which some VM of the upstream's failure domain, which would use
        it, was undisturbed after the bound.
    open_marks : set of str
        Requests of which a try may be on its way.
    is_calming : bool
        Whether the faults are over, so that requests that take long stay away, too.
    """

    told: list[Told] = Factory(list)
    runs_by_mark: Counter[str] = Factory(Counter)
    spans_by_struck: dict[str, list[Span]] = Factory(dict)
    cuts_by_vm: dict[str, list[Span]] = Factory(dict)
    versions_by_life: dict[tuple[str, int], list[int]] = Factory(dict)
    ends: list[tuple[str, int, str]] = Factory(list)
    unexpected: list[tuple[str, str]] = Factory(list)
    cut_off: list[tuple[str, int]] = Factory(list)
    drained_runs: list[DrainedRuns] = Factory(list)
    open_marks: set[str] = Factory(set)
    drains_watched: int = 0
    is_calming: bool = False
    checks: int = 0

    def is_struck(self, name: str, begin: float, end: float) -> bool:
        """Tell whether a VM, an upstream or the platform was disturbed at some time."""
        spans = self.spans_by_struck.get(name, ())
        return any(each.meets(begin, end) for each in spans)


def check_all(seen: Observations) -> Iterator[Broken]:
    """Give every promise that is broken by what was seen so far."""
    seen.checks += 1
    yield from _at_most_once(seen)
    yield from _not_run_is_true(seen)
    yield from _own_answer(seen)
    yield from _answered_in_time(seen)
    yield from _never_reverts(seen)
    for vm, status, line in seen.ends:
        yield Broken(promise="runs on", detail=f"{vm} ended with {status}: {line}")
    for vm, line in seen.unexpected:
        yield Broken(promise="no unexpected error", detail=f"{vm}: {line}")
    for vm, count in seen.cut_off:
        yield Broken(promise="a stop cuts nothing", detail=f"{vm} cut off {count}")


def _at_most_once(seen: Observations) -> Iterator[Broken]:
    for told in seen.told:
        runs = seen.runs_by_mark[told.mark]
        if not told.may_repeat and runs > 1:
            detail = f"{told.mark} ran {runs} times"
            yield Broken(promise="at most once", detail=detail, request=told.request)


def _not_run_is_true(seen: Observations) -> Iterator[Broken]:
    doubtful = {each.mark for each in seen.told if each.outcome is not Outcome.NOT_RUN}
    for told in seen.told:
        settled = told.mark not in doubtful and told.mark not in seen.open_marks
        if settled and seen.runs_by_mark[told.mark]:
            detail = f"{told.mark} was told not-run at each try, but ran"
            yield Broken(promise="not-run is true", detail=detail, request=told.request)


def _own_answer(seen: Observations) -> Iterator[Broken]:
    for told in seen.told:
        if told.outcome is Outcome.DONE and not told.is_own:
            detail = f"{told.mark} got an answer that is not its own"
            yield Broken(promise="own answer", detail=detail, request=told.request)


def _answered_in_time(seen: Observations) -> Iterator[Broken]:
    for told in seen.told:
        late_s = told.told_at - told.deadline
        if late_s > LATE_S and not seen.is_struck(
            told.vm, told.asked_at - LATE_S, told.told_at
        ):
            detail = (
                f"{told.mark} at {told.vm} had no answer {late_s:.1f} s too late:"
                f" asked at {told.asked_at:.2f}, told at {told.told_at:.2f},"
                f" outcome {told.outcome}, cut {told.is_cut}"
            )
            yield Broken(promise="answered", detail=detail, request=told.request)


def _never_reverts(seen: Observations) -> Iterator[Broken]:
    for (vm, _), versions in seen.versions_by_life.items():
        if versions != sorted(versions):
            detail = f"{vm} showed versions {versions}"
            yield Broken(promise="versions never revert", detail=detail)


def check_end(
    seen: Observations,
    *,
    calm_from: float,
    versions: Mapping[str, int],
    accepted: int,
    doubtful: int = 0,
) -> Iterator[Broken]:
    """Check what must hold once the faults are over.

    Parameters
    ----------
    seen : Observations
        What was seen.
    calm_from : float
        When recovery must be complete, seconds of the soak.
    versions : mapping of str to int
        Version in force at each VM.
    accepted : int
        Newest accepted version.
    doubtful : int
        Newest version whose acceptance was never learned; all VMs have it, or none.
    """
    reads = [
        each for each in seen.told if each.may_repeat and each.asked_at >= calm_from
    ]
    served = sum(each.outcome is Outcome.DONE for each in reads)
    if served < LEAST_SERVED * len(reads) or not reads:
        detail = f"{served} of {len(reads)} reads were served in the end"
        last = [each.request for each in reads if each.outcome is not Outcome.DONE]
        request = last[-1] if last else ""
        yield Broken(promise="recovers", detail=detail, request=request)
    in_doubt = doubtful > accepted and set(versions.values()) == {doubtful}
    wanted = doubtful if in_doubt else accepted
    for vm, version in versions.items():
        if version != wanted:
            detail = f"{vm} has version {version} of {accepted}"
            yield Broken(promise="accepted is in force", detail=detail)


def check_growth(
    resident_kb: Mapping[str, int],
    descriptors: Mapping[str, int],
    connections: Mapping[str, str],
) -> Iterator[Broken]:
    """Check that memory and descriptors of processes have levelled off."""
    for vm, kb in resident_kb.items():
        if kb > MOST_RESIDENT_KB:
            yield Broken(promise="memory levels off", detail=f"{vm} has {kb} kB")
    for vm, count in descriptors.items():
        if count > MOST_DESCRIPTORS:
            detail = f"{vm} has {count} open: {connections.get(vm)}"
            yield Broken(promise="descriptors level off", detail=detail)
