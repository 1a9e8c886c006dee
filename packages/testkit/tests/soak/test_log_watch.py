"""Tests of the reading of logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_testkit.soak.log_watch import UNEXPECTED
from plankspindle_testkit.soak.log_watch import LogWatch
from plankspindle_testkit.soak.promises import Observations
from plankspindle_testkit.soak.promises import check_all

if TYPE_CHECKING:
    from pathlib import Path


def write(folder: Path, *events: str) -> None:
    with (folder / "a.log").open("a", encoding="utf-8") as stream:
        destination = start_logging(stream=stream, vm="a")
        for event in events:
            log_event(event, error="oh", trace="first\nevent=crashed second")
        stop_logging(destination)


@pytest.mark.parametrize("event", UNEXPECTED)
def test_an_unexpected_error_is_seen_once(tmp_path: Path, event: str) -> None:
    watch = LogWatch(folder=tmp_path)
    write(tmp_path, "started", event, "left")
    (line,) = watch.unexpected_of("a")
    assert f"event={event} " in line
    write(tmp_path, "started")
    assert watch.unexpected_of("a") == []
    write(tmp_path, event)
    assert len(watch.unexpected_of("a")) == 1


def test_a_line_that_is_not_whole_yet_is_read_later(tmp_path: Path) -> None:
    watch = LogWatch(folder=tmp_path)
    log = tmp_path / "a.log"
    log.write_text("time=1 event=cra")
    assert watch.unexpected_of("a") == []
    log.write_text("time=1 event=crashed vm=a\n")
    assert watch.unexpected_of("a") == ["time=1 event=crashed vm=a"]


def test_an_unexpected_error_breaks_a_promise() -> None:
    seen = Observations(unexpected=[("a", "event=error_contained error=oh")])
    (found,) = check_all(seen)
    assert found.promise == "no unexpected error"
