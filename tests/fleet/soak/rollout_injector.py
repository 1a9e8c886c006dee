"""Order roll-outs, and start and end the upstreams that they move between."""

from __future__ import annotations

import base64
import json
from collections import Counter
from math import inf
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import evolve
from curio import sleep
from curio import spawn

from plankspindle_core.steady_clock import monotonic
from plankspindle_platform.operator_reader import OPERATOR_TABLE
from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_records import RolloutOrder
from plankspindle_testkit.rollouts.rollout_records import StateChange
from soak.checks import Checks
from soak.layout import SERVICES
from soak.soak_store import WRITE_BLOCKING_KINDS
from soak.soak_store import SoakStore
from soak.software_version import BASELINE
from soak.software_version import SoftwareVersion
from soak.software_version import draw_software_version
from soak.upstreams import Upstreams

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_testkit.soak.soak_fault import SoakFault

STATUS_TABLE = "status"
DURATION_S = 12.0
WITHDRAWN_AFTER_S = 10.0
"""Time from the deadline to the withdrawal of an order without an end, in seconds."""
POLL_S = 0.02
START_OFFSETS_S = (-1.0, 0.0, 2.0)
"""Times at which new upstreams start, relative to the order, in seconds."""
DRAIN_AFTER_S = (1.0, 4.0)
"""Time from a roll-back until the new upstreams drain, in seconds."""
WITHDRAW_AFTER_S = (0.0, 3.0)
"""Time from the end of a roll-out until its order is withdrawn, in seconds."""


