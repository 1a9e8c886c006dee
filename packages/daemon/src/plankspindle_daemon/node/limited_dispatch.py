"""Dispatchers together with the limits that upstreams name over all entry VMs."""

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
    """Get tokens that dispatchers want, and serve requests once they come.

    Parameters
    ----------
    services : ServiceRegistry
        The dispatchers.
    quotas : Quotas
        Where tokens come from.
    """

    services: ServiceRegistry
    quotas: Quotas

    def __attrs_post_init__(self) -> None:
        self.services.fleet_limiter_by_incarnation = (
            self.quotas.limits.limiter_by_incarnation
        )

    def handle(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[NodeEffect]:
        """Give an event to the dispatcher of a service, and take what follows."""
        effects: list[NodeEffect] = []
        if isinstance(event, StatementReceived):
            effects += self._apply_statement(event, now)
        for effect in self.services.handle(service, event, now):
            if isinstance(effect, RequestToken):
                life = incarnation_id_of(effect.upstream, effect.incarnation)
                wanted = self.quotas.request_upstream_token(life, service, now)
                effects += self._handle_quota_effects(wanted, now)
            else:
                effects.append(ServiceEffect(service, effect))
        return effects

    def receive(
        self, message: QuotaMessage, reply_to: Endpoint, now: float
    ) -> list[NodeEffect]:
        """Take a message on quotas or limits of another entry VM."""
        return self._handle_quota_effects(
            self.quotas.receive(message, reply_to, now), now
        )

    def tick(
        self, *, readiness: Readiness, has_list: bool, now: float
    ) -> list[NodeEffect]:
        """Let time pass for quotas and limits, as :meth:`Quotas.tick` says."""
        ticked = self.quotas.tick(readiness=readiness, knows_list=has_list, now=now)
        return self._handle_quota_effects(ticked, now)

    def _apply_statement(
        self, stated: StatementReceived, now: float
    ) -> list[NodeEffect]:
        life = incarnation_id_of(stated.upstream, stated.incarnation)
        told = self.quotas.limits.apply_statement(
            life, stated.statement, sent_at=stated.sent_at, now=now
        )
        return [*told]

    def _handle_quota_effects(
        self, taken: Iterable[QuotaEffect], now: float
    ) -> list[NodeEffect]:
        effects: list[NodeEffect] = []
        for effect in taken:
            if isinstance(effect, FleetLimiterChanged):
                effects += self.handle(effect.service, TimePassed(), now)
            else:
                effects.append(effect)
        return effects
