"""Tests that are red for a known fault, as ``KNOWN-RED.txt`` lists them.

Each line is ``TEST | CAUSE | ISSUE``. Such a test runs and is told in the summary; it
fails the run when it passes, so that the line is taken away with the fault.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterable

KNOWN_RED = "KNOWN-RED.txt"
PARTS = 3


def read_known_red(text: str) -> dict[str, str]:
    """Read the causes and issues of red tests by their node ids.

    Raises
    ------
    ValueError
        If a line is not of three parts, or names a test again.
    """
    reasons_by_test: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != PARTS or not all(parts):
            raise ValueError(f"{KNOWN_RED}:{number}: not TEST | CAUSE | ISSUE")
        test, cause, issue = parts
        if test in reasons_by_test:
            raise ValueError(f"{KNOWN_RED}:{number}: {test} is named twice")
        reasons_by_test[test] = f"{cause} ({issue})"
    return reasons_by_test


def pytest_collection_modifyitems(
    config: pytest.Config, items: Iterable[pytest.Item]
) -> None:
    """Expect the tests of the list to fail, and all of them."""
    path = Path(config.rootpath) / KNOWN_RED
    if not path.exists():
        return
    reasons_by_test = read_known_red(path.read_text(encoding="utf-8"))
    for item in items:
        reason = reasons_by_test.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_configure(config: pytest.Config) -> None:
    """Print the red tests at the end of each run."""
    config.option.reportchars += "x"
