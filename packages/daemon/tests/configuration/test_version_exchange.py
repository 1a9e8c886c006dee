"""Tests of learning configuration versions from members."""

from __future__ import annotations

from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.configuration.broadcast_targets import broadcast_targets
from plankspindle_daemon.configuration.version_exchange import CHUNK_RETRY_S
from plankspindle_daemon.configuration.version_exchange import FETCH_TIMEOUT_S
from plankspindle_daemon.configuration.version_exchange import READER_TIMEOUT_S
from plankspindle_daemon.configuration.version_exchange import SOURCE_TIMEOUT_S
from plankspindle_daemon.configuration.version_exchange import FetchedContent
from plankspindle_daemon.configuration.version_exchange import VersionExchange
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest

MEMBERS = ("a", "b", "c", "d")


def build_source(content: bytes, version: int = 5) -> VersionExchange:
    source = VersionExchange(vm="source")
    source.serve_version(version, lambda: content)
    return source


def build_content(length: int) -> bytes:
    return Random(length).randbytes(length)


@given(
    length=st.integers(0, 60_000),
    loss=st.floats(0.0, 0.5),
    seed=st.integers(0, 1000),
)
def test_content_is_learned_whole_through_loss_repetition_and_disorder(
    length: int, loss: float, seed: int
) -> None:
    random = Random(seed)
    content = build_content(length)
    source = build_source(content)
    learner = VersionExchange(vm="learner")
    now = 0.0
    waiting = learner.handle_announcement("source", 5, now)
    while waiting:
        random.shuffle(waiting)
        following: list[ContentRequest] = []
        for request in waiting:
            chunk = source.chunk_for(request)
            assert chunk is not None
            for _ in range(random.choice([1, 1, 2])):
                if random.random() < loss:
                    continue
                taken = learner.handle_chunk(chunk, now).unwrap()
                if isinstance(taken, FetchedContent):
                    assert taken == FetchedContent(version=5, content=content)
                    return
                following += taken
        waiting = following
        if not waiting:
            now += CHUNK_RETRY_S
            _, waiting = learner.tick(now)
    assert now > FETCH_TIMEOUT_S


def test_a_lower_or_known_version_is_not_asked_for() -> None:
    learner = VersionExchange(vm="learner")
    learner.serve_version(5, lambda: b"mine")
    assert learner.handle_announcement("source", 5, 0.0) == []
    assert learner.handle_announcement("source", 4, 0.0) == []
    assert learner.handle_announcement("source", 6, 0.0)
    assert learner.handle_announcement("other", 6, 0.0) == []


def test_damaged_content_is_not_believed() -> None:
    source = build_source(build_content(500))
    learner = VersionExchange(vm="learner")
    request = learner.handle_announcement("source", 5, 0.0)[0]
    chunk = source.chunk_for(request)
    assert chunk is not None
    damaged = evolve(chunk, digest="0" * 64)
    assert learner.handle_chunk(damaged, 0.0).is_err()
    assert learner.damaged_count == 1
    assert learner.handle_announcement("source", 5, 0.1)


def test_a_bomb_is_not_unpacked() -> None:
    learner = VersionExchange(vm="learner")
    learner.handle_announcement("source", 5, 0.0)
    huge = ContentChunk(
        sender="source",
        version=5,
        digest="",
        offset=0,
        total=2**31,
        data=b"x",
    )
    assert learner.handle_chunk(huge, 0.0).unwrap() == []


def test_parts_of_another_version_or_place_are_not_given() -> None:
    source = build_source(build_content(5_000))
    for version, offset in ((4, 0), (5, 7), (5, 1_000_000)):
        request = ContentRequest(sender="x", version=version, offset=offset)
        assert source.chunk_for(request) is None


def test_few_members_poll_and_the_others_take_over_on_silence() -> None:
    readers = [
        vm
        for vm in MEMBERS
        if VersionExchange(vm=vm).is_reader(MEMBERS, now=10.0, reported_at=9.0)
    ]
    assert readers == ["a", "b"]
    late = VersionExchange(vm="d")
    assert late.is_reader(MEMBERS, now=10.0, reported_at=10.0 - READER_TIMEOUT_S - 0.1)


def test_the_ring_neighbours_are_always_told() -> None:
    for _ in range(20):
        targets = broadcast_targets(own_name="a", members=MEMBERS, random=Random(1))
        assert {"b", "d"} <= set(targets)
        assert "a" not in targets
    assert broadcast_targets(own_name="a", members=("a",), random=Random(1)) == []


def test_a_source_that_falls_silent_is_left_for_another() -> None:
    learner = VersionExchange(vm="learner")
    assert learner.handle_announcement("dead", 5, 0.0)
    assert learner.handle_announcement("source", 5, SOURCE_TIMEOUT_S - 0.1) == []
    (request,) = learner.handle_announcement("source", 5, SOURCE_TIMEOUT_S)
    chunk = build_source(b"content").chunk_for(request)
    assert chunk is not None
    taken = learner.handle_chunk(chunk, SOURCE_TIMEOUT_S + 0.1).unwrap()
    assert taken == FetchedContent(version=5, content=b"content")
