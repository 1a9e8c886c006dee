"""Confirmation of plans with concurrent operators and lost platform answers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from plankspindle_core.configuration.shift import Shift
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.configuration.head_row import HEAD_KEY
from plankspindle_daemon.configuration.head_row import head_row_from_mapping
from plankspindle_daemon.control.intents import ApplyIntent
from plankspindle_daemon.control.intents import PriorityClassIntent
from plankspindle_daemon.control.intents import ShiftIntent
from plankspindle_daemon.control.intents import UndoIntent
from plankspindle_daemon.control.plan import PlanState
from plankspindle_daemon.control.plan_store import ConfirmationUnknown
from plankspindle_daemon.control.plan_store import NotPossible
from plankspindle_daemon.control.plan_store import PlanOvertaken
from plankspindle_daemon.control.plan_store import PlanStore
from plankspindle_daemon.digests.digest_table import DigestTable
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.platform_stand_in.table_store import TableStore
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from plankspindle_daemon.control.plan import Plan
    from plankspindle_daemon.platform.platform_client import PlatformClient
    from plankspindle_daemon.platform.table import Row
    from plankspindle_daemon.platform.table import Transaction


def build_store(platform: FakePlatform, *, seed: int = 3) -> PlanStore:
    client = cast("PlatformClient", platform)
    return PlanStore(
        platform=client,
        reader=ConfigurationReader(platform=client),
        random=Random(seed),
        digests=DigestTable(),
    )


def build_platform(*, fault_rate: float = 0.0, seed: int = 1) -> FakePlatform:
    platform = FakePlatform(random=Random(seed), fault_rate=0.0)
    store = build_store(platform, seed=4)
    first = create_plan(store, ApplyIntent(configuration=build_configuration()))
    assert run_to_completion(store.confirm(first.id, "operator")).is_ok()
    platform.fault_rate = fault_rate
    return platform


def create_plan(store: PlanStore, intent: object, operator: str = "operator") -> Plan:
    return run_to_completion(store.create(intent, operator)).unwrap()  # type: ignore[arg-type]


def class_intent(priority_class: str) -> PriorityClassIntent:
    return PriorityClassIntent(caller="desk", priority_class=priority_class)


def version(platform: FakePlatform) -> int:
    row = platform.table.read(HEAD_KEY)
    return head_row_from_mapping(row.value).unwrap().version


def test_second_of_two_conflicting_plans_is_refused_with_the_accepted_version() -> None:
    platform = build_platform()
    store = build_store(platform)
    one = create_plan(store, class_intent("gold"), "jana")
    two = create_plan(store, class_intent("silver"), "peter")
    assert run_to_completion(store.confirm(two.id, "peter")).is_ok()
    refused = run_to_completion(store.confirm(one.id, "jana")).unwrap_err()
    assert isinstance(refused, PlanOvertaken)
    assert (refused.head.operator, refused.head.plan) == ("peter", two.id)
    assert version(platform) == 2


def test_repeated_confirmation_is_idempotent_after_later_versions() -> None:
    platform = build_platform()
    store = build_store(platform)
    one = create_plan(store, class_intent("gold"))
    assert run_to_completion(store.confirm(one.id, "a")).is_ok()
    later = create_plan(store, class_intent("silver"))
    assert run_to_completion(store.confirm(later.id, "a")).is_ok()
    again = run_to_completion(store.confirm(one.id, "a")).unwrap()
    assert again.state is PlanState.ACCEPTED
    assert version(platform) == 3


def test_shift_without_target_upstreams_is_refused_and_stores_nothing() -> None:
    platform = build_platform()
    rows = len(platform.table.rows_by_key)
    shift = Shift(
        service="registry",
        from_region="bratislava",
        to_region="kosice",
        cap_percent=20.0,
    )
    refused = run_to_completion(
        build_store(platform).create(ShiftIntent(shift_id="s", shift=shift), "a")
    )
    assert "no upstream in ke-1" in str(refused.unwrap_err())
    assert len(platform.table.rows_by_key) == rows


@given(seed=st.integers(0, 10_000), fault_rate=st.floats(0.0, 0.8))
def test_confirm_result_is_correct_under_platform_faults(
    seed: int, fault_rate: float
) -> None:
    platform = build_platform(seed=seed)
    store = build_store(platform)
    plans = [
        create_plan(store, class_intent("gold")),
        create_plan(store, class_intent("silver")),
    ]
    platform.fault_rate = fault_rate
    accepted: set[str] = set()
    refused: set[str] = set()
    for step in range(8):
        plan = plans[step % 2]
        answer = run_to_completion(store.confirm(plan.id, "a"))
        if answer.is_ok():
            accepted.add(plan.id)
        elif isinstance(answer.unwrap_err(), PlanOvertaken):
            refused.add(plan.id)
        else:
            assert isinstance(answer.unwrap_err(), ConfirmationUnknown | NotPossible)
        platform.apply_delayed_write()
    assert len(accepted) <= 1
    assert not accepted & refused
    assert version(platform) <= 2
    if accepted:
        row = platform.table.read(HEAD_KEY)
        assert {head_row_from_mapping(row.value).unwrap().plan} == accepted


class RangePlatform(FakePlatform):
    """A fake platform that supports range reads."""

    async def read_range(
        self, *, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Any]:
        rows = sorted(self.table.rows_by_key)
        keys = [key for key in rows if key.startswith(prefix) and key > after]
        return Ok([self._row(key) for key in keys[:limit]])


def test_newest_version_can_be_undone_and_history_keeps_all_versions() -> None:
    platform = build_platform()
    store = build_store(platform)
    change = create_plan(store, class_intent("gold"), "jana")
    assert run_to_completion(store.confirm(change.id, "jana")).is_ok()
    stale = run_to_completion(store.create(UndoIntent(version=1), "jana")).unwrap_err()
    assert "not the newest" in str(stale)
    undo = create_plan(store, UndoIntent(version=2), "peter")
    assert undo.effects == ("callers: 0 added, 0 removed, 1 changed",)
    assert run_to_completion(store.confirm(undo.id, "peter")).is_ok()
    listed = RangePlatform(
        random=Random(1),
        fault_rate=0.0,
        table=platform.table,
        objects_by_name=platform.objects_by_name,
    )
    history = run_to_completion(build_store(listed).history()).unwrap()
    assert [head.operator for head in history] == ["operator", "jana", "peter"]
    assert history[0].digest == history[2].digest


class ProcessCrashError(Exception):
    """Stands for a crash of the process."""


class CrashingPlatform(FakePlatform):
    """A fake platform whose client process crashes at one of its calls."""

    crashes_at: int = 0
    after_effect: bool = False
    call_count: int = 0

    async def commit(self, transaction: Transaction) -> Result[None, Any]:
        self.call_count += 1
        if self.call_count == self.crashes_at and not self.after_effect:
            raise ProcessCrashError
        answer = await super().commit(transaction)
        if self.call_count == self.crashes_at:
            raise ProcessCrashError
        return answer

    async def read_rows(self, keys: list[str]) -> Result[dict[str, Row], Any]:
        self.call_count += 1
        if self.call_count == self.crashes_at:
            raise ProcessCrashError
        return await super().read_rows(keys)


@pytest.mark.parametrize("after_effect", [False, True])
@pytest.mark.parametrize("crashes_at", [1, 2])
def test_confirmation_interrupted_by_a_crash_can_be_repeated_by_another_process(
    crashes_at: int, after_effect: bool
) -> None:
    platform = build_platform()
    plan = create_plan(build_store(platform), class_intent("gold"))
    crashing = CrashingPlatform(random=Random(1), fault_rate=0.0, table=platform.table)
    crashing.crashes_at = crashes_at
    crashing.after_effect = after_effect
    with pytest.raises(ProcessCrashError):
        run_to_completion(build_store(crashing, seed=5).confirm(plan.id, "a"))
    took_effect = crashes_at == 2 and after_effect
    assert version(platform) == (2 if took_effect else 1)
    other = build_store(platform, seed=6)
    assert run_to_completion(other.confirm(plan.id, "b")).is_ok()
    assert version(platform) == 2


class YieldOnce:
    """Yields to the other operator's coroutine."""

    def __await__(self) -> Iterator[None]:
        yield


