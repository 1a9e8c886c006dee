"""The operator's orders of roll-outs are part of the configuration, or logged."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from builders import BOOT
from builders import build_boot
from builders import build_operator_document
from builders import build_row
from builders import build_rows
from hypothesis import given
from result import Err
from result import Ok
from rollout_builders import build_boot_with_rollouts
from rollout_builders import build_order
from store_stand_in import SERVER_DOCUMENT
from test_operator_reader import REVISION
from test_operator_reader import FakeStore
from test_values_from_store import JSON
from test_values_from_store import with_one_change

from plankspindle_core.configuration.rollout import Rollout
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_daemon.settings.daemon_settings import RolloutSettings
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_platform.operator_reader import OperatorReader
from plankspindle_platform.rollout_orders import RolloutOrders
from plankspindle_platform.rollout_orders import parse_order
from plankspindle_platform.row_store import HistoryExpired
from plankspindle_platform.row_store import RowStore
from plankspindle_platform.row_translator import parse_server_row
from plankspindle_platform.stored_rows import StoredRow
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


KEY = "rollout/desk"
SERVICES = frozenset({"desk", "vault"})
CONFIG = build_row("config", 5, build_operator_document())
HISTORY_EXPIRED = Err(HistoryExpired())


@pytest.fixture
def log() -> Iterator[io.StringIO]:
    """Return a stream of the lines that are logged from now on."""
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    # Lines that were logged before there was a destination were kept for it.
    stream.truncate(0)
    stream.seek(0)
    yield stream
    stop_logging(destination)


class OrderReader:
    """Reads prepared answers of the store with roll-outs enabled."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, directory: Path, *answers: Any
    ) -> None:
        self._reader = OperatorReader(
            store=cast("RowStore", FakeStore(*answers)),
            boot=build_boot_with_rollouts(monkeypatch, directory),
        )
        self._known = NO_VERSION

    def read(self) -> dict[str, Rollout]:
        """Adopt the next version, and return its orders."""
        found = run_to_completion(self._reader.read_newer(self._known)).unwrap()
        assert found is not None
        assert found.version.revision == REVISION
        self._known = found.version
        assert found.configuration.problems() == []
        return found.configuration.rollouts_by_service


def order_of(number: int, target: str = "v2") -> dict[str, Rollout]:
    return {"desk": Rollout(target_version=target, duration_ms=12_000, number=number)}


