"""A daemon process sends probe attempts of a quarantined request.

The quarantine is checked before an upstream is found and again after that. If the first
check records the probe attempt, the second one blocks it, and the request stays blocked
for ever, although the state machine passes its own tests.
"""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import pytest

from plankspindle_core import header_names
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.quarantine.crash_records import QUARANTINE_AFTER_CRASHES
from plankspindle_testkit.builders import GOLD_KEY
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PLATFORM = Endpoint(loopback_host(9, 1), 17000)
PLACE = VmAddresses(
    name="ba-1-a", failure_domain="ba-1", host=loopback_host(9, 11), base_port=17100
)
UPSTREAM = build_upstream(endpoint=Endpoint(loopback_host(9, 21), 17200), slots=4)
GOLD = (header_names.AUTHORIZATION, b"Bearer " + GOLD_KEY.encode())
TARGET = "/v1/services/registry/plates/crash"
INCARNATION_S = 1.0
SHORT_TIMES = f"""
from plankspindle_daemon.quarantine import crash_detector, quarantine_list
crash_detector.UNNUMBERED_INCARNATION_S = {INCARNATION_S}
quarantine_list.FIRST_PROBE_DELAY_S = 3.0
"""


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    started = Processes(folder=tmp_path)
    try:
        started.start_platform(PLATFORM, [PLACE])
        start_upstream(started)
        started.start_daemon(PLACE, platform=PLATFORM, prelude=SHORT_TIMES)
        wait_for_operator_listener(PLACE)
        apply_configuration(
            PLACE, build_configuration(upstreams_by_name={"u": UPSTREAM})
        )
        wait_until(lambda: send_request() == 200, what="a request is served")
        yield started
    finally:
        started.close()


def start_upstream(started: Processes) -> None:
    text = f"u={UPSTREAM.endpoint}={UPSTREAM.slots}"
    name = f"u{len(started.process_by_name)}"
    started.start_module(name, "plankspindle_testkit.upstream_stand_in", text)
    wait_until(lambda: call(UPSTREAM.endpoint, target="/load").status == 200, what=name)


def send_request() -> int:
    return call(PLACE.caller, target=TARGET, headers=[GOLD]).status


def is_quarantined() -> bool:
    return bool(read_state(PLACE)["quarantine"]["requests"])


def test_completed_probe_attempt_lifts_quarantine(processes: Processes) -> None:
    for _ in range(QUARANTINE_AFTER_CRASHES):
        crash = json.dumps({"crash_path": "/plates/crash"}).encode()
        call(UPSTREAM.endpoint, "POST", "/control", body=crash)
        assert send_request() in (502, 503)
        time.sleep(INCARNATION_S)
        start_upstream(processes)
    wait_until(is_quarantined, what="the request is quarantined")
    assert send_request() == 503
    wait_until(lambda: send_request() == 200, what="a probe attempt is completed")
    assert not is_quarantined()
