"""Queue of updates that are sent several times, since datagrams can be lost."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.peer_message import SendToPeer

MAX_RESENDS = 2
"""Number of times that an update is sent again."""
RESEND_INTERVAL_S = 0.4
"""Time between two transmissions of the same update, in seconds."""
MAX_QUEUED = 1_024
"""Longest queue, in updates; beyond it the oldest updates are dropped."""


@define(kw_only=True)
class _Resend:
    """An update that is due to be sent again."""

    effects: list[SendToPeer]
    due: float
    remaining: int


@define(kw_only=True)
class ResendQueue:
    """Updates waiting to be sent again."""

    _waiting: list[_Resend] = Factory(list)

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._waiting)

    def send_repeatedly(
        self, effects: list[SendToPeer], now: float
    ) -> list[SendToPeer]:
        """Queue resends of messages that are sent now, and return the messages."""
        self._add(
            _Resend(effects=effects, due=now + RESEND_INTERVAL_S, remaining=MAX_RESENDS)
        )
        return effects

    def schedule(self, effects: list[SendToPeer], now: float) -> None:
        """Queue messages that cannot be sent now, to be sent from the next tick on."""
        self._add(_Resend(effects=effects, due=now, remaining=1 + MAX_RESENDS))

    def pop_due(self, now: float) -> list[SendToPeer]:
        """Return the messages that are due now."""
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
