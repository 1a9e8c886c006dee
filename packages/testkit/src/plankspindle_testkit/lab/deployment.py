"""Entry VMs and upstreams of a run, and the delays between them."""

from __future__ import annotations

from random import Random

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_daemon.steering.steering import SUFFICIENT_VMS_IN_DOMAIN
from plankspindle_testkit.lab.lab_vm import LabVm
from plankspindle_testkit.lab.lab_vm import configuration_of
from plankspindle_testkit.lab.lab_vm import vm_names
from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream
from plankspindle_testkit.lab.pattern import Pattern


@define(kw_only=True)
class Deployment:
    """The simulated deployment.

    Parameters
    ----------
    pattern : Pattern
        Pattern of the run.
    random : Random
        Source of all random choices.

    Attributes
    ----------
    upstreams_by_name : dict of str to ModelledUpstream
        The upstreams.
    vms_by_name : dict of str to LabVm
        The entry VMs.
    drained_domains : set of str
        Failure domains whose upstreams get no requests.
    store_era : int
        Era of the platform's store, which lists the upstreams.
    """

    pattern: Pattern
    random: Random
    upstreams_by_name: dict[str, ModelledUpstream] = field(init=False)
    vms_by_name: dict[str, LabVm] = field(init=False)
    drained_domains: set[str] = Factory(set)
    store_era: int = 1
    _configuration: Configuration = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._configuration = configuration_of(self.pattern)
        self.upstreams_by_name = {
            f"{service}/{domain}-{number}": self._make_upstream(service, domain, number)
            for service, model in self.pattern.services_by_name.items()
            for domain, count in model.upstreams_by_domain.items()
            for number in range(count)
        }
        self.vms_by_name = {}
        self.start_vms(0.0)

    def _make_upstream(
        self, service: str, domain: str, number: int
    ) -> ModelledUpstream:
        return ModelledUpstream(
            name=f"{service}/{domain}-{number}",
            domain=domain,
            service_name=service,
            service=self.pattern.services_by_name[service],
            operations_by_name=self.pattern.operations_by_name,
            random=Random(self.random.getrandbits(64)),
        )

    def start_vms(self, now: float) -> None:
        """Start all entry VMs without state from before."""
        for name, domain in vm_names(self.pattern).items():
            vm = LabVm.start(
                name=name,
                domain=domain,
                pattern=self.pattern,
                seed=self.random.getrandbits(64),
                now=now,
                drained=self.drained_domains,
            )
            vm.read_list(self.upstreams_by_name.values(), now, era=self.store_era)
            self.vms_by_name[name] = vm

    def running_vms(self) -> list[LabVm]:
        """Return the running entry VMs."""
        return [each for each in self.vms_by_name.values() if each.is_up]

    def choose_vm(self, domain: str) -> LabVm | None:
        """Return a random entry VM of the domain or its region, as lookups do."""
        regions = self.pattern.region_by_domain
        running = self.running_vms()
        own = [each for each in running if each.domain == domain]
        if len(own) >= SUFFICIENT_VMS_IN_DOMAIN:
            return self.random.choice(own)
        local = [each for each in running if regions[each.domain] == regions[domain]]
        return self.random.choice(local or running) if running else None

    def one_way_s(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains, in seconds."""
        return self._configuration.distance_ms(domain, other) / 1000