@define(kw_only=True)
class RolloutInjector:
    """Act as an operator who orders roll-outs, one at a time for each service.

    Parameters
    ----------
    store, upstreams, checks
        The stand-ins, and the checks with the configurations.
    seed : int
        Random seed, combined with the time of the fault, so that replays are equal.

    Attributes
    ----------
    orders : list of RolloutOrder
        All orders, with monotonic times.
    state_changes : list of StateChange
        States of their roll-outs as the operator read them.
    """

    store: SoakStore
    upstreams: Upstreams
    checks: Checks
    seed: int
    orders: list[RolloutOrder] = Factory(list)
    state_changes: list[StateChange] = Factory(list)
    _in_force_by_service: dict[str, str] = Factory(
        lambda: dict.fromkeys(SERVICES, BASELINE.name)
    )
    _versions_by_service: Counter[str] = Factory(Counter)
    _rolling: set[str] = Factory(set)

    async def inject(self, fault: SoakFault) -> None:
        """Order a roll-out, follow it to its end, and withdraw the order."""
        random = Random(f"roll-out of {self.seed} at {fault.at}")
        service = random.choice(SERVICES)
        if service in self._rolling:
            self.checks.counts["roll-outs left out"] += 1
            return
        self._rolling.add(service)
        software = self._draw(random, service)
        order = await self._order(random, service, software)
        watcher = await spawn(self._watch, order, daemon=True)
        await self._follow(random, order)
        await self._withdraw(order)
        await watcher.cancel()
        self._rolling.remove(service)

    def _draw(self, random: Random, service: str) -> SoftwareVersion:
        self._versions_by_service[service] += 1
        routes = self.checks.history.versions[-1].service_by_prefix
        return draw_software_version(
            random,
            f"v{self._versions_by_service[service] + 1}",
            path_prefixes=[each for each in routes if routes[each] == service],
            now=monotonic(),
        )

    async def _order(
        self, random: Random, service: str, software: SoftwareVersion
    ) -> RolloutOrder:
        """Write the order, and start the new upstreams shortly before or after it."""
        offset_s = random.choice(START_OFFSETS_S)
        starting = await spawn(self._start, service, software, offset_s, daemon=True)
        await sleep(max(0.0, -offset_s))
        document = {
            "service": service,
            "target_version": software.name,
            "duration": f"{DURATION_S:.0f}s",
        }
        written_at: list[float] = []

        def make() -> dict[str, str]:
            written_at.append(monotonic())
            return document

        acked_at = await self.store.write(OPERATOR_TABLE, f"rollout/{service}", make)
        order = RolloutOrder(
            service=service,
            target=software.name,
            ordered_at=written_at[0],
            deadline=acked_at + DURATION_S,
            is_bad=software.is_bad,
        )
        self.orders.append(order)
        self.checks.counts["roll-outs ordered"] += 1
        await starting.join()
        return order

    async def _start(
        self, service: str, software: SoftwareVersion, offset_s: float
    ) -> None:
        await sleep(max(0.0, offset_s))
        baseline = self._in_force_by_service[service]
        for number in self.upstreams.of_software(service, baseline):
            zone = self.upstreams.current[number].zone
            await self.upstreams.add(service, zone, software)

    async def _watch(self, order: RolloutOrder) -> None:
        """Record the states of a roll-out that the operator reads."""
        last = None
        while True:
            state = self._read_state(order)
            if state is not None and state is not last:
                last = state
                change = StateChange(
                    service=order.service,
                    target=order.target,
                    state=state,
                    at=monotonic(),
                )
                self.state_changes.append(change)
            await sleep(POLL_S)

    def _read_state(self, order: RolloutOrder) -> PublishedState | None:
        if any(self.store.has_fault(kind, "") for kind in WRITE_BLOCKING_KINDS):
            return None
        row = self.store.rows_by_key.get((STATUS_TABLE, f"rollout/{order.service}"))
        document = {} if row is None else json.loads(base64.b64decode(row[1]))
        if document.get("target_version") != order.target:
            return None
        return PublishedState(document["state"])

    async def _follow(self, random: Random, order: RolloutOrder) -> None:
        """Wait for the end of a roll-out, and end the upstreams of one version."""
        service, target = order.service, order.target
        baseline = self._in_force_by_service[service]
        state = await self._wait_for_end(order)
        if state is PublishedState.COMPLETE:
            self._in_force_by_service[service] = target
            for number in self.upstreams.of_software(service, target):
                self.upstreams.current[number].in_force_at = monotonic()
            await self._end(self.upstreams.stop, service, baseline)
            await sleep(random.uniform(*WITHDRAW_AFTER_S))
            return
        if state is None:
            await self._withdraw(order)
        await sleep(random.uniform(*DRAIN_AFTER_S))
        await self._end(self.upstreams.leave_for_good, service, target)

    async def _wait_for_end(self, order: RolloutOrder) -> PublishedState | None:
        while monotonic() < order.deadline + WITHDRAWN_AFTER_S:
            for change in self.state_changes:
                is_end = change.state is not PublishedState.RUNNING
                names = (change.service, change.target)
                if is_end and names == (order.service, order.target):
                    return change.state
            await sleep(POLL_S)
        return None

    async def _end(
        self, end: Callable[[int], Awaitable[None]], service: str, name: str
    ) -> None:
        """End all upstreams of a version at the same time."""
        ending = [
            await spawn(end, number, daemon=True)
            for number in self.upstreams.of_software(service, name)
        ]
        for each in ending:
            await each.join()

    async def _withdraw(self, order: RolloutOrder) -> None:
        """Withdraw an order, and mend its target if that is in force with a flaw."""
        number = next(
            n
            for n, each in enumerate(self.orders)
            if each.ordered_at == order.ordered_at
        )
        if self.orders[number].withdrawn_at < inf:
            return
        service = order.service
        withdrawn_at = await self.store.write(
            OPERATOR_TABLE, f"rollout/{service}", lambda: None
        )
        self.orders[number] = evolve(order, withdrawn_at=withdrawn_at)
        if self._in_force_by_service[service] == order.target:
            for mended in self.upstreams.of_software(service, order.target):
                software = SoftwareVersion(name=order.target)
                self.upstreams.current[mended].software = software
