"""Tests of the list of expected failures, ``KNOWN-RED.txt``."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parents[1] / "conftest.py"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


def run(folder: Path, listed: str) -> tuple[int, str]:
    (folder / "conftest.py").write_text(CONFTEST.read_text())
    (folder / "test_them.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text(listed)
    (folder / "pytest.ini").write_text("[pytest]\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    return completed.returncode, completed.stdout + completed.stderr


def test_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path: Path) -> None:
    status, output = run(tmp_path, "test_them.py::test_red | it can't yet | issue 1\n")
    assert status == 0
    assert "XFAIL test_them.py::test_red - it can't yet (issue 1)" in output


def test_unlisted_failure_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, "")[0] == 1


def test_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    red = "test_them.py::test_red | it can't yet | issue 1\n"
    status, output = run(
        tmp_path, red + "test_them.py::test_green | mended | issue 2\n"
    )
    assert status == 1
    assert "test_green" in output


@pytest.mark.parametrize("line", ["test", "test | cause", "a | b | ", "a | b | c | d"])
def test_malformed_line_fails_the_run(tmp_path: Path, line: str) -> None:
    status, output = run(tmp_path, line + "\n")
    assert status != 0
    assert "KNOWN-RED.txt:1: not TEST | CAUSE | ISSUE" in output
