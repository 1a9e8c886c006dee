"""Tests of finding unexpected errors in logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import check_all
from plankspindle_testkit.soak.log_error_reader import UNEXPECTED_EVENTS
from plankspindle_testkit.soak.log_error_reader import LogErrorReader

if TYPE_CHECKING:
    from pathlib import Path


def write(folder: Path, *events: str) -> None:
    with (folder / "a.log").open("a", encoding="utf-8") as stream:
        destination = start_logging(stream=stream, vm="a")
        for event in events:
            log_event(event, error="oh", trace="first\nevent=crashed second")
        stop_logging(destination)


@pytest.mark.parametrize("event", UNEXPECTED_EVENTS)
def test_unexpected_error_is_reported_once(tmp_path: Path, event: str) -> None:
    reader = LogErrorReader(folder=tmp_path)
    write(tmp_path, "started", event, "left")
    (line,) = reader.read_new_errors("a")
    assert f"event={event} " in line
    write(tmp_path, "started")
    assert reader.read_new_errors("a") == []
    write(tmp_path, event)
    assert len(reader.read_new_errors("a")) == 1


def test_incomplete_line_is_read_later(tmp_path: Path) -> None:
    reader = LogErrorReader(folder=tmp_path)
    log = tmp_path / "a.log"
    log.write_text("time=1 event=cra")
    assert reader.read_new_errors("a") == []
    log.write_text("time=1 event=crashed vm=a\n")
    assert reader.read_new_errors("a") == ["time=1 event=crashed vm=a"]


def test_unexpected_error_is_a_violation() -> None:
    observations = Observations(
        unexpected_errors=[("a", "event=error_contained error=oh")]
    )
    (violation,) = check_all(observations)
    assert violation.guarantee == "no unexpected error"
