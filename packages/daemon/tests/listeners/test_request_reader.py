"""Tests of who may send what: keys, public routes and homes."""

from __future__ import annotations

import time
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest

from plankspindle_core import header_names
from plankspindle_daemon.admission.identity_signer import IdentitySigner
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.listeners.request_resolver import RequestResolver
from plankspindle_daemon.listeners.request_resolver import ResolvedRequest
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_route
from plankspindle_testkit.builders import build_workspace
from plankspindle_testkit.trial.trial_vm import TrialVm

if TYPE_CHECKING:
    from result import Result

    from plankspindle_daemon.exchange.caller_request import BadRequest

PLACE = VmAddresses(name="a", failure_domain="ba-1", host="127.0.0.1", base_port=7000)
KEY, HOME_KEY, NO_KEY = "k-any", "k-home", "k-gone"
SEALER = IdentitySigner(keys=[b"k" * 16])


def build_reader(*, adopted: bool = True, **fields: Any) -> RequestResolver:
    node = TrialVm.start(PLACE, seeds=[], random=Random(1), now=0.0).node
    routes = {
        "r": build_route(host="desk.example", path_prefix="/r/"),
        "open": build_route(host="desk.example", path_prefix="/open/", public=True),
        "home": build_route(
            host="desk.example", path_prefix="/home/", home_regions=["bratislava"]
        ),
    }
    workspaces = {
        "any": build_workspace(KEY, priority_class="gold"),
        "kosice": build_workspace(HOME_KEY, home_regions=["kosice"]),
    }
    if adopted:
        configuration = build_configuration(
            routes_by_name=routes, workspaces_by_name=workspaces
        )
        node.adopt(configuration, version=1, now=0.0)
    return RequestResolver(
        node=node, dialect=Dialect(key_scheme="Token"), signer=SEALER, **fields
    )


def read(
    reader: RequestResolver,
    target: str,
    key: str | None,
    *more: tuple[bytes, bytes],
) -> Result[ResolvedRequest, BadRequest]:
    headers = [(b"host", b"desk.example"), *more]
    if key is not None:
        headers.append((header_names.AUTHORIZATION, f"Token {key}".encode()))
    source = SimpleNamespace(method="GET", target=target, headers=headers)
    return reader.resolve(cast("Any", source))


def test_a_known_key_tells_workspace_and_class() -> None:
    asked = read(build_reader(), "/r/1", KEY).unwrap()
    assert (asked.identity.workspace, asked.identity.rank) == ("any", 0)
    assert asked.allowed_regions == frozenset()


@pytest.mark.parametrize("key", [None, NO_KEY])
def test_a_route_needs_a_key_unless_it_is_public(key: str | None) -> None:
    reader = build_reader()
    refused = read(reader, "/r/1", key).unwrap_err()
    assert refused.status == 401
    assert NO_KEY not in refused.reason
    assert read(reader, "/open/1", key).unwrap().identity.workspace is None


def test_a_good_key_counts_on_a_public_route_too() -> None:
    asked = read(build_reader(), "/open/1", KEY).unwrap()
    assert asked.identity.workspace == "any"


def test_a_path_without_a_route_is_unknown_whatever_the_key() -> None:
    assert read(build_reader(), "/x/1", None).unwrap_err().status == 404


def test_homes_of_workspace_and_route_both_bind() -> None:
    reader = build_reader()
    assert read(reader, "/r/1", HOME_KEY).unwrap().allowed_regions == {"kosice"}
    assert read(reader, "/home/1", KEY).unwrap().allowed_regions == {"bratislava"}
    assert read(reader, "/home/1", HOME_KEY).unwrap_err().status == 503


def test_without_a_configuration_nobody_is_called_unknown() -> None:
    refused = read(build_reader(adopted=False), "/r/1", KEY).unwrap_err()
    assert refused.status == 503


def test_stale_keys_are_neither_believed_nor_called_unknown() -> None:
    reader = build_reader(max_key_age_s=5.0)
    assert read(reader, "/r/1", KEY).unwrap_err().status == 503
    assert read(reader, "/r/1", NO_KEY).unwrap_err().status == 401
    assert read(reader, "/open/1", KEY).unwrap().identity.workspace is None


def test_a_moved_request_is_known_by_what_the_other_vm_sealed() -> None:
    target = "/v1/services/registry/plates"
    sealed = SEALER.sign("any", target=target, wall_ms=wall_ms())
    headers = (
        (header_names.IDENTITY, sealed),
        (header_names.FORWARDED, b"1"),
    )
    reader = build_reader()
    asked = read(reader, target, None, *headers).unwrap()
    assert asked.identity.workspace == "any"
    asked = read(reader, target, None, headers[0]).unwrap()
    assert asked.identity.workspace is None


def wall_ms() -> int:
    return int(time.time() * 1000)