class InterleavingPlatform(FakePlatform):
    """A fake platform that yields before each call takes effect."""

    async def commit(self, transaction: Transaction) -> Result[None, Any]:
        await YieldOnce()
        return await super().commit(transaction)

    async def read_rows(self, keys: list[str]) -> Result[dict[str, Row], Any]:
        await YieldOnce()
        return await super().read_rows(keys)


def confirm_concurrently(order: list[bool]) -> tuple[list[Any], FakePlatform]:
    """Confirm two plans with the same base concurrently, interleaved in an order."""
    platform = build_platform()
    plans = [
        create_plan(build_store(platform, seed=number), class_intent(name))
        for number, name in enumerate(("gold", "silver"))
    ]
    shared = InterleavingPlatform(
        random=Random(1), fault_rate=0.0, table=platform.table
    )
    running = {
        number: build_store(shared).confirm(plan.id, str(number))
        for number, plan in enumerate(plans)
    }
    answers = {}
    for step in [*order, *([False, True] * 20)]:
        number = int(step)
        if number in answers:
            continue
        try:
            running[number].send(None)
        except StopIteration as stopped:
            answers[number] = stopped.value
    return list(answers.values()), platform


@given(order=st.lists(st.booleans(), max_size=30))
def test_one_of_two_concurrent_confirmations_is_accepted_in_any_interleaving(
    order: list[bool],
) -> None:
    answers, platform = confirm_concurrently(order)
    accepted = [answer for answer in answers if answer.is_ok()]
    refused = [answer.unwrap_err() for answer in answers if answer.is_err()]
    assert len(accepted) == 1
    assert isinstance(refused[0], PlanOvertaken)
    assert version(platform) == 2


def test_both_concurrent_confirmations_succeed_without_the_row_condition(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = TableStore.commit

    def commit_without_condition(
        self: TableStore, writes: list[dict[str, Any]]
    ) -> list[str]:
        unconditional = [
            {**write, "expected_version": self.read(write["key"]).version}
            for write in writes
        ]
        return original(self, unconditional)

    monkeypatch.setattr(TableStore, "commit", commit_without_condition)
    answers, _ = confirm_concurrently([False, True])
    assert all(answer.is_ok() for answer in answers)
