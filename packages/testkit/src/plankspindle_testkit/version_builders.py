"""Builders of dispatchers whose upstreams run several software versions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from plankspindle_daemon.dispatch.version_split import VersionSplit
from plankspindle_testkit.builders import build_reported_slots_dispatcher
from plankspindle_testkit.builders import build_reported_slots_upstream

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

BASELINE = "v1"
TARGET = "v2"


def build_versioned_dispatcher(*, slots: int = 100, **counts: int) -> Dispatcher:
    """Build a dispatcher with upstreams of several software versions.

    Parameters
    ----------
    slots : int
        Slots of each upstream.
    **counts : int
        Number of upstreams by software version; ``unnamed`` stands for the empty one.
        The first of version ``v1`` is named ``v1-0``.
    """
    dispatcher = build_reported_slots_dispatcher()
    for software_version, count in counts.items():
        for number in range(count):
            name = f"{software_version}-{number}"
            dispatcher.upstreams_by_name[name] = build_reported_slots_upstream(
                name,
                slots=slots,
                software_version=software_version.replace("unnamed", ""),
            )
    dispatcher.update_rankings()
    return dispatcher


def build_split(**fields: Any) -> VersionSplit:
    """Build the split of the stage before any request goes to the target version."""
    return VersionSplit(
        **{"baseline": BASELINE, "target": TARGET, "order": 1, **fields}
    )


def build_canary_split(**fields: Any) -> VersionSplit:
    """Build the split of a canary that half of the keys and requests may use."""
    defaults: dict[str, Any] = {
        "target_share": 0.5,
        "upstream_share": 0.25,
        "max_exposure_share": 0.25,
    }
    return build_split(**{**defaults, **fields})
