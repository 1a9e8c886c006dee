"""One budget for the memory that all callers make a process hold."""

from __future__ import annotations

import math
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from enum import Enum

from attrs import field
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.steady_clock import monotonic

CONNECTION_BYTES = 16_384
"""Memory of an open connection: task, parser and socket."""
RUNNING_BYTES = 32_768
"""Memory of a running request beside its body: its state, and a connection onwards."""
STREAM_BYTES = 131_072
"""Memory of a body that is passed on as it arrives: two chunks of 64 KiB."""
MAX_RELEASE_ROUNDS = 100
"""Rounds of the event loop in which interrupted tasks free their memory."""
MIN_AGE_S = 0.001
"""Least time that counts for a holder, so that among new ones the largest is worst."""


class HolderPhase(Enum):
    """What a connection holds memory for.

    Attributes
    ----------
    WAITING
        The head of a request; the connection may be idle.
    RECEIVING
        The body of a request that has not run.
    RUNNING
        A request that may run. It is never interrupted: what an upstream works on is
        not given up for memory, and no statement about it would be true.
    STREAMING
        A body, of a request or an answer, that is passed on as it arrives.
    """

    WAITING = "waiting"
    RECEIVING = "receiving"
    RUNNING = "running"
    STREAMING = "streaming"


_OVERHEAD_BY_PHASE = {
    HolderPhase.WAITING: CONNECTION_BYTES,
    HolderPhase.RECEIVING: CONNECTION_BYTES,
    HolderPhase.RUNNING: CONNECTION_BYTES + RUNNING_BYTES,
    HolderPhase.STREAMING: CONNECTION_BYTES + RUNNING_BYTES + STREAM_BYTES,
}


