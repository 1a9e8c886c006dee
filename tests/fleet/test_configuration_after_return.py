"""The newest acknowledged configuration wins, whatever the store returns from."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import hypothesis.strategies as st
import pytest
from attrs import Factory
from attrs import define
from attrs import frozen
from builders import build_boot
from builders import build_operator_document
from builders import build_row
from builders import build_rows
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from result import Err
from result import Ok

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_daemon.configuration.configuration_in_force import (
    ConfigurationInForce,
)
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.versions.store_era import RESTORE_S
from plankspindle_daemon.versions.store_era import StoreEra
from plankspindle_platform.operator_reader import OperatorReader
from plankspindle_platform.row_store import HistoryExpired
from plankspindle_platform.row_store import RowStore
from plankspindle_platform.stored_rows import RowSnapshot
from plankspindle_platform.stored_rows import StoredRow
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

VMS = ("a", "b", "c")
EVACUATION = "evacuate/zone-b"
MAX_COPIES = 6


@frozen(kw_only=True)
class Table:
    """The operator's table as of one transaction."""

    rows_by_key: dict[str, StoredRow]
    number: int

    def with_row(self, key: str, document: Any) -> Table:
        number = self.number + 1
        row = build_row(key, number, document)
        return Table(rows_by_key={**self.rows_by_key, key: row}, number=number)


@define(kw_only=True)
class Store:
    """The store, with copies of earlier states and what the operator wrote last."""

    table: Table = Table(rows_by_key={}, number=0)
    era: int = 1
    copies: list[Table] = Factory(list)
    documents_by_key: dict[str, Any] = Factory(dict)

    def write(self, key: str, document: Any) -> None:
        self.copies = [*self.copies, self.table][-MAX_COPIES:]
        self.documents_by_key[key] = document
        self.table = self.table.with_row(key, document)

    def restore(self) -> None:
        """Write again what the operator wrote last, where it is lost."""
        for key, document in self.documents_by_key.items():
            found = self.table.rows_by_key.get(key)
            held = None if found is None else found.document()
            if held != document:
                self.table = self.table.with_row(key, document)


@define(kw_only=True)
class VmStore:
    """The store as one VM reaches it; an answer may arrive after a return."""

    store: Store
    known: StoreEra = Factory(StoreEra)
    now: float = 0.0
    is_cut: bool = False
    late: list[RowSnapshot] = Factory(list)

    @property
    def era(self) -> int:
        return self.known.number

    def _answer(self, snapshot: RowSnapshot) -> Any:
        if self.is_cut:
            return Err(PlatformUnavailable("cut off"))
        snapshot = self.late.pop() if self.late else snapshot
        self.known.observe(snapshot.version.era, self.now)
        if snapshot.version.era < self.era:
            return Err(PlatformUnavailable("of an earlier era"))
        return Ok(snapshot)

    def snapshot(self, after: int = -1) -> RowSnapshot:
        table = self.store.table
        rows = [each for each in table.rows_by_key.values() if each.version > after]
        if after < 0:
            rows = [each for each in rows if each.value is not None]
        return build_rows(*rows, version=table.number, era=self.store.era)

    async def get_rows(self, table: str) -> Any:
        return self._answer(self.snapshot())

    async def wait_for_changes(self, table: str, *, after: int, wait_s: float) -> Any:
        if not self.is_cut and after > self.store.table.number:
            self.known.observe(self.store.era, self.now)
            return Err(HistoryExpired())
        return self._answer(self.snapshot(after))


@define(kw_only=True)
class Vm:
    """Reader and configuration in force of one VM."""

    store: VmStore
    reader: OperatorReader
    in_force: ConfigurationInForce = Factory(ConfigurationInForce)
    accepted: Configuration | None = None

    def read(self, now: float) -> None:
        self.store.now = now
        read = run_to_completion(self.reader.read_newer(self.in_force.version, 0.0))
        newer = read.unwrap_or(None)
        if newer is not None:
            self.adopt(newer.configuration, newer.version, now)

    def adopt(
        self, accepted: Configuration, version: ConfigurationVersion, now: float
    ) -> None:
        if self.in_force.adopt(accepted, version, now) is not None:
            self.accepted = accepted

    def is_evacuated(self) -> bool:
        content = self.in_force.content
        return content is not None and bool(content.drains_by_id)


