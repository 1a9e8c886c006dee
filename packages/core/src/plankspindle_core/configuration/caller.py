"""A caller with an API key and its priority class."""

from __future__ import annotations

import hashlib
import re

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Caller:
    """A caller identified by an API key, of which only the digest is stored.

    Parameters
    ----------
    priority_class : str
        Priority class of its requests.
    key_sha256 : str
        SHA-256 of the API key in hexadecimal.
    """

    priority_class: str
    key_sha256: str = field(validator=validators.matches_re(re.compile("[0-9a-f]{64}")))


def hash_api_key(key: bytes) -> str:
    """Return the digest of an API key as stored in the configuration.

    Parameters
    ----------
    key : bytes
        The key as sent by the caller. It has at least 128 random bits, so a plain
        digest is sufficient.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key).hexdigest()
