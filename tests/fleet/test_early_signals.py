"""A signal that comes while a process still imports what it needs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

STRIKE = """
import os, runpy, signal, sys

class Strikes:
    def find_spec(self, name, path, target=None):
        if name == "curio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Strikes())
sys.path.insert(0, "platform")
"""
ON_PLATFORM = 'runpy.run_module("plankspindle_platform", run_name="__main__")'
ON_ITS_OWN = """
from plankspindle_daemon.console.entry_point import main
sys.argv = ["plankspindled", "check", "/nowhere"]
main()
"""


@pytest.mark.parametrize("start", [ON_PLATFORM, ON_ITS_OWN])
def test_sighup_does_not_end_a_process_that_starts(start: str) -> None:
    ended = subprocess.run(
        [sys.executable, "-c", STRIKE + start],
        env={"PLANKSPINDLE_BOOT": "/nowhere"},
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 2
    assert ended.stderr.startswith("/nowhere: ")
