"""Dispatchers together with the limits that upstreams name over all entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.messages import Stated
from plankspindle_daemon.dispatch.messages import TimePassed
from plankspindle_daemon.dispatch.messages import WantToken
from plankspindle_daemon.dispatch.service_book import ServiceBook
from plankspindle_daemon.node.effects import OfService
from plankspindle_daemon.quotas.quotas import Quotas
from plankspindle_daemon.quotas.upstream_limits import GateChanged
from plankspindle_daemon.upstreams.limit_gate import life_of

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
    services : ServiceBook
        The dispatchers.
    quotas : Quotas
        Where tokens come from.
    """

    services: ServiceBook
    quotas: Quotas

    def __attrs_post_init__(self) -> None:
        self.services.gate_by_life = self.quotas.limits.gate_by_life

    def handle(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[NodeEffect]:
        """Give an event to the dispatcher of a service, and take what follows."""
        effects: list[NodeEffect] = []
        if isinstance(event, Stated):
            effects += self._take_statement(event, now)
        for effect in self.services.handle(service, event, now):
            if isinstance(effect, WantToken):
                life = life_of(effect.upstream, effect.incarnation)
                wanted = self.quotas.want_for_upstream(life, service, now)
                effects += self._take(wanted, now)
            else:
                effects.append(OfService(service, effect))
        return effects

    def receive(
        self, message: QuotaMessage, reply_to: Endpoint, now: float
    ) -> list[NodeEffect]:
        """Take a message on quotas or limits of another entry VM."""
        return self._take(self.quotas.receive(message, reply_to, now), now)

    def tick(
        self, *, readiness: Readiness, knows_list: bool, now: float
    ) -> list[NodeEffect]:
        """Let time pass for quotas and limits, as :meth:`Quotas.tick` says."""
        ticked = self.quotas.tick(readiness=readiness, knows_list=knows_list, now=now)
        return self._take(ticked, now)

    def _take_statement(self, stated: Stated, now: float) -> list[NodeEffect]:
        life = life_of(stated.upstream, stated.incarnation)
        told = self.quotas.limits.take_statement(
            life, stated.statement, sent_at=stated.sent_at, now=now
        )
        return [*told]

    def _take(self, taken: Iterable[QuotaEffect], now: float) -> list[NodeEffect]:
        effects: list[NodeEffect] = []
        for effect in taken:
            if isinstance(effect, GateChanged):
                effects += self.handle(effect.service, TimePassed(), now)
            else:
                effects.append(effect)
        return effects
