"""News that is sent several times, since datagrams are lost."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.peer_message import SendToPeer

MAX_RESENDS = 2
"""Times that news is sent again."""
RESEND_INTERVAL_S = 0.4
"""Time between two sendings of the same news, in seconds."""
MAX_QUEUED = 1_024
"""News that waits to be sent again; older news goes."""


@define(kw_only=True)
class _Resend:
    """News that is to be sent again."""

    effects: list[SendToPeer]
    due: float
    remaining: int


@define(kw_only=True)
class ResendQueue:
    """Messages that wait to be sent again."""

    _waiting: list[_Resend] = Factory(list)

    def __len__(self) -> int:
        """Count the news that waits."""
        return len(self._waiting)

    def send_repeatedly(
        self, effects: list[SendToPeer], now: float
    ) -> list[SendToPeer]:
        """Keep messages that are sent now, to be sent again; give them as they are."""
        self._add(
            _Resend(effects=effects, due=now + RESEND_INTERVAL_S, remaining=MAX_RESENDS)
        )
        return effects

    def schedule(self, effects: list[SendToPeer], now: float) -> None:
        """Keep messages where none can be sent, to be sent from the next tick on."""
        self._add(_Resend(effects=effects, due=now, remaining=1 + MAX_RESENDS))

    def pop_due(self, now: float) -> list[SendToPeer]:
        """Give what is to be sent at this moment."""
        due = [each for each in self._waiting if now >= each.due]
        if not due:
            return []
        for each in due:
            each.due = now + RESEND_INTERVAL_S
            each.remaining -= 1
        self._waiting = [each for each in self._waiting if each.remaining > 0]
        return [effect for each in due for effect in each.effects]

    def _add(self, repeat: _Resend) -> None:
        if repeat.effects:
            self._waiting = [*self._waiting, repeat][-MAX_QUEUED:]
