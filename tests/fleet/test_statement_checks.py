"""Tests of the soak's checks that entry VMs comply with upstream statements."""

from __future__ import annotations

from pathlib import Path
from random import Random

from soak.checks import Checks
from soak.checks import ObservedRequest
from soak.cuts import Cuts
from soak.history import Disturbances
from soak.history import History
from soak.history import Span
from soak.layout import Bounds
from soak.layout import Layout
from soak.process_pauses import ProcessPauses
from soak.soak_store import SoakStore
from soak.statements import Statements
from soak.upstream import Arrival
from soak.upstream import Upstream
from soak.upstreams import Upstreams

from plankspindle_core.endpoint import Endpoint

VM = "edge-0"
NOW = 100.0


class RecordedRun:
    """Recorded requests of one entry VM to one upstream."""

    def __init__(self) -> None:
        bounds = Bounds.of_seed(0)
        self.checks = Checks(
            bounds=bounds,
            history=History(random=Random(1)),
            disturbances=Disturbances(contact_s=bounds.contact),
        )
        self.upstreams = Upstreams(
            layout=Layout(vms=1, first_port=28_900),
            store=SoakStore(Random(1)),
            random=Random(1),
            drain_s=bounds.drain,
            per_service_and_zone=1,
        )
        self.statements = Statements(
            checks=self.checks,
            upstreams=self.upstreams,
            process_pauses=ProcessPauses(),
            cuts=Cuts(
                checks=self.checks,
                layout=Layout(vms=3, first_port=29_100),
                folder=Path(),
            ),
            seed=1,
        )
        self.at = Upstream(
            name="i-1", service="desk", zone="", endpoint=Endpoint("127.0.0.9", 9)
        )

    def send(
        self, after_s: float, incarnation: int = 1, answered_after_s: float = 0.02
    ) -> Arrival:
        """Record a request and its answer, with the upstream's present statement."""
        number, at = str(len(self.checks.requests)), NOW + after_s
        arrival = Arrival(at=self.at, request=number, arrived_at=at + 0.01)
        arrival.record_answer(at + answered_after_s)
        self.upstreams.arrivals.append(arrival)
        observed = ObservedRequest(
            request=number,
            vm=VM,
            prefix="/m0/",
            incarnation=incarnation,
            sent_at=at,
            ended_at=at + 0.03,
            status=200,
        )
        self.checks.requests.append(observed)
        return arrival

    def violations(self) -> list[str]:
        self.statements.check()
        return [each.check for each in self.checks.violations]


def test_requests_above_limit_are_a_violation() -> None:
    run = RecordedRun()
    run.at.limit_per_s = 2.0
    for number in range(30):
        run.send(number * 0.1)
    assert run.violations() == ["limit"]


def test_requests_within_limit_are_allowed() -> None:
    run = RecordedRun()
    run.at.limit_per_s = 2.0
    for number in range(30):
        run.send(number * 0.5)
    assert run.violations() == []


def test_requests_of_process_without_statement_are_not_checked() -> None:
    run = RecordedRun()
    run.at.limit_per_s = 2.0
    for number in range(30):
        run.send(number * 0.1, incarnation=number)
    assert run.violations() == []


def test_request_to_leaving_upstream_is_a_violation() -> None:
    run = RecordedRun()
    run.at.announces_leaving = True
    run.send(0.0)
    run.send(run.checks.bounds.drain + 0.1)
    assert run.violations() == ["said leaving"]


def test_statement_in_answer_after_the_callers_is_not_relayed() -> None:
    run = RecordedRun()
    run.at.announces_leaving = True
    run.send(0.0, answered_after_s=1.0)
    run.send(run.checks.bounds.drain + 0.1)
    assert run.violations() == []


def test_paused_process_is_excused() -> None:
    run = RecordedRun()
    run.at.announces_leaving = True
    run.send(0.0)
    run.send(run.checks.bounds.drain + 0.1)
    run.statements.process_pauses.begin(VM, NOW + 1.0).end = NOW + 1.5
    assert run.violations() == []


def test_three_requests_during_retry_after_are_a_violation() -> None:
    run = RecordedRun()
    run.at.retry_after_s = 3.0
    run.send(0.0)
    run.at.retry_after_s = None
    for after_s in (0.4, 0.6, 1.0, 2.0, 3.5):
        run.send(after_s)
    assert run.violations() == ["rest"]


def test_two_requests_during_retry_after_are_allowed() -> None:
    run = RecordedRun()
    run.at.retry_after_s = 3.0
    run.send(0.0)
    run.at.retry_after_s = None
    for after_s in (0.4, 0.6, 1.0, 3.5):
        run.send(after_s)
    assert run.violations() == []


def test_upstream_is_withheld_only_during_its_span() -> None:
    at = RecordedRun().at
    at.withheld_spans.append(Span(begin=NOW, end=NOW + 2.0))
    assert at.is_withheld(NOW + 1.0, NOW + 1.5)
    assert not at.is_withheld(NOW + 2.1, NOW + 3.0)


def test_statement_sent_twice_and_malformed_once_is_ignored() -> None:
    run = RecordedRun()
    run.at.retry_after_s, run.at.announces_leaving, run.at.limit_per_s = 3.0, True, 0.0
    for name in (b"retry-after", b"server-leaving", b"server-limit"):
        run.at.malformed_statement = (name, b"-1")
        arrival = run.send(0.0)
        statement = (arrival.retry_after_s, arrival.is_leaving, arrival.names_limit)
        assert statement.count(None) + statement.count(False) == 1
