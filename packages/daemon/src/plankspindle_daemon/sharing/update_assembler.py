"""Puts together what a reader tells in several messages."""

from __future__ import annotations

import math

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.list_news import ListNews

PARTS_TIMEOUT_S = 0.4
"""Time to wait for the rest of a change before this VM reads for itself, in seconds."""


@define(kw_only=True)
class UpdateAssembler:
    """Parts of the newest change that came in several messages."""

    _updates_by_part: dict[int, ListNews] = Factory(dict)
    _update_key: tuple[str, int, int] | None = None
    _began_at: float = -math.inf

    def add(self, update: ListNews, now: float) -> ListNews | None:
        """Take one message, and give the whole once all parts have come.

        Parameters
        ----------
        update : ListNews
            A message, whole or a part.
        now : float
            Monotonic seconds.
        """
        if update.parts <= 1:
            return update
        is_of = (update.sender, update.version, update.parts)
        if is_of != self._update_key:
            self._update_key = is_of
            self._began_at = now
            self._updates_by_part = {}
        self._updates_by_part[update.part] = update
        if len(self._updates_by_part) < update.parts:
            return None
        parts = [
            self._updates_by_part[number] for number in sorted(self._updates_by_part)
        ]
        self.reset()
        return evolve(
            update,
            changed=tuple(each for part in parts for each in part.changed),
            gone=tuple(each for part in parts for each in part.gone),
            part=0,
            parts=1,
        )

    def reset(self) -> None:
        """Wait for nothing more."""
        self._updates_by_part = {}
        self._update_key = None

    def is_waiting(self, now: float) -> bool:
        """Tell whether the rest of a change may still come."""
        return self._update_key is not None and now - self._began_at < PARTS_TIMEOUT_S
