"""Lets requests wait for tokens of their workspace's quota."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from attrs import field
from curio import Event
from curio import TaskTimeout

from plankspindle_core.classes import define
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import within
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.quotas.token_requester import LOCAL_ANSWER_TIMEOUT_S

if TYPE_CHECKING:
    from plankspindle_daemon.quotas.token_requester import TokenRequesterEffect


@define(kw_only=True)
class _Waiter:
    event: Any = field(factory=Event)
    decision: TokenTaken | TokenRefused | None = None


@define(kw_only=True)
class QuotaRunner:
    """Acquire tokens for requests, and carry out the effects of doing so.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    peers : PeerLink
        Sends messages to other entry VMs.
    """

    node: Node
    peers: PeerLink
    _tickets: count[int] = field(factory=count)
    _waiters_by_ticket: dict[int, _Waiter] = field(factory=dict)

    async def acquire(self, workspace: str) -> TokenTaken | TokenRefused:
        """Wait until a request is granted a token or refused one."""
        ticket = next(self._tickets)
        waiter = self._waiters_by_ticket[ticket] = _Waiter()
        quotas = self.node.quotas
        try:
            await self._perform(quotas.request_token(ticket, workspace, monotonic()))
            while waiter.decision is None:
                try:
                    await within(LOCAL_ANSWER_TIMEOUT_S, waiter.event.wait)
                except TaskTimeout:
                    await self._perform(quotas.token_requester.tick(monotonic()))
        except BaseException:
            if isinstance(waiter.decision, TokenTaken):
                self.return_token(workspace)
            quotas.token_requester.cancel(ticket, workspace)
            raise
        finally:
            del self._waiters_by_ticket[ticket]
        return waiter.decision

    def return_token(self, workspace: str) -> None:
        """Return the token of a request that was sent to no upstream."""
        self.node.quotas.token_requester.return_token(workspace, monotonic())

    async def deliver_decision(self, decision: TokenTaken | TokenRefused) -> None:
        """Wake the request that a decision is for."""
        waiter = self._waiters_by_ticket.get(decision.ticket)
        if waiter is not None:
            waiter.decision = decision
            await waiter.event.set()

    async def _perform(self, effects: list[TokenRequesterEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToPeer(message=message, to=to):
                    await self.peers.send(message, to)
                case TokenTaken() | TokenRefused():
                    await self.deliver_decision(effect)
