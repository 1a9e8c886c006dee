"""The parts of a daemon that follow the fleet's platform, several in one process."""

from __future__ import annotations

from random import Random
from time import time
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import define
from attrs import evolve

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.configuration_follower import ConfigurationFollower
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.list_follower import ListFollower
from plankspindle_daemon.node.make_node import make_node
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.quota_runner import QuotaRunner
from plankspindle_daemon.wire.frame import FrameSealer
from plankspindle_platform.operator_reader import OperatorReader
from plankspindle_platform.row_store import RowStore
from plankspindle_platform.store_platform import StorePlatform
from plankspindle_testkit.loopback_network import loopback_host

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_platform.boot_settings import BootSettings

MAX_POLLS = 400
"""Polls, 0.05 s apart, after which a wait for a condition fails."""


@define(kw_only=True)
class FleetVm:
    """One entry VM: the parts of a daemon that follow the platform."""

    node: Node
    platform: StorePlatform
    peers: PeerLink
    effects: EffectRunner
    lists: ListFollower
    configurations: ConfigurationFollower
    tasks: list[Any]

    async def start(self) -> None:
        await self.peers.start(self.effects.receive)
        await self.platform.entry_vms.announce()
        self.tasks.append(await curio.spawn(self.tick))
        self.tasks.append(await curio.spawn(self.lists.run))
        self.tasks.append(await curio.spawn(self.configurations.run))

    async def tick(self) -> None:
        while True:
            await curio.sleep(0.05)
            effects = self.node.tick(now=monotonic(), wall=time())
            await self.effects.perform(effects)

    async def close(self) -> None:
        for task in self.tasks:
            await task.cancel()
        await self.peers.close()

    def upstreams(self) -> set[str]:
        dispatcher = self.node.dispatchers_by_service.get("desk")
        if dispatcher is None:
            return set()
        by_name = dispatcher.upstreams_by_name
        return {name for name, each in by_name.items() if not each.leaving}

    def is_drained(self) -> bool:
        configuration = self.node.configuration
        return configuration is not None and bool(configuration.drains_by_id)

    def routes(self) -> int:
        configuration = self.node.configuration
        return 0 if configuration is None else len(configuration.routes_by_name)


def build_vm(
    number: int, store: Endpoint, boot: BootSettings, **timing: int
) -> FleetVm:
    """Build a VM; times that are not given follow from the platform's bounds."""
    host = loopback_host(8, number + 1)
    settings = evolve(
        boot.daemon,
        vm=f"edge-a-{number}",
        platform=store,
        peers=[],
        listen=evolve(
            boot.daemon.listen,
            peer=Endpoint(host, store.port),
            caller=Endpoint(host, store.port + 1),
        ),
        timing=evolve(boot.daemon.timing, **timing),
    )
    boot = evolve(boot, daemon=settings)
    random, supervisor = Random(number), Supervisor()
    platform = StorePlatform(settings=settings)
    node = make_node(
        settings,
        random,
        all_domains=True,
        lists_upstreams=True,
        store_era=platform.calls.era,
    )
    operator_store = RowStore(endpoint=store, calls=platform.calls)
    peers = PeerLink(
        endpoint=settings.listen.peer,
        sealer=FrameSealer(keys=[b"k" * 16]),
        membership=node.membership,
        random=random,
        supervisor=supervisor,
    )
    dispatch = DispatchRunner(node=node, peers=peers, supervisor=supervisor)
    effects = EffectRunner(
        node=node,
        peers=peers,
        dispatch=dispatch,
        quotas=QuotaRunner(node=node, peers=peers),
        leave=lambda _: None,
    )
    lists = ListFollower(node=node, platform=platform, effects=effects, period_s=0.05)
    effects.on_list_update = lists.apply_update
    configurations = ConfigurationFollower(
        node=node,
        reader=OperatorReader(store=operator_store, boot=boot),
        effects=effects,
        period_s=0.05,
        all_read=True,
    )
    return FleetVm(
        node=node,
        platform=platform,
        peers=peers,
        effects=effects,
        lists=lists,
        configurations=configurations,
        tasks=[],
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail if it does not within 20 s."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await curio.sleep(0.05)
    raise AssertionError("the condition did not hold in time")
