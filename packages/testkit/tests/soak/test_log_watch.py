"""Tests of the reading of logs."""

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
def test_an_unexpected_error_is_seen_once(tmp_path: Path, event: str) -> None:
    watch = LogErrorReader(folder=tmp_path)
    write(tmp_path, "started", event, "left")
    (line,) = watch.read_new_errors("a")
    assert f"event={event} " in line
    write(tmp_path, "started")
    assert watch.read_new_errors("a") == []
    write(tmp_path, event)
    assert len(watch.read_new_errors("a")) == 1


def test_a_line_that_is_not_whole_yet_is_read_later(tmp_path: Path) -> None:
    watch = LogErrorReader(folder=tmp_path)
    log = tmp_path / "a.log"
    log.write_text("time=1 event=cra")
    assert watch.read_new_errors("a") == []
    log.write_text("time=1 event=crashed vm=a\n")
    assert watch.read_new_errors("a") == ["time=1 event=crashed vm=a"]


def test_an_unexpected_error_breaks_a_promise() -> None:
    seen = Observations(unexpected_errors=[("a", "event=error_contained error=oh")])
    (found,) = check_all(seen)
    assert found.guarantee == "no unexpected error"
