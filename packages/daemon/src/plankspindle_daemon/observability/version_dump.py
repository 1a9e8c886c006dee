"""Dump of the shares and counts of a service's software versions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher


def dump_versions(dispatcher: Dispatcher) -> dict[str, Any]:
    """Dump the split of a service's requests by software version, and its counts.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of the service.

    Returns
    -------
    dict
        Plain JSON values; empty if no split is set.
    """
    split = dispatcher.versions.gate.split
    if split is None:
        return {}
    counts = dispatcher.versions.counts(dispatcher.upstreams_by_name.values())
    split_fields = attrs.asdict(split)
    if split.baseline_ends_at == float("inf"):
        split_fields["baseline_ends_at"] = None
    return {
        "software_versions": {
            "split": split_fields,
            "counts": attrs.asdict(counts),
            "sent": dict(dispatcher.versions.sent_by_role),
            "bad": dict(dispatcher.versions.tally.bad_by_role),
        }
    }
