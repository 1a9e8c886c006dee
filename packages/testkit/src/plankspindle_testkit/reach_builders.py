"""Builders of entry VMs that are cut off from all upstreams, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.http.errors import ConnectFailed
from plankspindle_daemon.reachability.upstream_reach import VERIFY_AFTER_S

if TYPE_CHECKING:
    from plankspindle_daemon.reachability.upstream_reach import UpstreamReach

TIMED_OUT = ConnectFailed("TaskTimeout: 0.4", is_timeout=True)
REFUSED = ConnectFailed("ConnectionRefusedError", is_refused=True)


def fail_probes(
    reach: UpstreamReach, now: float, failure: ConnectFailed = TIMED_OUT
) -> set[str]:
    """Let all probes that are due fail, and return the upstreams that were probed."""
    probed = {probe.upstream for probe in reach.tick(now)}
    for upstream in probed:
        reach.record_connect_failed(upstream, failure, now)
    return probed


def cut_off(
    reach: UpstreamReach, now: float, failure: ConnectFailed = TIMED_OUT
) -> None:
    """Let connections to three upstreams, and then all probes, fail by a time.

    Parameters
    ----------
    reach : UpstreamReach
        Reach of a VM whose upstreams are named ``u0``, ``u1`` and so on.
    now : float
        Monotonic seconds.
    failure : ConnectFailed
        How the connections fail.
    """
    for number in range(3):
        upstream = f"u{number}"
        reach.record_connect_failed(upstream, failure, now - VERIFY_AFTER_S)
    fail_probes(reach, now, failure)
    assert reach.is_cut_off
