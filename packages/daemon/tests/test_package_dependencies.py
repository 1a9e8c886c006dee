"""Tests that the packages of the daemon have no circular imports."""

from __future__ import annotations

import ast
from graphlib import CycleError
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

import plankspindle_daemon

PACKAGE = "plankspindle_daemon"
ROOT = Path(plankspindle_daemon.__file__).parent


def imported_packages(source: str) -> set[str]:
    """Return the packages that a module imports, also those only for type checks."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            words = node.module.split(".")
            if words[0] == PACKAGE and len(words) > 1:
                found.add(words[1])
    return found


def dependency_graph() -> dict[str, set[str]]:
    dependencies: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        name = path.relative_to(ROOT).parts[0].removesuffix(".py")
        found = imported_packages(path.read_text(encoding="utf-8"))
        dependencies.setdefault(name, set()).update(found - {name})
    return dependencies


def test_packages_have_no_circular_imports() -> None:
    dependencies = dependency_graph()
    assert len(dependencies) > 20
    TopologicalSorter(dependencies).prepare()


def test_circular_import_is_detected() -> None:
    dependencies = dependency_graph()
    dependencies["traces"] = dependencies["traces"] | {"node"}
    with pytest.raises(CycleError):
        TopologicalSorter(dependencies).prepare()
