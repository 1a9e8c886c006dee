"""Injection of faults into daemons, stand-ins and links."""

from __future__ import annotations

import json
import signal
import subprocess
from collections import Counter
from contextlib import ExitStack
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from curio import run_in_thread
from curio import sleep

from plankspindle_core.http.fetch import fetch
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import Span
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.link_proxy import LinkState
from plankspindle_testkit.soak.operators import Operators
from plankspindle_testkit.soak.process_stats import handles_signal
from plankspindle_testkit.soak.soak_fault import CALLER
from plankspindle_testkit.soak.soak_fault import LINK_KINDS
from plankspindle_testkit.soak.soak_fault import OPERATOR_KINDS
from plankspindle_testkit.soak.soak_fault import UPSTREAM_KINDS
from plankspindle_testkit.soak.soak_fault import VM_KINDS

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from plankspindle_testkit.soak.soak_fault import SoakFault

STOP_TIMEOUT_S = 25.0
"""Timeout of a graceful stop, in seconds.

Settings allow 10 s to linger and 10 s for running requests.
"""
DISTURBED_AFTER_S = 6.0
"""Time after a fault for which its target still counts as disturbed, in seconds."""
KILL_NOTICE_S = 1.0
"""Time after the exit of a killed process until callers notice it, in seconds."""
START_TIMEOUT_S = 20.0
"""Maximum time until a started process handles signals, in seconds."""
STUTTER_GAP_S = 0.4
STUTTER_PAUSES = 4
STUTTER_PAUSE_S = 0.09
STUTTER_RUN_S = 0.005
"""Parameters of a stutter; times in seconds.

A stutter is a series of pauses between which a process runs only briefly, like one that
has used up its CPU quota. After the series, the process runs freely for the gap.
"""
PERIODS_MS = {"live_list_ms": 300, "configuration_ms": 200, "probe_ms": 300}
STOP_TIMING_MS = {"linger_ms": 1_000, "leave_ms": 8_000}
_PLATFORM_FAULTS: dict[str, dict[str, Any]] = {
    "platform-down": {"down": True},
    "platform-slow": {"delay_ms": 400},
    "platform-loses-answers": {"lose_answers": 5},
}


