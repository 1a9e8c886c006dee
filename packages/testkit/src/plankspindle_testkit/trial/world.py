"""Shared state of a trial: time, randomness, network, platform, VMs and upstreams."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.trial.fake_network import FakeNetwork
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_upstream import FakeUpstream
from plankspindle_testkit.trial.ground_truth import GroundTruth
from plankspindle_testkit.trial.trial_vm import TrialVm

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.peer_message import PeerMessage

SERVICE = "registry"
WALL_OFFSET_S = 1_000_000.0


@frozen(kw_only=True)
class TrialOptions:
    """Options of a trial.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    configuration : Configuration
        First version of the configuration.
    places : list of VmAddresses
        Entry VMs.
    request_rate : float
        Requests per simulated second, over all VMs.
    fault_rate : float
        Faults per simulated second.
    partitions_within_domains : bool
        Whether VMs of one failure domain are partitioned from each other. The slots
        of an upstream may then be exceeded: each group of VMs may use all of them.
    fault_free : bool
        Whether messages and calls to the platform have no random faults.
    """

    seed: int
    configuration: Configuration
    places: list[VmAddresses]
    request_rate: float = 40.0
    fault_rate: float = 0.5
    partitions_within_domains: bool = False
    fault_free: bool = False


@define(kw_only=True)
class World:
    """Shared state of a trial.

    Parameters
    ----------
    options : TrialOptions
        Options of the trial.
    """

    options: TrialOptions
    now: float = 100.0
    random: Random = field(init=False)
    network: FakeNetwork = field(init=False)
    platform: FakePlatform = field(init=False)
    ground_truth: GroundTruth = field(factory=GroundTruth)
    vms_by_name: dict[str, TrialVm] = field(factory=dict)
    upstreams_by_name: dict[str, FakeUpstream] = field(factory=dict)
    listed_by_name: dict[str, ListedVm] = field(factory=dict)
    trace: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.options.seed)
        fault_free = self.options.fault_free
        self.network = FakeNetwork(
            random=self.random,
            loss=0.0 if fault_free else 0.1,
            duplication=0.0 if fault_free else 0.05,
        )
        self.platform = FakePlatform(
            random=self.random, fault_rate=0.0 if fault_free else 0.1
        )
        for name, each in self.options.configuration.upstreams_by_name.items():
            self.upstreams_by_name[name] = FakeUpstream(name=name, slots=each.slots)

    def add_trace_line(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.now:9.3f} {text}")

    def wall(self) -> float:
        """Return the time in seconds since the Unix epoch, the same for all VMs."""
        return self.now + WALL_OFFSET_S

    def send(self, vm: TrialVm, message: PeerMessage, to: Endpoint) -> None:
        """Send a message from one VM to another."""
        self.network.send(message, sender=vm.place.peer, to=to, now=self.now)
