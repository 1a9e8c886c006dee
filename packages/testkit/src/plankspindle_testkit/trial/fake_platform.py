"""The platform's interface without sockets: outages, lost answers, delayed writes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from attrs import define
from attrs import field
from result import Err
from result import Ok
from result import Result

from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import Transaction
from plankspindle_testkit.platform_stand_in.table_store import TableStore

if TYPE_CHECKING:
    from collections.abc import Coroutine

Answer = TypeVar("Answer")


def run_to_completion(coroutine: Coroutine[Any, Any, Answer]) -> Answer:
    """Run a coroutine that never blocks, and return its result.

    Raises
    ------
    RuntimeError
        If it blocks.
    """
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        answer: Answer = stopped.value
        return answer
    raise RuntimeError("the coroutine blocks; a trial has no event loop")


@define(kw_only=True)
class FakePlatform:
    """Table service and object store with the interface of the daemon's client.

    Parameters
    ----------
    random : Random
        Source of faults.
    fault_rate : float
        Probability that a call fails.
    down : bool
        Whether all calls fail without effect.
    forced_write_fault : str
        Kind of all faults of writes: ``nothing`` (no effect), ``late`` or
        ``answer-lost``. Reads then fail only while the platform is down. If empty, the
        kind is random, and reads fail too.
    """

    random: Random
    fault_rate: float = 0.1
    down: bool = False
    forced_write_fault: str = ""
    table: TableStore = field(factory=TableStore)
    objects_by_name: dict[str, bytes] = field(factory=dict)
    calls: BoundedCalls = field(factory=lambda: BoundedCalls(timeout_s=1.0))
    _delayed_writes: list[Transaction] = field(factory=list)

    def _fails(self) -> bool:
        return self.down or self.random.random() < self.fault_rate

    def _read_fails(self) -> bool:
        return self.down or (not self.forced_write_fault and self._fails())

    async def read_row(self, key: str) -> Result[Row, PlatformUnavailable]:
        """Read one row."""
        if self._read_fails():
            return Err(PlatformUnavailable("trial"))
        return Ok(self._row(key))

    async def read_rows(
        self, keys: list[str]
    ) -> Result[dict[str, Row], PlatformUnavailable]:
        """Read several rows."""
        if self._read_fails():
            return Err(PlatformUnavailable("trial"))
        return Ok({key: self._row(key) for key in keys})

    def _row(self, key: str) -> Row:
        stored = self.table.read(key)
        return Row(
            key=key,
            version=stored.version,
            value=stored.value,
            era=self.calls.era.number,
        )

    def return_from(self, copy: TableStore, now: float) -> None:
        """Lose all that was written since a copy of the table, and begin a new era."""
        self.table = copy
        self.calls.era.observe(self.calls.era.number + 1, now)

    async def commit(
        self, transaction: Transaction
    ) -> Result[None, ConditionFailed | PlatformUnavailable]:
        """Commit, possibly without effect, delayed, or with a lost answer."""
        outdated = transaction.keys_of_earlier_eras(self.calls.era.number)
        if outdated:
            return Err(ConditionFailed(outdated))
        if self._fails():
            kind = self.random.choice(["nothing", "late", "answer-lost"])
            kind = self.forced_write_fault or kind
            if kind == "late":
                self._delayed_writes.append(transaction)
            if kind == "answer-lost" and not self.down:
                self._commit(transaction)
            return Err(PlatformUnavailable(kind))
        failed = self._commit(transaction)
        return Err(ConditionFailed(tuple(failed))) if failed else Ok(None)

    def _commit(self, transaction: Transaction) -> list[str]:
        return self.table.commit(
            [
                {
                    "key": write.key,
                    "expected_version": write.expected_version,
                    "value": write.value,
                }
                for write in transaction.writes
            ]
        )

    def apply_delayed_write(self) -> None:
        """Apply one random delayed write."""
        if self._delayed_writes and not self.down:
            index = self.random.randrange(len(self._delayed_writes))
            self._commit(self._delayed_writes.pop(index))

    async def put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformUnavailable]:
        """Store an object."""
        if self._read_fails():
            return Err(PlatformUnavailable("trial"))
        self.objects_by_name[name] = content
        return Ok(None)

    async def get_object(self, name: str) -> Result[bytes | None, PlatformUnavailable]:
        """Read an object."""
        if self._read_fails():
            return Err(PlatformUnavailable("trial"))
        return Ok(self.objects_by_name.get(name))
