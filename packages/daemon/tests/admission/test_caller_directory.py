"""Tests of the recognition of callers."""

from __future__ import annotations

from plankspindle_daemon.admission.caller_directory import CallerDirectory
from plankspindle_daemon.admission.caller_directory import Identity
from plankspindle_testkit.builders import GOLD_KEY
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service


def directory(**fields: object) -> CallerDirectory:
    service = build_service(**fields)
    configuration = build_configuration(services_by_name={"registry": service})
    return CallerDirectory(configuration=configuration)


def test_a_known_key_gets_its_class() -> None:
    found = directory().identify(
        service="registry", authorization=b"Bearer " + GOLD_KEY.encode()
    )
    assert found.unwrap() == Identity(caller="dealer", rank=0)


def test_an_unknown_key_is_refused_even_with_a_default_class() -> None:
    found = directory().identify(service="registry", authorization=b"Bearer nobody")
    assert "not known" in found.unwrap_err().reason


def test_without_a_key_the_default_class_holds() -> None:
    found = directory().identify(service="registry", authorization=None)
    assert found.unwrap() == Identity(caller=None, rank=2)


def test_without_a_key_and_default_class_a_caller_is_refused() -> None:
    found = directory(default_class=None).identify(
        service="registry", authorization=None
    )
    assert "send an API key" in found.unwrap_err().reason