@define(kw_only=True, eq=False)
class MemoryBudget:
    """Memory held for callers, over all listeners of a process.

    Parameters
    ----------
    limit_bytes : float
        Most bytes that may be held; infinite without a limit.

    Attributes
    ----------
    held_bytes : int
        Bytes that are held, also by holders that were interrupted and still end.
    shed : int
        Holders that were interrupted for others.
    """

    limit_bytes: float = math.inf
    held_bytes: int = 0
    shed: int = 0
    _ending_bytes: int = 0
    _holders: dict[MemoryHolder, None] = field(factory=dict)

    def open(self, interrupt: Callable[[], Awaitable[None]]) -> MemoryHolder:
        """Return the holder of a new connection, which holds nothing yet.

        Parameters
        ----------
        interrupt : callable
            Interrupts the task that serves the connection, at its next wait.
        """
        holder = MemoryHolder(budget=self, interrupt=interrupt)
        self._holders[holder] = None
        return holder

    @property
    def awaits_release(self) -> bool:
        """Whether interrupted holders must end before more may be held."""
        return self._ending_bytes > 0 and self.held_bytes > self.limit_bytes

    def release(self, holder: MemoryHolder) -> None:
        """Forget a holder and what it holds."""
        if self._holders.pop(holder, self) is None:
            self.held_bytes -= holder.held_bytes
            if holder.is_shed:
                self._ending_bytes -= holder.held_bytes

    def resize(self, holder: MemoryHolder, held_bytes: int) -> None:
        """Change what a holder holds, unless it was interrupted."""
        if holder in self._holders and not holder.is_shed:
            self.held_bytes += held_bytes - holder.held_bytes
            holder.held_bytes = held_bytes

    def shed_excess(self, now: float) -> list[MemoryHolder]:
        """Return the worst holders, without which the limit is kept.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        shed: list[MemoryHolder] = []
        while self.held_bytes - self._ending_bytes > self.limit_bytes:
            worst = find_worst(self._holders, now)
            if worst is None:
                break
            self.mark_shed(worst)
            shed.append(worst)
        return shed

    def mark_shed(self, holder: MemoryHolder) -> None:
        """Count a holder as one that is interrupted and about to end."""
        holder.is_shed = True
        self._ending_bytes += holder.held_bytes
        self.shed += 1


@define(kw_only=True, eq=False)
class MemoryHolder:
    """Memory that is held for one connection.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it counts towards.
    interrupt : callable
        Interrupts the task that serves the connection, at its next wait.

    Attributes
    ----------
    phase : HolderPhase
        What the memory is held for.
    held_bytes : int
        Buffered bytes and the overhead of the phase.
    is_shed : bool
        Whether its task was interrupted, and is about to free the memory.
    """

    budget: MemoryBudget
    interrupt: Callable[[], Awaitable[None]]
    phase: HolderPhase = HolderPhase.WAITING
    held_bytes: int = 0
    is_shed: bool = False
    _buffered_bytes: int = 0
    _since: float = field(factory=monotonic)

    @property
    def may_be_shed(self) -> bool:
        """Whether its task may be interrupted."""
        return not self.is_shed and self.phase is not HolderPhase.RUNNING

    def stalled_s(self, now: float) -> float:
        """Return the seconds since its last phase or progress."""
        return max(0.0, now - self._since)

    def cost(self, now: float) -> float:
        """Return the bytes held times the seconds without progress."""
        return self.held_bytes * (MIN_AGE_S + self.stalled_s(now))

    async def shed(self) -> None:
        """Interrupt its task, if it may be."""
        if self.may_be_shed:
            self.budget.mark_shed(self)
            await self.interrupt()

    async def enter(
        self, phase: HolderPhase, *, buffered_bytes: int | None = None
    ) -> None:
        """Enter a phase, within the budget.

        Parameters
        ----------
        phase : HolderPhase
            The phase. Its memory is acquired before it begins, so that a request that
            is interrupted here is not running yet.
        buffered_bytes : int, optional
            Bytes that are buffered; as many as before if not given.

        Raises
        ------
        CallerShedError
            If this is the worst holder, or was before.
        """
        if buffered_bytes is not None:
            self._buffered_bytes = buffered_bytes
        await self._acquire(_OVERHEAD_BY_PHASE[phase])
        self.phase = phase
        self._since = monotonic()

    async def hold(self, buffered_bytes: int) -> None:
        """Hold a number of buffered bytes, within the budget.

        Raises
        ------
        CallerShedError
            If this is the worst holder, or was before.
        """
        self._buffered_bytes = buffered_bytes
        await self._acquire(_OVERHEAD_BY_PHASE[self.phase])

    def try_grow(self, size: int) -> bool:
        """Buffer more bytes if the budget has room for them."""
        budget = self.budget
        if budget.held_bytes + size > budget.limit_bytes:
            return False
        self._buffered_bytes += size
        budget.resize(self, self.held_bytes + size)
        return True

    def record_progress(self) -> None:
        """Record that bytes have passed, so that the holder is not stalled."""
        self._since = monotonic()

    def close(self) -> None:
        """Hold nothing any more."""
        self.budget.release(self)

    async def _acquire(self, overhead_bytes: int) -> None:
        """Acquire memory once interrupted tasks have freed it.

        Raises
        ------
        CallerShedError
            At the first wait, if the interrupted task is this one.
        """
        self.budget.resize(self, overhead_bytes + self._buffered_bytes)
        if not self.is_shed and self.budget.held_bytes <= self.budget.limit_bytes:
            return
        for worst in self.budget.shed_excess(monotonic()):
            await worst.interrupt()
        if self.is_shed:
            await sleep(0)
        for _ in range(MAX_RELEASE_ROUNDS):
            if not self.budget.awaits_release:
                return
            await sleep(0)


def find_worst(holders: Iterable[MemoryHolder], now: float) -> MemoryHolder | None:
    """Return the holder to interrupt first; None if none may be interrupted.

    Parameters
    ----------
    holders : iterable of MemoryHolder
        Holders to choose from.
    now : float
        Monotonic seconds.

    Notes
    -----
    The worst holder has the largest product of its bytes and of the time since its last
    phase or progress. A caller that stops in the middle of a long body is shed long
    before one whose equally long body just arrives.
    """
    candidates = (each for each in holders if each.may_be_shed)
    return max(candidates, key=lambda each: each.cost(now), default=None)
