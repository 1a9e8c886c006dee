"""Run daemons and stand-ins as processes on loopback, for demo, tests, benchmarks."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import curio
import yaml
from attrs import define
from attrs import field

from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.http.fetch import HttpAnswer
from plankspindle_core.http.fetch import fetch
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_settings_mapping

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_core.http.headers import HeaderList

EXIT_TIMEOUT_S = 10.0
POLL_S = 0.02


@define(kw_only=True)
class Processes:
    """Child processes, all stopped by :meth:`close`.

    Parameters
    ----------
    folder : Path
        Folder of their settings and logs.
    """

    folder: Path
    process_by_name: dict[str, subprocess.Popen[bytes]] = field(factory=dict)

    def start_module(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module`` under a name."""
        self._start(name, [sys.executable, "-m", module, *arguments])

    def start_platform(
        self, endpoint: Endpoint, entry_vms: Sequence[VmAddresses]
    ) -> None:
        """Start the platform stand-in, and set its list of entry VMs."""
        module = "plankspindle_testkit.platform_stand_in"
        self.start_module("platform", module, str(endpoint))
        wait_until(lambda: call(endpoint, target="/vms").status == 200, what="platform")
        vms = {"vms": [addresses.list_entry() for addresses in entry_vms]}
        call(endpoint, "POST", "/control", body=json.dumps(vms).encode())

    def start_daemon(
        self,
        addresses: VmAddresses,
        *,
        platform: Endpoint,
        log_to_file: bool = True,
        prelude: str = "",
        **sections: Any,
    ) -> None:
        """Write the settings of a daemon and start it.

        Parameters
        ----------
        addresses : VmAddresses
            Name and addresses of the entry VM.
        platform : Endpoint
            The platform stand-in.
        log_to_file : bool
            Whether standard output goes to the log file; otherwise it goes to a pipe
            that nobody reads and that fills up.
        prelude : str
            Python statements that run before the daemon, to patch it.
        **sections : object
            Sections of the settings.
        """
        mapping = build_settings_mapping(addresses, platform=platform, **sections)
        path = self.folder / f"{addresses.name}.yaml"
        path.write_text(yaml.safe_dump(mapping), encoding="utf-8")
        start_code = "from plankspindle_daemon.console.entry_point import main; main()"
        command = [sys.executable, "-c", f"{prelude}\n{start_code}", "run", str(path)]
        self._start(addresses.name, command, log_to_file=log_to_file)

    def _start(
        self, name: str, command: list[str], *, log_to_file: bool = True
    ) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log if log_to_file else subprocess.PIPE,
                stderr=log,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process started here."""
        self.process_by_name[name].send_signal(number)

    def wait_for_exit(self, name: str, *, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait for a process to exit, and return its exit status."""
        return self.process_by_name[name].wait(timeout_s)

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def close(self) -> None:
        """Kill every process that still runs, also stopped ones."""
        running = [
            each for each in self.process_by_name.values() if each.poll() is None
        ]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait(EXIT_TIMEOUT_S)


def call(
    endpoint: Endpoint,
    method: str = "GET",
    target: str = "/",
    *,
    headers: HeaderList | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Make one HTTP call from code that does not run in a curio kernel.

    Raises
    ------
    ConnectionError
        If no complete answer was received.
    """

    async def run() -> Any:
        return await fetch(
            endpoint,
            method=method,
            target=target,
            headers=headers,
            body=body,
            timeout_s=timeout_s,
        )

    answer = curio.run(run)
    if answer.is_err():
        raise ConnectionError(f"{endpoint}{target}: {answer.unwrap_err()}")
    complete_answer: HttpAnswer = answer.unwrap()
    return complete_answer


def wait_until(
    condition: Callable[[], bool], *, what: str, timeout_s: float = 15.0
) -> None:
    """Wait until a condition holds; on a connection error, check again.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except ConnectionError:
            pass
        time.sleep(POLL_S)
    raise TimeoutError(f"not in {timeout_s} s: {what}")


def wait_for_operator_listener(addresses: VmAddresses) -> None:
    """Wait for the operator listener of a daemon, the last one to start."""
    wait_until(
        lambda: call(addresses.operator, target="/health").status == 200,
        what=addresses.name,
    )


def read_state(addresses: VmAddresses) -> dict[str, Any]:
    """Read the state dump of a daemon."""
    dumped: dict[str, Any] = json.loads(call(addresses.operator, target="/state").body)
    return dumped


def apply_configuration(addresses: VmAddresses, configuration: Configuration) -> int:
    """Plan and confirm a complete configuration through one daemon.

    Returns
    -------
    int
        Version of the configuration.
    """
    mapping = configuration_to_mapping(configuration)
    return confirm_intent(addresses, {"kind": "apply", "configuration": mapping})


def confirm_intent(addresses: VmAddresses, intent: dict[str, Any]) -> int:
    """Plan and confirm an intent, and return the resulting version."""
    created = call(
        addresses.operator, "POST", "/v1/plans", body=json.dumps(intent).encode()
    )
    plan = json.loads(created.body)
    if created.status != 201:
        raise ConnectionError(f"no plan: {plan}")
    confirmed = call(addresses.operator, "POST", f"/v1/plans/{plan['id']}/confirm")
    if confirmed.status != 200:
        raise ConnectionError(f"not confirmed: {confirmed.body!r}")
    version: int = plan["base_version"] + 1
    return version
