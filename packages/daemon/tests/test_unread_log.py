"""A real daemon whose log nobody reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.builders import VmPlace
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.loopback_network import host_of_run
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import put_in_force
from plankspindle_testkit.processes import state_of
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from pathlib import Path

PLATFORM = Endpoint(host_of_run(8, 1), 17000)
PLACE = VmPlace(
    name="ke-1-a", failure_domain="ke-1", host=host_of_run(8, 2), base_port=17100
)


def test_a_log_that_nobody_reads_holds_no_request_up(tmp_path: Path) -> None:
    processes = Processes(folder=tmp_path)
    try:
        processes.start_platform(PLATFORM, [PLACE])
        processes.start_daemon(PLACE, platform=PLATFORM, reads_log=False)
        wait_for_operator_listener(PLACE)
        put_in_force(PLACE, build_configuration(upstreams_by_name={}))

        def dropped() -> int:
            # Its answer comes only if the loop of the daemon goes on turning.
            for _ in range(100):
                assert (
                    call(PLACE.caller, target="/v1/services/registry/x").status == 503
                )
            return int(state_of(PLACE)["measures"]["log_lines_dropped"])

        wait_until(lambda: dropped() > 0, what="lines are dropped", timeout_s=60.0)
    finally:
        processes.close()
