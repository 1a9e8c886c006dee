"""Bounded queue with strict priority by class, first in, first out within a class."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.admission.ticket import Ticket

if TYPE_CHECKING:
    from collections.abc import Iterator


@frozen
class Queued:
    """The ticket was queued.

    Parameters
    ----------
    evicted : Ticket, optional
        Ticket of a lower class that was removed for it.
    """

    evicted: Ticket | None = None


@frozen
class QueueFull:
    """The queue is full and has no ticket of a lower class to evict."""


class PriorityQueue:
    """Queue of tickets that wait for an upstream.

    Parameters
    ----------
    limit : int
        Maximum number of queued tickets.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self._by_id_by_rank: dict[int, dict[int, Ticket]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the tickets in the order in which they are to be served."""
        for rank in sorted(self._by_id_by_rank):
            yield from list(self._by_id_by_rank[rank].values())

    def offer(self, ticket: Ticket) -> Queued | QueueFull:
        """Add a ticket, evicting the newest of the lowest class if need be."""
        # After the limit was lowered, queued tickets stay, but the queue may not grow.
        max_size = max(self.limit, self._size)
        evicted = None
        if self._size >= self.limit:
            evicted = self._newest_of_lowest_class()
            if evicted.rank <= ticket.rank:
                return QueueFull()
            self.remove(evicted.id)
        self._by_id_by_rank.setdefault(ticket.rank, {})[ticket.id] = ticket
        self._size += 1
        check_invariant("queue-bounded", self._size <= max_size)
        return Queued(evicted)

    def remove(self, ticket_id: int) -> Ticket | None:
        """Remove a ticket from any position; None if it is not queued."""
        for rank, by_id in self._by_id_by_rank.items():
            ticket = by_id.pop(ticket_id, None)
            if ticket is not None:
                self._size -= 1
                if not by_id:
                    del self._by_id_by_rank[rank]
                return ticket
        return None

    def count_ahead(self, rank: int) -> int:
        """Count the tickets that are served before a new one of a rank."""
        return sum(
            len(by_id) for each, by_id in self._by_id_by_rank.items() if each <= rank
        )

    def _newest_of_lowest_class(self) -> Ticket:
        lowest = self._by_id_by_rank[max(self._by_id_by_rank)]
        return next(reversed(lowest.values()))
