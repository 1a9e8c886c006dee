"""Assembles a list update that a reader sends in several messages."""

from __future__ import annotations

import math

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.versions.store_version import StoreVersion

PARTS_TIMEOUT_S = 0.4
"""Time to wait for missing parts before this VM reads the list itself, in seconds."""


@define(kw_only=True)
class UpdateAssembler:
    """Collects the parts of the newest update that needs several messages."""

    _updates_by_part: dict[int, ListNews] = Factory(dict)
    _update_key: tuple[str, StoreVersion, int] | None = None
    _started_at: float = -math.inf

    def add(self, update: ListNews, now: float) -> ListNews | None:
        """Add one message and return the update once it is complete.

        Parameters
        ----------
        update : ListNews
            A message, which holds a complete update or a part of one.
        now : float
            Monotonic seconds.
        """
        if update.parts <= 1:
            return update
        key = (update.sender, update.version, update.parts)
        if key != self._update_key:
            self._update_key = key
            self._started_at = now
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
        """Discard the parts that were received."""
        self._updates_by_part = {}
        self._update_key = None

    def is_waiting(self, now: float) -> bool:
        """Return whether missing parts of an update may still arrive."""
        return self._update_key is not None and now - self._started_at < PARTS_TIMEOUT_S
