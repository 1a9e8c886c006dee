"""State-machine test of the dispatcher: slots, priority, leaving, one decision each."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.peer_messages.slot_messages import SlotGrant
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_testkit.builders import build_dispatcher
from plankspindle_testkit.builders import build_ticket

SLOTS = {"u": 2, "v": 3}
NAMES = st.sampled_from(sorted(SLOTS))
PEER = Endpoint("127.0.0.1", 1)


class DispatcherMachine(RuleBasedStateMachine):
    """One dispatcher, and a peer that lends slots to it and borrows from it."""

    def __init__(self) -> None:
        super().__init__()
        self.dispatcher = build_dispatcher(slots_by_upstream=SLOTS, queue_limit=4)
        self.now = 0.0
        self.last_id = 0
        self.waiting: dict[int, int] = {}
        self.running: dict[int, tuple[str, float]] = {}
        self.lent: list[tuple[str, int, float]] = []
        self.requested: list[SlotRequest] = []
        self.leaving: set[str] = set()

    def _apply(self, effects: list[d.DispatchEffect]) -> None:
        for effect in effects:
            match effect:
                case d.Assign(ticket=ticket, upstream=name):
                    rank = self.waiting.pop(ticket.id)
                    assert name not in self.leaving
                    assert all(rank <= other for other in self.waiting.values())
                    self.running[ticket.id] = (name, ticket.deadline)
                case d.Reject(ticket=ticket):
                    del self.waiting[ticket.id]
                case d.RequestSlots(request=request):
                    self.requested.append(request)
                case d.GrantSlots(grant=grant):
                    until = self.now + grant.duration_ms / 1000
                    self.lent.append((grant.upstream, grant.count, until))
                case d.SendProbe():
                    pass

    def _handle(self, event: d.DispatchEvent) -> None:
        self._apply(self.dispatcher.handle(event, self.now))

    @rule(rank=st.integers(0, 2))
    def arrive(self, rank: int) -> None:
        self.last_id += 1
        self.waiting[self.last_id] = rank
        ticket = build_ticket(self.last_id, rank=rank, deadline=self.now + 4.0)
        self._handle(d.RequestArrived(ticket))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), outcome=st.sampled_from(list(d.AttemptOutcome)))
    def complete(self, data: st.DataObject, outcome: d.AttemptOutcome) -> None:
        number = data.draw(st.sampled_from(sorted(self.running)))
        name, _ = self.running.pop(number)
        answered = outcome is d.AttemptOutcome.ANSWERED
        completed = d.AttemptCompleted(
            ticket=build_ticket(number),
            upstream=name,
            outcome=outcome,
            head_s=0.1 if answered else None,
            total_s=0.1 if answered else None,
        )
        self._handle(completed)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        del self.waiting[number]
        self._handle(d.RequestWithdrawn(number))

    @rule(name=NAMES, leaving=st.booleans(), load=st.integers(0, 9))
    def report(self, name: str, leaving: bool, load: int) -> None:
        if leaving:
            self.leaving.add(name)
        else:
            self.leaving.discard(name)
        report = LoadReport(in_flight=load, slots=3, leaving=leaving)
        self._handle(d.ProbeCompleted(upstream=name, report=report, wall=0.0))

    @rule(name=NAMES, reached=st.booleans())
    def probe_without_report(self, name: str, reached: bool) -> None:
        self._handle(
            d.ProbeCompleted(upstream=name, report=None, wall=0.0, reached=reached)
        )

    @rule(seconds=st.floats(0.01, 2.0))
    def advance_time(self, seconds: float) -> None:
        self.now += seconds
        self._handle(d.TimePassed())

    @rule()
    def pause(self) -> None:
        self.now += 10.0
        self._handle(d.ProcessPaused())

    @rule(name=NAMES, share=st.integers(0, 3))
    def change_share(self, name: str, share: int) -> None:
        ledger = self.dispatcher.upstreams_by_name[name].ledger
        ledger.shrink_share(min(share, SLOTS[name]))
        ledger.grow_share(min(share, SLOTS[name]))
        self._handle(d.TimePassed())

    @rule(name=NAMES, count=st.integers(1, 3))
    def peer_requests_slots(self, name: str, count: int) -> None:
        self.last_id += 1
        request = SlotRequest(
            sender="peer",
            request_id=self.last_id,
            upstream=name,
            count=count,
            duration_ms=1500,
            incarnation=2,
        )
        self._handle(d.SlotsRequested(request=request, reply_to=PEER))

    @precondition(lambda self: self.requested)
    @rule(again=st.booleans(), ours=st.booleans())
    def peer_grants_slots(self, again: bool, ours: bool) -> None:
        request = self.requested[-1] if again else self.requested.pop()
        grant = SlotGrant(
            sender="peer",
            request_id=request.request_id,
            upstream=request.upstream,
            count=1,
            duration_ms=request.duration_ms,
            borrower_incarnation=request.incarnation if ours else 99,
        )
        self._handle(d.SlotsGranted(grant))

    @invariant()
    def in_flight_and_queue_match_the_model(self) -> None:
        for name, upstream in self.dispatcher.upstreams_by_name.items():
            mine = [each for each in self.running.values() if each[0] == name]
            assert upstream.ledger.in_flight == len(mine)
        assert {ticket.id for ticket in self.dispatcher.queue} == set(self.waiting)

    @invariant()
    def loans_never_exceed_the_slots(self) -> None:
        for name, slots in SLOTS.items():
            lent = sum(
                count
                for upstream, count, until in self.lent
                if upstream == name and until > self.now
            )
            assert lent <= slots


TestDispatcher = DispatcherMachine.TestCase
