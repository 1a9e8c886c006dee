"""Fetching of configuration versions from members."""

from __future__ import annotations

from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.configuration.broadcast_targets import broadcast_targets
from plankspindle_daemon.configuration.version_exchange import CHUNK_RETRY_S
from plankspindle_daemon.configuration.version_exchange import FETCH_TIMEOUT_S
from plankspindle_daemon.configuration.version_exchange import READER_TIMEOUT_S
from plankspindle_daemon.configuration.version_exchange import SENT_CHUNKS_BURST
from plankspindle_daemon.configuration.version_exchange import SENT_CHUNKS_PER_S
from plankspindle_daemon.configuration.version_exchange import SOURCE_TIMEOUT_S
from plankspindle_daemon.configuration.version_exchange import FetchedContent
from plankspindle_daemon.configuration.version_exchange import SameContent
from plankspindle_daemon.configuration.version_exchange import VersionExchange
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_testkit.versions import build_version

MEMBERS = ("a", "b", "c", "d")


def build_source(content: bytes, version: int = 5) -> VersionExchange:
    source = VersionExchange(vm="source")
    source.serve_version(build_version(version), lambda: content)
    return source


def build_content(length: int) -> bytes:
    return Random(length).randbytes(length)


@given(
    length=st.integers(0, 60_000),
    loss=st.floats(0.0, 0.5),
    seed=st.integers(0, 1000),
)
def test_content_is_fetched_despite_lost_duplicated_and_reordered_chunks(
    length: int, loss: float, seed: int
) -> None:
    random = Random(seed)
    content = build_content(length)
    source = build_source(content)
    fetcher = VersionExchange(vm="learner")
    now = 0.0
    pending = fetcher.handle_announcement("source", build_version(5), now)
    while pending:
        random.shuffle(pending)
        next_requests: list[ContentRequest] = []
        for request in pending:
            chunk = source.chunk_for(request, now)
            assert chunk is not None
            for _ in range(random.choice([1, 1, 2])):
                if random.random() < loss:
                    continue
                result = fetcher.handle_chunk(chunk, now).unwrap()
                if isinstance(result, FetchedContent):
                    assert result == FetchedContent(
                        version=build_version(5), content=content
                    )
                    return
                next_requests += result
        pending = next_requests
        if not pending:
            now += CHUNK_RETRY_S
            _, pending = fetcher.tick(now)
    assert now > FETCH_TIMEOUT_S


def test_lower_or_current_version_is_not_requested() -> None:
    fetcher = VersionExchange(vm="learner")
    fetcher.serve_version(build_version(5), lambda: b"mine")
    assert fetcher.handle_announcement("source", build_version(5), 0.0) == []
    assert fetcher.handle_announcement("source", build_version(4), 0.0) == []
    assert fetcher.handle_announcement("source", build_version(6), 0.0)
    assert fetcher.handle_announcement("other", build_version(6), 0.0) == []


def test_damaged_content_is_rejected_and_requested_again() -> None:
    source = build_source(build_content(500))
    fetcher = VersionExchange(vm="learner")
    request = fetcher.handle_announcement("source", build_version(5), 0.0)[0]
    chunk = source.chunk_for(request, 0.0)
    assert chunk is not None
    damaged = evolve(chunk, digest="0" * 64)
    assert fetcher.handle_chunk(damaged, 0.0).is_err()
    assert fetcher.damaged_count == 1
    assert fetcher.handle_announcement("source", build_version(5), 0.1)


def test_chunk_of_oversized_content_is_ignored() -> None:
    fetcher = VersionExchange(vm="learner")
    fetcher.handle_announcement("source", build_version(5), 0.0)
    huge = ContentChunk(
        sender="source",
        version=build_version(5),
        digest="",
        offset=0,
        total=2**31,
        data=b"x",
    )
    assert fetcher.handle_chunk(huge, 0.0).unwrap() == []


def test_request_for_other_version_or_invalid_offset_gets_no_chunk() -> None:
    source = build_source(build_content(5_000))
    for version, offset in ((4, 0), (5, 7), (5, 1_000_000)):
        request = ContentRequest(
            sender="x", version=build_version(version), offset=offset
        )
        assert source.chunk_for(request, 0.0) is None


def test_first_members_poll_and_all_members_poll_after_reader_timeout() -> None:
    readers = [
        vm
        for vm in MEMBERS
        if VersionExchange(vm=vm).is_reader(MEMBERS, now=10.0, reported_at=9.0)
    ]
    assert readers == ["a", "b"]
    last_member = VersionExchange(vm="d")
    assert last_member.is_reader(
        MEMBERS, now=10.0, reported_at=10.0 - READER_TIMEOUT_S - 0.1
    )


