"""A daemon process whose log output is not read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from pathlib import Path

PLATFORM = Endpoint(loopback_host(8, 1), 17000)
PLACE = VmAddresses(
    name="ke-1-a", failure_domain="ke-1", host=loopback_host(8, 2), base_port=17100
)


def test_unread_log_does_not_block_requests(tmp_path: Path) -> None:
    processes = Processes(folder=tmp_path)
    try:
        processes.start_platform(PLATFORM, [PLACE])
        processes.start_daemon(PLACE, platform=PLATFORM, log_to_file=False)
        wait_for_operator_listener(PLACE)
        apply_configuration(PLACE, build_configuration(upstreams_by_name={}))

        def dropped() -> int:
            # An answer shows that the event loop of the daemon isn't blocked.
            for _ in range(100):
                assert (
                    call(PLACE.caller, target="/v1/services/registry/x").status == 503
                )
            return int(read_state(PLACE)["measures"]["log_lines_dropped"])

        wait_until(lambda: dropped() > 0, what="lines are dropped", timeout_s=60.0)
    finally:
        processes.close()
