"""Cost of the start of a process, counted as work that does not vary between runs.

A VM restarts often and many VMs start at the same time, each on a fraction of a core.
"""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

MAX_MODULES = 640
MAX_GENERATED_PER_CLASS = 500
"""Characters of generated source; comparison and hash would add as many again."""
LATE_MODULES = {"cattrs", "click", "opentelemetry", "prometheus_client"}
"""Libraries that a start does not need."""
COUNT = """
import json, sys
generated = 0
def count(event, arguments):
    global generated
    # Only generated code has a name in angle brackets instead of the name of a file.
    if event == "compile" and str(arguments[1]).startswith("<attrs"):
        generated += len(arguments[0])
sys.addaudithook(count)
import plankspindle_platform.application
import attrs
from gc import get_objects
classes = [each for each in get_objects() if isinstance(each, type)]
own = {
    (each.__module__, each.__qualname__)
    for each in classes
    if attrs.has(each) and "__attrs_attrs__" in each.__dict__
}
names = sorted({each.partition(".")[0] for each in sys.modules})
found = {"generated": generated, "classes": len(own), "packages": names}
print(json.dumps({**found, "modules": len(sys.modules)}))
"""


@pytest.fixture(scope="module")
def start() -> dict[str, Any]:
    """Import the daemon in another process, and count what that takes."""
    paths = [each for each in sys.path if each]
    program = f"import sys; sys.path[:0] = {paths!r}\n{COUNT}"
    ran = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, timeout=60
    )
    counted: dict[str, Any] = json.loads(ran.stdout)
    return counted


def test_classes_compile_no_more_than_their_init(start: dict[str, Any]) -> None:
    assert start["classes"] > 300
    assert start["generated"] <= MAX_GENERATED_PER_CLASS * start["classes"]


def test_start_imports_only_what_it_needs(start: dict[str, Any]) -> None:
    assert not LATE_MODULES & set(start["packages"])
    assert start["modules"] <= MAX_MODULES
