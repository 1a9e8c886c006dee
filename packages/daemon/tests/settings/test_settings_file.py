"""Tests of reloading settings while a daemon runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import yaml
from attrs import evolve

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.settings.reading import parse_settings
from plankspindle_daemon.settings.reading import read_settings
from plankspindle_daemon.settings.settings_file import SettingsChange
from plankspindle_daemon.settings.settings_file import SettingsFile
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_settings_mapping

if TYPE_CHECKING:
    from pathlib import Path

    from plankspindle_daemon.settings.daemon_settings import DaemonSettings

PLACE = VmAddresses(name="a", failure_domain="ba-1", host="127.0.3.1", base_port=18_000)


def build_text() -> str:
    return yaml.safe_dump(build_settings_mapping(PLACE, platform=Endpoint("::1", 9)))


def build_settings() -> DaemonSettings:
    return parse_settings(build_text()).unwrap()


def test_change_separates_reloadable_sections_from_others() -> None:
    old = build_settings()
    new = evolve(
        old,
        peers=[Endpoint("::1", 5)],
        timing=evolve(old.timing, probe_ms=7),
    )
    change = SettingsChange.between(old, new)
    assert (change.reloadable, change.restart_required) == (("peers",), ("timing",))
    assert SettingsChange.between(old, old) == SettingsChange(
        reloadable=(), restart_required=()
    )


def test_each_change_of_the_file_is_reported_once(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(build_text())
    file = SettingsFile(path=path, reader=read_settings)
    assert file.read().is_ok()
    assert not file.has_changed()
    path.write_text(build_text() + "\n# longer\n")
    assert file.has_changed()
    assert not file.has_changed()


def test_missing_file_is_not_reported_as_changed(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(build_text())
    file = SettingsFile(path=path, reader=read_settings)
    assert not file.has_changed()
    path.unlink()
    assert not file.has_changed()


@pytest.mark.parametrize(
    "text",
    [
        "? [1]\n: 2",
        "1: 2\nvm: a",
        "vm: 2026-13-45",
        "vm: !!int x",
        "vm: !!binary é",
        "vm: !!float x",
        "a: &a [*a]",
        "[" * 5_000,
    ],
)
def test_malformed_file_is_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    assert SettingsFile(path=path, reader=read_settings).read().is_err()
