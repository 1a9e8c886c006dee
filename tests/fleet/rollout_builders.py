"""Builders of the operator's orders of roll-outs for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import yaml
from builders import BOOT
from builders import build_boot

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

    from plankspindle_platform.boot_settings import BootSettings

ROLLOUT_TERMS = {
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback": "5000ms",
}


def build_order(**fields: Any) -> dict[str, Any]:
    """Build the content of a row that orders a roll-out of the service ``desk``."""
    order = {"service": "desk", "target_version": "v2", "duration": "12s"}
    return {**order, **fields}


def build_boot_with_rollouts(
    monkeypatch: pytest.MonkeyPatch, directory: Path, **bounds: Any
) -> BootSettings:
    """Read the settings file of the tests with the contract of roll-outs."""
    document = yaml.safe_load(BOOT.read_text())
    document["terms"]["contracts"] = ["base", "rollout"]
    document["terms"]["bounds"] |= {**ROLLOUT_TERMS, **bounds}
    path = directory / "boot_with_rollouts.yaml"
    path.write_text(yaml.safe_dump(document))
    return build_boot(monkeypatch, path)
