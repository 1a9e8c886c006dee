"""Input of the platform, upstreams and operators gives a value or an error value."""

from __future__ import annotations

import json
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from plankspindle_core.configuration.codec import configuration_from_mapping
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_daemon.configuration.head_row import head_row_from_mapping
from plankspindle_daemon.control.intents import intent_from_mapping
from plankspindle_daemon.control.plan import plan_from_mapping
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.idempotency.recorded_answer import answer_from_mapping
from plankspindle_daemon.platform.live_list import parse_live_list
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import Transaction
from plankspindle_daemon.upstreams.load_report import parse_load_report
from plankspindle_testkit.loopback_network import loopback_host

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

_PORTS = count(18_300)
KEYS = st.sampled_from(
    [
        "vms", "name", "kind", "failure_domain", "leaving", "leaves_at", "caller",
        "peer", "in_flight", "slots", "version", "digest", "plan", "operator", "id",
        "effects", "state", "expires_at", "base_version", "base_row_version", "nonce",
        "answer", "status", "headers", "body", "rows", "value", "key", "failed",
        "shift", "shift_id", "drain", "services", "upstreams",
    ]
)  # fmt: skip
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["entry", "upstream", "open", "claimed", "finished", "shift"])
)
ANY_JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=8)
    ),
    max_leaves=12,
)
PARSERS: list[Callable[[Any], Any]] = [
    parse_live_list,
    lambda value: parse_load_report(json.dumps(value).encode()),
    head_row_from_mapping,
    plan_from_mapping,
    claim_row_from_mapping,
    answer_from_mapping,
    intent_from_mapping,
    configuration_from_mapping,
]


@settings(max_examples=400)
@given(value=ANY_JSON)
def test_any_json_document_is_parsed_or_rejected_without_an_exception(
    value: Any,
) -> None:
    for parse in PARSERS:
        parsed = parse(value)
        assert parsed.is_ok() or parsed.is_err()


@pytest.mark.parametrize(
    "report",
    [b"", b"[]", b"\xff", b'{"in_flight": Infinity}', b'{"leaves_at": NaN}'],
)
def test_malformed_load_report_is_rejected(report: bytes) -> None:
    assert parse_load_report(report).is_err()


@pytest.mark.parametrize("name", ["in_flight", "slots"])
def test_load_report_with_a_400_digit_number_is_rejected_or_clamped(name: str) -> None:
    report = parse_load_report(json.dumps({name: 10**400}).encode())
    assert report.is_err() or 0.0 <= report.unwrap().utilisation <= 1.0


def test_list_with_an_invalid_time_is_rejected() -> None:
    vm = {"name": "a", "kind": "entry", "failure_domain": "d", "leaves_at": "soon"}
    assert parse_live_list({"vms": [vm]}).is_err()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b"{}",
        b'{"rows": [5]}',
        b'{"rows": {"k": 5}}',
        b"\xff",
        b"7",
    ],
)
def test_malformed_platform_answers_are_errors(body: bytes) -> None:
    endpoint = Endpoint(loopback_host(6, 2), next(_PORTS))

    async def answer(source: ServerExchange) -> None:
        await source.read_body(max_bytes=10_000)
        status = 409 if source.target == "/table/commit" else 200
        await source.answer(status=status, body=body)

    async def run() -> list[Any]:
        server = HttpServer(endpoint=endpoint, limits=HttpLimits(), handler=answer)
        await server.start()
        client = PlatformClient(endpoint=endpoint, timeout_s=2.0)
        answers = [
            await client.read_row("k"),
            await client.read_rows(["k"]),
            await client.read_range(prefix="p", after="", limit=1),
            await client.commit(Transaction()),
            await client.read_live_list(),
        ]
        await server.close()
        return answers

    assert all(each.is_err() for each in curio.run(run))


def test_claim_with_an_out_of_range_number_is_rejected() -> None:
    claim = {
        "caller": "a",
        "digest": "d",
        "nonce": "n",
        "state": "claimed",
        "expires_at": 10**400,
        "answer": None,
    }
    assert claim_row_from_mapping({**claim, "expires_at": 5.0}).is_ok()
    assert claim_row_from_mapping(claim).is_err()