def test_ring_neighbours_are_always_broadcast_targets() -> None:
    for _ in range(20):
        targets = broadcast_targets(own_name="a", members=MEMBERS, random=Random(1))
        assert {"b", "d"} <= set(targets)
        assert "a" not in targets
    assert broadcast_targets(own_name="a", members=("a",), random=Random(1)) == []


def test_unresponsive_source_is_replaced() -> None:
    fetcher = VersionExchange(vm="learner")
    assert fetcher.handle_announcement("dead", build_version(5), 0.0)
    assert (
        fetcher.handle_announcement("source", build_version(5), SOURCE_TIMEOUT_S - 0.1)
        == []
    )
    (request,) = fetcher.handle_announcement(
        "source", build_version(5), SOURCE_TIMEOUT_S
    )
    chunk = build_source(b"content").chunk_for(request, 0.0)
    assert chunk is not None
    result = fetcher.handle_chunk(chunk, SOURCE_TIMEOUT_S + 0.1).unwrap()
    assert result == FetchedContent(version=build_version(5), content=b"content")


# A VM that restarts reads the same documents as of a later transaction. Its number is
# the highest, and all members fetched the whole content from it, which filled its link.
def test_same_content_under_higher_number_is_not_transferred() -> None:
    content = build_content(90_000)
    restarted = VersionExchange(vm="restarted")
    restarted.serve_version(build_version(3, number=60), lambda: content)
    members = [VersionExchange(vm=f"member-{number}") for number in range(79)]
    sent = 0
    for member in members:
        member.serve_version(build_version(3, number=50), lambda: content)
        requests = member.handle_announcement("restarted", restarted.version, 0.0)
        while requests:
            chunk = restarted.chunk_for(requests.pop(), 0.0)
            assert chunk is not None
            sent += 1
            result = member.handle_chunk(chunk, 0.0).unwrap()
            assert result == SameContent(version=restarted.version)
        member.serve_same_content(restarted.version)
        assert member.handle_announcement("restarted", restarted.version, 1.0) == []
    assert sent == len(members)


def test_other_content_under_higher_number_is_fetched() -> None:
    source = VersionExchange(vm="source")
    source.serve_version(build_version(3, number=60), lambda: b"drained")
    member = VersionExchange(vm="member")
    member.serve_version(build_version(3, number=50), lambda: b"not drained")
    (request,) = member.handle_announcement("source", source.version, 0.0)
    chunk = source.chunk_for(request, 0.0)
    assert chunk is not None
    result = member.handle_chunk(chunk, 0.0).unwrap()
    assert result == FetchedContent(version=source.version, content=b"drained")


def test_chunks_sent_are_limited() -> None:
    source = build_source(build_content(90_000))
    request = ContentRequest(sender="x", version=build_version(5), offset=0)
    asked = [source.chunk_for(request, number / 10_000) for number in range(10_000)]
    sent = sum(each is not None for each in asked)
    assert sent == SENT_CHUNKS_BURST + SENT_CHUNKS_PER_S - 1


def test_fetched_content_is_served_without_encoding_it_again() -> None:
    source = build_source(build_content(500))
    member = VersionExchange(vm="member")
    (request,) = member.handle_announcement("source", build_version(5), 0.0)
    chunk = source.chunk_for(request, 0.0)
    assert chunk is not None
    fetched = member.handle_chunk(chunk, 0.0).unwrap()
    assert isinstance(fetched, FetchedContent)

    def encode() -> bytes:
        raise AssertionError("encoded again")

    member.serve_version(fetched.version, encode)
    served = member.chunk_for(request, 0.0)
    assert served is not None
    assert (served.digest, served.data) == (chunk.digest, chunk.data)


# During a release, processes that know no eras name versions by their numbers only.
def test_versions_are_exchanged_with_vms_that_know_no_eras() -> None:
    in_force, of_earlier_release = build_version(2, era=1, number=5), build_number(9)
    source = VersionExchange(vm="source")
    source.serve_version(in_force, lambda: b"content")
    assert source.handle_announcement("earlier", of_earlier_release, 0.0) == []
    request = ContentRequest(sender="earlier", version=build_number(5), offset=0)
    chunk = source.chunk_for(request, 0.0)
    assert chunk is not None
    assert chunk.version == in_force
    starting = VersionExchange(vm="starting")
    (first,) = starting.handle_announcement("earlier", of_earlier_release, 0.0)
    assert first.version == of_earlier_release


def test_lower_number_of_later_era_is_higher_version() -> None:
    fetcher = VersionExchange(vm="learner")
    fetcher.serve_version(build_version(2, era=1, number=50), lambda: b"content")
    lower = build_version(1, era=2, number=60)
    assert fetcher.handle_announcement("source", lower, 0.0) == []
    higher = build_version(2, era=2, number=40)
    (request,) = fetcher.handle_announcement("source", higher, 0.0)
    assert request.version == higher


def build_number(number: int) -> ConfigurationVersion:
    return ConfigurationVersion(number=number)
