"""Detection of unexpected errors in the logs of VMs."""

from __future__ import annotations

from pathlib import Path

from attrs import define
from attrs import field

UNEXPECTED_EVENTS = ("error_contained", "crashed", "invariant_broken")
"""Log events of unexpected errors; each indicates a bug in the daemon."""


@define(kw_only=True)
class LogErrorReader:
    """Incremental reader of log files.

    Parameters
    ----------
    folder : Path
        Folder with one log file per VM.
    """

    folder: Path
    _offset_by_vm: dict[str, int] = field(factory=dict)

    def read_new_errors(self, vm: str) -> list[str]:
        """Return the lines with unexpected errors since the last call."""
        with (self.folder / f"{vm}.log").open("rb") as log:
            log.seek(self._offset_by_vm.get(vm, 0))
            complete = log.read().rpartition(b"\n")
        self._offset_by_vm[vm] = self._offset_by_vm.get(vm, 0) + len(
            complete[0] + complete[1]
        )
        lines = complete[0].decode(errors="replace").splitlines()
        return [line for line in lines if _is_unexpected(line)]


def _is_unexpected(line: str) -> bool:
    return any(f" event={event} " in line for event in UNEXPECTED_EVENTS)
