"""Dispatchers, subject to fleet-wide rate limits that upstreams announce."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.messages import RequestToken
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.dispatch.messages import TimePassed
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.quotas.quotas import Quotas
from plankspindle_daemon.quotas.upstream_limits import FleetLimiterChanged
from plankspindle_daemon.upstreams.fleet_limiter import incarnation_id_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.node.effects import NodeEffect
    from plankspindle_daemon.peer_messages.readiness import Readiness
    from plankspindle_daemon.quotas.quotas import QuotaEffect
    from plankspindle_daemon.quotas.quotas import QuotaMessage


@define(kw_only=True)
class LimitedDispatch:
    """Request tokens for rate-limited upstreams, and dispatch once they are granted.

    Parameters
    ----------
    services : ServiceRegistry
        Dispatchers by service.
    quotas : Quotas
        Source of tokens.
    """

    services: ServiceRegistry
    quotas: Quotas

    def __attrs_post_init__(self) -> None:
        self.services.fleet_limiter_by_incarnation = (
            self.quotas.limits.limiter_by_incarnation
        )
        self.quotas.limits.questions.unlimited_sent_at = (
            self.services.statements.unlimited_sent_at
        )

    def handle(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[NodeEffect]:
        """Pass an event to a service's dispatcher and return the resulting effects.

        Requests for tokens are handled here and are not among the effects.
        """
        effects: list[NodeEffect] = []
        if isinstance(event, StatementReceived):
            effects += self._apply_statement(event, now)
        for effect in self.services.handle(service, event, now):
            if isinstance(effect, RequestToken):
                incarnation_id = incarnation_id_of(effect.upstream, effect.incarnation)
                requested = self.quotas.request_upstream_token(
                    incarnation_id, service, now
                )
                effects += self._handle_quota_effects(requested, now)
            else:
                effects.append(ServiceEffect(service, effect))
        return effects

    def receive(
        self, message: QuotaMessage, reply_to: Endpoint, now: float
    ) -> list[NodeEffect]:
        """Handle a message of another entry VM on quotas or limits."""
        return self._handle_quota_effects(
            self.quotas.receive(message, reply_to, now), now
        )

    def tick(
        self, *, readiness: Readiness, has_list: bool, now: float
    ) -> list[NodeEffect]:
        """Advance the time of quotas and limits; see :meth:`Quotas.tick`."""
        ticked = self.quotas.tick(readiness=readiness, has_list=has_list, now=now)
        return self._handle_quota_effects(ticked, now)

    def _apply_statement(
        self, stated: StatementReceived, now: float
    ) -> list[NodeEffect]:
        incarnation_id = incarnation_id_of(stated.upstream, stated.incarnation)
        messages = self.quotas.limits.apply_statement(
            incarnation_id, stated.statement, sent_at=stated.sent_at, now=now
        )
        return [*messages]

    def _handle_quota_effects(
        self, quota_effects: Iterable[QuotaEffect], now: float
    ) -> list[NodeEffect]:
        effects: list[NodeEffect] = []
        for effect in quota_effects:
            if isinstance(effect, FleetLimiterChanged):
                effects += self.handle(effect.service, TimePassed(), now)
            else:
                effects.append(effect)
        return effects
