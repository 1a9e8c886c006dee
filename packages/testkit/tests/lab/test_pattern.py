"""Reading and validation of pattern files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import read_pattern

if TYPE_CHECKING:
    from pathlib import Path

PATTERN_NAME = "overload-cold-domain"


def write_invalid(folder: Path, before: str, after: str) -> Path:
    text = (PATTERNS_FOLDER / f"{PATTERN_NAME}.yaml").read_text()
    assert before in text
    path = folder / "spoiled.yaml"
    path.write_text(text.replace(before, after))
    return path


@pytest.mark.parametrize(
    "path", sorted(PATTERNS_FOLDER.glob("*.yaml")), ids=lambda path: path.stem
)
def test_each_pattern_states_its_situation_and_sources(path: Path) -> None:
    pattern = read_pattern(path).unwrap()
    assert pattern.answers.strip()
    assert pattern.grounds.strip()


@pytest.mark.parametrize(
    ("before", "after", "message"),
    [
        ("slots: 5", "slots: 0", "slots"),
        ("slots: 5", "slot: 5", "'slot'"),
        ("work_ms: 360", "work_ms: long", "work_ms"),
        ("service: look", "service: other", "'other'"),
        ("kind: load", "kind: rain", "rain"),
        ("domain: s-2}", "domain: x-9}", "'x-9'"),
        ("seconds: 24", "seconds: [", "spoiled.yaml"),
        (
            "vms_by_domain: {n-1: 3, n-2: 1, c-1: 3, c-2: 1, s-1: 2, s-2: 2}",
            "vms_by_domain: {}",
            "vms_by_domain",
        ),
    ],
)
def test_invalid_pattern_is_refused_with_the_problem(
    tmp_path: Path, before: str, after: str, message: str
) -> None:
    assert message in read_pattern(write_invalid(tmp_path, before, after)).unwrap_err()


def test_missing_pattern_file_is_reported(tmp_path: Path) -> None:
    assert "No such file" in read_pattern(tmp_path / "none.yaml").unwrap_err()
