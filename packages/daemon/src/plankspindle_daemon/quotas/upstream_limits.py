"""Limits over all entry VMs that upstreams name in their answers."""

from __future__ import annotations

from collections import OrderedDict
from itertools import count
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.limit_news import LimitNews
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.resend_queue import ResendQueue
from plankspindle_daemon.quotas.limit_holder import FleetLimit
from plankspindle_daemon.quotas.limit_holder import LimitHolder
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.quotas.token_requester import TokenRequester
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
    from plankspindle_daemon.quotas.token_requester import TokenRequesterEffect
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

MAX_LIMITS = 4_096
"""Lives of upstreams whose limits are remembered; the one heard of first goes."""
LIFTED_LIMIT_MEMORY_S = 30.0
"""Time for which older news of a limit that was lifted is passed over, in seconds."""
CLEANUP_PERIOD_S = 5.0
"""Period of forgetting what is old, in seconds."""
BROADCAST_STEP_SHARE = 0.2
"""Change of a limit, as a part of it, that other VMs are told of."""
MIN_BROADCAST_GAP_S = 1.0
"""Least time between two such changes that are told, in seconds."""
MAX_SEEN_UPDATES = 1_024
"""Numbers of news that are remembered, since each comes more than once."""
MAX_BROADCAST_RECIPIENTS = 512
"""Entry VMs that are told of a limit; in a larger fleet, those of the own domain."""


@frozen(kw_only=True)
class FleetLimiterChanged:
    """A token for an upstream came, or none is to be had for a while."""

    service: str


LimitEffect = SendToPeer | FleetLimiterChanged


@frozen(kw_only=True)
class _Ask:
    life: str
    service: str


@frozen(kw_only=True)
class _Told:
    limit_per_s: float
    at: float


