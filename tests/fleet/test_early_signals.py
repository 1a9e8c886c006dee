"""Signals that are received while a process still imports its modules."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

SIGHUP_ON_IMPORT = """
import os, runpy, signal, sys

class Strikes:
    def find_spec(self, name, path, target=None):
        if name == "curio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Strikes())
sys.path.insert(0, "platform")
"""
PLATFORM_DAEMON = 'runpy.run_module("plankspindle_platform", run_name="__main__")'
PLAIN_DAEMON = """
from plankspindle_daemon.console.entry_point import main
sys.argv = ["plankspindled", "check", "/nowhere"]
main()
"""


@pytest.mark.parametrize("start", [PLATFORM_DAEMON, PLAIN_DAEMON])
def test_sighup_during_imports_does_not_end_process(start: str) -> None:
    ended = subprocess.run(
        [sys.executable, "-c", SIGHUP_ON_IMPORT + start],
        env={"PLANKSPINDLE_BOOT": "/nowhere"},
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 2
    assert ended.stderr.startswith("/nowhere: ")
