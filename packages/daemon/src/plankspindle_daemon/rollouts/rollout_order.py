"""An operator's order as one entry VM knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.classes import frozen

if TYPE_CHECKING:
    from plankspindle_core.configuration.rollout import Rollout
    from plankspindle_daemon.rollouts.rollout_record import RolloutRecord

MAX_END_MARGIN_S = 0.8
"""Time before the deadline by which the baseline must run nothing, in seconds.

It is for the last reports, and for the write that settles the end.
"""
END_MARGIN_SHARE = 0.1
"""The margin as a share of the duration, if that is less."""
MAX_MOVE_S = 2.0
"""Time in which the requests move after the canary, in seconds."""
MOVE_SHARE = 0.25
"""The same as a share of the duration, if that is less."""
PATIENCE_SHARE = 1 / 3
"""Part of the duration after which any warm upstream is enough for the canary."""
MAX_CANARY_S = 300.0
"""Longest canary, in seconds."""
MIN_MOVE_S = 1.0
"""Shortest time of a move that begins late, in seconds."""


@frozen(kw_only=True)
class RolloutOrder:
    """An order with its times on the monotonic clock of this VM.

    Parameters
    ----------
    number : int
        Number of the write that gave the order.
    target_version : str
        Software version that the requests are to move to.
    duration_ms : int
        Time from the order to its deadline, in milliseconds.
    ordered_at : float
        When the order was given as far as this VM knows, in monotonic seconds.
    first_number : int
        Number under which this VM first knew the order. An order that is restored to
        the platform's store gets another one; its keys and counts stay with the first.
    aliases : frozenset of int
        All numbers under which the order was known.
    """

    number: int
    target_version: str
    duration_ms: int
    ordered_at: float
    first_number: int
    aliases: frozenset[int]

    @classmethod
    def first_seen(cls, rollout: Rollout, now: float) -> RolloutOrder:
        """Return an order that this VM sees for the first time."""
        return cls(
            number=rollout.number,
            target_version=rollout.target_version,
            duration_ms=rollout.duration_ms,
            ordered_at=now,
            first_number=rollout.number,
            aliases=frozenset({rollout.number}),
        )

    @property
    def deadline(self) -> float:
        """Deadline in monotonic seconds."""
        return self.ordered_at + self.duration_ms / 1000

    @property
    def planned_end(self) -> float:
        """Time by which the baseline must run nothing, in monotonic seconds."""
        margin_s = min(MAX_END_MARGIN_S, END_MARGIN_SHARE * self.duration_ms / 1000)
        return self.deadline - margin_s

    @property
    def move_s(self) -> float:
        """Time in which the requests move, in seconds."""
        return min(MAX_MOVE_S, MOVE_SHARE * self.duration_ms / 1000)

    def is_urgent(self, now: float) -> bool:
        """Return whether the canary must begin soon, in monotonic seconds."""
        waited_s = now - self.ordered_at
        return waited_s >= PATIENCE_SHARE * self.duration_ms / 1000

    def move_begins_at(self, canary_at: float) -> float:
        """Return when the requests begin to move, for the start of the canary."""
        return min(self.planned_end - self.move_s, canary_at + MAX_CANARY_S)

    def move_ends_at(self, moving_at: float) -> float:
        """Return when the baseline must run nothing, for the start of the move.

        A move that begins late is shorter, so that the deadline can still be met.
        """
        earliest = moving_at + min(MIN_MOVE_S, self.move_s)
        return min(moving_at + self.move_s, max(self.planned_end, earliest))

    def has_content_of(self, other: Rollout | RolloutRecord) -> bool:
        """Return whether a row asks for the same."""
        return (
            self.target_version == other.target_version
            and self.duration_ms == other.duration_ms
        )

    def filled_in(
        self, record: RolloutRecord, *, store_ahead_s: float
    ) -> RolloutRecord:
        """Return a record with the content and time of the order.

        Parameters
        ----------
        record : RolloutRecord
            Service, baseline and stage.
        store_ahead_s : float
            Time by which the store's clock is ahead of the monotonic one, in seconds.
        """
        return evolve(
            record,
            order=self.number,
            target_version=self.target_version,
            duration_ms=self.duration_ms,
            ordered_at_s=self.ordered_at + store_ahead_s,
        )

    def renumbered(self, number: int) -> RolloutOrder:
        """Return the order under a number that it was restored with."""
        return evolve(self, number=number, aliases=self.aliases | {number})

    def also_known_as(self, number: int) -> RolloutOrder:
        """Return the order, which was known under another number before."""
        return evolve(self, aliases=self.aliases | {number})

    def given_at(self, ordered_at: float) -> RolloutOrder:
        """Return the order with an earlier time, if another VM saw it earlier."""
        return evolve(self, ordered_at=min(self.ordered_at, ordered_at))
