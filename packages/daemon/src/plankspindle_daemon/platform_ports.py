"""Interfaces of a daemon to the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Protocol

from attrs import Factory

from plankspindle_core.classes import frozen
from plankspindle_core.http.memory_budget import MemoryBudget
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.configuration.configuration_reader import ReaderPort
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.presence_port import PresencePort
from plankspindle_daemon.rollouts.rollout_record import RolloutRecordPort

if TYPE_CHECKING:
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings


class ExtraListener(Protocol):
    """A listener beside those for callers, operators and peers."""

    async def start(self) -> None:
        """Start to listen."""

    async def close(self) -> None:
        """Stop listening."""


ListenerFactory = Callable[[Node, Supervisor, MemoryBudget], ExtraListener]
"""Creates a listener that counts what its callers hold towards the budget."""


@frozen(kw_only=True)
class PlatformPorts:
    """Interfaces to the platform, and options that depend on it.

    Parameters
    ----------
    platform : PlatformClient
        Table service, object store and list of VMs.
    reader : ReaderPort
        Reader of the configuration.
    presence : PresencePort, optional
        Registers this VM in the list, if the platform does not do so itself.
    dialect : Dialect
        Names of headers in messages with callers and upstreams.
    listener_factories : tuple of callable
        Factories of additional listeners.
    lists_upstreams : bool
        Whether upstreams are declared by the list of VMs.
    all_vms_read_configuration : bool
        Whether every entry VM reads the configuration itself, not only a few of them.
    has_native_api : bool
        Whether callers can use the product's own interface: services by name, lookups,
        request ids and health. If not, routes alone decide what callers reach.
    heartbeats_across_domains : bool
        Whether entry VMs of all failure domains send heartbeats to one another.
    rollout_records : RolloutRecordPort, optional
        Keeps the records of roll-outs; None if there are no roll-outs.
    """

    platform: PlatformClient
    reader: ReaderPort
    presence: PresencePort | None = None
    dialect: Dialect = Factory(Dialect)
    listener_factories: tuple[ListenerFactory, ...] = ()
    lists_upstreams: bool = False
    all_vms_read_configuration: bool = False
    has_native_api: bool = True
    heartbeats_across_domains: bool = False
    rollout_records: RolloutRecordPort | None = None


def default_ports(settings: DaemonSettings) -> PlatformPorts:
    """Return the ports to a platform with the product's own interface."""
    from plankspindle_daemon.rollouts.platform_rollout_records import (
        PlatformRolloutRecords,
    )

    platform = PlatformClient(
        endpoint=settings.platform,
        timeout_s=settings.timing.platform_timeout_ms / 1000,
    )
    return PlatformPorts(
        platform=platform,
        reader=ConfigurationReader(platform=platform),
        rollout_records=PlatformRolloutRecords(platform=platform),
    )