def test_order_is_changed_repeated_and_withdrawn(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    reader = OrderReader(
        monkeypatch,
        tmp_path,
        Ok(build_rows(CONFIG, version=5)),
        Ok(build_rows(build_row(KEY, 9, build_order()), version=9)),
        Ok(
            build_rows(build_row(KEY, 12, build_order(target_version="v3")), version=12)
        ),
        Ok(
            build_rows(build_row(KEY, 13, build_order(target_version="v3")), version=13)
        ),
        Ok(build_rows(build_row(KEY, 14, None), version=14)),
    )
    assert reader.read() == {}
    assert reader.read() == order_of(9)
    assert reader.read() == order_of(12, "v3")
    assert reader.read() == order_of(13, "v3")
    assert reader.read() == {}


def test_two_services_have_orders_at_once(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    other = build_row("rollout/vault", 7, build_order(service="vault", duration="0s"))
    rows = [CONFIG, build_row(KEY, 6, build_order()), other]
    reader = OrderReader(monkeypatch, tmp_path, Ok(build_rows(*rows, version=7)))
    assert reader.read() == {
        **order_of(6),
        "vault": Rollout(target_version="v2", duration_ms=0, number=7),
    }


# The copy lacks the order; the operator writes it again under another number.
def test_order_lost_on_a_return_is_absent_until_it_is_written_again(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    order = build_order()
    reader = OrderReader(
        monkeypatch,
        tmp_path,
        Ok(build_rows(CONFIG, build_row(KEY, 9, order), version=9, era=1)),
        Ok(build_rows(CONFIG, version=6, era=2)),
        Ok(build_rows(CONFIG, version=6, era=2)),
        Ok(build_rows(build_row(KEY, 7, order), version=7, era=2)),
    )
    assert reader.read() == order_of(9)
    assert reader.read() == {}
    assert reader.read() == order_of(7)


def test_all_readers_build_the_same_orders(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    rows = [
        CONFIG,
        build_row("rollout/vault", 8, build_order(service="vault")),
        build_row(KEY, 9, build_order()),
    ]
    at_once = OrderReader(monkeypatch, tmp_path, Ok(build_rows(*rows, version=9)))
    by_feed = OrderReader(
        monkeypatch,
        tmp_path,
        Ok(build_rows(CONFIG, build_row(KEY, 7, {}), version=7)),
        Ok(build_rows(*reversed(rows[1:]), version=9)),
    )
    by_feed.read()
    assert list(by_feed.read().items()) == list(at_once.read().items())


UNREADABLE = [
    "not an object",
    [],
    {},
    build_order(service="vault"),
    build_order(service=None),
    build_order(target_version=""),
    build_order(target_version=2),
    build_order(target_version="v" * 201),
    build_order(target_version="\ud800"),
    build_order(duration="-1s"),
    build_order(duration="86401s"),
    build_order(duration="1e306s"),
    build_order(duration="nans"),
    build_order(duration="12"),
    build_order(duration=12),
    build_order(duration=None),
]


@pytest.mark.parametrize("content", UNREADABLE)
def test_unreadable_row_is_no_order_and_keeps_nothing_from_being_adopted(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, log: io.StringIO, content: Any
) -> None:
    rows = [build_row(KEY, 9, content), CONFIG]
    reader = OrderReader(
        monkeypatch,
        tmp_path,
        Ok(build_rows(*rows, version=9)),
        Ok(build_rows(build_row("evacuate/zone-b", 12, {}), version=12)),
        HISTORY_EXPIRED,
        Ok(build_rows(*rows, build_row("other", 13, {}), version=13)),
        Ok(build_rows(build_row(KEY, 14, build_order()), version=14)),
        Ok(build_rows(build_row(KEY, 15, content), version=15)),
    )
    assert [reader.read() for _ in range(3)] == [{}, {}, {}]
    assert log.getvalue().count("event=rollout_unreadable") == 1
    assert reader.read() == order_of(14)
    assert reader.read() == {}
    assert log.getvalue().count("event=rollout_unreadable") == 2


def test_row_that_is_not_json_is_no_order() -> None:
    orders = RolloutOrders()
    orders.apply(StoredRow(key=KEY, version=9, value=b"\xff{"))
    assert orders.by_service(SERVICES) == {}


def test_order_for_unknown_service_holds_once_the_service_is_declared(
    log: io.StringIO,
) -> None:
    orders = RolloutOrders()
    orders.apply(build_row(KEY, 9, build_order()))
    assert orders.by_service(frozenset({"vault"})) == {}
    assert "not declared" in log.getvalue()
    assert orders.by_service(SERVICES) == order_of(9)


@given(content=with_one_change(build_order()) | JSON)
def test_any_row_is_an_order_within_bounds_or_none(content: Any) -> None:
    found = parse_order("desk", build_row(KEY, 9, content), SERVICES)
    if found.is_ok():
        order = found.unwrap()
        assert 0 <= order.duration_ms <= 86_400_000
        assert order.target_version.encode()
        assert order.number == 9


def test_orders_are_not_read_unless_enabled(monkeypatch: pytest.MonkeyPatch) -> None:
    boot = build_boot(monkeypatch)
    assert boot.daemon.rollouts == RolloutSettings()
    rows = build_rows(CONFIG, build_row(KEY, 9, build_order()), version=9)
    reader = OperatorReader(store=cast("RowStore", FakeStore(Ok(rows))), boot=boot)
    found = run_to_completion(reader.read_newer(NO_VERSION)).unwrap()
    assert found is not None
    assert found.configuration.rollouts_by_service == {}


def test_bounds_of_rollouts_are_translated(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    boot = build_boot_with_rollouts(monkeypatch, tmp_path, exposure_share=0.2)
    assert boot.daemon.rollouts == RolloutSettings(
        enabled=True, exposure_share=0.2, exposure_slack=50.0, rollback_ms=5_000
    )


def test_contract_without_bounds_has_the_usual_ones(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(
        BOOT.read_text().replace("terms:", "terms:\n  contracts: [rollout]")
    )
    boot = build_boot(monkeypatch, path)
    assert boot.daemon.rollouts == RolloutSettings(enabled=True)


@pytest.mark.parametrize(
    "bounds", [{"exposure_share": 0}, {"rollback": 5}, {"exposure_slack": "many"}]
)
def test_invalid_bound_of_rollouts_is_an_error(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, bounds: dict[str, Any]
) -> None:
    with pytest.raises(ValueError, match="missing or invalid"):
        build_boot_with_rollouts(monkeypatch, tmp_path, **bounds)


@pytest.mark.parametrize(
    ("info", "software_version"),
    [({}, "v1"), ({"config_version": None}, ""), ({"config_version": "\ud800"}, "")],
)
def test_software_version_of_upstream_is_text_or_empty(
    info: dict[str, Any], software_version: str
) -> None:
    row = build_row("i-1", 5, with_info(info))
    upstream = parse_server_row(row).unwrap().upstream
    assert upstream is not None
    assert upstream.software_version == software_version


def test_upstream_without_software_version_is_readable() -> None:
    document = with_info({})
    del document["info"]["config_version"]
    upstream = parse_server_row(build_row("i-1", 5, document)).unwrap().upstream
    assert upstream is not None
    assert upstream.software_version == ""


def with_info(info: dict[str, Any]) -> dict[str, Any]:
    return {**SERVER_DOCUMENT, "info": {**SERVER_DOCUMENT["info"], **info}}
