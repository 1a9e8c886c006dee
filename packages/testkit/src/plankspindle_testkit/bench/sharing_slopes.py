"""Processor time of shared platform reads, by the size of a failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.sharing.shared_reads import SharedReads
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import FrameSealer
from plankspindle_testkit.bench.median_time import median_ms
from plankspindle_testkit.builders import build_reader_group
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.versions import build_list_version
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer

UPSTREAMS = tuple(
    ListedVm(
        name=f"u{number}",
        kind=VmKind.UPSTREAM,
        failure_domain="ba-1",
        upstream=build_upstream(),
    )
    for number in range(232)
)
READ_INTERVAL_S = 100.0
"""Time between two reads, in seconds; long enough for a VM to start sharing them."""
KEY = b"k" * 16


def broadcast_ms(members: int) -> float:
    """Read a list of 232 upstreams and send it to all members of the domain."""
    reads = _build_reads("vm-0000", members)
    sealer = FrameSealer(keys=[KEY])
    versions = iter(range(2, 10**6))

    def broadcast() -> None:
        for sent in _read_list(reads, version=next(versions)):
            sealer.seal(encode(sent.message))

    return median_ms(broadcast)


def receive_ms(members: int) -> float:
    """Receive and apply the update of a reader."""
    reader = _build_reads("vm-0000", members)
    reads = _build_reads("vm-0001", members)
    sealer = FrameSealer(keys=[KEY])
    frame = sealer.seal(encode(_read_list(reader, version=2)[0].message))

    def receive() -> None:
        update = sealer.open(frame).and_then(decode).unwrap()
        assert isinstance(update, ListNews)
        reads.apply_update(update, READ_INTERVAL_S)

    return median_ms(receive)


def _build_reads(vm: str, members: int) -> SharedReads:
    """Build the shared reads of one entry VM, after its first read of the list."""
    names = [f"vm-{number:04}" for number in range(members)]
    reads = SharedReads(group=build_reader_group(vm, names), period_s=1.0)
    _read_list(reads, version=1)
    return reads


def _read_list(reads: SharedReads, *, version: int) -> list[SendToPeer]:
    return reads.record_list_read(
        UPSTREAMS,
        version=build_list_version(version),
        configuration_version=build_version(1),
        retained_until=0.0,
        now=READ_INTERVAL_S * version,
    )
