"""Encoding and decoding of peer messages with Cap'n Proto."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import capnp
from attrs import fields
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.peer_messages.crash_news import Clearance
from plankspindle_daemon.peer_messages.crash_news import CrashNews
from plankspindle_daemon.peer_messages.crash_news import CrashReport
from plankspindle_daemon.peer_messages.crash_news import Quarantined
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomGrant
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.limit_news import LimitNews
from plankspindle_daemon.peer_messages.limit_question import LimitQuestion
from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.peer_messages.list_news import ToldUpstream
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.load_digest import ServiceLoad
from plankspindle_daemon.peer_messages.quota_messages import ShareClaim
from plankspindle_daemon.peer_messages.quota_messages import ShareLease
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
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_daemon.versions.store_version import StoreVersion
from plankspindle_daemon.wire.frame import BadFrame

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.peer_message import PeerMessage

capnp.remove_import_hook()
_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_SENDER = "sender"
DECODE_ERRORS = (
    capnp.KjException,
    ValueError,
    KeyError,
    AttributeError,
    RuntimeError,
)
"""Errors of decoding a payload.

``RuntimeError`` is raised for an enumerated value that only a newer schema has.
"""
ENCODE_ERRORS = (capnp.KjException, ValueError, OverflowError)
"""Errors of :func:`encode` for a value that its schema field cannot hold."""


@frozen(kw_only=True)
class _Conversion:
    """Conversion of a field that is neither a number nor a text."""

    write: Callable[[Any], Any]
    read: Callable[[Any], Any]


def _list_of(cls: type[Any]) -> _Conversion:
    return _Conversion(
        write=lambda parts: [_to_mapping(each) for each in parts],
        read=lambda read: tuple(_read_fields(cls, each, {}) for each in read),
    )


_ENDPOINT = _Conversion(write=str, read=Endpoint.parse)
_CONVERSION_BY_FIELD = {
    "caller_endpoint": _ENDPOINT,
    "endpoint": _ENDPOINT,
    "peer_endpoint": _ENDPOINT,
    "readiness": _Conversion(
        write=lambda readiness: readiness.value,
        read=lambda read: Readiness(str(read)),
    ),
    "over_share": _Conversion(write=list, read=tuple),
    "silent_upstreams": _Conversion(write=list, read=tuple),
    "silent_incarnations": _Conversion(write=list, read=tuple),
    "loads": _list_of(ServiceLoad),
    "suspects": _list_of(Suspect),
    "changed": _list_of(ToldUpstream),
    "gone": _Conversion(write=list, read=tuple),
    "bases": _Conversion(write=list, read=tuple),
    "reports": _list_of(CrashReport),
    "watched": _Conversion(write=list, read=tuple),
    "suspected": _Conversion(write=list, read=tuple),
    "quarantined": _list_of(Quarantined),
    "lives": _Conversion(write=list, read=tuple),
    "cleared": _list_of(Clearance),
    "shards": _Conversion(write=list, read=tuple),
    "idle_ms": _Conversion(write=list, read=tuple),
    "outcomes": _list_of(VersionOutcomes),
    "bad_upstreams": _list_of(UpstreamOutcomes),
}


@frozen(kw_only=True)
class _Parts:
    """Conversion of one field that several fields of the schema hold.

    The number of a version keeps the schema field that it had before versions had an
    era, so that daemons which know no eras still read it.
    """

    cls: type[Any]
    key_by_part: dict[str, str]

    def write(self, value: Any) -> dict[str, Any]:
        return {key: getattr(value, part) for part, key in self.key_by_part.items()}

    def read(self, reader: Any) -> Any:
        return self.cls(
            **{part: getattr(reader, key) for part, key in self.key_by_part.items()}
        )


_CONFIGURATION_VERSION = _Parts(
    cls=ConfigurationVersion,
    key_by_part={
        "number": "configurationVersion",
        "revision": "configurationRevision",
        "era": "configurationEra",
    },
)
_CONTENT_VERSION = _Parts(
    cls=ConfigurationVersion,
    key_by_part={"number": "version", "revision": "revision", "era": "era"},
)
_LIST_VERSION = _Parts(
    cls=StoreVersion, key_by_part={"number": "version", "era": "listEra"}
)
_PARTS_BY_FIELD: dict[tuple[type[Any], str], _Parts] = {
    (Heartbeat, "configuration_version"): _CONFIGURATION_VERSION,
    (LoadDigest, "configuration_version"): _CONFIGURATION_VERSION,
    (ListNews, "configuration_version"): _CONFIGURATION_VERSION,
    (ContentRequest, "version"): _CONTENT_VERSION,
    (ContentChunk, "version"): _CONTENT_VERSION,
    (ListNews, "version"): _LIST_VERSION,
}
_CLASS_BY_UNION_MEMBER: dict[str, type[Any]] = {
    "heartbeat": Heartbeat,
    "slotRequest": SlotRequest,
    "slotGrant": SlotGrant,
    "headroomRequest": HeadroomRequest,
    "headroomGrant": HeadroomGrant,
    "loadDigest": LoadDigest,
    "contentRequest": ContentRequest,
    "contentChunk": ContentChunk,
    "listNews": ListNews,
    "suspicion": Suspicion,
    "crashNews": CrashNews,
    "shareClaim": ShareClaim,
    "shareLease": ShareLease,
    "tokenRequest": TokenRequest,
    "tokenGrant": TokenGrant,
    "limitNews": LimitNews,
    "limitQuestion": LimitQuestion,
    "rolloutReport": RolloutReport,
    "rolloutDirective": RolloutDirective,
}
_ELEMENT_CLASSES = (
    ServiceLoad,
    Suspect,
    ToldUpstream,
    CrashReport,
    Quarantined,
    Clearance,
    VersionOutcomes,
    UpstreamOutcomes,
)
"""Element classes of the lists in messages."""
_UNION_MEMBER_BY_CLASS = {cls: name for name, cls in _CLASS_BY_UNION_MEMBER.items()}


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


_KEYS_BY_CLASS: dict[type[Any], list[tuple[str, str]]] = {
    cls: [(field.name, _camel(field.name)) for field in fields(cls)]
    for cls in (*_CLASS_BY_UNION_MEMBER.values(), *_ELEMENT_CLASSES)
}


def encode(message: PeerMessage) -> bytes:
    """Encode a message in the packed form of Cap'n Proto.

    Parameters
    ----------
    message : PeerMessage
        The message.

    Returns
    -------
    bytes
        Payload of a frame.

    Raises
    ------
    KjException, ValueError, OverflowError
        If a value is out of range for its schema field, or has the wrong type.
    """
    member = _UNION_MEMBER_BY_CLASS[type(message)]
    content = {_SENDER: message.sender, member: _to_mapping(message)}
    packed: bytes = _SCHEMA.PeerMessage.new_message(**content).to_bytes_packed()
    return packed


def _to_mapping(message: Any) -> dict[str, Any]:
    mapping: dict[str, Any] = {}
    for name, key in _KEYS_BY_CLASS[type(message)]:
        if name == _SENDER:
            continue
        value = getattr(message, name)
        parts = _PARTS_BY_FIELD.get((type(message), name))
        if parts is not None:
            mapping |= parts.write(value)
            continue
        conversion = _CONVERSION_BY_FIELD.get(name)
        mapping[key] = value if conversion is None else conversion.write(value)
    return mapping


def decode(payload: bytes) -> Result[PeerMessage, BadFrame]:
    """Decode the payload of an authenticated frame."""
    try:
        reader = _SCHEMA.PeerMessage.from_bytes_packed(payload)
        member = str(reader.which())
        cls = _CLASS_BY_UNION_MEMBER[member]
        sender = {_SENDER: reader.sender}
        return Ok(_read_fields(cls, getattr(reader, member), sender))
    except DECODE_ERRORS as error:
        return Err(BadFrame(f"message: {type(error).__name__}"))


def _read_fields(cls: type[Any], part: Any, given: dict[str, Any]) -> Any:
    values = dict(given)
    for name, key in _KEYS_BY_CLASS[cls]:
        if name in given:
            continue
        parts = _PARTS_BY_FIELD.get((cls, name))
        if parts is not None:
            values[name] = parts.read(part)
            continue
        value = getattr(part, key)
        conversion = _CONVERSION_BY_FIELD.get(name)
        values[name] = value if conversion is None else conversion.read(value)
    return cls(**values)
