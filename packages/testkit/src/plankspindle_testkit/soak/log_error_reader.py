"""What the logs of VMs tell of errors that nobody expected."""

from __future__ import annotations

from pathlib import Path

from attrs import define
from attrs import field

UNEXPECTED_EVENTS = ("error_contained", "crashed", "invariant_broken")
"""Events of errors that no code expects; each is a fault of the program."""


@define(kw_only=True)
class LogErrorReader:
    """Read on in logs.

    Parameters
    ----------
    folder : Path
        Where they are, one for each VM.
    """

    folder: Path
    _read_by_vm: dict[str, int] = field(factory=dict)

    def read_new_errors(self, vm: str) -> list[str]:
        """Give lines on unexpected errors that were written since the last time."""
        with (self.folder / f"{vm}.log").open("rb") as log:
            log.seek(self._read_by_vm.get(vm, 0))
            whole = log.read().rpartition(b"\n")
        self._read_by_vm[vm] = self._read_by_vm.get(vm, 0) + len(whole[0] + whole[1])
        lines = whole[0].decode(errors="replace").splitlines()
        return [line for line in lines if _is_unexpected(line)]


def _is_unexpected(line: str) -> bool:
    return any(f" event={event} " in line for event in UNEXPECTED_EVENTS)
