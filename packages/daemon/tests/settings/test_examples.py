"""Tests that the shipped examples are valid and of the documented size."""

from __future__ import annotations

from pathlib import Path

import pytest

from plankspindle_core.configuration.codec import configuration_from_yaml
from plankspindle_daemon.settings.reading import read_settings

EXAMPLES = Path(__file__).parents[4] / "examples"
SLOTS_BY_SERVICE = {
    "evidka": {"registry": 24 * 9, "documents": 12 * 3},
    "zadruga": {"portal": 24 * 3, "vault": 12 * 3},
}
ENTRY_VMS = 9


@pytest.mark.parametrize("name", SLOTS_BY_SERVICE)
def test_example_configuration_is_valid_and_of_documented_size(name: str) -> None:
    text = (EXAMPLES / name / "configuration.yaml").read_text(encoding="utf-8")
    found = configuration_from_yaml(text).unwrap()
    slots: dict[str, int] = {}
    for upstream in found.upstreams_by_name.values():
        slots[upstream.service] = slots.get(upstream.service, 0) + upstream.slots
    assert slots == SLOTS_BY_SERVICE[name]
    assert len(found.failure_domains_by_name) == 6
    endpoints = {each.endpoint for each in found.upstreams_by_name.values()}
    assert len(endpoints) == len(found.upstreams_by_name)


@pytest.mark.parametrize("name", SLOTS_BY_SERVICE)
def test_example_settings_of_every_entry_vm_are_valid(name: str) -> None:
    files = sorted((EXAMPLES / name / "settings").glob("*.yaml"))
    found = [read_settings(file).unwrap() for file in files]
    assert len(found) == ENTRY_VMS
    assert len({each.vm for each in found}) == ENTRY_VMS
    assert len({each.failure_domain for each in found}) == 6
    assert len({each.listen.caller for each in found}) == ENTRY_VMS
