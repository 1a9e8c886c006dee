"""Converts changes of the quarantine to status changes, to be logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.quarantine.request_identity import identity_text
from plankspindle_daemon.status_changes.status_change import StatusChange

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.quarantine.quarantine import Quarantine


def pop_changes(quarantine: Quarantine) -> Iterator[StatusChange]:
    """Remove the changes since the previous call from a quarantine and yield them."""
    changes, quarantine.changes = quarantine.changes, []
    for change in changes:
        identity = identity_text(change.identity)
        yield StatusChange(
            event=change.event, fields={"identity": identity, **change.fields}
        )
