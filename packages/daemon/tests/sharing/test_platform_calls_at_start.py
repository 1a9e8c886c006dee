"""Calls to the platform while all entry VMs of a failure domain start at once.

The pattern: 21 entry VMs of one domain start within 0.3 s of one another, read the
platform's list of 900 upstreams and the configuration, and go on for 42 s, in which
nothing changes. Each call is paid. At 195 VMs fewer than 0.15 a second and VM are
wanted; the first reads of a process, five calls whatever follows, stand beside that.
"""

from __future__ import annotations

import heapq
import math
from random import Random

from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.sharing.shared_reads import MIN_CHECK_DELAY_S
from plankspindle_daemon.sharing.shared_reads import SharedReads
from plankspindle_testkit.builders import build_reader_group
from plankspindle_testkit.builders import build_upstream

NAMES = tuple(f"vm-{number:02}" for number in range(21))
LASTS_S = 42.0
CALLS_PER_S = 0.15
PERIOD_S = 1.33
"""A third of the shortest bound on changes of 4 s."""
WATCH_S = 2.25
"""Longest wait of a VM that reads for itself."""
SUBJECTS = ("list", "configuration")
LISTED = ListedVm(
    name="u", kind=VmKind.UPSTREAM, failure_domain="ba-1", upstream=build_upstream()
)


class Domain:
    """Entry VMs that read list and configuration, on a fake clock."""

    def __init__(self) -> None:
        self.reads_by_vm = {
            name: SharedReads(group=build_reader_group(name, NAMES), period_s=PERIOD_S)
            for name in NAMES
        }
        self.calls = 0
        self._events: list[tuple[float, str, str, str]] = []
        random = Random(1)
        for name in NAMES:
            at = random.uniform(0.0, 0.3)
            self._events += [(at, name, subject, "read") for subject in SUBJECTS]
        heapq.heapify(self._events)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] < until:
            now, name, subject, step = heapq.heappop(self._events)
            reads = self.reads_by_vm[name]
            if step == "read":
                self._take(name, subject, now)
                pause_s = reads.list_pause_s(now) if subject == "list" else None
                event = (now + (pause_s or MIN_CHECK_DELAY_S), name, subject, "look")
            elif self._is_to_read(reads, subject, now):
                self.calls += 1
                wait_s = self._wait_s(reads, subject, now)
                event = (now + wait_s, name, subject, "read")
            else:
                event = (now + MIN_CHECK_DELAY_S, name, subject, "look")
            heapq.heappush(self._events, event)

    def _take(self, name: str, subject: str, now: float) -> None:
        """Take what a read brought, and tell the others."""
        reads = self.reads_by_vm[name]
        if subject == "list":
            told = reads.record_list_read(
                [LISTED],
                version=1,
                configuration_version=1,
                kept_until=-math.inf,
                now=now,
            )
        else:
            told = reads.record_configuration_read(1, now)
        for each in told[:1]:
            for other in NAMES:
                if other != name:
                    self.reads_by_vm[other].apply_update(each.message, now)

    def _is_to_read(self, reads: SharedReads, subject: str, now: float) -> bool:
        if subject == "list":
            return reads.should_read_list(now)
        return reads.should_read_configuration(1, now)

    def _wait_s(self, reads: SharedReads, subject: str, now: float) -> float:
        if subject == "list":
            shared_s = reads.list_wait_s(now)
        else:
            shared_s = reads.configuration_wait_s(now)
        return WATCH_S if shared_s is None else shared_s


def test_a_start_of_all_costs_few_calls_beyond_the_first() -> None:
    domain = Domain()
    domain.run(LASTS_S)
    assert domain.calls / len(NAMES) / LASTS_S < CALLS_PER_S
