"""An upstream of a trial, which records its executions."""

from __future__ import annotations

from enum import Enum

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_daemon.upstreams.load_report import LoadReport


class UpstreamMode(Enum):
    """How an upstream handles requests."""

    SERVE = "serve"
    SHED = "shed"
    LOSE_ANSWERS = "lose-answers"
    HANG = "hang"
    DOWN = "down"


@frozen(kw_only=True)
class Run:
    """One execution of a request.

    Parameters
    ----------
    request : int
        Number of the request.
    vm : str
        Entry VM that sent it.
    ends_at : float
        Simulated time of its end, in seconds.
    """

    request: int
    vm: str
    ends_at: float


@define(kw_only=True)
class FakeUpstream:
    """An upstream with its slots, its mode and its present executions.

    Parameters
    ----------
    name : str
        Its name.
    slots : int
        Requests that it may run at once.
    """

    name: str
    slots: int
    mode: UpstreamMode = UpstreamMode.SERVE
    claims_idle: bool = False
    reports_stopped: bool = False
    leaving_since: float | None = None
    runs: list[Run] = field(factory=list)
    max_concurrent: int = 0
    started_after_leaving_s: float = 0.0
    last_started_at: float = 0.0

    def start(self, run: Run, now: float) -> None:
        """Start an execution; entry VMs, not the upstream, enforce the slot limit."""
        self.runs.append(run)
        self.last_started_at = now
        self.max_concurrent = max(self.max_concurrent, len(self.runs))
        if self.leaving_since is not None:
            late = now - self.leaving_since
            self.started_after_leaving_s = max(self.started_after_leaving_s, late)

    def pop_finished(self, now: float) -> list[Run]:
        """Remove the executions that have finished, and return them."""
        ended = [run for run in self.runs if run.ends_at <= now]
        self.runs = [run for run in self.runs if run.ends_at > now]
        return ended

    def cancel(self, request: int, vm: str) -> None:
        """Cancel an execution whose connection was closed."""
        self.runs = [run for run in self.runs if (run.request, run.vm) != (request, vm)]

    def cancel_all_from(self, vm: str) -> None:
        """Cancel the executions of a VM whose process ended."""
        self.runs = [run for run in self.runs if run.vm != vm]

    def report(self) -> LoadReport:
        """Return the answer of the load endpoint, which may be false."""
        return LoadReport(
            in_flight=0 if self.claims_idle else len(self.runs),
            slots=self.slots,
            leaving=self.leaving_since is not None,
        )