@define(kw_only=True)
class UpstreamLimits:
    """Keep requests to an upstream within the limit that it names.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    membership : Membership
        Other entry VMs.
    holder : LimitHolder
        What gives tokens here.
    token_requester : TokenRequester
        What gets tokens from other VMs.

    Attributes
    ----------
    limiter_by_incarnation : dict of str to FleetLimiter
        Upstreams that name a limit.

    Notes
    -----
    A limit is a sum over all entry VMs that none of them sees, as a quota is, and it is
    kept in the same way: each request takes a token, from the shares of the limit that
    the VMs of a region have leased to one of them. A limit is in force from the first
    answer that names it until the answers to some later requests, of any VM, have not
    named it in a row; it has no other end, since what is not asked says nothing.
    """

    vm: str
    failure_domain: str
    membership: Membership
    holder: LimitHolder
    token_requester: TokenRequester
    limiter_by_incarnation: dict[str, FleetLimiter] = Factory(dict)
    _lifted_by_life: dict[str, float] = Factory(dict)
    _told_by_life: dict[str, _Told] = Factory(dict)
    _asks_by_ticket: dict[int, _Ask] = Factory(dict)
    _tickets: count[int] = field(factory=count)
    _outbox: ResendQueue = Factory(ResendQueue)
    _heard_news: OrderedDict[int, None] = Factory(OrderedDict)
    _next_forget: float = 0.0

    @property
    def is_needed(self) -> bool:
        """Whether there are tokens to give or get, or news to send again.

        A limit that nobody wants tokens of costs no messages.
        """
        has_tokens = len(self.holder) > 0 or bool(self._asks_by_ticket)
        return has_tokens or len(self._outbox) > 0

    def limit_of(self, incarnation_id: str) -> FleetLimit | None:
        """Give the limit of an upstream, as far as this VM knows."""
        gate = self.limiter_by_incarnation.get(incarnation_id)
        if gate is None:
            return None
        return FleetLimit(rate_per_s=gate.limit_per_s, announced_at=gate.announced_at)

    def apply_statement(
        self,
        incarnation_id: str,
        statement: UpstreamStatement,
        *,
        sent_at: float,
        now: float,
    ) -> list[SendToPeer]:
        """Take what an upstream said of itself in an answer to this VM.

        Parameters
        ----------
        incarnation_id : str
            Life of the upstream.
        statement : UpstreamStatement
            What it said.
        sent_at, now : float
            When the request was sent, and now, monotonic seconds.

        Returns
        -------
        list of SendToPeer
            What other VMs are told of it.
        """
        if statement.limit_per_s is not None:
            return self._take_named(incarnation_id, statement.limit_per_s, now)
        gate = self.limiter_by_incarnation.get(incarnation_id)
        if statement.unreadable or gate is None or sent_at <= gate.announced_at:
            return []
        number = self.token_requester.random.getrandbits(63)
        self._note_silent(incarnation_id, gate, number, sent_at)
        news = LimitNews(
            sender=self.vm,
            life=incarnation_id,
            limit_per_s=0.0,
            is_silent=True,
            number=number,
            ago_ms=int(1000 * (now - sent_at)),
        )
        return self._tell(news, now)

    def handle_update(self, update: LimitNews, now: float) -> None:
        """Take what another VM has heard; news that comes again says nothing new."""
        if update.number in self._heard_news:
            return
        self._heard_news[update.number] = None
        if len(self._heard_news) > MAX_SEEN_UPDATES:
            self._heard_news.popitem(last=False)
        at = now - update.ago_ms / 1000
        gate = self.limiter_by_incarnation.get(update.life)
        if not update.is_silent:
            self._name(update.life, update.limit_per_s, heard_at=at)
            self._told_by_life[update.life] = _Told(
                limit_per_s=update.limit_per_s, at=now
            )
        elif gate is not None:
            self._note_silent(update.life, gate, update.number, at)

    def request_token(
        self, incarnation_id: str, service: str, now: float
    ) -> list[LimitEffect]:
        """Get a token for a request of a service."""
        limit = self.limit_of(incarnation_id)
        if limit is None:
            return []
        self.holder.record_limit(incarnation_id, limit, now)
        ticket = next(self._tickets)
        self._asks_by_ticket[ticket] = _Ask(life=incarnation_id, service=service)
        return self._take(
            self.token_requester.request_token(ticket, incarnation_id, now), now
        )

    def handle_grant(self, grant: TokenGrant, now: float) -> list[LimitEffect]:
        """Take what a holder answered."""
        return self._take(self.token_requester.handle_grant(grant, now), now)

    def tick(self, now: float) -> list[LimitEffect]:
        """Let time pass."""
        effects: list[LimitEffect] = [*self._outbox.pop_due(now)]
        if now >= self._next_forget:
            self._next_forget = now + CLEANUP_PERIOD_S
            self._forget(now)
        return [*effects, *self._take(self.token_requester.tick(now), now)]

    def _take_named(
        self, life: str, limit_per_s: float, now: float
    ) -> list[SendToPeer]:
        gate = self.limiter_by_incarnation.get(life)
        was_doubted = gate is not None and gate.has_answers_without_limit
        self._name(life, limit_per_s, heard_at=now)
        if not was_doubted and not self._is_news(life, limit_per_s, now):
            return []
        self._told_by_life[life] = _Told(limit_per_s=limit_per_s, at=now)
        news = LimitNews(
            sender=self.vm,
            life=life,
            limit_per_s=limit_per_s,
            is_silent=False,
            number=self.token_requester.random.getrandbits(63),
            ago_ms=0,
        )
        return self._tell(news, now)

    def _name(self, life: str, limit_per_s: float, *, heard_at: float) -> None:
        if heard_at < self._lifted_by_life.get(life, 0.0):
            return
        gate = self.limiter_by_incarnation.get(life)
        if gate is not None:
            gate.record_limit(limit_per_s, heard_at)
            return
        if len(self.limiter_by_incarnation) >= MAX_LIMITS:
            del self.limiter_by_incarnation[next(iter(self.limiter_by_incarnation))]
        self.limiter_by_incarnation[life] = FleetLimiter(
            limit_per_s=limit_per_s, announced_at=heard_at
        )

    def _note_silent(
        self, life: str, gate: FleetLimiter, number: int, sent_at: float
    ) -> None:
        """Take an answer that named no limit, and end the limit after some of them."""
        gate.record_answer_without_limit(number, sent_at)
        if gate.is_lifted():
            del self.limiter_by_incarnation[life]
            self.holder.remove(life)
            self._lifted_by_life[life] = sent_at
            self._told_by_life.pop(life, None)

    def _is_news(self, life: str, limit_per_s: float, now: float) -> bool:
        """Tell whether other VMs should hear of a limit that was named."""
        told = self._told_by_life.get(life)
        if told is None:
            return True
        step = abs(limit_per_s - told.limit_per_s)
        return (
            step > BROADCAST_STEP_SHARE * told.limit_per_s
            and now - told.at >= MIN_BROADCAST_GAP_S
        )

    def _tell(self, news: LimitNews, now: float) -> list[SendToPeer]:
        members = list(self.membership.members_by_name.values())
        if len(members) > MAX_BROADCAST_RECIPIENTS:
            members = [
                each for each in members if each.failure_domain == self.failure_domain
            ]
        effects = [
            SendToPeer(message=news, to=each.peer_endpoint)
            for each in members
            if each.peer_endpoint is not None
        ]
        return self._outbox.send(effects, now)

    def _take(
        self, effects: list[TokenRequesterEffect], now: float
    ) -> list[LimitEffect]:
        """Give tokens to their gates, and say whose requests may go on."""
        taken: list[LimitEffect] = []
        for effect in effects:
            match effect:
                case SendToPeer():
                    taken.append(effect)
                case TokenTaken(ticket=ticket):
                    ask = self._asks_by_ticket.pop(ticket)
                    gate = self.limiter_by_incarnation.get(ask.life)
                    if gate is not None:
                        gate.add_token(now)
                    taken.append(FleetLimiterChanged(service=ask.service))
                case TokenRefused(ticket=ticket, retry_after_s=retry_after_s):
                    ask = self._asks_by_ticket.pop(ticket)
                    gate = self.limiter_by_incarnation.get(ask.life)
                    if gate is not None:
                        gate.block(now + retry_after_s)
                    taken.append(FleetLimiterChanged(service=ask.service))
        return taken

    def _forget(self, now: float) -> None:
        self.holder.remove_unused(now)
        self.token_requester.remove_all_except(self.limiter_by_incarnation)
        self._lifted_by_life = {
            life: at
            for life, at in self._lifted_by_life.items()
            if now - at < LIFTED_LIMIT_MEMORY_S
        }
        self._told_by_life = {
            life: told
            for life, told in self._told_by_life.items()
            if life in self.limiter_by_incarnation
        }
