"""Tests of following the list by updates from another entry VM."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import Factory
from attrs import define
from attrs import evolve
from result import Ok

from plankspindle_core.configuration.service import SlotSharing
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.node.list_follower import ListFollower
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.sharing.reader_group import ReaderGroup
from plankspindle_daemon.sharing.shared_reads import SETTLE_S
from plankspindle_daemon.sharing.shared_reads import SharedReads
from plankspindle_daemon.sharing.upstream_codec import encode_upstream
from plankspindle_daemon.versions.store_version import StoreVersion
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.versions import build_list_version
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from collections.abc import Iterable

NAMES = tuple(f"vm-{number}" for number in range(6))
PLACE = VmAddresses(
    name="vm-5", failure_domain="ba-1", host="127.0.0.1", base_port=7000
)
WATCH_S = 0.5
PERIOD_S = 0.05


def listed(name: str) -> ListedVm:
    return ListedVm(
        name=name,
        kind=VmKind.UPSTREAM,
        failure_domain="ba-1",
        upstream=build_upstream(failure_domain="ba-1"),
    )


def entry_vm(name: str) -> ListedVm:
    return ListedVm(
        name=name,
        kind=VmKind.ENTRY,
        failure_domain="ba-1",
        peer_endpoint=Endpoint("127.0.0.1", 7_100 + NAMES.index(name)),
    )


@define(kw_only=True)
class FakePlatform:
    """A list in memory."""

    by_name: dict[str, ListedVm] = Factory(dict)
    list_version: StoreVersion = build_list_version(1)
    unreadable_names: frozenset[str] = frozenset()

    def apply_list_change(
        self, *, version: StoreVersion, changed: Iterable[ListedVm], gone: Iterable[str]
    ) -> list[ListedVm]:
        self.by_name |= {each.name: each for each in changed}
        for name in gone:
            del self.by_name[name]
        self.list_version = version
        return self.complete_list()

    def complete_list(self) -> list[ListedVm]:
        return [*self.by_name.values(), *map(entry_vm, NAMES)]


@define(kw_only=True)
class FakeEffects:
    """Records the effects that would be carried out."""

    performed: list[Any] = Factory(list)

    async def perform(self, effects: list[Any]) -> None:
        self.performed += effects


def build_follower(*upstreams: str) -> ListFollower:
    """Build a follower that has read version 1 of the list, with some upstreams."""
    node = TrialVm.start(PLACE, seeds=[], random=Random(1), now=0.0).node
    group = ReaderGroup(
        vm=PLACE.name, failure_domain="ba-1", membership=node.membership
    )
    node.shared_reads = SharedReads(group=group, period_s=1.0)
    node.adopt(
        build_configuration(
            services_by_name={
                "registry": build_service(slot_sharing=SlotSharing.REPORTED)
            },
            upstreams_by_name={},
        ),
        version=build_version(1),
        now=0.0,
    )
    vms = [listed(name) for name in upstreams]
    follower = ListFollower(
        node=node,
        platform=FakePlatform(by_name={each.name: each for each in vms}),
        effects=FakeEffects(),
        period_s=1.0,
    )
    curio.run(follower._apply_read, follower.platform.complete_list())
    return follower


def build_update(**fields: Any) -> ListNews:
    defaults: dict[str, Any] = {
        "sender": "vm-0",
        "bases": (1, 1),
        "base_era": 0,
        "version": build_list_version(2),
        "list_age_ms": 0,
        "configuration_age_ms": 0,
        "configuration_version": build_version(1),
    }
    return ListNews(**{**defaults, **fields})


def upstreams_of(follower: ListFollower) -> set[str]:
    by_name = follower.node.dispatchers_by_service["registry"].upstreams_by_name
    return {name for name, upstream in by_name.items() if not upstream.leaving}


def test_received_change_is_applied_immediately() -> None:
    follower = build_follower("a", "b")
    encoded = encode_upstream(listed("c"), 0.0)
    curio.run(follower.apply_update, build_update(changed=(encoded,), gone=("a",)))
    assert upstreams_of(follower) == {"b", "c"}
    assert follower.platform.list_version == build_list_version(2)
    assert follower.node.shared_reads.list_version == build_list_version(2)


def test_update_from_vm_outside_group_is_ignored() -> None:
    follower = build_follower("a")
    update = build_update(
        sender="stranger", gone=("a",), configuration_version=build_version(9)
    )
    follower.effects.performed.clear()
    curio.run(follower.apply_update, update)
    assert upstreams_of(follower) == {"a"}
    assert follower.effects.performed == []


def test_entries_missing_after_outage_of_reader_are_retained_for_limited_time() -> None:
    follower = build_follower("a", "b")
    curio.run(follower.apply_update, build_update(gone=("a",), after_gap=True))
    assert upstreams_of(follower) == {"a", "b"}
    assert follower.node.services.listed.needs_reapplying
    follower.node.services.listed._grace_until = 0.0
    curio.run(follower.apply_update, build_update(bases=(2, 2)))
    assert upstreams_of(follower) == {"b"}


def test_higher_configuration_version_is_requested_from_reader() -> None:
    follower = build_follower("a")
    curio.run(
        follower.apply_update, build_update(configuration_version=build_version(2))
    )
    requests = [
        each.message
        for each in follower.effects.performed
        if isinstance(each, SendToPeer)
    ]
    assert [each.version for each in requests if isinstance(each, ContentRequest)] == [
        build_version(2)
    ]


def test_list_read_is_broadcast_once_reads_are_shared() -> None:
    follower = build_follower("a")
    follower.node.shared_reads._settled_at -= SETTLE_S
    follower.effects.performed.clear()
    curio.run(follower._apply_read, follower.platform.complete_list())
    sent = [each for each in follower.effects.performed if isinstance(each, SendToPeer)]
    assert len(sent) == len(NAMES) - 1
    assert all(isinstance(each.message, ListNews) for each in sent)


def test_vm_reads_list_itself_after_process_pause() -> None:
    follower = build_follower("a")
    reads = follower.node.shared_reads
    reads._settled_at -= SETTLE_S
    now = monotonic()
    reads.record_configuration_read(build_version(1), now)
    curio.run(
        follower.apply_update, build_update(bases=(1, 1), version=build_list_version(1))
    )
    assert not reads.should_read_list(now)
    follower.node.recover_from_pause(now=now, wall=now)
    assert reads.should_read_list(now)
    curio.run(follower._apply_read, follower.platform.complete_list())
    assert not reads.should_read_list(monotonic())


def test_stale_update_does_not_refresh_age_of_list() -> None:
    follower = build_follower("a")
    follower.node.services.listed._read_at -= 1.0
    read_at = follower.node.services.listed._read_at
    update = build_update(
        bases=(1, 1), version=build_list_version(1), list_age_ms=60_000
    )
    curio.run(follower.apply_update, update)
    assert follower.node.services.listed._read_at == read_at
    curio.run(follower.apply_update, evolve(update, list_age_ms=100))
    assert follower.node.services.listed._read_at != read_at


@define(kw_only=True)
class WatchedPlatform(FakePlatform):
    """A list that supports waiting for changes; records when and how long a VM waits.

    Attributes
    ----------
    waits : list of (float, float)
        Pause before each read but the first, and the wait that it allowed, in seconds.
    """

    long_poll_s: float = WATCH_S
    waits: list[tuple[float, float]] = Factory(list)
    _ended_at: float | None = None

    async def read_live_list(self, wait_s: float | None = None) -> Any:
        if self._ended_at is not None:
            allowed_s = self.long_poll_s if wait_s is None else wait_s
            self.waits.append((monotonic() - self._ended_at, allowed_s))
        await curio.sleep(0.0)
        self._ended_at = monotonic()
        return Ok(self.complete_list())


def test_longer_pause_for_long_list_shortens_following_wait() -> None:
    """A pause beyond the regular one is subtracted from the wait that follows it.

    Otherwise a connection lost during the wait would be noticed later the longer the
    list is.
    """
    follower = build_follower(*(f"u{number}" for number in range(300)))
    platform = WatchedPlatform(by_name=follower.platform.by_name)
    follower.platform = platform
    follower.period_s = PERIOD_S

    async def follow() -> None:
        task = await curio.spawn(follower.run, daemon=True)
        while len(platform.waits) < 3:
            await curio.sleep(0.01)
        await task.cancel()

    curio.run(follow)
    tolerance_s = 0.1
    for paused_s, allowed_s in platform.waits:
        assert paused_s + allowed_s < WATCH_S + 1.2 * PERIOD_S + tolerance_s
    assert max(paused_s for paused_s, _ in platform.waits) > 3 * PERIOD_S
