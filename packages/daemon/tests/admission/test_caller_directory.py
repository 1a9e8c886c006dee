"""Tests of identifying callers and workspaces by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.configuration.caller import hash_api_key
from plankspindle_core.header_names import AUTHORIZATION
from plankspindle_daemon.admission.api_key import NotAuthenticated
from plankspindle_daemon.admission.api_key import read_key_digest
from plankspindle_daemon.admission.caller_directory import CallerDirectory
from plankspindle_daemon.admission.caller_directory import Identity
from plankspindle_testkit.builders import GOLD_KEY
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_workspace

if TYPE_CHECKING:
    from result import Result

    from plankspindle_core.configuration.workspace import Workspace


def directory(**fields: object) -> CallerDirectory:
    service = build_service(**fields)
    configuration = build_configuration(services_by_name={"registry": service})
    return CallerDirectory(configuration=configuration)


def identify(
    directory: CallerDirectory, authorization: bytes | None
) -> Result[Identity, NotAuthenticated]:
    headers = [] if authorization is None else [(AUTHORIZATION, authorization)]
    return read_key_digest(headers, scheme="Bearer").and_then(
        lambda digest: directory.identify(service="registry", key_digest=digest)
    )


def workspaces(**by_name: Workspace) -> CallerDirectory:
    return CallerDirectory(
        configuration=build_configuration(workspaces_by_name=by_name)
    )


def test_known_key_gets_the_class_of_its_caller() -> None:
    found = identify(directory(), b"Bearer " + GOLD_KEY.encode())
    assert found.unwrap() == Identity(caller="dealer", rank=0)


def test_unknown_key_is_refused_despite_default_class() -> None:
    found = identify(directory(), b"Bearer nobody")
    assert "not known" in found.unwrap_err().reason


def test_request_without_key_gets_default_class() -> None:
    found = identify(directory(), None)
    assert found.unwrap() == Identity(caller=None, rank=2)


def test_request_without_key_is_refused_without_default_class() -> None:
    found = identify(directory(default_class=None), None)
    assert "send an API key" in found.unwrap_err().reason


def test_class_of_workspace_takes_precedence_over_route() -> None:
    directory = workspaces(
        depot=build_workspace("k1", priority_class="gold"),
        yard=build_workspace("k2"),
    )
    first = directory.identify_workspace(digest_of("k1"), route_class="bronze")
    second = directory.identify_workspace(digest_of("k2"), route_class="bronze")
    assert (first.unwrap().workspace, first.unwrap().rank) == ("depot", 0)
    assert (second.unwrap().workspace, second.unwrap().rank) == ("yard", 2)


def test_only_keys_of_a_workspace_identify_it() -> None:
    directory = workspaces(depot=build_workspace("k1", "k2"))
    for key in ("k1", "k2"):
        found = directory.identify_workspace(digest_of(key), route_class="gold")
        assert found.unwrap().workspace == "depot"
    assert directory.identify_workspace(digest_of("k3"), route_class="gold").is_err()


def test_revoked_or_moved_key_is_no_longer_valid() -> None:
    before = workspaces(depot=build_workspace("k1", "k2"), yard=build_workspace())
    identity = before.identify_workspace(digest_of("k1"), route_class="gold").unwrap()
    revoked = workspaces(depot=build_workspace("k2"), yard=build_workspace())
    moved = workspaces(depot=build_workspace("k2"), yard=build_workspace("k1"))
    assert before.is_key_valid(identity)
    assert not revoked.is_key_valid(identity)
    assert not moved.is_key_valid(identity)


def test_repr_of_identity_hides_key_digest() -> None:
    directory = workspaces(depot=build_workspace("k1"))
    found = directory.identify_workspace(digest_of("k1"), route_class="gold")
    assert digest_of("k1") not in repr(found.unwrap())


def test_identity_by_name_equals_identity_by_key() -> None:
    directory = workspaces(depot=build_workspace("k1", priority_class="silver"))
    found = directory.identify_by_name("depot", service="registry")
    assert found is not None
    assert (found.workspace, found.rank) == ("depot", 1)
    assert directory.identify_by_name("dealer", service="registry") == Identity(
        caller="dealer", rank=0
    )
    assert directory.identify_by_name("nobody", service="registry") is None


def digest_of(key: str) -> str:
    return hash_api_key(key.encode())
