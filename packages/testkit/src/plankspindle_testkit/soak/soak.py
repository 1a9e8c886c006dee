"""A soak from its start to its result."""

from __future__ import annotations

import json
import os
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from attrs import frozen
from curio import sleep
from curio import spawn

from plankspindle_core.http.fetch import fetch
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.soak.drain_check import check_drains
from plankspindle_testkit.soak.fault_injector import FaultInjector
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import Violation
from plankspindle_testkit.soak.guarantees import check_all
from plankspindle_testkit.soak.guarantees import check_end
from plankspindle_testkit.soak.guarantees import check_growth
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.load import LOAD_BY_KIND
from plankspindle_testkit.soak.load import Load
from plankspindle_testkit.soak.load import LoadKind
from plankspindle_testkit.soak.log_error_reader import LogErrorReader
from plankspindle_testkit.soak.lost_requests import check_lost_requests
from plankspindle_testkit.soak.operators import Operators
from plankspindle_testkit.soak.persistent_caller import PersistentCaller
from plankspindle_testkit.soak.process_stats import cpu_wait_s
from plankspindle_testkit.soak.process_stats import descriptor_count
from plankspindle_testkit.soak.process_stats import resident_kb
from plankspindle_testkit.soak.soak_caller import SoakCaller
from plankspindle_testkit.soak.soak_fault import SoakFault
from plankspindle_testkit.soak.soak_runner import wait_for_start

if TYPE_CHECKING:
    from plankspindle_testkit.builders import VmAddresses
    from plankspindle_testkit.soak.guarantees import AttemptRecord

CHECK_PERIOD_S = 1.0
START_TIMEOUT_S = 30.0
START_POLL_S = 0.2
RECOVERY_S = 15.0
RECOVERED_WATCH_S = 5.0
"""Time after recovery for which the guarantees are still checked, in seconds."""
CALLERS_PER_VM = 2


@frozen(kw_only=True)
class SoakPlan:
    """Parameters of a soak.

    Parameters
    ----------
    seed : int
        Seed of the random generators of the callers.
    vms : int
        Number of entry VMs.
    faults : tuple of SoakFault
        Faults in the order of time.
    first_port : int
        First port of the soak.
    recovery_s : float
        Time after the last fault until all services must have recovered, in seconds.
    load : LoadKind
        Kind of load.
    """

    seed: int
    vms: int
    faults: tuple[SoakFault, ...]
    first_port: int = 20_000
    recovery_s: float = RECOVERY_S
    load: LoadKind = LoadKind.LIGHT


@frozen(kw_only=True)
class SoakResult:
    """Result of a soak.

    Parameters
    ----------
    violation : Violation or None
        The first violation of a guarantee.
    requests, checks, drains_watched : int
        Numbers of attempts sent, of checks of all guarantees, and of drains that some
        undisturbed VM had to respect.
    faults_by_kind : Counter of str
        Number of injected faults.
    outcomes : Counter of str
        Number of attempts by outcome, ``cut`` or ``no answer``.
    max_cpu_wait_s : float
        Maximum time in which a VM, a stand-in or the soak itself was runnable without
        a CPU between two checks, in seconds. It indicates an overloaded machine; it
        excuses no violation.
    folder : Path
        Folder with the logs.
    """

    violation: Violation | None
    requests: int
    checks: int
    drains_watched: int
    faults_by_kind: Counter[str]
    outcomes: Counter[str]
    max_cpu_wait_s: float
    folder: Path


