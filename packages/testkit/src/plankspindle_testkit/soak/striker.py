"""Carries out the faults of a soak, and ends them."""

from __future__ import annotations

import json
import signal
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from curio import run_in_thread
from curio import sleep

from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.http.fetch import fetch
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.link_proxy import LinkState
from plankspindle_testkit.soak.promises import Observations
from plankspindle_testkit.soak.soak_fault import OF_LINKS
from plankspindle_testkit.soak.soak_fault import OF_UPSTREAMS
from plankspindle_testkit.soak.soak_fault import OF_VMS
from plankspindle_testkit.soak.soak_fault import PLATFORM

if TYPE_CHECKING:
    from plankspindle_testkit.soak.soak_fault import SoakFault

END_S = 25.0
"""Longest planned stop: settings give it 10 s to linger and 10 s for what runs."""
AFTER_S = 6.0
"""Time after a fault in which its VM is still taken as disturbed, in seconds."""
IMPORTING_S = 5.0
"""Time after its start in which a process may not follow signals yet, in seconds."""
DRAIN_BOUND_S = 5.0
STORM_VERSIONS = 4
SETTINGS: dict[str, Any] = {
    "timing": {
        "live_list_ms": 300,
        "configuration_ms": 200,
        "probe_ms": 300,
        "linger_ms": 1_000,
        "leave_ms": 8_000,
    }
}
_PLATFORM_FAULTS: dict[str, dict[str, Any]] = {
    "platform-down": {"down": True},
    "platform-slow": {"delay_ms": 400},
    "platform-loses-answers": {"lose_answers": 5},
}


