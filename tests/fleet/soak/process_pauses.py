"""Pauses of processes in a soak, which were stopped or whose machine was suspended."""

from __future__ import annotations

from attrs import Factory
from attrs import define

from soak.history import Span


@define(kw_only=True)
class ProcessPauses:
    """Times during which processes could not run."""

    _spans_by_vm: dict[str, list[Span]] = Factory(dict)

    def begin(self, vm: str, now: float) -> Span:
        """Record that the process of a VM is paused from now on."""
        span = Span(begin=now)
        self._spans_by_vm.setdefault(vm, []).append(span)
        return span

    def total_s(self, vm: str, since: float, until: float) -> float:
        """Return the paused seconds between two times; overlaps count once."""
        spans = self._spans_by_vm.get(vm, ())
        total_s, counted_until = 0.0, since
        for begin, end in sorted((each.begin, min(each.end, until)) for each in spans):
            total_s += max(0.0, end - max(begin, counted_until))
            counted_until = max(counted_until, end)
        return total_s
