"""Tests of versions read from the operator's table."""

from __future__ import annotations

from typing import Any
from typing import cast

import pytest
from builders import build_boot
from builders import build_operator_document
from builders import build_path
from builders import build_row
from builders import build_rows
from result import Err
from result import Ok

from plankspindle_core.configuration.caller import hash_api_key
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_core.configuration.workspace import Workspace
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_platform.operator_reader import OperatorReader
from plankspindle_platform.operator_reader import translate_document
from plankspindle_platform.row_store import HistoryExpired
from plankspindle_platform.row_store import RowStore
from plankspindle_testkit.trial.fake_platform import run_to_completion


class FakeStore:
    """Answers that were laid ready, in order."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.asked: list[str] = []

    async def get_rows(self, table: str) -> Any:
        self.asked.append("all")
        return self.answers.pop(0)

    async def feed(self, table: str, *, after: int, wait_s: float) -> Any:
        self.asked.append(f"after {after}")
        return self.answers.pop(0)


def build_reader(monkeypatch: pytest.MonkeyPatch, *answers: Any) -> OperatorReader:
    boot = build_boot(monkeypatch)
    return OperatorReader(store=cast("RowStore", FakeStore(*answers)), boot=boot)


def read(reader: OperatorReader, version: int) -> Any:
    return run_to_completion(reader.read_newer(version))


def test_a_document_becomes_a_valid_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    document = build_operator_document()
    configuration = translate_document(document, zones=[], boot=build_boot(monkeypatch))
    assert configuration.problems() == []
    route = configuration.routes_by_name["r1"]
    assert (route.host, route.timeout_ms, route.target_ms) == (
        "desk.example",
        1500,
        400,
    )
    assert route.idempotent
    assert route.affinity
    service = configuration.services_by_name["desk"]
    assert service.slot_sharing is SlotSharing.REPORTED
    assert (service.cold_requests_per_s, service.cold_ms) == (14.0, 3000)


def test_the_lowest_priority_number_is_the_first_class(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    paths = [
        build_path(),
        build_path(name="r2", path_prefix="/b/", priority=0, type="non_idempotent"),
    ]
    hosts = [{"host": "h", "paths": paths}]
    configuration = translate_document(
        build_operator_document(hosts=hosts), zones=[], boot=build_boot(monkeypatch)
    )
    assert configuration.priority_classes == ["priority-0", "priority-2"]
    assert not configuration.routes_by_name["r2"].idempotent


def test_a_split_becomes_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    split = [{"service": "desk", "weight": 90}, {"service": "vault", "weight": 10}]
    path = build_path(traffic_split=split)
    hosts = [{"host": "h", "paths": [path]}]
    configuration = translate_document(
        build_operator_document(hosts=hosts), zones=[], boot=build_boot(monkeypatch)
    )
    parts = configuration.routes_by_name["r1"].parts
    assert [(part.service, part.weight) for part in parts] == [
        ("desk", 90),
        ("vault", 10),
    ]


def test_changes_and_evacuations_are_one_ordered_history(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    document = build_operator_document()
    reader = build_reader(
        monkeypatch,
        Ok(build_rows(build_row("config", 5, document), version=9)),
        Ok(build_rows(build_row("evacuate/zone-b", 12, {}), version=12)),
        Ok(build_rows(version=15)),
        Ok(build_rows(build_row("evacuate/zone-b", 20, None), version=20)),
    )
    first = read(reader, 0).unwrap()
    assert (first.head.version, first.head.plan) == (9, "00000007")
    second = read(reader, 9).unwrap()
    assert second.head.version == 12
    drain = second.configuration.drains_by_id["evacuate-zone-b"]
    assert (drain.kind, drain.name) == (DrainKind.UPSTREAMS_OF_DOMAIN, "zone-b")
    assert read(reader, 12).unwrap() is None
    third = read(reader, 12).unwrap()
    assert third.head.version == 20
    assert not third.configuration.drains_by_id


def test_a_history_that_is_gone_is_read_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    document = build_operator_document()
    reader = build_reader(
        monkeypatch,
        Ok(build_rows(build_row("config", 5, document), version=5)),
        Err(HistoryExpired()),
        Ok(build_rows(build_row("config", 30, document), version=31)),
    )
    assert read(reader, 0).unwrap().head.version == 5
    assert read(reader, 5).unwrap().head.version == 31


def test_a_version_that_members_passed_on_is_not_taken_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    document = build_operator_document()
    reader = build_reader(
        monkeypatch, Ok(build_rows(build_row("config", 5, document), version=5))
    )
    assert read(reader, 7).unwrap() is None


@pytest.mark.parametrize(
    "document",
    [
        {"config_version": "1"},
        build_operator_document(hosts=[{"host": "h", "paths": [{"name": "r"}]}]),
        build_operator_document(services=[]),
        "text",
    ],
)
def test_an_unusable_document_leaves_the_version_in_force(
    monkeypatch: pytest.MonkeyPatch, document: Any
) -> None:
    reader = build_reader(
        monkeypatch, Ok(build_rows(build_row("config", 5, document), version=5))
    )
    assert read(reader, 0).is_err()


def test_a_store_that_does_not_answer_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    reader = build_reader(monkeypatch, Err(PlatformUnavailable("down")))
    assert read(reader, 0).unwrap_err().detail == "down"


KEY = "ymh2rrytapjsujqurtyi"


def test_tenants_become_workspaces_without_their_keys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    boot = build_boot(monkeypatch)
    region = min(boot.region_by_zone.values())
    tenants = [
        {
            "name": "huka270",
            "api_keys": [KEY, "ikdrbn4ryrbbkf83fgfw"],
            "priority": 0,
            "rate_per_s": 206,
            "burst": 103,
            "home_regions": [region],
        },
        {"name": "jelo10", "api_keys": []},
    ]
    document = build_operator_document(tenants=tenants)
    configuration = translate_document(document, zones=[], boot=boot)
    assert configuration.problems() == []
    assert configuration.priority_classes == ["priority-0", "priority-2"]
    first = configuration.workspaces_by_name["huka270"]
    assert hash_api_key(KEY.encode()) in first.key_sha256s
    assert (first.rate_per_s, first.burst) == (206.0, 103.0)
    assert (first.priority_class, first.home_regions) == ("priority-0", [region])
    assert configuration.workspaces_by_name["jelo10"] == Workspace()
    assert KEY.encode() not in encode_configuration(configuration)


def test_a_key_that_two_tenants_name_is_the_later_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tenants = [{"name": name, "api_keys": [KEY]} for name in ("one", "two")]
    document = build_operator_document(tenants=tenants)
    configuration = translate_document(document, zones=[], boot=build_boot(monkeypatch))
    assert configuration.problems() == []
    assert configuration.workspaces_by_name["one"].key_sha256s == []
    assert len(configuration.workspaces_by_name["two"].key_sha256s) == 1


def test_only_a_route_that_says_so_is_public(monkeypatch: pytest.MonkeyPatch) -> None:
    paths = [build_path(), build_path(name="r2", path_prefix="/b/", public=True)]
    document = build_operator_document(hosts=[{"host": "h", "paths": paths}])
    configuration = translate_document(document, zones=[], boot=build_boot(monkeypatch))
    assert not configuration.routes_by_name["r1"].public
    assert configuration.routes_by_name["r2"].public
