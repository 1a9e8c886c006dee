"""Tests of headroom between failure domains: issuing, use and expiry of grants."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.headroom.grant_table import GrantTable
from plankspindle_daemon.headroom.grant_table import HeldGrant
from plankspindle_daemon.headroom.headroom_ledger import RESERVE_SHARE
from plankspindle_daemon.headroom.headroom_ledger import HeadroomLedger
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomGrant
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest

CAPACITY = 12
TARGET = {"service": "registry", "region": "kosice"}
PEER = Endpoint("127.0.0.1", 7000)


class HeadroomMachine(RuleBasedStateMachine):
    """Two holders and one granting VM; messages are lost, delayed and repeated."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.ledger = HeadroomLedger()
        self.tables = [GrantTable(incarnation=1), GrantTable(incarnation=2)]
        self.local_in_flight = 0
        self.in_transit: list[tuple[int, HeadroomGrant]] = []
        self.moved: list[tuple[int, HeldGrant, bool]] = []

    @property
    def moved_in_flight(self) -> int:
        return sum(1 for _, _, admitted in self.moved if admitted)

    @rule(holder=st.integers(0, 1), count=st.integers(1, 8))
    def request_headroom(self, holder: int, count: int) -> None:
        self.number += 1
        request = HeadroomRequest(
            sender=f"h{holder}",
            request_id=self.number,
            service="registry",
            count=count,
            duration_ms=2000,
            incarnation=holder + 1,
        )
        table = self.tables[holder]
        table.record_request(request, region="kosice", endpoint=PEER, now=self.now)
        granted = self.ledger.grant(
            request_id=request.request_id,
            requested=count,
            capacity=CAPACITY,
            in_flight=self.local_in_flight + self.moved_in_flight,
            now=self.now,
            valid_until=self.now + 2.0,
        )
        if granted:
            grant = HeadroomGrant(
                sender="g",
                request_id=request.request_id,
                service="registry",
                count=granted,
                duration_ms=2000,
                holder_incarnation=request.incarnation,
            )
            self.in_transit.append((holder, grant))

    @precondition(lambda self: self.in_transit)
    @rule(repeated=st.booleans(), misdirected=st.booleans())
    def grant_arrives(self, repeated: bool, misdirected: bool) -> None:
        holder, grant = self.in_transit[-1] if repeated else self.in_transit.pop()
        target = 1 - holder if misdirected else holder
        self.tables[target].accept_grant(grant, self.now)

    @rule(holder=st.integers(0, 1))
    def move_request(self, holder: int) -> None:
        held = self.tables[holder].acquire(**TARGET, now=self.now)
        if held is not None:
            admitted = self.ledger.begin(held.request_id, self.now)
            self.moved.append((holder, held, admitted))

    @precondition(lambda self: self.moved)
    @rule()
    def moved_request_ends(self) -> None:
        holder, held, admitted = self.moved.pop(0)
        if admitted:
            self.ledger.end(held.request_id)
        self.tables[holder].release(held)

    @rule(change=st.integers(-3, 3))
    def local_load_changes(self, change: int) -> None:
        self.local_in_flight = max(0, min(CAPACITY, self.local_in_flight + change))

    @rule(seconds=st.floats(0.1, 3.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(holder=st.integers(0, 1))
    def holder_pauses(self, holder: int) -> None:
        self.now += 5.0
        self.tables[holder].discard_all()

    @invariant()
    def moved_requests_stay_within_grantable_capacity(self) -> None:
        assert self.moved_in_flight <= CAPACITY * (1 - RESERVE_SHARE)


TestHeadroom = HeadroomMachine.TestCase


def test_moved_request_is_admitted_only_under_valid_grant() -> None:
    ledger = HeadroomLedger()
    assert not ledger.begin(5, 0.0)
    ledger.grant(
        request_id=5, requested=1, capacity=8, in_flight=0, now=0.0, valid_until=2.0
    )
    assert ledger.begin(5, 1.0)
    assert not ledger.begin(5, 1.0)
    ledger.end(5)
    assert not ledger.begin(5, 2.0)


def test_grants_never_use_the_reserve() -> None:
    ledger = HeadroomLedger()
    fields = {"capacity": 8, "now": 0.0, "valid_until": 2.0}
    assert ledger.grant(request_id=1, requested=9, in_flight=6, **fields) == 0
    assert ledger.grant(request_id=2, requested=9, in_flight=4, **fields) == 2
    assert ledger.grant(request_id=3, requested=9, in_flight=4, **fields) == 0


def test_used_grant_is_renewed_before_it_expires() -> None:
    table = GrantTable(incarnation=1)
    assert table.acquire(**TARGET, now=0.0) is None
    assert table.take_demand(**TARGET, now=0.0) == 1
    request = HeadroomRequest(
        sender="h",
        request_id=1,
        service="registry",
        count=1,
        duration_ms=2000,
        incarnation=1,
    )
    table.record_request(request, region="kosice", endpoint=PEER, now=0.0)
    grant = HeadroomGrant(
        sender="g",
        request_id=1,
        service="registry",
        count=1,
        duration_ms=2000,
        holder_incarnation=1,
    )
    table.accept_grant(grant, 0.1)
    held = table.acquire(**TARGET, now=0.2)
    assert held is not None
    assert table.take_demand(**TARGET, now=0.3) == 0
    assert table.take_demand(**TARGET, now=1.5) == 1
    assert table.acquire(**TARGET, now=2.1) is None