class ConfigurationMachine(RuleBasedStateMachine):
    """VMs that read, tell one another, are cut off and restart; returns at any time."""

    def __init__(self) -> None:
        super().__init__()
        with pytest.MonkeyPatch.context() as monkeypatch:
            self.boot = build_boot(monkeypatch)
        self.now = 0.0
        self.store = Store()
        self.revision = 0
        self.highest_by_vm: dict[str, int] = {}
        self.write_configuration()
        self.vms = {name: self.start_vm() for name in VMS}

    def start_vm(self) -> Vm:
        store = VmStore(store=self.store)
        reader = OperatorReader(store=cast("RowStore", store), boot=self.boot)
        return Vm(store=store, reader=reader)

    @rule()
    def write_configuration(self) -> None:
        self.revision += 1
        document = build_operator_document(config_version=f"{self.revision:08x}")
        self.store.write("config", document)

    @rule(begins=st.booleans())
    def evacuate(self, begins: bool) -> None:
        self.store.write(EVACUATION, {} if begins else None)

    @rule(vm=st.sampled_from(VMS))
    def read(self, vm: str) -> None:
        self.vms[vm].read(self.now)

    @rule(vm=st.sampled_from(VMS))
    def tell(self, vm: str) -> None:
        """Pass the version in force of a VM on to the others."""
        sender = self.vms[vm]
        if sender.accepted is not None:
            version = sender.in_force.version
            for other in self.vms.values():
                other.store.known.observe(version.era, self.now)
                other.adopt(sender.accepted, version, self.now)

    @rule(age=st.integers(1, MAX_COPIES), restores=st.booleans())
    def return_from_copy(self, age: int, restores: bool) -> None:
        if len(self.store.copies) >= age:
            self.store.table = self.store.copies[-age]
            self.store.copies = self.store.copies[:-age]
            self.store.era += 1
            if restores:
                self.store.restore()

    @rule()
    def write_unrelated_rows(self) -> None:
        table = self.store.table
        self.store.table = Table(
            rows_by_key=table.rows_by_key, number=table.number + 10
        )

    @rule(vm=st.sampled_from(VMS))
    def delay_answer(self, vm: str) -> None:
        """Let an answer of now arrive as that of a later read."""
        self.vms[vm].store.late = [self.vms[vm].store.snapshot()]

    @rule(vm=st.sampled_from(VMS), is_cut=st.booleans())
    def cut(self, vm: str, is_cut: bool) -> None:
        self.vms[vm].store.is_cut = is_cut

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        self.vms[vm] = self.start_vm()
        self.highest_by_vm.pop(vm, None)
        self.vms[vm].read(self.now)

    @rule(seconds=st.floats(0.1, 2 * RESTORE_S))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        for vm in self.vms.values():
            vm.in_force.end_retention_if_due(self.now)

    @invariant()
    def configuration_never_reverts(self) -> None:
        for name, vm in self.vms.items():
            revision = vm.in_force.version.revision
            assert revision >= self.highest_by_vm.get(name, 0)
            self.highest_by_vm[name] = revision

    @rule()
    def settle(self) -> None:
        """Once all is restored and read, each VM has what was acknowledged last."""
        self.store.restore()
        for vm in self.vms.values():
            vm.store.is_cut, vm.store.late = False, []
        for _ in range(2):
            for vm in self.vms.values():
                vm.read(self.now)
                vm.read(self.now)
            self.advance(RESTORE_S + 0.1)
        evacuated = self.store.documents_by_key.get(EVACUATION) is not None
        for vm in self.vms.values():
            assert vm.in_force.version.revision == self.revision
            assert vm.is_evacuated() == evacuated


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=400, stateful_step_count=30, deadline=None
)
