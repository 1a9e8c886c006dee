"""An upstream that knows what it really ran."""

from __future__ import annotations

from enum import Enum

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_daemon.upstreams.load_report import LoadReport


class UpstreamMode(Enum):
    """What an upstream does with requests."""

    SERVE = "serve"
    SHED = "shed"
    LOSE_ANSWERS = "lose-answers"
    HANG = "hang"
    DOWN = "down"


@frozen(kw_only=True)
class Run:
    """One execution.

    Parameters
    ----------
    request : int
        Number of the request.
    vm : str
        Entry VM that sent it.
    ends_at : float
        Seconds.
    """

    request: int
    vm: str
    ends_at: float


@define(kw_only=True)
class FakeUpstream:
    """Slots, conduct and the truth about executions.

    Parameters
    ----------
    name : str
        Its name.
    slots : int
        Requests it may run at once.
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
        """Start an execution; the limit is for the entry VMs to keep."""
        self.runs.append(run)
        self.last_started_at = now
        self.max_concurrent = max(self.max_concurrent, len(self.runs))
        if self.leaving_since is not None:
            late = now - self.leaving_since
            self.started_after_leaving_s = max(self.started_after_leaving_s, late)

    def pop_finished(self, now: float) -> list[Run]:
        """Take the executions that have ended by now."""
        ended = [run for run in self.runs if run.ends_at <= now]
        self.runs = [run for run in self.runs if run.ends_at > now]
        return ended

    def cancel(self, request: int, vm: str) -> None:
        """Stop an execution whose connection was closed."""
        self.runs = [run for run in self.runs if (run.request, run.vm) != (request, vm)]

    def cancel_all_from(self, vm: str) -> None:
        """Stop the executions of a VM whose process ended."""
        self.runs = [run for run in self.runs if run.vm != vm]

    def report(self) -> LoadReport:
        """Say what the load endpoint says, true or not."""
        return LoadReport(
            in_flight=0 if self.claims_idle else len(self.runs),
            slots=self.slots,
            leaving=self.leaving_since is not None,
        )
