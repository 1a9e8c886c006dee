"""Tests of frames and of the encoding of messages between entry VMs."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

import capnp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.crash_news import Clearance
from plankspindle_daemon.peer_messages.crash_news import CrashNews
from plankspindle_daemon.peer_messages.crash_news import CrashReport
from plankspindle_daemon.peer_messages.crash_news import Quarantined
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.limit_news import LimitNews
from plankspindle_daemon.peer_messages.limit_question import LimitQuestion
from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.peer_messages.list_news import ToldUpstream
from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.peer_messages.slot_messages import SlotGrant
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.peer_messages.suspicion import Suspect
from plankspindle_daemon.peer_messages.suspicion import Suspicion
from plankspindle_daemon.wire import codec
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import FrameSealer
from plankspindle_testkit.versions import build_list_version
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.peer_message import PeerMessage

OLD = b"o" * 16
NEW = b"n" * 16
MESSAGES = [
    Heartbeat(
        sender="ba-1-a",
        incarnation=2**64 - 1,
        sequence=5,
        failure_domain="ba-1",
        caller_endpoint=Endpoint("127.0.0.1", 1),
        peer_endpoint=Endpoint("::1", 2),
        readiness=Readiness.OVERLOADED,
        view_digest=2**63,
        over_share=("u1", "u2"),
        configuration_version=build_version(9, era=2, number=71),
        silent_upstreams=("u3",),
        silent_incarnations=(1_790_000_000_123,),
        is_watched=True,
        is_cut_off=True,
        quarantine_digest=2**64 - 1,
    ),
    Suspicion(
        sender="a",
        suspects=(Suspect(name="b", incarnation=2**64 - 1, sequence=7),),
    ),
    CrashNews(
        sender="a",
        reports=(CrashReport(identity=2**64 - 1, life="u#5", ago_ms=3),),
        watched=(1, 2**63),
        suspected=(2**63,),
        quarantined=(
            Quarantined(identity=7, ago_ms=86_400_000, trials=2, lives=("u#5", "v#0")),
        ),
        cleared=(Clearance(identity=9, ago_ms=0),),
    ),
    TokenRequest(
        sender="a",
        request_id=2**63,
        workspace="u#5",
        count=1,
        limit_per_s=4.6,
        heard_ago_ms=70_000_000,
    ),
    TokenGrant(
        sender="a",
        request_id=1,
        workspace="u#5",
        count=1,
        retry_after_ms=0,
        has_share=True,
        is_of_limit=True,
    ),
    RolloutReport(
        sender="a",
        incarnation=2**63,
        failure_domain="ba-1",
        is_of_domain=True,
        service="registry",
        order=2**63,
        stage="canary",
        vms=15,
        emptied_vms=3,
        requests=2**40,
        exposed=9,
        outcomes=(
            VersionOutcomes(
                operation="search",
                failure_domain="ba-1",
                baseline_answers=2**40,
                baseline_bad=4,
                target_answers=3,
                target_bad=1,
            ),
        ),
        bad_upstreams=(
            UpstreamOutcomes(operation="search", upstream="u", answers=3, bad=1),
        ),
    ),
    RolloutDirective(
        sender="a",
        service="registry",
        order=7,
        stage="moving",
        baseline_version="v1",
        target_version="v2",
        moving_ms=800,
        ends_in_ms=-300,
        reason="canary passed",
    ),
    LimitQuestion(sender="ba-1-a", life="u1#5", ago_ms=2**40),
    LimitNews(
        sender="a",
        life="u#5",
        limit_per_s=0.25,
        is_silent=True,
        number=2**63,
        ago_ms=9,
    ),
    SlotRequest(
        sender="a",
        request_id=1,
        upstream="u",
        count=2,
        duration_ms=3,
        incarnation=4,
    ),
    SlotGrant(
        sender="a",
        request_id=1,
        upstream="u",
        count=2,
        duration_ms=3,
        borrower_incarnation=4,
    ),
    ListNews(
        sender="a",
        bases=(3, 5, 9, 2**63),
        base_era=2,
        version=build_list_version(2**63, era=3),
        list_age_ms=0,
        configuration_age_ms=2**32 - 1,
        configuration_version=build_version(7),
        after_gap=True,
        keep_ms=2_500,
        changed=(
            ToldUpstream(
                name="u",
                service="registry",
                failure_domain="ba-1",
                endpoint=Endpoint("127.0.0.1", 9),
                slots=9,
                leaving=True,
                cold_ms=1_500,
                incarnation=1_790_000_000_123,
            ),
        ),
        gone=("v", "w"),
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_decoded_message_equals_the_encoded_one(message: PeerMessage) -> None:
    assert decode(encode(message)).unwrap() == message


@given(payload=st.binary(max_size=200))
def test_garbage_payload_is_an_error_value(payload: bytes) -> None:
    decoded = decode(payload)
    assert decoded.is_ok() or decoded.unwrap_err().reason.startswith("message")


def test_unknown_enum_value_of_a_newer_schema_is_an_error_value(
    tmp_path: Path,
) -> None:
    schema = Path(codec.__file__).with_name("peer.capnp").read_text()
    newer = re.sub(r"@0x\w+;", "@0xd3c1f0a58b7e4927;", schema, count=1)
    newer = newer.replace("  left @4;", "  left @4;\n  newer @5;")
    path = tmp_path / "newer.capnp"
    path.write_text(newer)
    endpoint = "127.0.0.1:1"
    heartbeat = {
        "readiness": "newer",
        "callerEndpoint": endpoint,
        "peerEndpoint": endpoint,
    }
    message = capnp.load(str(path)).PeerMessage.new_message(heartbeat=heartbeat)
    assert decode(message.to_bytes_packed()).is_err()


@given(at=st.integers(0, 1000), change=st.integers(1, 255))
def test_tampered_frame_is_rejected(at: int, change: int) -> None:
    sealer = FrameSealer(keys=[NEW])
    frame = bytearray(sealer.seal(encode(MESSAGES[0])))
    frame[at % len(frame)] ^= change
    assert sealer.open(bytes(frame)).is_err()


def test_frames_are_accepted_during_key_rotation() -> None:
    old, both, new = (FrameSealer(keys=keys) for keys in ([OLD], [NEW, OLD], [NEW]))
    assert both.open(old.seal(b"x")).unwrap() == b"x"
    assert new.open(both.seal(b"x")).unwrap() == b"x"
    assert new.open(old.seal(b"x")).unwrap_err().reason == "authentication"


def test_frame_of_wrong_size_or_format_is_rejected() -> None:
    sealer = FrameSealer(keys=[NEW])
    assert sealer.open(b"").unwrap_err().reason == "size"
    assert sealer.open(b"y" * 1401).unwrap_err().reason == "size"
    assert sealer.open(b"y" * 100).unwrap_err().reason == "format"