@define(kw_only=True)
class Striker:
    """Strike daemons, stand-ins and links.

    Parameters
    ----------
    layout : Layout
        What there is.
    processes : Processes
        The processes.
    seen : Observations
        Where to note what was disturbed when.
    began_at : float
        Start of the soak, monotonic seconds.
    """

    layout: Layout
    processes: Processes
    seen: Observations
    began_at: float
    struck_by_kind: Counter[str] = field(factory=Counter)
    stopped: set[str] = field(factory=set)
    lives_by_vm: Counter[str] = field(factory=Counter)
    started_at_by_vm: dict[str, float] = field(factory=dict)
    applied: int = 0
    accepted: int = 0

    def now(self) -> float:
        """Seconds of the soak."""
        return monotonic() - self.began_at

    async def strike(self, fault: SoakFault) -> None:
        """Let one fault happen, wait for its length, and end it."""
        self.struck_by_kind[fault.kind] += 1
        ending_s = END_S if fault.kind in ("term", "rolling") else 0.0
        span = (fault.at, fault.at + fault.for_s + ending_s + AFTER_S)
        for name in fault.disturbs([place.name for place in self.layout.places]):
            self.seen.spans_by_struck.setdefault(name, []).append(span)
        await self._carry_out(fault.kind, fault.target, fault.for_s)

    async def _carry_out(self, kind: str, target: str, for_s: float) -> None:
        if kind in OF_VMS:
            await self._strike_vms(kind, target, for_s)
        elif kind in OF_UPSTREAMS:
            await self._strike_upstream(kind, target, for_s)
        elif kind in OF_LINKS:
            await self._strike_link(kind, target, for_s)
        elif kind in _PLATFORM_FAULTS:
            await self._control_platform(_PLATFORM_FAULTS[kind])
            await sleep(for_s)
            await self._control_platform({})
        elif kind == "drain":
            await self._drain(for_s)
        elif kind == "storm":
            await self._storm()
        elif kind == "race":
            await self._race()
        else:
            raise ValueError(f"no fault {kind!r}")

    async def _strike_vms(self, kind: str, target: str, for_s: float) -> None:
        match kind:
            case "herd":
                await self._herd()
            case "rolling":
                for place in self.layout.places:
                    await self._strike_vm("term", place.name, for_s)
            case _:
                await self._strike_vm(kind, target, for_s)

    async def start_vm(self, name: str) -> None:
        """Start a process on a VM, unless one runs there."""
        process = self.processes.by_name.get(name)
        if process is not None and process.poll() is None:
            return
        place = next(each for each in self.layout.places if each.name == name)
        self.lives_by_vm[name] += 1
        self.stopped.discard(name)
        self.started_at_by_vm[name] = self.now()
        platform = self.layout.entry("store", name)
        self.processes.start_daemon(place, platform=platform, **SETTINGS)

    async def _strike_vm(self, kind: str, name: str, for_s: float) -> None:
        if name in self.stopped:
            return
        process = self.processes.by_name[name]
        match kind:
            case "hup":
                process.send_signal(signal.SIGHUP)
                return
            case "stop":
                process.send_signal(signal.SIGSTOP)
                await sleep(for_s)
                process.send_signal(signal.SIGCONT)
                return
        self.stopped.add(name)
        if kind == "kill":
            process.kill()
            await run_in_thread(process.wait)
        else:
            await self._end_planned(name)
        await sleep(for_s / 4)
        await self.start_vm(name)

    async def _end_planned(self, name: str) -> None:
        process = self.processes.by_name[name]
        process.send_signal(signal.SIGTERM)
        ran_s = self.now() - self.started_at_by_vm.get(name, 0.0)
        status = await run_in_thread(process.wait, END_S)
        log = self.processes.log_of(name)
        if status == -signal.SIGTERM and ran_s < IMPORTING_S:
            return
        if status != 0:
            self.seen.ends.append((name, status, log.splitlines()[-1]))
        left = [line for line in log.splitlines() if "event=left" in line]
        cut_off = int(left[-1].rpartition("cut_off=")[2]) if left else 0
        if cut_off:
            self.seen.cut_off.append((name, cut_off))

    async def _herd(self) -> None:
        struck = [each.name for each in self.layout.places]
        struck = [name for name in struck if name not in self.stopped]
        self.stopped |= set(struck)
        for name in struck:
            self.processes.by_name[name].kill()
        for name in struck:
            await run_in_thread(self.processes.by_name[name].wait)
            await self.start_vm(name)

    async def _strike_upstream(self, kind: str, name: str, for_s: float) -> None:
        endpoint = self.layout.upstream_endpoints[name]
        for mode in (kind, "serve"):
            body = json.dumps({"mode": mode}).encode()
            await fetch(
                endpoint, method="POST", target="/control", body=body, timeout_s=5.0
            )
            if mode == kind:
                await sleep(for_s)

    async def _strike_link(self, kind: str, target: str, for_s: float) -> None:
        proxy = self.layout.proxies_by_link[target]
        if kind == "silence":
            proxy.silence_open()
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

    async def put_in_force(self, intent: dict[str, Any]) -> bool:
        """Plan and confirm an intent at any VM; False if none takes it."""
        for place in self.layout.places:
            made = await self._post(place.operator, "/v1/plans", intent)
            if made is None or "id" not in made:
                continue
            path = f"/v1/plans/{made['id']}/confirm"
            confirmed = await self._post(place.operator, path, {})
            if confirmed is not None and confirmed.get("state") == "accepted":
                version = int(confirmed["base_version"]) + 1
                self.accepted = max(self.accepted, version)
                return True
        return False

    async def _post(
        self, endpoint: Any, path: str, content: dict[str, Any]
    ) -> dict[str, Any] | None:
        answer = await fetch(
            endpoint,
            method="POST",
            target=path,
            body=json.dumps(content).encode(),
            timeout_s=4.0,
        )
        try:
            found: dict[str, Any] = json.loads(answer.unwrap().body)
        except Exception:  # noqa: BLE001 - any failure means that it was not taken
            return None
        return found

    async def apply(self) -> bool:
        """Put another version of the configuration in force."""
        self.applied += 1
        mapping = configuration_to_mapping(self.layout.configuration(self.applied))
        return await self.put_in_force({"kind": "apply", "configuration": mapping})

    async def _storm(self) -> None:
        for _ in range(STORM_VERSIONS):
            await self.apply()

    async def _race(self) -> None:
        first, last = self.layout.places[0], self.layout.places[-1]
        mapping = configuration_to_mapping(self.layout.configuration(self.applied))
        intent = {"kind": "apply", "configuration": mapping}
        for place in (first, last, first, last):
            await self._post(place.operator, "/v1/plans", intent)

    async def _drain(self, for_s: float) -> None:
        name = next(iter(self.layout.upstream_endpoints))
        drain = {"kind": "upstream", "name": name}
        if not await self.put_in_force(
            {"kind": "drain", "drain_id": "soak", "drain": drain}
        ):
            return
        applied, begin = self.applied, self.now()
        await sleep(DRAIN_BOUND_S)
        before = await self.runs_of(name)
        await sleep(for_s)
        after = await self.runs_of(name)
        began = sum((after - before).values())
        concerned = [name, PLATFORM, *(place.name for place in self.layout.places)]
        end = self.now()
        calm = not any(self.seen.is_struck(each, begin, end) for each in concerned)
        if calm and applied == self.applied:
            self.seen.drains_watched += 1
            if began:
                self.seen.drained_runs.append((name, began))
        await self.put_in_force({"kind": "undo-drain", "drain_id": "soak"})

    async def runs_of(self, upstream: str) -> Counter[str]:
        """Read what an upstream ran so far."""
        endpoint = self.layout.upstream_endpoints[upstream]
        answer = await fetch(endpoint, target="/runs", timeout_s=5.0)
        return Counter(json.loads(answer.unwrap().body))
