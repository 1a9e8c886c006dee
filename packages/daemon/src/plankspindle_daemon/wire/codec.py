"""Encoding of peer messages with Cap'n Proto."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import capnp
from result import Err
from result import Ok
from result import Result

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership.messages import Heartbeat
from plankspindle_daemon.membership.readiness import Readiness
from plankspindle_daemon.upstreams.messages import SlotGrant
from plankspindle_daemon.upstreams.messages import SlotRequest
from plankspindle_daemon.wire.frame import BadFrame

PeerMessage = Heartbeat | SlotRequest | SlotGrant

capnp.remove_import_hook()
_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))


def encode(message: PeerMessage) -> bytes:
    """Encode a message in packed form.

    Parameters
    ----------
    message : Heartbeat, SlotRequest or SlotGrant
        The message.

    Returns
    -------
    bytes
        Payload of a frame.
    """
    builder = _SCHEMA.PeerMessage.new_message(sender=message.sender)
    match message:
        case Heartbeat():
            _fill_heartbeat(builder.init("heartbeat"), message)
        case SlotRequest():
            _fill_slot_request(builder.init("slotRequest"), message)
        case SlotGrant():
            _fill_slot_grant(builder.init("slotGrant"), message)
    packed: bytes = builder.to_bytes_packed()
    return packed


def _fill_heartbeat(part: Any, message: Heartbeat) -> None:
    part.incarnation = message.incarnation
    part.sequence = message.sequence
    part.failureDomain = message.failure_domain
    part.callerEndpoint = str(message.caller_endpoint)
    part.peerEndpoint = str(message.peer_endpoint)
    part.readiness = message.readiness.value
    part.viewDigest = message.view_digest
    part.overShare = list(message.over_share)
    part.configurationVersion = message.configuration_version


def _fill_slot_request(part: Any, message: SlotRequest) -> None:
    part.requestId = message.request_id
    part.upstream = message.upstream
    part.count = message.count
    part.durationMs = message.duration_ms
    part.incarnation = message.incarnation


def _fill_slot_grant(part: Any, message: SlotGrant) -> None:
    part.requestId = message.request_id
    part.upstream = message.upstream
    part.count = message.count
    part.durationMs = message.duration_ms
    part.borrowerIncarnation = message.borrower_incarnation


def decode(payload: bytes) -> Result[PeerMessage, BadFrame]:
    """Decode the payload of an authenticated frame."""
    try:
        reader = _SCHEMA.PeerMessage.from_bytes_packed(payload)
        return Ok(_read(reader))
    except (capnp.KjException, ValueError, KeyError, AttributeError) as error:
        return Err(BadFrame(f"message: {type(error).__name__}"))


def _read(reader: Any) -> PeerMessage:
    match reader.which():
        case "heartbeat":
            return _read_heartbeat(reader.sender, reader.heartbeat)
        case "slotRequest":
            part = reader.slotRequest
            return SlotRequest(
                sender=reader.sender,
                request_id=part.requestId,
                upstream=part.upstream,
                count=part.count,
                duration_ms=part.durationMs,
                incarnation=part.incarnation,
            )
        case "slotGrant":
            part = reader.slotGrant
            return SlotGrant(
                sender=reader.sender,
                request_id=part.requestId,
                upstream=part.upstream,
                count=part.count,
                duration_ms=part.durationMs,
                borrower_incarnation=part.borrowerIncarnation,
            )
        case other:
            raise ValueError(f"message of unknown kind {other}")


def _read_heartbeat(sender: str, part: Any) -> Heartbeat:
    return Heartbeat(
        sender=sender,
        incarnation=part.incarnation,
        sequence=part.sequence,
        failure_domain=part.failureDomain,
        caller_endpoint=Endpoint.parse(part.callerEndpoint),
        peer_endpoint=Endpoint.parse(part.peerEndpoint),
        readiness=Readiness(str(part.readiness)),
        view_digest=part.viewDigest,
        over_share=tuple(part.overShare),
        configuration_version=part.configurationVersion,
    )
