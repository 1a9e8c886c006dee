"""The soak's checks of what upstreams say of themselves can fail."""

from __future__ import annotations

from random import Random

from soak.checks import Checks
from soak.checks import ObservedRequest
from soak.history import Disturbances
from soak.history import History
from soak.history import Span
from soak.layout import Bounds
from soak.layout import Layout
from soak.process_pauses import ProcessPauses
from soak.soak_store import SoakStore
from soak.statements import Statements
from soak.upstreams import Arrival
from soak.upstreams import Upstream
from soak.upstreams import Upstreams

from plankspindle_core.endpoint import Endpoint

VM = "edge-0"
NOW = 100.0


class Run:
    """Requests of one entry VM to one upstream, as a soak has noted them."""

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
            seed=1,
        )
        self.at = Upstream(
            name="i-1", service="desk", zone="", endpoint=Endpoint("127.0.0.9", 9)
        )

    def send(self, after_s: float, life: int = 1) -> Arrival:
        """Note a request and its answer, with what the upstream says now."""
        number, at = str(len(self.checks.requests)), NOW + after_s
        arrival = Arrival(at=self.at, request=number, arrived_at=at + 0.01)
        arrival.record_answer(at + 0.02)
        self.upstreams.arrivals.append(arrival)
        told = ObservedRequest(
            request=number,
            vm=VM,
            prefix="/m0/",
            incarnation=life,
            sent_at=at,
            ended_at=at + 0.03,
            status=200,
        )
        self.checks.requests.append(told)
        return arrival

    def broken(self) -> list[str]:
        self.statements.check()
        return [each.check for each in self.checks.violations]


def test_more_than_a_limit_allows_is_found() -> None:
    run = Run()
    run.at.limit_per_s = 2.0
    for number in range(30):
        run.send(number * 0.1)
    assert run.broken() == ["limit"]


def test_what_a_limit_allows_is_not_a_finding() -> None:
    run = Run()
    run.at.limit_per_s = 2.0
    for number in range(30):
        run.send(number * 0.5)
    assert run.broken() == []


def test_requests_of_a_process_that_was_not_told_are_not_judged() -> None:
    run = Run()
    run.at.limit_per_s = 2.0
    for number in range(30):
        run.send(number * 0.1, life=number)
    assert run.broken() == []


def test_a_request_to_an_upstream_that_said_it_leaves_is_found() -> None:
    run = Run()
    run.at.announces_leaving = True
    run.send(0.0)
    run.send(run.checks.bounds.drain + 0.1)
    assert run.broken() == ["said leaving"]


def test_a_process_that_stood_still_since_is_excused() -> None:
    run = Run()
    run.at.announces_leaving = True
    run.send(0.0)
    run.send(run.checks.bounds.drain + 0.1)
    run.statements.process_pauses.begin(VM, NOW + 1.0).end = NOW + 1.5
    assert run.broken() == []


def test_three_requests_in_a_rest_are_found() -> None:
    run = Run()
    run.at.retry_after_s = 3.0
    run.send(0.0)
    run.at.retry_after_s = None
    for after_s in (0.4, 0.6, 1.0, 2.0, 3.5):
        run.send(after_s)
    assert run.broken() == ["rest"]


def test_two_requests_in_a_rest_are_allowed() -> None:
    run = Run()
    run.at.retry_after_s = 3.0
    run.send(0.0)
    run.at.retry_after_s = None
    for after_s in (0.4, 0.6, 1.0, 3.5):
        run.send(after_s)
    assert run.broken() == []


def test_an_upstream_keeps_requests_away_while_it_says_something() -> None:
    at = Run().at
    at.withheld_spans.append(Span(begin=NOW, end=NOW + 2.0))
    assert at.is_withheld(NOW + 1.0, NOW + 1.5)
    assert not at.is_withheld(NOW + 2.1, NOW + 3.0)


def test_what_is_said_twice_and_spoilt_once_counts_as_not_said() -> None:
    run = Run()
    run.at.retry_after_s, run.at.announces_leaving, run.at.limit_per_s = 3.0, True, 0.0
    for name in (b"retry-after", b"server-leaving", b"server-limit"):
        run.at.malformed_statement = (name, b"-1")
        arrival = run.send(0.0)
        said = (arrival.retry_after_s, arrival.is_leaving, arrival.names_limit)
        assert said.count(None) + said.count(False) == 1
