"""Every command of docs/operating.md, run against a real daemon."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import yaml
from click.testing import CliRunner

from plankspindle_client.console.application import main
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.builders import VmPlace
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_route
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import state_of
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

PAGE = Path(__file__).parents[3] / "docs" / "operating.md"
PLATFORM = Endpoint("127.0.4.1", 17000)
UPSTREAM = Endpoint("127.0.4.3", 17200)
PLACE = VmPlace(name="ke-1-a", failure_domain="ke-1", host="127.0.4.2", base_port=17100)


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    processes = Processes(folder=tmp_path)
    try:
        processes.start_platform(PLATFORM, [PLACE])
        processes.start_module(
            "upstream", "plankspindle_testkit.upstream_stand_in", f"u={UPSTREAM}=4"
        )
        processes.start_daemon(PLACE, platform=PLATFORM)
        wait_for_operator_listener(PLACE)
        upstreams = {
            "u": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1"),
            "v": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1"),
        }
        configuration = build_configuration(
            upstreams_by_name=upstreams,
            routes_by_name={"plates": build_route(path_prefix="/plates/")},
        )
        mapping = configuration_to_mapping(configuration)
        (tmp_path / "FILE").write_text(yaml.safe_dump(mapping))
        yield tmp_path
    finally:
        processes.close()


def run(folder: Path, command: str) -> str:
    words = command.replace("FILE", str(folder / "FILE")).split()
    words = [str(PLACE.operator) if word == "ADDR" else word for word in words]
    ran = CliRunner().invoke(main, ["--daemon", str(PLACE.operator), *words])
    assert ran.exit_code == 0, f"{command}: {ran.output}"
    return ran.output


def plan_of(output: str) -> str:
    found = re.search(r"plan ([0-9a-f]+) on version", output)
    assert found is not None, output
    return found[1]


def wait_for_version(version: int) -> None:
    wait_until(
        lambda: state_of(PLACE)["configuration"]["version"] == version,
        what=f"version {version}",
    )


def commands_on_page() -> set[str]:
    text = PAGE.read_text(encoding="utf-8")
    table = text[text.index("| command | does |") : text.index("Exit status:")]
    cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("|")]
    return {
        found
        for cell in cells
        for found in re.findall(r"plankspindle ((?:plan |config )?[a-z-]+)", cell)
    }


def test_every_command_of_the_page_works(folder: Path) -> None:
    done: set[str] = set()

    def step(command: str) -> str:
        found = re.match(r"(?:plan |config )?[a-z-]+", command)
        assert found is not None
        done.add(found[0])
        return run(folder, command)

    step("config validate FILE")
    first = plan_of(step("config apply FILE"))
    assert "version 1" in step(f"confirm {first}")
    wait_for_version(1)
    assert "nothing differs" in step("config diff FILE")
    assert '"version": 1' in step("config show")
    assert "registry.example/plates/" in step("routes")
    assert PLACE.name in step("status")
    assert PLACE.name in step("watch --count 1")
    assert json.loads(step("state ADDR"))["vm"] == PLACE.name
    wait_until(lambda: bool(digests()), what="a digest")
    shift = step(
        "plan shift --service registry --from bratislava --to kosice --percent 5"
    )
    step(f"confirm {plan_of(shift)}")
    wait_for_version(2)
    step("plan undo-shift registry-bratislava-kosice")
    drain = plan_of(step("plan drain --upstream u"))
    step(f"confirm {drain}")
    wait_for_version(3)
    step("plan undo-drain upstream-u")
    step("plan class desk gold")
    undone = plan_of(step("plan undo 3"))
    step(f"confirm {undone}")
    assert "accepted" in step(f"plan show {undone}")
    assert drain in step("plan list")
    assert len(step("history").splitlines()) == 4
    assert done == commands_on_page()


def digests() -> int:
    return int(state_of(PLACE)["failure_domains"]["ke-1"]["heard_vms"])
