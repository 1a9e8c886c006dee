"""Simulated operators who change the configuration during a soak."""

from __future__ import annotations

import json
from collections import Counter
from itertools import cycle
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from curio import Lock
from curio import sleep

from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.http.fetch import fetch
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.soak.drain_check import must_respect_drain
from plankspindle_testkit.soak.guarantees import DrainedRuns
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.layout import drain_id_of

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_testkit.builders import VmAddresses

DRAIN_EFFECT_S = 5.0
"""Time after its confirmation from which a drain must hold at every VM, in seconds."""
POLL_PERIOD_S = 0.5
"""Period of polling the runs of a drained upstream, in seconds."""
UNDO_TRIES = 3
STORM_VERSIONS = 4
CALL_TIMEOUT_S = 4.0
CONFIRM_TIMEOUT_S = 60.0
"""Time for which a confirmation is repeated until its result is known, in seconds."""
CONFIRM_RETRY_DELAY_S = 0.2
_MADE = 201
_ACCEPTED = 200
_REFUSED = (404, 409, 410, 422)
"""Statuses after which a plan is certainly not in force; others leave it open."""


@define(kw_only=True)
class Operators:
    """Make and confirm plans, and observe drained upstreams.

    Parameters
    ----------
    layout : Layout
        Addresses of VMs and upstreams.
    observations : Observations
        Records the runs of drained upstreams.
    began_at : float
        Start of the soak, monotonic seconds.

    Attributes
    ----------
    applied : int
        Number of versions made here.
    accepted : int
        Newest accepted version.
    unconfirmed : int
        Newest version whose confirmation got no definite answer.
    drained : set of str
        Upstreams with a drain in force.
    """

    layout: Layout
    observations: Observations
    began_at: float
    applied: int = 0
    accepted: int = 0
    unconfirmed: int = 0
    drained: set[str] = field(factory=set)
    _change_lock: Any = field(factory=Lock)

    def now(self) -> float:
        """Time since the start of the soak, in seconds."""
        return monotonic() - self.began_at

    async def apply(self) -> bool:
        """Put another version of the configuration in force, with the same drains."""
        async with self._change_lock:
            self.applied += 1
            return await self.apply_intent({"kind": "apply", **self._configuration()})

    def _configuration(self) -> dict[str, Any]:
        configuration = self.layout.configuration(
            self.applied, drained=sorted(self.drained)
        )
        return {"configuration": configuration_to_mapping(configuration)}

    async def apply_intent(self, intent: dict[str, Any]) -> bool:
        """Plan and confirm an intent at any VM; False if no VM accepts it."""
        for place in self.layout.places:
            status, plan = await self._post(place.operator, "/v1/plans", intent)
            if status == _MADE:
                return await self._confirm(plan, place)
        return False

    async def _confirm(self, plan: dict[str, Any], first: VmAddresses) -> bool:
        """Confirm a plan, repeatedly at the other VMs until the result is known."""
        version = int(plan["base_version"]) + 1
        path = f"/v1/plans/{plan['id']}/confirm"
        end = self.now() + CONFIRM_TIMEOUT_S
        places = cycle([first, *self.layout.places])
        while self.now() < end:
            status, _ = await self._post(next(places).operator, path, {})
            if status == _ACCEPTED:
                self.accepted = max(self.accepted, version)
                return True
            if status in _REFUSED:
                return False
            await sleep(CONFIRM_RETRY_DELAY_S)
        self.unconfirmed = max(self.unconfirmed, version)
        return False

    async def _post(
        self, endpoint: Endpoint, path: str, content: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Return status and content of the answer; zero and empty without an answer."""
        answer = await fetch(
            endpoint,
            method="POST",
            target=path,
            body=json.dumps(content).encode(),
            timeout_s=CALL_TIMEOUT_S,
        )
        if answer.is_err():
            return 0, {}
        found: dict[str, Any] = json.loads(answer.unwrap().body)
        return answer.unwrap().status, found

    async def apply_several(self) -> None:
        """Put several versions in force in quick succession."""
        for _ in range(STORM_VERSIONS):
            await self.apply()

    async def make_competing_plans(self) -> None:
        """Make plans on the same base version at two VMs."""
        first, last = self.layout.places[0], self.layout.places[-1]
        intent = {"kind": "apply", **self._configuration()}
        for place in (first, last, first, last):
            await self._post(place.operator, "/v1/plans", intent)

    async def drain(self, name: str, for_s: float) -> None:
        """Drain an upstream, observe what it runs, and undo the drain.

        Parameters
        ----------
        name : str
            The upstream; nothing happens if it is drained already.
        for_s : float
            Time for which it is observed once the drain must hold, in seconds.
        """
        drain = {"kind": "upstream", "name": name}
        intent = {"kind": "drain", "drain_id": drain_id_of(name), "drain": drain}
        async with self._change_lock:
            if name in self.drained or not await self.apply_intent(intent):
                return
            self.drained.add(name)
        await sleep(DRAIN_EFFECT_S)
        await self._watch_drained(name, for_s)
        await self._undo_drain(name)

    async def _watch_drained(self, name: str, for_s: float) -> None:
        before, begin = await self.runs_of(name), self.now()
        until = begin + for_s
        was_watched = False
        while begin < until:
            await sleep(POLL_PERIOD_S)
            after, end = await self.runs_of(name), self.now()
            observed = DrainedRuns(
                upstream=name, begin=begin, end=end, marks=tuple(after - before)
            )
            self.observations.drained_runs.append(observed)
            was_watched |= any(
                must_respect_drain(self.observations, vm, observed)
                for vm in self._local_vms_of(name)
            )
            before, begin = after, end
        self.observations.drains_watched += was_watched

    def _local_vms_of(self, upstream: str) -> list[str]:
        """Return the VMs that use an upstream whenever it isn't drained."""
        return [
            place.name
            for place in self.layout.places
            if upstream.endswith(f"-{place.failure_domain}")
        ]

    async def _undo_drain(self, name: str) -> None:
        async with self._change_lock:
            self.drained.discard(name)
            for _ in range(UNDO_TRIES):
                undo = {"kind": "undo-drain", "drain_id": drain_id_of(name)}
                if await self.apply_intent(undo):
                    return

    async def runs_of(self, upstream: str) -> Counter[str]:
        """Return the number of runs of each request at an upstream, by mark."""
        endpoint = self.layout.upstream_endpoints[upstream]
        answer = await fetch(endpoint, target="/runs", timeout_s=5.0)
        return Counter(json.loads(answer.unwrap().body))
