"""Tests of fatal errors: violated invariant, unexpected error, address in use."""

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

    SendFailing = Callable[[str], tuple["RequestOutcome", str]]

_PORTS = count(18_600, 3)
BODY_BYTES = 400_000
"""Long enough that the answer is still being sent when the handler returns."""


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
    """Run a coroutine, and return its result and the log."""
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    try:
        result = curio.run(run, *arguments)
    finally:
        stop_logging(destination)
    return result, stream.getvalue()


def run(settings: DaemonSettings) -> tuple[int, str]:
    return run_logged(run_daemon, settings)


def test_violated_invariant_in_tick_stops_process_with_one_log_line(
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


def test_unexpected_error_in_permanent_task_stops_process(
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
    """Outcome of a failing request that ran beside another one.

    Parameters
    ----------
    exit_status : int
        Exit status of the daemon; zero while it runs.
    statuses : list of int or None
        HTTP status of the failing request and of the other one.
    still_runs : bool
        Whether the daemon still runs afterwards.
    """

    exit_status: int
    statuses: list[int | None]
    still_runs: bool


async def send_beside_running_request(
    settings: DaemonSettings, failing: str
) -> RequestOutcome:
    """Send a failing request while another one runs."""
    daemon = await curio.spawn(run_daemon, settings)
    while (await fetch(settings.listen.caller, timeout_s=1.0)).is_err():
        await curio.sleep(0.02)
    running = await curio.spawn(status_of, settings, "/slow")
    await curio.sleep(0.1)
    statuses = [await status_of(settings, failing), await running.join()]
    await curio.sleep(0.2)
    still_runs = not daemon.terminated
    await daemon.cancel()
    return RequestOutcome(
        exit_status=0 if still_runs else daemon.result,
        statuses=statuses,
        still_runs=still_runs,
    )


async def status_of(settings: DaemonSettings, target: str) -> int | None:
    answer = await fetch(settings.listen.caller, target=target, timeout_s=2.0)
    return answer.unwrap().status if answer.is_ok() else None


async def handle_or_fail(self: CallerListener, source: ServerExchange) -> None:
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
def send_failing(monkeypatch: pytest.MonkeyPatch) -> SendFailing:
    monkeypatch.setattr(CallerListener, "handle", handle_or_fail)
    return partial(run_logged, send_beside_running_request, build_settings())


def test_unexpected_error_in_request_fails_only_that_request(
    send_failing: SendFailing,
) -> None:
    outcome, log = send_failing("/unexpected")
    assert outcome.statuses == [500, 200]
    assert outcome.still_runs
    assert 'error="ZeroDivisionError()"' in log
    assert "handle_or_fail" in log


def test_unexpected_error_after_answer_does_not_truncate_it(
    send_failing: SendFailing,
) -> None:
    outcome, log = send_failing("/after-answer")
    assert outcome.statuses == [200, 200]
    assert outcome.still_runs
    assert "event=error_contained" in log


def test_violated_invariant_in_request_stops_process(send_failing: SendFailing) -> None:
    outcome, log = send_failing("/invariant")
    assert not outcome.still_runs
    assert outcome.exit_status == EXIT_BROKEN_INVARIANT
    assert "event=invariant_broken" in log


def test_address_in_use_is_logged_and_stops_process() -> None:
    settings = build_settings()
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as taken:
        taken.bind((settings.listen.operator.host, settings.listen.operator.port))
        taken.listen()
        status, log = run(settings)
    assert status == EXIT_ADDRESS_NOT_USABLE
    assert "event=address_not_usable" in log