@define(kw_only=True)
class FaultInjector:
    """Inject faults into daemons, stand-ins and links.

    Parameters
    ----------
    layout : Layout
        Addresses and link proxies.
    processes : Processes
        Running processes by name.
    observations : Observations
        Records the times of disturbances.
    operators : Operators
        Simulated operators.
    began_at : float
        Start of the soak, monotonic seconds.
    period_factor : float
        Factor on the periods at which VMs read the platform and probe upstreams.

    Attributes
    ----------
    stopping_vms : set of str
        VMs whose process is being stopped or started here.
    """

    layout: Layout
    processes: Processes
    observations: Observations
    operators: Operators
    began_at: float
    period_factor: float = 1.0
    faults_by_kind: Counter[str] = field(factory=Counter)
    stopping_vms: set[str] = field(factory=set)

    def now(self) -> float:
        """Time since the start of the soak, in seconds."""
        return monotonic() - self.began_at

    async def inject(self, fault: SoakFault) -> None:
        """Inject one fault, wait for its duration, and end it."""
        self.faults_by_kind[fault.kind] += 1
        if fault.kind in VM_KINDS:
            await self._inject_vm_faults(fault.kind, fault.target, fault.for_s)
            return
        with self._disturbing(fault.disturbed_targets()):
            await self._inject_other(fault.kind, fault.target, fault.for_s)

    @contextmanager
    def _disturbing(self, names: Iterable[str]) -> Iterator[None]:
        """Record a disturbance, which lasts ``DISTURBED_AFTER_S`` longer."""
        span = Span(self.now())
        for name in names:
            self.observations.disturbances_by_target.setdefault(name, []).append(span)
        try:
            yield
        finally:
            span.end = self.now() + DISTURBED_AFTER_S

    @contextmanager
    def _allowing_cuts(self, vm: str, after_s: float) -> Iterator[None]:
        """Record that connections of callers of a VM may close without an answer."""
        span = Span(self.now())
        self.observations.allowed_cuts_by_vm.setdefault(vm, []).append(span)
        try:
            yield
        finally:
            span.end = self.now() + after_s

    async def _inject_other(self, kind: str, target: str, for_s: float) -> None:
        if kind in UPSTREAM_KINDS:
            await self._inject_upstream_fault(kind, target, for_s)
        elif kind in LINK_KINDS:
            await self._inject_link_fault(kind, target, for_s)
        elif kind in _PLATFORM_FAULTS:
            await self._control_platform(_PLATFORM_FAULTS[kind])
            await sleep(for_s)
            await self._control_platform({})
        elif kind in OPERATOR_KINDS:
            await self._run_operator_fault(kind, target, for_s)
        else:
            raise ValueError(f"no fault {kind!r}")

    async def _run_operator_fault(self, kind: str, target: str, for_s: float) -> None:
        match kind:
            case "drain":
                first = next(iter(self.layout.upstream_endpoints))
                await self.operators.drain(target or first, for_s)
            case "storm":
                await self.operators.apply_several()
            case _:
                await self.operators.make_competing_plans()

    async def _inject_vm_faults(self, kind: str, target: str, for_s: float) -> None:
        match kind:
            case "herd":
                await self._restart_all()
            case "rolling":
                for place in self.layout.places:
                    await self._inject_vm_fault("term", place.name, for_s)
            case _:
                await self._inject_vm_fault(kind, target, for_s)

    async def start_vm(self, name: str) -> None:
        """Start a process on a VM, unless one runs there."""
        process = self.processes.process_by_name.get(name)
        if process is not None and process.poll() is None:
            return
        place = next(each for each in self.layout.places if each.name == name)
        self.stopping_vms.discard(name)
        platform = self.layout.proxy_endpoint("store", name)
        periods = {
            key: round(ms * self.period_factor) for key, ms in PERIODS_MS.items()
        }
        timing = {**periods, **STOP_TIMING_MS}
        self.processes.start_daemon(place, platform=platform, timing=timing)

    async def _inject_vm_fault(self, kind: str, name: str, for_s: float) -> None:
        if name in self.stopping_vms:
            return
        process = self.processes.process_by_name[name]
        match kind:
            case "hup":
                await self._send_sighup(process)
            case "stop":
                with (
                    self._disturbing([name]),
                    self._allowing_cuts(name, DISTURBED_AFTER_S),
                ):
                    await self._pause(process, for_s)
            case "stutter":
                await self._stutter(process, for_s)
            case "kill":
                self.stopping_vms.add(name)
                with self._disturbing([name]):
                    await self._kill(name)
                    await sleep(for_s / 4)
                    await self.start_vm(name)
            case _:
                self.stopping_vms.add(name)
                await self._stop_gracefully(name)
                with self._disturbing([name]):
                    await sleep(for_s / 4)
                    await self.start_vm(name)

    async def _send_sighup(self, process: subprocess.Popen[bytes]) -> None:
        """Send SIGHUP once the process handles it."""
        end = self.now() + START_TIMEOUT_S
        while not handles_signal(process.pid, signal.SIGHUP) and self.now() < end:
            if process.poll() is not None:
                return
            await sleep(0.05)
        process.send_signal(signal.SIGHUP)

    async def _pause(self, process: subprocess.Popen[bytes], for_s: float) -> None:
        process.send_signal(signal.SIGSTOP)
        await sleep(for_s)
        process.send_signal(signal.SIGCONT)

    async def _stutter(self, process: subprocess.Popen[bytes], for_s: float) -> None:
        """Pause a process briefly and repeatedly; this excuses no violation."""
        end = self.now() + for_s
        while self.now() < end and process.poll() is None:
            for _ in range(STUTTER_PAUSES):
                await self._pause(process, STUTTER_PAUSE_S)
                await sleep(STUTTER_RUN_S)
            await sleep(STUTTER_GAP_S)

    async def _kill(self, *names: str) -> None:
        """Kill processes at the same time and wait for their exits."""
        with ExitStack() as cuts:
            for name in names:
                cuts.enter_context(self._allowing_cuts(name, KILL_NOTICE_S))
                self.processes.process_by_name[name].kill()
            for name in names:
                status = await run_in_thread(self.processes.process_by_name[name].wait)
                if status != -signal.SIGKILL:
                    self.record_exit(name, status)

    def record_exit(self, name: str, status: int) -> None:
        """Record a process that exited by itself."""
        last = (self.processes.read_log(name).splitlines() or [""])[-1]
        self.observations.unexpected_exits.append((name, status, last))

    async def _stop_gracefully(self, name: str) -> None:
        process = self.processes.process_by_name[name]
        handles_sigterm = handles_signal(process.pid, signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        try:
            status = await run_in_thread(process.wait, STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.observations.unexpected_exits.append(
                (name, 0, f"still runs {STOP_TIMEOUT_S} s after SIGTERM")
            )
            return
        if status == -signal.SIGTERM and not handles_sigterm:
            return
        if status != 0:
            self.record_exit(name, status)
        log = self.processes.read_log(name)
        left = [line for line in log.splitlines() if "event=left" in line]
        cut_off = int(left[-1].rpartition("cut_off=")[2]) if left else 0
        if cut_off:
            self.observations.cut_off_by_stop.append((name, cut_off))

    async def _restart_all(self) -> None:
        names = [each.name for each in self.layout.places]
        names = [name for name in names if name not in self.stopping_vms]
        self.stopping_vms |= set(names)
        with self._disturbing(names):
            await self._kill(*names)
            for name in names:
                await self.start_vm(name)

    async def _inject_upstream_fault(self, kind: str, name: str, for_s: float) -> None:
        endpoint = self.layout.upstream_endpoints[name]
        for mode in (kind, "serve"):
            body = json.dumps({"mode": mode}).encode()
            await fetch(
                endpoint, method="POST", target="/control", body=body, timeout_s=5.0
            )
            if mode == kind:
                await sleep(for_s)

    async def _inject_link_fault(self, kind: str, target: str, for_s: float) -> None:
        link, _, name = target.partition(":")
        if link == CALLER:
            with self._allowing_cuts(name, DISTURBED_AFTER_S):
                await self._change_link(kind, target, for_s)
        else:
            await self._change_link(kind, target, for_s)

    async def _change_link(self, kind: str, target: str, for_s: float) -> None:
        proxy = self.layout.proxies_by_link[target]
        if kind == "silence":
            proxy.blackhole_open()
            await sleep(for_s)
            return
        proxy.state = LinkState(kind)
        await sleep(for_s)
        proxy.state = LinkState.PASSES

    async def _control_platform(self, faults: dict[str, Any]) -> None:
        body = json.dumps({"faults": faults}).encode()
        await fetch(
            self.layout.platform,
            method="POST",
            target="/control",
            body=body,
            timeout_s=5.0,
        )
