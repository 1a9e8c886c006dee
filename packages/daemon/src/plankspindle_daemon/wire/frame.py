"""Authenticated frames around the messages between entry VMs.

A frame is magic (2 bytes), format (1 byte), number of the key (1 byte, the first byte
of its SHA-256), MAC (16 bytes, truncated HMAC-SHA256 over all other bytes), payload.
"""

from __future__ import annotations

import hashlib
import hmac

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen

MAGIC = b"PS"
FORMAT = 1
MAC_BYTES = 16
HEAD_BYTES = len(MAGIC) + 2 + MAC_BYTES
MAX_FRAME_BYTES = 1_400
"""Longest frame, so that it fits one Ethernet packet."""


@frozen
class BadFrame:
    """Bytes that are no frame of a peer.

    Parameters
    ----------
    reason : str
        Why they were dropped.
    """

    reason: str


class FrameSealer:
    """Seal and open frames with the keys of the settings.

    Parameters
    ----------
    keys : list of bytes
        The first key signs; each is accepted.
    """

    def __init__(self, *, keys: list[bytes]) -> None:
        self.set_keys(keys)

    def set_keys(self, keys: list[bytes]) -> None:
        """Take other keys from now on."""
        self._key_by_id = {_key_id(key): key for key in reversed(keys)}
        self._signing_key = keys[0]

    def seal(self, payload: bytes) -> bytes:
        """Wrap a payload of at most ``MAX_FRAME_BYTES - HEAD_BYTES`` bytes."""
        head = MAGIC + bytes((FORMAT, _key_id(self._signing_key)))
        return head + _mac(self._signing_key, head, payload) + payload

    def open(self, frame: bytes) -> Result[bytes, BadFrame]:
        """Check a frame and give its payload."""
        if not HEAD_BYTES <= len(frame) <= MAX_FRAME_BYTES:
            return Err(BadFrame("size"))
        head, mac, payload = frame[:4], frame[4:HEAD_BYTES], frame[HEAD_BYTES:]
        if head[:3] != MAGIC + bytes((FORMAT,)):
            return Err(BadFrame("format"))
        key = self._key_by_id.get(head[3])
        if key is None or not hmac.compare_digest(mac, _mac(key, head, payload)):
            return Err(BadFrame("authentication"))
        return Ok(payload)


def _key_id(key: bytes) -> int:
    return hashlib.sha256(key).digest()[0]


def _mac(key: bytes, head: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, head + payload, "sha256")[:MAC_BYTES]