@define(kw_only=True)
class Soak:
    """A running soak.

    Parameters
    ----------
    plan : SoakPlan
        Parameters of the soak.
    """

    plan: SoakPlan
    layout: Layout = field(init=False)
    processes: Processes = field(init=False)
    observations: Observations = field(factory=Observations)
    operators: Operators = field(init=False)
    injector: FaultInjector = field(init=False)
    logs: LogErrorReader = field(init=False)
    max_cpu_wait_s: float = 0.0
    _cpu_wait_by_pid: dict[int, float] = field(factory=dict)
    _injections: list[Any] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.layout = Layout(
            vms=self.plan.vms, first_port=self.plan.first_port, slots=self.load.slots
        )
        folder = Path(tempfile.mkdtemp(prefix="plankspindle-soak-"))
        self.processes = Processes(folder=folder)
        self.logs = LogErrorReader(folder=folder)
        began_at = monotonic()
        self.operators = Operators(
            layout=self.layout, observations=self.observations, began_at=began_at
        )
        self.injector = FaultInjector(
            layout=self.layout,
            processes=self.processes,
            observations=self.observations,
            operators=self.operators,
            began_at=began_at,
            period_factor=self.load.period_factor,
        )

    @property
    def load(self) -> Load:
        """Parameters of the callers."""
        return LOAD_BY_KIND[self.plan.load]

    async def run(self) -> SoakResult:
        """Run the soak; its processes are always ended."""
        tasks: list[Any] = []
        try:
            await self._start()
            tasks = await self._start_callers()
            violation = await self._inject_and_check()
            _check_callers_running(tasks)
        finally:
            # Injections, too: one that goes on would start a process that nobody ends.
            for task in [*tasks, *self._injections]:
                await task.cancel()
            self.processes.close()
            for proxy in self.layout.proxies_by_link.values():
                await proxy.close()
        return SoakResult(
            violation=violation,
            requests=len(self.observations.attempts),
            checks=self.observations.checks,
            drains_watched=self.observations.drains_watched,
            faults_by_kind=self.injector.faults_by_kind,
            outcomes=Counter(
                _outcome_name(each) for each in self.observations.attempts
            ),
            max_cpu_wait_s=self.max_cpu_wait_s,
            folder=self.processes.folder,
        )

    async def _start(self) -> None:
        for proxy in self.layout.proxies_by_link.values():
            await proxy.start()
        platform = "plankspindle_testkit.platform_stand_in"
        self.processes.start_module("platform", platform, str(self.layout.platform))
        for name, endpoint in self.layout.upstream_endpoints.items():
            module = "plankspindle_testkit.upstream_stand_in"
            self.processes.start_module(
                name, module, f"{name}={endpoint}={self.load.slots}"
            )
        await self._until(self._platform_lists)
        await self._until(self._upstreams_answer)
        for place in self.layout.places:
            await self.injector.start_vm(place.name)
        await self._until(self.operators.apply)
        await self._until(self._all_ready)
        self.injector.began_at = self.operators.began_at = monotonic()

    async def _until(self, condition: Any) -> None:
        message = f"the soak does not start: {condition.__name__}"
        await wait_for_start(
            condition, timeout_s=START_TIMEOUT_S, poll_s=START_POLL_S, message=message
        )

    async def _platform_lists(self) -> bool:
        vms = [place.list_entry() for place in self.layout.places]
        answer = await fetch(
            self.layout.platform,
            method="POST",
            target="/control",
            body=json.dumps({"vms": vms}).encode(),
            timeout_s=2.0,
        )
        return answer.is_ok()

    async def _upstreams_answer(self) -> bool:
        for endpoint in self.layout.upstream_endpoints.values():
            if (await fetch(endpoint, target="/load", timeout_s=2.0)).is_err():
                return False
        return True

    async def _all_ready(self) -> bool:
        states = [await _state_of(place) for place in self.layout.places]
        return all(each and each["readiness"] == "ready" for each in states)

    async def _start_callers(self) -> list[Any]:
        random = Random(self.plan.seed)
        callers: list[SoakCaller | PersistentCaller] = [
            SoakCaller(
                name=f"c{number}",
                layout=self.layout,
                observations=self.observations,
                began_at=self.injector.began_at,
                random=Random(random.getrandbits(32)),
            )
            for number in range(
                min(self.load.max_callers, CALLERS_PER_VM * self.plan.vms)
            )
        ]
        for place in self.layout.places:
            for number in range(self.load.connections_per_vm):
                caller = PersistentCaller(
                    name=f"k{number}-{place.name}",
                    vm=place.name,
                    layout=self.layout,
                    load=self.load,
                    observations=self.observations,
                    began_at=self.injector.began_at,
                    random=Random(random.getrandbits(32)),
                )
                callers.append(caller)
        return [await spawn(each.run, daemon=True) for each in callers]

    async def _inject_and_check(self) -> Violation | None:
        waiting = list(self.plan.faults)
        injections = self._injections
        while waiting or not all(each.terminated for each in injections):
            while waiting and waiting[0].at <= self.injector.now():
                fault = waiting.pop(0)
                injections.append(await spawn(self.injector.inject, fault, daemon=True))
            violation = await self._observe_and_check()
            if violation is not None:
                return violation
            await self._wait_for_next_check()
        for injection in injections:
            await injection.join()
        self.observations.is_recovering = True
        return await self._check_recovery()

    async def _wait_for_next_check(self) -> None:
        """Wait until the next check, and record how long processes lacked a CPU."""
        await sleep(CHECK_PERIOD_S)
        pids = [each.pid for each in self.processes.process_by_name.values()]
        wait_by_pid = {pid: cpu_wait_s(pid) for pid in (*pids, os.getpid())}
        for pid, seconds in wait_by_pid.items():
            before = self._cpu_wait_by_pid.get(pid, seconds)
            self.max_cpu_wait_s = max(self.max_cpu_wait_s, seconds - before)
        self._cpu_wait_by_pid = wait_by_pid

    async def _observe_and_check(self) -> Violation | None:
        """Record what happened since the last check, and check all guarantees."""
        await self._update_runs()
        for place in self.layout.places:
            lines = self.logs.read_new_errors(place.name)
            self.observations.unexpected_errors += [
                (place.name, line) for line in lines
            ]
            state = await _state_of(place)
            if state is not None:
                incarnation = (place.name, int(state["incarnation"], 16))
                version = int(state["configuration"]["version"])
                self.observations.versions_by_incarnation.setdefault(
                    incarnation, []
                ).append(version)
        # Nothing is awaited from here on: no request can be cut off by an exit that
        # is not recorded.
        for place in self.layout.places:
            self._record_exit(place.name)
        checks = (check_all, check_lost_requests, check_drains)
        return next(
            (each for check in checks for each in check(self.observations)), None
        )

    async def _update_runs(self) -> None:
        runs: Counter[str] = Counter()
        for name in self.layout.upstream_endpoints:
            runs += await self.operators.runs_of(name)
        self.observations.runs_by_mark = runs

    def _record_exit(self, vm: str) -> None:
        status = self.processes.process_by_name[vm].poll()
        if status is not None and vm not in self.injector.stopping_vms:
            self.injector.record_exit(vm, status)

    async def _check_recovery(self) -> Violation | None:
        await sleep(self.plan.recovery_s)
        recovered_from = self.injector.now()
        await sleep(RECOVERED_WATCH_S)
        violation = await self._observe_and_check()
        if violation is not None:
            return violation
        versions, connections = {}, {}
        for place in self.layout.places:
            state = await _state_of(place)
            versions[place.name] = -1 if state is None else _version_of(state)
            connections[place.name] = "" if state is None else _connections(state)
        pids = {each.name: self._pid(each.name) for each in self.layout.places}
        checks = [
            *check_end(
                self.observations,
                recovered_from=recovered_from,
                versions=versions,
                accepted=self.operators.accepted,
                unconfirmed=self.operators.unconfirmed,
            ),
            *check_growth(
                {vm: resident_kb(pid) for vm, pid in pids.items()},
                {vm: descriptor_count(pid) for vm, pid in pids.items()},
                connections,
            ),
        ]
        return checks[0] if checks else None

    def _pid(self, vm: str) -> int:
        return self.processes.process_by_name[vm].pid


def _outcome_name(attempt: AttemptRecord) -> str:
    if attempt.outcome is not None:
        return attempt.outcome.value
    return "cut" if attempt.is_cut_off else "no answer"


def _check_callers_running(callers: list[Any]) -> None:
    """Check that all callers still run, so that the load was complete.

    Raises
    ------
    RuntimeError
        If a caller ended.
    """
    ended = [each for each in callers if each.terminated]
    if ended:
        raise RuntimeError(f"{len(ended)} callers ended: {ended[0].exception!r}")


async def _state_of(place: VmAddresses) -> dict[str, Any] | None:
    """Return the state dump of an entry VM; None if it returns none."""
    answer = await fetch(place.operator, target="/state", timeout_s=3.0)
    if answer.is_err() or answer.unwrap().status != 200:
        return None
    state: dict[str, Any] = json.loads(answer.unwrap().body)
    return state


def _version_of(state: dict[str, Any]) -> int:
    return int(state["configuration"]["version"])


def _connections(state: dict[str, Any]) -> str:
    callers, pool = state["callers"]["connections"], state["connections"]["open"]
    return f"{callers} connections of callers, {pool} to upstreams"
