"""Simulated roll-outs of several entry VMs, with one clock, network and store."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import count
from random import Random

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.configuration.rollout import Rollout
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch.version_counts import ListedVersion
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.quarantine.aggregator_selector import AggregatorSelector
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.rollout_record import StoredRollout
from plankspindle_daemon.rollouts.rollouts import Rollouts
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_daemon.settings.daemon_settings import RolloutSettings
from plankspindle_daemon.versions.store_era import StoreEra
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_member
from plankspindle_testkit.builders import build_membership
from plankspindle_testkit.fake_version_dispatch import FakeVersionDispatch
from plankspindle_testkit.versions import build_version

SERVICE = "registry"
OLD, NEW = "1.0", "2.0"
TICK_S = 0.125
DELAY_S = 0.02
STORE_CALL_S = 0.03
STORE_AHEAD_S = 1_000.0
"""Time by which the store's clock is ahead, in seconds."""
REQUESTS_PER_TICK = 5
DETECTION_S = 2.0
"""Time after which a silent VM counts as failed, in seconds."""


@define(kw_only=True)
class FakeRecordStore:
    """Rows with conditional writes, which may be unavailable or lose its answers."""

    rows_by_service: dict[str, tuple[int, RolloutRecord]] = Factory(dict)
    is_down: bool = False
    loses_answers: bool = False
    era: int = 1
    reads: int = 0
    written: list[RolloutRecord] = Factory(list)

    def read(self, service: str, now: float) -> StoredRollout | None:
        """Return a record as read; None if there is no answer."""
        self.reads += 1
        if self.is_down:
            return None
        number, record = self.rows_by_service.get(service, (0, None))
        row = Row(key=service, version=number, era=self.era)
        return StoredRollout(record=record, row=row, store_now_s=now + STORE_AHEAD_S)

    def write(self, record: RolloutRecord, replacing: Row) -> bool:
        """Write a record if its row is as read; return whether that was answered."""
        number = self.rows_by_service.get(record.service, (0, None))[0]
        if self.is_down or (number, self.era) != (replacing.version, replacing.era):
            return False
        self.rows_by_service[record.service] = (number + 1, record)
        self.written.append(record)
        return not self.loses_answers


@define(kw_only=True)
class RolloutVm:
    """One process of an entry VM."""

    name: str
    failure_domain: str
    endpoint: Endpoint
    rollouts: Rollouts
    membership: Membership
    dispatch: FakeVersionDispatch
    keeper: Iterator[float]
    keeper_at: float = 0.0
    is_running: bool = True
    is_cut: bool = False
    is_cut_from_store: bool = False
    reachable_since: float = 0.0
    stages: list[tuple[float, Stage]] = Factory(list)

    @property
    def stage(self) -> Stage:
        """Stage that the VM knows."""
        return self.rollouts.rollouts_by_service[SERVICE].participant.stage

    @property
    def has_order(self) -> bool:
        """Whether the VM knows an order."""
        return self.rollouts.rollouts_by_service[SERVICE].participant.order is not None

    @property
    def collects(self) -> bool:
        """Whether the VM collects reports."""
        rollout = self.rollouts.rollouts_by_service[SERVICE]
        return self.is_running and rollout.collector is not None

    @property
    def coordinates(self) -> bool:
        """Whether the VM coordinates."""
        rollout = self.rollouts.rollouts_by_service[SERVICE]
        return self.is_running and rollout.coordinator is not None


