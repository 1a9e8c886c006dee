"""Limits over all entry VMs that upstreams announce in their answers."""

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
from plankspindle_daemon.quotas.limit_questions import LimitQuestions
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.quotas.token_requester import TokenRequester
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
    from plankspindle_daemon.quotas.token_requester import TokenRequesterEffect
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

MAX_LIMITS = 4_096
"""Maximum of incarnations with a stored limit; the oldest entry is evicted."""
LIFTED_LIMIT_MEMORY_S = 30.0
"""Time for which older updates on a lifted limit are ignored, in seconds."""
CLEANUP_PERIOD_S = 5.0
"""Period of removing expired entries, in seconds."""
BROADCAST_STEP_SHARE = 0.2
"""Change of a limit, as a share of it, above which it is broadcast to other VMs."""
MIN_BROADCAST_GAP_S = 1.0
"""Minimum time between two broadcasts of changes of a limit, in seconds."""
MAX_SEEN_UPDATES = 1_024
"""Numbers of updates that are stored, since each update is sent repeatedly."""
MAX_BROADCAST_RECIPIENTS = 512
"""Maximum of recipients; a larger fleet broadcasts within the failure domain only."""
MIN_TOKEN_RETRY_S = 0.01
"""Shortest time between a refused token and the next request for one, in seconds.

A refusal lets waiting requests ask again. If the next token is due at once, as far as a
number can tell, they would ask without end at the same moment.
"""


@frozen(kw_only=True)
class FleetLimiterChanged:
    """A token for an upstream was granted, or none is available for a while."""

    service: str


LimitEffect = SendToPeer | FleetLimiterChanged


@frozen(kw_only=True)
class _PendingRequest:
    incarnation_id: str
    service: str


@frozen(kw_only=True)
class _LastBroadcast:
    limit_per_s: float
    at: float


