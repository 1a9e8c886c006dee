"""Tests that the curl examples of docs/callers.md work unchanged."""

from __future__ import annotations

import json
import re
import shlex
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from plankspindle_core.endpoint import Endpoint
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
    from plankspindle_core.http.fetch import HttpAnswer

PAGE = Path(__file__).parents[3] / "docs" / "callers.md"
PLATFORM = Endpoint(loopback_host(5, 1), 17000)
UPSTREAM = Endpoint(loopback_host(5, 3), 17200)
PLACE = VmAddresses(
    name="ba-1-a", failure_domain="ba-1", host=loopback_host(5, 2), base_port=17100
)
EXAMPLE_HOST = "http://10.41.1.10:8080"


@define(kw_only=True)
class Curl:
    """One curl command of the page, sent without curl."""

    method: str = "GET"
    target: str = ""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytes = b""

    @classmethod
    def parse(cls, line: str, *, key: str, request_id: str) -> Curl:
        command = cls()
        words = iter(shlex.split(line)[1:])
        for word in words:
            match word:
                case "-X":
                    command.method = next(words)
                case "-H":
                    name, _, value = next(words).partition(": ")
                    value = value.replace("KEY", key).replace("ID", request_id)
                    command.headers.append((name.lower().encode(), value.encode()))
                case "--data":
                    assert next(words) == "@transfer.json"
                    command.body = b"{}"
                case url:
                    assert url.startswith(EXAMPLE_HOST)
                    command.target = url.removeprefix(EXAMPLE_HOST)
        return command

    def send(self) -> HttpAnswer:
        return call(
            PLACE.caller, self.method, self.target, headers=self.headers, body=self.body
        )


def start(processes: Processes) -> None:
    processes.start_platform(PLATFORM, [])
    processes.start_module(
        "upstream", "plankspindle_testkit.upstream_stand_in", f"u={UPSTREAM}=4"
    )
    processes.start_daemon(PLACE, platform=PLATFORM)
    wait_for_operator_listener(PLACE)
    upstreams = {"u": build_upstream(endpoint=UPSTREAM, slots=4)}
    apply_configuration(PLACE, build_configuration(upstreams_by_name=upstreams))
    wait_until(lambda: share() == 4, what="a share of every slot")


def share() -> int:
    service = read_state(PLACE)["services"].get("registry", {"upstreams": {}})
    return int(service["upstreams"].get("u", {"share": 0})["share"])


def test_every_example_of_page_succeeds(tmp_path: Path) -> None:
    text = PAGE.read_text(encoding="utf-8").replace("\\\n", " ")
    lines = re.findall(r"^    (curl .*)$", text, flags=re.MULTILINE)
    assert len(lines) == 4
    processes = Processes(folder=tmp_path)
    try:
        start(processes)
        request_id = ""
        for line in lines:
            answer = Curl.parse(line, key=GOLD_KEY, request_id=request_id).send()
            assert answer.status in (200, 201), line
            if answer.status == 201:
                request_id = json.loads(answer.body)["request_ids"][0]
    finally:
        processes.close()
