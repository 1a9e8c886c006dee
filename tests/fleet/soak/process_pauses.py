"""When processes of a soak stood still: stopped, or their machines suspended."""

from __future__ import annotations

from attrs import Factory
from attrs import define

from soak.history import Span


@define(kw_only=True)
class ProcessPauses:
    """Times in which nothing of a process could run."""

    _spans_by_vm: dict[str, list[Span]] = Factory(dict)

    def begin(self, vm: str, now: float) -> Span:
        """Note that the process of a VM stands still from now on."""
        span = Span(begin=now)
        self._spans_by_vm.setdefault(vm, []).append(span)
        return span

    def total_s(self, vm: str, since: float, until: float) -> float:
        """Add up the time between two moments; where spans overlap it counts once."""
        spans = self._spans_by_vm.get(vm, ())
        total, reached = 0.0, since
        for begin, end in sorted((each.begin, min(each.end, until)) for each in spans):
            total += max(0.0, end - max(begin, reached))
            reached = max(reached, end)
        return total
