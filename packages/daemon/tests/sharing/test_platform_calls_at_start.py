"""Calls to the platform while all entry VMs of a failure domain start at once.

Twenty-one entry VMs of one domain start within 0.3 s of one another, read the
platform's list of 900 upstreams and the configuration, and run for 42 s in which
nothing changes. Each call is billed. At 195 VMs, fewer than 0.15 calls per second and
VM are allowed, besides the first reads of a process, which always take five calls.
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
from plankspindle_testkit.versions import build_list_version
from plankspindle_testkit.versions import build_version

NAMES = tuple(f"vm-{number:02}" for number in range(21))
DURATION_S = 42.0
CALLS_PER_S = 0.15
PERIOD_S = 1.33
"""A third of the shortest bound on the delay of changes, which is 4 s."""
WATCH_S = 2.25
"""Longest wait of a VM that reads only for itself, in seconds."""
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
        """Process all events before a time, in seconds."""
        while self._events and self._events[0][0] < until:
            now, name, subject, step = heapq.heappop(self._events)
            reads = self.reads_by_vm[name]
            if step == "read":
                self._finish_read(name, subject, now)
                pause_s = reads.list_pause_s(now) if subject == "list" else None
                event = (now + (pause_s or MIN_CHECK_DELAY_S), name, subject, "check")
            elif self._should_read(reads, subject, now):
                self.calls += 1
                wait_s = self._wait_s(reads, subject, now)
                event = (now + wait_s, name, subject, "read")
            else:
                event = (now + MIN_CHECK_DELAY_S, name, subject, "check")
            heapq.heappush(self._events, event)

    def _finish_read(self, name: str, subject: str, now: float) -> None:
        """Apply the result of a read, and broadcast it."""
        reads = self.reads_by_vm[name]
        if subject == "list":
            messages = reads.record_list_read(
                [LISTED],
                version=build_list_version(1),
                configuration_version=build_version(1),
                retained_until=-math.inf,
                now=now,
            )
        else:
            messages = reads.record_configuration_read(build_version(1), now)
        for each in messages[:1]:
            for other in NAMES:
                if other != name:
                    self.reads_by_vm[other].apply_update(each.message, now)

    def _should_read(self, reads: SharedReads, subject: str, now: float) -> bool:
        if subject == "list":
            return reads.should_read_list(now)
        return reads.should_read_configuration(build_version(1), now)

    def _wait_s(self, reads: SharedReads, subject: str, now: float) -> float:
        if subject == "list":
            shared_s = reads.list_wait_s(now)
        else:
            shared_s = reads.configuration_wait_s(now)
        return WATCH_S if shared_s is None else shared_s


def test_simultaneous_start_of_all_vms_stays_within_call_budget() -> None:
    domain = Domain()
    domain.run(DURATION_S)
    assert domain.calls / len(NAMES) / DURATION_S < CALLS_PER_S