@define(kw_only=True)
class RolloutFleet:
    """Entry VMs of two failure domains that roll one service out."""

    seed: int = 1
    vms_per_domain: int = 2
    now: float = 100.0
    loss: float = 0.0
    repeat: float = 0.0
    max_delay_s: float = DELAY_S
    store: FakeRecordStore = Factory(FakeRecordStore)
    vms_by_name: dict[str, RolloutVm] = Factory(dict)
    listed: dict[str, ListedVersion] = Factory(
        lambda: {OLD: ListedVersion(listed=12, warm=12)}
    )
    bad_share_by_version: dict[str, float] = Factory(dict)
    order: Rollout | None = None
    messages: int = 0
    detects_failures: bool = True
    random: Random = field(init=False)
    _revision: int = 0
    _numbers: Iterator[int] = Factory(count)
    _in_flight: list[tuple[float, int, Endpoint, SendToPeer]] = Factory(list)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        for domain in ("ba-1", "ke-1"):
            for number in range(self.vms_per_domain):
                self.start_vm(f"{domain}-{number}", domain)
        self.configure()

    def start_vm(self, name: str, failure_domain: str) -> None:
        """Start a process, in place of an earlier one of the VM."""
        known = self.vms_by_name.get(name)
        endpoint = known.endpoint if known else Endpoint("127.0.0.1", self._port())
        membership = build_membership(name, all_domains=True)
        dispatch = FakeVersionDispatch(
            failure_domain=failure_domain,
            random=self.random,
            listed=self.listed,
            bad_share_by_version=self.bad_share_by_version,
        )
        rollouts = Rollouts(
            selector=AggregatorSelector(
                vm=name, failure_domain=failure_domain, membership=membership
            ),
            incarnation=self.random.getrandbits(32),
            dispatch=dispatch,
            settings=RolloutSettings(enabled=True),
            store_era=StoreEra(number=self.store.era),
        )
        vm = RolloutVm(
            name=name,
            failure_domain=failure_domain,
            endpoint=endpoint,
            rollouts=rollouts,
            membership=membership,
            dispatch=dispatch,
            keeper=self._keep_records(rollouts),
            reachable_since=self.now,
        )
        self.vms_by_name[name] = vm
        self._exchange_heartbeats()
        self._configure_vm(vm)

    def _port(self) -> int:
        return 7000 + len(self.vms_by_name)

    def configure(self, order: Rollout | None = None) -> None:
        """Put a configuration with an order, or without one, in force at all VMs."""
        self.order = order
        self._revision += 1
        for vm in self.vms_by_name.values():
            self._configure_vm(vm)

    def _configure_vm(self, vm: RolloutVm) -> None:
        orders = {} if self.order is None else {SERVICE: self.order}
        vm.rollouts.update_configuration(
            build_configuration(rollouts_by_service=orders),
            build_version(max(1, self._revision), era=self.store.era),
            self.now,
        )
        vm.rollouts.observe_versions(self.now)

    def list_target(self, *, listed: int = 12, warm: int = 12) -> None:
        """List upstreams of the new version at all VMs."""
        self.listed[NEW] = ListedVersion(listed=listed, warm=warm)
        for vm in self.vms_by_name.values():
            vm.rollouts.observe_versions(self.now)

    def give_order(self, *, duration_s: float = 30.0, number: int = 7) -> None:
        """Order a roll-out to the new version, whose upstreams are listed."""
        self.configure(
            Rollout(
                target_version=NEW, duration_ms=round(1000 * duration_s), number=number
            )
        )
        self.list_target()

    def return_store(self, rows: dict[str, tuple[int, RolloutRecord]]) -> None:
        """Let the store return from a copy that has these rows."""
        self.store.rows_by_service = dict(rows)
        self.store.era += 1
        for vm in self.vms_by_name.values():
            vm.rollouts.store_era.observe(self.store.era, self.now)

    def restart_all(self, order: Rollout | None = None) -> None:
        """Stop all processes, and start them anew with an order or without one."""
        for vm in self.running():
            vm.is_running = False
        self.configure(order)
        for vm in list(self.vms_by_name.values()):
            self.start_vm(vm.name, vm.failure_domain)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self._step()

    def _step(self) -> None:
        self.now += TICK_S
        self._exchange_heartbeats()
        self._deliver()
        for vm in self.running():
            self._send(vm, vm.rollouts.tick(self.now))
            while vm.keeper_at <= self.now and not vm.is_cut_from_store:
                vm.keeper_at += next(vm.keeper)
            self._note_stage(vm)
            vm.dispatch.send_requests(REQUESTS_PER_TICK, self.now)

    def running(self) -> list[RolloutVm]:
        """Return the VMs whose process runs."""
        return [vm for vm in self.vms_by_name.values() if vm.is_running]

    def coordinators(self) -> list[RolloutVm]:
        """Return the VMs that coordinate."""
        return [vm for vm in self.running() if vm.coordinates]

    def in_touch(self, *, for_s: float) -> list[RolloutVm]:
        """Return the VMs that could exchange messages for some time, in seconds."""
        return [
            vm
            for vm in self.running()
            if not vm.is_cut and self.now - vm.reachable_since >= for_s
        ]

    def cut(self, vm: RolloutVm, *, is_cut: bool, with_store: bool = False) -> None:
        """Cut a VM off from the others, also from the store, or connect it again."""
        vm.is_cut = is_cut
        vm.is_cut_from_store = is_cut and with_store
        vm.keeper_at = max(vm.keeper_at, self.now)
        vm.reachable_since = self.now

    def _exchange_heartbeats(self) -> None:
        for vm in self.vms_by_name.values():
            for other in self.vms_by_name.values():
                if other is not vm:
                    self._hear(vm, other)

    def _hear(self, vm: RolloutVm, other: RolloutVm) -> None:
        members = vm.membership.members_by_name
        if other.name not in members:
            members[other.name] = build_member(
                other.name, failure_domain=other.failure_domain
            )
            members[other.name].peer_endpoint = other.endpoint
            members[other.name].known_since = self.now
        is_heard = other.is_running and not (vm.is_cut or other.is_cut)
        if is_heard or not self.detects_failures:
            members[other.name].last_heartbeat_at = self.now

    def _send(self, sender: RolloutVm, effects: list[SendToPeer]) -> None:
        self.messages += len(effects)
        for effect in effects:
            copies = 1 + (self.random.random() < self.repeat)
            for _ in range(copies):
                if sender.is_cut or self.random.random() < self.loss:
                    continue
                at = self.now + self.random.uniform(0.0, self.max_delay_s)
                sent = (at, next(self._numbers), sender.endpoint, effect)
                heapq.heappush(self._in_flight, sent)

    def _deliver(self) -> None:
        vm_by_endpoint = {vm.endpoint: vm for vm in self.running() if not vm.is_cut}
        while self._in_flight and self._in_flight[0][0] <= self.now:
            at, _, sender, effect = heapq.heappop(self._in_flight)
            vm, message = vm_by_endpoint.get(effect.to), effect.message
            if vm is None or not isinstance(message, RolloutReport | RolloutDirective):
                continue
            self._send(vm, vm.rollouts.handle(message, sender, self.now))
            self._note_stage(vm)

    def _note_stage(self, vm: RolloutVm) -> None:
        if not vm.stages or vm.stages[-1][1] is not vm.stage:
            vm.stages.append((self.now, vm.stage))

    def _keep_records(self, rollouts: Rollouts) -> Iterator[float]:
        """Do what :class:`RecordKeeper` does; yield the time that each call takes."""
        while True:
            if not rollouts.services_with_record_work(self.now):
                yield TICK_S
                continue
            read_at = self.now
            stored = self.store.read(SERVICE, self.now)
            yield STORE_CALL_S
            if stored is None:
                yield TICK_S
                continue
            rollouts.handle_record(SERVICE, stored, read_at=read_at, now=self.now)
            record = rollouts.record_to_write(SERVICE, self.now)
            if record is None:
                continue
            is_answered = self.store.write(record, stored.row)
            yield STORE_CALL_S
            if is_answered:
                rollouts.handle_written(record, self.now)
