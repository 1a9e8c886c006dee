"""Mark tests with a known fault, listed in ``KNOWN-RED.txt``, as expected to fail.

Each line is ``TEST | CAUSE | ISSUE``. A listed test runs and is printed in the summary.
The run fails if it passes, so that its line is removed when the fault is fixed.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterable

KNOWN_RED = "KNOWN-RED.txt"
FIELDS_PER_LINE = 3


def read_known_red(text: str) -> dict[str, str]:
    """Parse the list into causes and issues by the node ids of the tests.

    Raises
    ------
    ValueError
        If a line does not have three fields, or a test is listed twice.
    """
    reasons_by_test: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        fields = [part.strip() for part in line.split(" | ")]
        if len(fields) != FIELDS_PER_LINE or not all(fields):
            raise ValueError(f"{KNOWN_RED}:{number}: not TEST | CAUSE | ISSUE")
        test, cause, issue = fields
        if test in reasons_by_test:
            raise ValueError(f"{KNOWN_RED}:{number}: {test} is named twice")
        reasons_by_test[test] = f"{cause} ({issue})"
    return reasons_by_test


def pytest_collection_modifyitems(
    config: pytest.Config, items: Iterable[pytest.Item]
) -> None:
    """Mark all listed tests as strictly expected failures."""
    path = Path(config.rootpath) / KNOWN_RED
    if not path.exists():
        return
    reasons_by_test = read_known_red(path.read_text(encoding="utf-8"))
    for item in items:
        reason = reasons_by_test.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_configure(config: pytest.Config) -> None:
    """Print expected failures at the end of each run."""
    config.option.reportchars += "x"