@define(kw_only=True)
class UpstreamLimits:
    """Keep requests to an upstream within the limit that it announces.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and its failure domain.
    membership : Membership
        Other entry VMs.
    holder : LimitHolder
        Grants tokens on this VM.
    token_requester : TokenRequester
        Requests tokens from other VMs.

    Attributes
    ----------
    limiter_by_incarnation : dict of str to FleetLimiter
        Upstreams that announce a limit.
    questions : LimitQuestions
        Questions to other VMs whether a limit has ended, and answers to theirs.

    Notes
    -----
    A limit applies to the sum over all entry VMs, which none of them can observe. As
    with a quota, each request takes a token from the shares of the limit that the VMs
    of a region have leased to one of them. A limit applies from the first answer that
    announces it until several consecutive answers to later requests, of any VM, do not
    announce it. It has no other end, since an upstream that gets no requests announces
    nothing.
    """

    vm: str
    failure_domain: str
    membership: Membership
    holder: LimitHolder
    token_requester: TokenRequester
    limiter_by_incarnation: dict[str, FleetLimiter] = Factory(dict)
    questions: LimitQuestions = field(init=False)
    _lifted_at_by_incarnation: dict[str, float] = Factory(dict)
    _last_broadcast_by_incarnation: dict[str, _LastBroadcast] = Factory(dict)
    _pending_by_ticket: dict[int, _PendingRequest] = Factory(dict)
    _tickets: count[int] = field(factory=count)
    _outbox: ResendQueue = Factory(ResendQueue)
    _seen_updates: OrderedDict[int, None] = Factory(OrderedDict)
    _next_cleanup: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.questions = LimitQuestions(
            vm=self.vm,
            membership=self.membership,
            random=self.token_requester.random,
        )

    @property
    def is_needed(self) -> bool:
        """Whether there are tokens to grant or request, or updates to send again.

        A limit whose tokens are not requested costs no messages.
        """
        has_tokens = len(self.holder) > 0 or bool(self._pending_by_ticket)
        return has_tokens or len(self._outbox) > 0

    def limit_of(self, incarnation_id: str) -> FleetLimit | None:
        """Return the limit of an upstream, as far as this VM knows."""
        limiter = self.limiter_by_incarnation.get(incarnation_id)
        if limiter is None:
            return None
        return FleetLimit(rate_per_s=limiter.rate_per_s, announced_at=limiter.heard_at)

    def apply_statement(
        self,
        incarnation_id: str,
        statement: UpstreamStatement,
        *,
        sent_at: float,
        now: float,
    ) -> list[SendToPeer]:
        """Apply the statement of an upstream in an answer to this VM.

        Parameters
        ----------
        incarnation_id : str
            Incarnation of the upstream.
        statement : UpstreamStatement
            Its statement.
        sent_at, now : float
            When the request was sent, and now, monotonic seconds.

        Returns
        -------
        list of SendToPeer
            Updates for other VMs.
        """
        if statement.limit_per_s is not None:
            return self._apply_limit(incarnation_id, statement.limit_per_s, now)
        limiter = self.limiter_by_incarnation.get(incarnation_id)
        if statement.unreadable or limiter is None or sent_at <= limiter.announced_at:
            return []
        number = self.token_requester.random.getrandbits(63)
        self._record_answer_without_limit(incarnation_id, limiter, number, sent_at)
        update = LimitNews(
            sender=self.vm,
            life=incarnation_id,
            limit_per_s=0.0,
            is_silent=True,
            number=number,
            ago_ms=int(1000 * (now - sent_at)),
        )
        return self._broadcast(update, now)

    def handle_update(self, update: LimitNews, now: float) -> None:
        """Handle an update of another VM; a repeated one is ignored."""
        if update.number in self._seen_updates:
            return
        self._seen_updates[update.number] = None
        if len(self._seen_updates) > MAX_SEEN_UPDATES:
            self._seen_updates.popitem(last=False)
        at = now - update.ago_ms / 1000
        limiter = self.limiter_by_incarnation.get(update.life)
        if not update.is_silent:
            self._record_limit(update.life, update.limit_per_s, announced_at=at)
            self._last_broadcast_by_incarnation[update.life] = _LastBroadcast(
                limit_per_s=update.limit_per_s, at=now
            )
        elif limiter is not None:
            self._record_answer_without_limit(update.life, limiter, update.number, at)

    def request_token(
        self, incarnation_id: str, service: str, now: float
    ) -> list[LimitEffect]:
        """Request a token for a request of a service."""
        limit = self.limit_of(incarnation_id)
        if limit is None:
            return []
        self.holder.record_limit(incarnation_id, limit, now)
        ticket = next(self._tickets)
        self._pending_by_ticket[ticket] = _PendingRequest(
            incarnation_id=incarnation_id, service=service
        )
        return self._apply_effects(
            self.token_requester.request_token(ticket, incarnation_id, now), now
        )

    def handle_grant(self, grant: TokenGrant, now: float) -> list[LimitEffect]:
        """Handle the answer of a holder."""
        return self._apply_effects(self.token_requester.handle_grant(grant, now), now)

    def tick(self, now: float) -> list[LimitEffect]:
        """Handle timeouts, resend updates and remove expired entries."""
        effects: list[LimitEffect] = [*self._outbox.pop_due(now)]
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_PERIOD_S
            self._clean_up(now)
        return [*effects, *self._apply_effects(self.token_requester.tick(now), now)]

    def _apply_limit(
        self, incarnation_id: str, limit_per_s: float, now: float
    ) -> list[SendToPeer]:
        limiter = self.limiter_by_incarnation.get(incarnation_id)
        was_in_doubt = limiter is not None and limiter.has_answers_without_limit
        self._record_limit(incarnation_id, limit_per_s, announced_at=now)
        if not was_in_doubt and not self._should_broadcast(
            incarnation_id, limit_per_s, now
        ):
            return []
        self._last_broadcast_by_incarnation[incarnation_id] = _LastBroadcast(
            limit_per_s=limit_per_s, at=now
        )
        update = LimitNews(
            sender=self.vm,
            life=incarnation_id,
            limit_per_s=limit_per_s,
            is_silent=False,
            number=self.token_requester.random.getrandbits(63),
            ago_ms=0,
        )
        return self._broadcast(update, now)

    def _record_limit(
        self, incarnation_id: str, limit_per_s: float, *, announced_at: float
    ) -> None:
        if announced_at < self._lifted_at_by_incarnation.get(incarnation_id, 0.0):
            return
        limiter = self.limiter_by_incarnation.get(incarnation_id)
        if limiter is not None:
            limiter.record_limit(limit_per_s, announced_at)
            return
        if len(self.limiter_by_incarnation) >= MAX_LIMITS:
            del self.limiter_by_incarnation[next(iter(self.limiter_by_incarnation))]
        self.limiter_by_incarnation[incarnation_id] = FleetLimiter(
            limit_per_s=limit_per_s, announced_at=announced_at
        )

    def _record_answer_without_limit(
        self, incarnation_id: str, limiter: FleetLimiter, number: int, sent_at: float
    ) -> None:
        """Record an answer without a limit; several of them lift the limit."""
        rate_before = limiter.rate_per_s
        limiter.record_answer_without_limit(number, sent_at)
        if limiter.rate_per_s > rate_before:
            self.token_requester.unblock(incarnation_id)
        if limiter.is_lifted():
            del self.limiter_by_incarnation[incarnation_id]
            self.holder.remove(incarnation_id)
            self._lifted_at_by_incarnation[incarnation_id] = sent_at
            self._last_broadcast_by_incarnation.pop(incarnation_id, None)

    def _should_broadcast(
        self, incarnation_id: str, limit_per_s: float, now: float
    ) -> bool:
        """Return whether an announced limit should be broadcast to other VMs."""
        last = self._last_broadcast_by_incarnation.get(incarnation_id)
        if last is None:
            return True
        step = abs(limit_per_s - last.limit_per_s)
        return (
            step > BROADCAST_STEP_SHARE * last.limit_per_s
            and now - last.at >= MIN_BROADCAST_GAP_S
        )

    def _broadcast(self, update: LimitNews, now: float) -> list[SendToPeer]:
        members = list(self.membership.members_by_name.values())
        if len(members) > MAX_BROADCAST_RECIPIENTS:
            members = [
                member
                for member in members
                if member.failure_domain == self.failure_domain
            ]
        effects = [
            SendToPeer(message=update, to=member.peer_endpoint)
            for member in members
            if member.peer_endpoint is not None
        ]
        return self._outbox.send_repeatedly(effects, now)

    def _apply_effects(
        self, effects: list[TokenRequesterEffect], now: float
    ) -> list[LimitEffect]:
        """Add tokens to their limiters, and report which services may have changed."""
        applied: list[LimitEffect] = []
        for effect in effects:
            match effect:
                case SendToPeer():
                    applied.append(effect)
                case TokenTaken(ticket=ticket):
                    pending = self._pending_by_ticket.pop(ticket)
                    limiter = self.limiter_by_incarnation.get(pending.incarnation_id)
                    if limiter is not None:
                        limiter.add_token(now)
                    applied.append(FleetLimiterChanged(service=pending.service))
                case TokenRefused(ticket=ticket, retry_after_s=retry_after_s):
                    pending = self._pending_by_ticket.pop(ticket)
                    limiter = self.limiter_by_incarnation.get(pending.incarnation_id)
                    if limiter is not None:
                        wait_s = max(MIN_TOKEN_RETRY_S, retry_after_s)
                        limiter.block(now + wait_s)
                    applied.append(FleetLimiterChanged(service=pending.service))
        return applied

    def _clean_up(self, now: float) -> None:
        self.holder.remove_unused(now)
        self.token_requester.remove_all_except(self.limiter_by_incarnation)
        self._lifted_at_by_incarnation = {
            incarnation_id: at
            for incarnation_id, at in self._lifted_at_by_incarnation.items()
            if now - at < LIFTED_LIMIT_MEMORY_S
        }
        self._last_broadcast_by_incarnation = {
            incarnation_id: last
            for incarnation_id, last in self._last_broadcast_by_incarnation.items()
            if incarnation_id in self.limiter_by_incarnation
        }
