"""Slices import one another in one direction only."""

from __future__ import annotations

import ast
from graphlib import CycleError
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

import plankspindle_daemon

PACKAGE = "plankspindle_daemon"
ROOT = Path(plankspindle_daemon.__file__).parent


def imported_slices(source: str) -> set[str]:
    """Name the slices that a module imports, for its types or its work."""
    found = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            words = node.module.split(".")
            if words[0] == PACKAGE and len(words) > 1:
                found.add(words[1])
    return found


def graph() -> dict[str, set[str]]:
    arrows: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        name = path.relative_to(ROOT).parts[0].removesuffix(".py")
        found = imported_slices(path.read_text(encoding="utf-8"))
        arrows.setdefault(name, set()).update(found - {name})
    return arrows


def test_no_slice_imports_one_that_imports_it() -> None:
    arrows = graph()
    assert len(arrows) > 20
    TopologicalSorter(arrows).prepare()


def test_a_circle_would_be_found() -> None:
    arrows = graph()
    arrows["traces"] = arrows["traces"] | {"node"}
    with pytest.raises(CycleError):
        TopologicalSorter(arrows).prepare()
