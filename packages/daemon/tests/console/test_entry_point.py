"""Tests of the garbage collection around the imports of a process."""

from __future__ import annotations

import gc
import sys
from types import ModuleType
from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.console.entry_point import IMPORT_GC_THRESHOLD
from plankspindle_daemon.console.entry_point import import_and_run

if TYPE_CHECKING:
    from collections.abc import Iterator

MODULE = "module_of_entry_point_test"


@pytest.fixture
def _unfreeze() -> Iterator[None]:
    """Let the objects of the test process be collected again afterwards."""
    yield
    gc.unfreeze()
    sys.modules.pop(MODULE, None)


@pytest.mark.usefixtures("_unfreeze")
def test_imported_objects_are_exempt_from_later_collections() -> None:
    before = gc.get_threshold()
    found: dict[str, object] = {}
    module = ModuleType(MODULE)

    def run() -> int:
        found["frozen"] = gc.get_freeze_count()
        found["threshold"] = gc.get_threshold()
        return 3

    module.main = run  # type: ignore[attr-defined]
    sys.modules[MODULE] = module
    assert import_and_run(MODULE) == 3
    assert isinstance(found["frozen"], int)
    assert found["frozen"] > 0
    assert found["threshold"] == before


@pytest.mark.usefixtures("_unfreeze")
def test_threshold_is_restored_after_failed_import() -> None:
    before = gc.get_threshold()
    assert before[0] < IMPORT_GC_THRESHOLD
    with pytest.raises(ModuleNotFoundError):
        import_and_run("no_module_of_this_name")
    assert gc.get_threshold() == before
