"""Authenticated frames around the messages between entry VMs.

Layout of a frame: magic (2 bytes), format version (1 byte), key id (1 byte, the first
byte of the key's SHA-256), MAC (16 bytes, truncated HMAC-SHA256 over all other bytes),
payload.
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
"""Longest frame in bytes, so that it fits in one Ethernet packet."""


@frozen
class BadFrame:
    """A received frame that is malformed or not authentic.

    Parameters
    ----------
    reason : str
        Why the frame was dropped.
    """

    reason: str


class FrameSealer:
    """Sign and verify frames with the shared keys from the settings.

    Parameters
    ----------
    keys : list of bytes
        The first key signs; frames signed with any of them are accepted, so that keys
        can be rotated.
    """

    def __init__(self, *, keys: list[bytes]) -> None:
        self.set_keys(keys)

    def set_keys(self, keys: list[bytes]) -> None:
        """Replace the keys."""
        self._key_by_id = {_key_id(key): key for key in reversed(keys)}
        self._signing_key = keys[0]

    def seal(self, payload: bytes) -> bytes:
        """Sign a payload of at most ``MAX_FRAME_BYTES - HEAD_BYTES`` bytes."""
        head = MAGIC + bytes((FORMAT, _key_id(self._signing_key)))
        return head + _mac(self._signing_key, head, payload) + payload

    def open(self, frame: bytes) -> Result[bytes, BadFrame]:
        """Verify a frame and return its payload."""
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
