"""What all parts of a trial share: time, chance, network, platform, VMs, upstreams."""

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
    """What a trial does.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    configuration : Configuration
        First version.
    places : list of VmAddresses
        Entry VMs.
    request_rate : float
        Requests each second, all VMs together.
    fault_rate : float
        Faults each second.
    partitions_within_domains : bool
        Whether VMs of one failure domain are cut off from each other; the slots of
        an upstream may then be passed, up to once for each group of VMs.
    fault_free : bool
        Whether messages and calls at the platform go well by themselves.
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
    """State of a trial.

    Parameters
    ----------
    options : TrialOptions
        What the trial does.
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
        calm = self.options.fault_free
        self.network = FakeNetwork(
            random=self.random,
            loss=0.0 if calm else 0.1,
            duplication=0.0 if calm else 0.05,
        )
        self.platform = FakePlatform(
            random=self.random, fault_rate=0.0 if calm else 0.1
        )
        for name, each in self.options.configuration.upstreams_by_name.items():
            self.upstreams_by_name[name] = FakeUpstream(name=name, slots=each.slots)

    def add_trace_line(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.now:9.3f} {text}")

    def wall(self) -> float:
        """Seconds since the Unix epoch, as all VMs see them."""
        return self.now + WALL_OFFSET_S

    def send(self, vm: TrialVm, message: PeerMessage, to: Endpoint) -> None:
        """Send a message from one VM to another."""
        self.network.send(message, sender=vm.place.peer, to=to, now=self.now)
