"""Ends of the daemon: broken invariant, unexpected error, address in use."""

from __future__ import annotations

import io
import socket
from functools import partial
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
import yaml
from attrs import frozen

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.fetch import fetch
from plankspindle_core.invariants import check_invariant
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_daemon.daemon_process import EXIT_ADDRESS_NOT_USABLE
from plankspindle_daemon.daemon_process import EXIT_BROKEN_INVARIANT
from plankspindle_daemon.daemon_process import run_daemon
from plankspindle_daemon.listeners.caller_listener import CallerListener
from plankspindle_daemon.node.list_follower import ListFollower
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.settings.reading import parse_settings
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_settings_mapping
from plankspindle_testkit.loopback_network import loopback_host

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings

    Play = Callable[[str], tuple["RequestOutcome", str]]

_PORTS = count(18_600, 3)
BODY_BYTES = 400_000
"""Length of an answer that is still on its way when its sender has handed it over."""


def build_settings() -> DaemonSettings:
    place = VmAddresses(
        name="a",
        failure_domain="ba-1",
        host=loopback_host(3, 1),
        base_port=next(_PORTS),
    )
    mapping = build_settings_mapping(place, platform=Endpoint(loopback_host(3, 9), 9))
    return parse_settings(yaml.safe_dump(mapping)).unwrap()


def run_logged(run: Callable[..., Any], *arguments: object) -> tuple[Any, str]:
    """Run something, and give its result and what was logged."""
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    try:
        result = curio.run(run, *arguments)
    finally:
        stop_logging(destination)
    return result, stream.getvalue()


def run(settings: DaemonSettings) -> tuple[int, str]:
    return run_logged(run_daemon, settings)


def test_a_broken_invariant_stops_the_process_with_one_clear_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def tick(self: Node, *, now: float, wall: float) -> list[object]:
        check_invariant("made-up", False, "for a test")
        return []

    monkeypatch.setattr(Node, "tick", tick)
    status, log = run(build_settings())
    assert status == EXIT_BROKEN_INVARIANT
    lines = [line for line in log.splitlines() if "invariant_broken" in line]
    assert len(lines) == 1
    assert 'error="invariant made-up is broken: for a test"' in lines[0]


def test_an_unexpected_error_of_a_lasting_task_stops_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def follow(self: ListFollower) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(ListFollower, "run", follow)
    status, log = run(build_settings())
    assert status == EXIT_BROKEN_INVARIANT
    assert "event=crashed error=" in log
    assert "ZeroDivisionError" in log


@frozen(kw_only=True)
class RequestOutcome:
    """How a request that breaks ended beside another one.

    Parameters
    ----------
    exit_status : int
        That of the daemon; zero while it runs.
    statuses : list of int or None
        Status of the broken request and that of the other.
    runs_on : bool
        Whether the daemon still runs then.
    """

    exit_status: int
    statuses: list[int | None]
    runs_on: bool


async def ask_beside_a_running_one(
    settings: DaemonSettings, broken: str
) -> RequestOutcome:
    """Send a request that breaks while another one runs."""
    daemon = await curio.spawn(run_daemon, settings)
    while (await fetch(settings.listen.caller, timeout_s=1.0)).is_err():
        await curio.sleep(0.02)
    running = await curio.spawn(status_of, settings, "/slow")
    await curio.sleep(0.1)
    statuses = [await status_of(settings, broken), await running.join()]
    await curio.sleep(0.2)
    runs_on = not daemon.terminated
    await daemon.cancel()
    return RequestOutcome(
        exit_status=0 if runs_on else daemon.result, statuses=statuses, runs_on=runs_on
    )


async def status_of(settings: DaemonSettings, target: str) -> int | None:
    answer = await fetch(settings.listen.caller, target=target, timeout_s=2.0)
    return answer.unwrap().status if answer.is_ok() else None


async def handle_or_break(self: CallerListener, source: ServerExchange) -> None:
    await source.read_body(max_bytes=0)
    if source.target == "/unexpected":
        raise ZeroDivisionError
    if source.target == "/after-answer":
        await source.answer(status=200, body=b"w" * BODY_BYTES)
        raise ZeroDivisionError
    if source.target == "/invariant":
        check_invariant("made-up", False, "for a test")
    if source.target == "/slow":
        await curio.sleep(0.5)
    await source.answer(status=200, body=b"own")


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Play:
    monkeypatch.setattr(CallerListener, "handle", handle_or_break)
    return partial(run_logged, ask_beside_a_running_one, build_settings())


def test_an_unexpected_error_of_a_request_ends_only_that_request(play: Play) -> None:
    played, log = play("/unexpected")
    assert played.statuses == [500, 200]
    assert played.runs_on
    assert 'error="ZeroDivisionError()"' in log
    assert "handle_or_break" in log


def test_an_unexpected_error_after_an_answer_leaves_it_whole(play: Play) -> None:
    played, log = play("/after-answer")
    assert played.statuses == [200, 200]
    assert played.runs_on
    assert "event=error_contained" in log


def test_a_broken_invariant_of_a_request_stops_the_process(play: Play) -> None:
    played, log = play("/invariant")
    assert not played.runs_on
    assert played.exit_status == EXIT_BROKEN_INVARIANT
    assert "event=invariant_broken" in log


def test_an_address_in_use_is_said_and_ends_the_process() -> None:
    settings = build_settings()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as taken:
        taken.bind((settings.listen.operator.host, settings.listen.operator.port))
        taken.listen()
        status, log = run(settings)
    assert status == EXIT_ADDRESS_NOT_USABLE
    assert "event=address_not_usable" in log
