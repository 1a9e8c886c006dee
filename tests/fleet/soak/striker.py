"""Carries out the faults of a soak on the fleet's platform, and ends them."""

from __future__ import annotations

import os
import signal
import subprocess
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import yaml
from attrs import define
from attrs import field
from curio import Lock
from curio import run_in_thread
from curio import sleep
from curio import spawn

from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.soak.link_proxy import LinkProxy
from soak.checks import Checks
from soak.crashers import Crashers
from soak.faults import OF_CRASHERS
from soak.faults import OF_LAPSES
from soak.faults import OF_OPERATORS
from soak.faults import OF_STATEMENTS
from soak.faults import OF_STORE
from soak.history import Evacuation
from soak.lapser import Lapser
from soak.layout import GRACE_S
from soak.layout import ZONES
from soak.layout import Layout
from soak.standstills import Standstills
from soak.statements import Statements
from soak.store import SoakStore
from soak.store import Trouble
from soak.suspendable import SECONDS
from soak.suspendable import SUSPENDED
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from plankspindle_testkit.soak.soak_fault import SoakFault

MODULE = "soak.suspendable"
PEER_KEY = "5a" * 16
STORM_VERSIONS = 6
DOWN_S = 0.3
"""Time from the end of a process to the start of the next, in seconds."""
BOOT_LOOK_S = 0.02
IMPORTING_S = 5.0
"""Time in which a process may still import, and ends by SIGTERM at once."""
LATE_END_S = 1.0
"""Time beyond the grace after which an end is late; the platform's SIGKILL follows."""


