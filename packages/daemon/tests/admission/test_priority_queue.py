"""State-machine test of the priority queue."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from plankspindle_daemon.admission.priority_queue import PriorityQueue
from plankspindle_daemon.admission.priority_queue import Queued
from plankspindle_daemon.admission.priority_queue import QueueFull
from plankspindle_testkit.builders import build_ticket

LIMIT = 5


class QueueMachine(RuleBasedStateMachine):
    """Compare the queue with a sorted list."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = PriorityQueue(limit=LIMIT)
        self.model: list[tuple[int, int]] = []
        self.number = 0

    @rule(rank=st.integers(0, 2))
    def offer(self, rank: int) -> None:
        self.number += 1
        lowest = max(self.model, default=None)
        offered = self.queue.offer(build_ticket(self.number, rank=rank))
        if len(self.model) < LIMIT:
            assert offered == Queued(None)
        elif lowest is not None and lowest[0] > rank:
            assert isinstance(offered, Queued)
            assert offered.evicted is not None
            assert (offered.evicted.rank, offered.evicted.id) == lowest
            self.model.remove(lowest)
        else:
            assert isinstance(offered, QueueFull)
            return
        self.model.append((rank, self.number))

    @precondition(lambda self: self.model)
    @rule()
    def remove_first(self) -> None:
        first = next(iter(self.queue))
        assert (first.rank, first.id) == min(self.model)
        self.queue.remove(first.id)
        self.model.remove(min(self.model))

    @invariant()
    def serves_in_order(self) -> None:
        served = [(ticket.rank, ticket.id) for ticket in self.queue]
        assert served == sorted(self.model)
        assert len(self.queue) == len(self.model)


def test_lowered_limit_keeps_queued_tickets() -> None:
    queue = PriorityQueue(limit=10)
    for number in range(10):
        queue.offer(build_ticket(number, rank=2))
    queue.limit = 3
    assert isinstance(queue.offer(build_ticket(10, rank=2)), QueueFull)
    urgent = queue.offer(build_ticket(11, rank=0))
    assert isinstance(urgent, Queued)
    assert urgent.evicted is not None
    assert len(queue) == 10
    assert next(iter(queue)).id == 11


TestPriorityQueue = QueueMachine.TestCase
