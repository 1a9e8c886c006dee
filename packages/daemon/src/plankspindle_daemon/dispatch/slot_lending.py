"""Borrowing of idle slots from other entry VMs, and lending of this VM's own."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.admission.priority_queue import PriorityQueue
from plankspindle_daemon.dispatch.messages import GrantSlots
from plankspindle_daemon.dispatch.messages import RequestSlots
from plankspindle_daemon.peer_messages.slot_messages import SlotGrant
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.upstreams.slot_ledger import Loan

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_daemon.dispatch.messages import SlotsRequested
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

MAX_LOAN_S = 5.0
REQUEST_PERIOD_S = 0.05


@define(kw_only=True)
class SlotLending:
    """Both sides of the slot loans of one service.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Incarnation number of this process.
    random : Random
        Source of choices and request ids.
    queue : PriorityQueue
        Waiting requests of this VM; nothing is lent while there are any.
    """

    vm: str
    incarnation: int
    random: Random
    queue: PriorityQueue
    _pending_by_id: dict[int, tuple[str, float, float]] = field(factory=dict)
    _next_request_at: float = 0.0

    def request(
        self, upstreams_by_name: Mapping[str, UpstreamState], now: float
    ) -> list[RequestSlots]:
        """Request idle slots of an upstream on which this VM's own share is used up."""
        if now < self._next_request_at:
            return []
        waiting = next(iter(self.queue))
        full = [
            each
            for each in upstreams_by_name.values()
            if not each.rejects_new_work(now)
            and each.name not in waiting.excluded_upstreams
            and each.health.usable_share(each.upstream.slots, now)
            > each.usable_slots(now)
        ]
        if not full:
            return []
        chosen = self.random.choice(full)
        self._next_request_at = now + REQUEST_PERIOD_S
        duration_s = min(MAX_LOAN_S, waiting.deadline - now)
        request = SlotRequest(
            sender=self.vm,
            request_id=self.random.getrandbits(63),
            upstream=chosen.name,
            count=min(len(self.queue), chosen.upstream.slots),
            duration_ms=int(duration_s * 1000) + 1,
            incarnation=self.incarnation,
        )
        self._expire_pending(now)
        until = now + duration_s
        self._pending_by_id[request.request_id] = (chosen.name, now, until)
        return [RequestSlots(request)]

    def _expire_pending(self, now: float) -> None:
        self._pending_by_id = {
            number: pending
            for number, pending in self._pending_by_id.items()
            if pending[2] > now
        }

    def lend(
        self,
        requested: SlotsRequested,
        upstreams_by_name: Mapping[str, UpstreamState],
        now: float,
    ) -> list[GrantSlots]:
        """Lend up to half of the idle slots."""
        request = requested.request
        upstream = upstreams_by_name.get(request.upstream)
        if upstream is None or upstream.rejects_new_work(now) or self.queue:
            return []
        idle = upstream.usable_slots(now) - upstream.ledger.in_flight
        duration_s = min(MAX_LOAN_S, request.duration_ms / 1000)
        lent = upstream.ledger.lend(
            request_id=request.request_id,
            count=min(request.count, (max(0, idle) + 1) // 2),
            now=now,
            until=now + duration_s,
        )
        if lent == 0:
            return []
        grant = SlotGrant(
            sender=self.vm,
            request_id=request.request_id,
            upstream=request.upstream,
            count=lent,
            duration_ms=int(duration_s * 1000),
            borrower_incarnation=request.incarnation,
        )
        return [GrantSlots(grant=grant, to=requested.reply_to)]

    def borrow(
        self,
        grant: SlotGrant,
        upstreams_by_name: Mapping[str, UpstreamState],
        now: float,
    ) -> None:
        """Add slots that were lent, if this incarnation requested them."""
        pending = self._pending_by_id.pop(grant.request_id, None)
        if pending is None or grant.borrower_incarnation != self.incarnation:
            return
        name, requested_at, _ = pending
        upstream = upstreams_by_name.get(name)
        if upstream is None or grant.upstream != name:
            return
        until = requested_at + grant.duration_ms / 1000
        loan = Loan(request_id=grant.request_id, count=grant.count, until=until)
        upstream.ledger.borrow(loan, now)