@define(kw_only=True)
class Striker:
    """Strike processes, the store, links and upstreams, and be the operator.

    Parameters
    ----------
    layout : Layout
        Addresses.
    processes : Processes
        The entry VMs.
    store, upstreams, checks
        The stand-ins, and what is told of what is disturbed.
    lapser : Lapser
        What lets entries lapse.
    crashers : Crashers
        What sends requests under which upstreams crash.
    statements : Statements
        What lets upstreams say things of themselves.
    standstills : Standstills
        When processes stood still.
    proxies_by_vm : dict of str to LinkProxy
        Links to the store.
    random : Random
        Source of choices.
    module : str
        What runs on an entry VM.
    """

    layout: Layout
    processes: Processes
    store: SoakStore
    upstreams: Upstreams
    checks: Checks
    lapser: Lapser
    crashers: Crashers
    statements: Statements
    standstills: Standstills
    proxies_by_vm: dict[str, LinkProxy]
    random: Random
    module: str = MODULE
    struck_by_kind: Counter[str] = field(factory=Counter)
    lives_by_vm: Counter[str] = field(factory=Counter)
    started_at_by_vm: dict[str, float] = field(factory=dict)
    stopped: set[str] = field(factory=set)
    _is_evacuating: bool = False
    _operator: Lock = field(factory=Lock)

    async def strike(self, fault: SoakFault) -> None:
        """Let one fault happen, wait for its length, and end it."""
        self.struck_by_kind[fault.kind] += 1
        vms = fault.target.split(",") if fault.target else []
        match fault.kind:
            case kind if kind in OF_STORE:
                await self._trouble(kind, vms, fault.for_s)
            case kind if kind in OF_LAPSES:
                await self.lapser.strike(fault)
            case kind if kind in OF_CRASHERS:
                await self.crashers.strike(fault.at, fault.for_s)
            case kind if kind in OF_STATEMENTS:
                await self.statements.strike(fault)
            case "forget":
                self.checks.disturbed.begin(self._all(), monotonic()).end = monotonic()
                self.store.forget()
            case "silence" | "reset-links":
                self._strike_links(fault.kind, vms or self._all())
            case kind if kind in OF_OPERATORS:
                await self._operate(fault)
            case _:
                await self._strike_vms(fault.kind, vms or self._all(), fault.for_s)

    async def _operate(self, fault: SoakFault) -> None:
        """Do what the platform's operator does."""
        match fault.kind:
            case "change":
                await self.change()
            case "storm":
                for _ in range(STORM_VERSIONS):
                    await self.change()
            case "evacuate":
                await self._evacuate(fault.for_s)
            case _:
                number = self.random.randrange(len(self.upstreams.lives))
                await self.upstreams.leave(number, says_so=fault.kind == "leave")

    def _all(self) -> list[str]:
        return self.layout.names()

    async def _trouble(self, kind: str, vms: list[str], for_s: float) -> None:
        trouble = Trouble(kind=kind, vms=frozenset(vms))
        span = self.checks.disturbed.begin(vms or self._all(), monotonic())
        self.store.troubles.append(trouble)
        await sleep(for_s)
        self.store.troubles.remove(trouble)
        span.end = monotonic()

    def _strike_links(self, kind: str, vms: list[str]) -> None:
        self.checks.disturbed.begin(vms, monotonic()).end = monotonic()
        for vm in vms:
            proxy = self.proxies_by_vm[vm]
            proxy.silence_open() if kind == "silence" else proxy.reset_open()

    async def change(self) -> None:
        """Put another version in force."""
        async with self._operator:
            drawn = self.checks.history.draw(monotonic())
            version = self.checks.history.versions[-1]
            version.acked_at = await self.store.write("op", "config", lambda: drawn)

    async def _evacuate(self, for_s: float) -> None:
        if self._is_evacuating:
            return
        self._is_evacuating = True
        zone = self.random.choice(list(ZONES))
        key = f"evacuate/{zone}"
        acked_at = await self.store.write("op", key, lambda: {"zone": zone})
        evacuation = Evacuation(zone=zone, acked_at=acked_at)
        self.checks.history.evacuations.append(evacuation)
        await sleep(for_s)
        evacuation.undone_at = monotonic()
        await self.store.write("op", key, lambda: None)
        self._is_evacuating = False

    async def _strike_vms(self, kind: str, vms: list[str], for_s: float) -> None:
        if kind == "rolling":
            for vm in vms:
                await self._strike_vm("term", vm, 0.0)
            return
        tasks = [
            await spawn(self._strike_vm, kind.removeprefix("herd-"), vm, for_s)
            for vm in vms
        ]
        for task in tasks:
            await task.join()

    async def _strike_vm(self, kind: str, vm: str, for_s: float) -> None:
        if vm in self.stopped:
            return
        process = self.processes.by_name[vm]
        if kind.startswith("hup"):
            while process.poll() is None and not _takes_sighup(process.pid):
                await sleep(BOOT_LOOK_S)
            process.send_signal(signal.SIGHUP)
            return
        is_planned = kind == "term"
        span = self.checks.disturbed.begin([vm], monotonic(), is_planned=is_planned)
        if kind in ("stop", "suspend"):
            process.send_signal(signal.SIGSTOP)
            still = self.standstills.begin(vm, monotonic())
            await sleep(for_s)
            if kind == "suspend":
                self._add_suspended(vm, monotonic() - still.begin)
            process.send_signal(signal.SIGCONT)
            still.end = monotonic()
        else:
            self.stopped.add(vm)
            if kind == "kill":
                process.kill()
                await run_in_thread(process.wait)
            else:
                await self._end_planned(vm)
            await sleep(DOWN_S)
            self.start(vm)
        span.end = monotonic()

    def _suspended(self, vm: str) -> Path:
        return self.processes.folder / f"{vm}.suspended"

    def _add_suspended(self, vm: str, seconds: float) -> None:
        """Lengthen the time for which the machine of a VM was suspended."""
        path = self._suspended(vm)
        (before,) = SECONDS.unpack(path.read_bytes())
        with path.open("r+b") as file:
            file.write(SECONDS.pack(before + seconds))

    async def _end_planned(self, vm: str) -> None:
        process = self.processes.by_name[vm]
        asked_at, started_at = monotonic(), self.started_at_by_vm[vm]
        still_s = self.standstills.lasted_s(vm, started_at, asked_at)
        ran_s = asked_at - started_at - still_s
        process.send_signal(signal.SIGTERM)
        try:
            status = await run_in_thread(process.wait, GRACE_S + LATE_END_S)
        except subprocess.TimeoutExpired:
            self._judge_late_end(vm, asked_at)
            process.kill()
            await run_in_thread(process.wait)
            return
        if status and not (status == -signal.SIGTERM and ran_s < IMPORTING_S):
            self.checks.fail("ends", f"{vm} ended with {status}", monotonic())

    def _judge_late_end(self, vm: str, asked_at: float) -> None:
        """Fail a process that runs on, unless it stood still since it was asked."""
        if self.standstills.lasted_s(vm, asked_at, monotonic()):
            self.checks.counts["ends of processes that stood still"] += 1
            return
        self.checks.fail("ends", f"{vm} runs on after its grace", monotonic())

    def start(self, vm: str) -> None:
        """Start a process on a VM."""
        path = self.processes.folder / f"{vm}.yaml"
        boot = self.layout.boot(vm, self.checks.bounds)
        path.write_text(yaml.safe_dump(boot), encoding="utf-8")
        self._suspended(vm).write_bytes(SECONDS.pack(0.0))
        os.environ[SUSPENDED] = str(self._suspended(vm))
        os.environ["PLANKSPINDLE_BOOT"] = str(path)
        os.environ["PLANKSPINDLE_PEER_KEY"] = PEER_KEY
        self.lives_by_vm[vm] += 1
        self.started_at_by_vm[vm] = monotonic()
        self.stopped.discard(vm)
        self.processes.start_module(vm, self.module)

    def look(self) -> None:
        """Find processes that ended by themselves, and start them again."""
        for vm in self._all():
            status = self.processes.by_name[vm].poll()
            if status is not None and vm not in self.stopped:
                last = (self.processes.log_of(vm).splitlines() or [""])[-1]
                self.checks.fail("runs on", f"{vm}: {status}, {last}", monotonic())
                self.start(vm)


def _takes_sighup(pid: int) -> bool:
    """Tell whether a process runs code of the product yet, not only its interpreter.

    Until then SIGHUP ends it whatever the product does. One that has ended takes it.
    """
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return True
    masks = [
        int(line.split()[1], 16)
        for line in lines
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask & (1 << (signal.SIGHUP - 1)) for mask in masks)
