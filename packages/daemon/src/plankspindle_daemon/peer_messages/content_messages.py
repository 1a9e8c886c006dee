"""Messages that transfer configuration versions between entry VMs."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion


@frozen(kw_only=True)
class ContentRequest:
    """Request a chunk of the content of a configuration version.

    Parameters
    ----------
    sender : str
        Name of the requesting VM.
    version : ConfigurationVersion
        Version announced in the receiver's heartbeat.
    offset : int
        Offset of the chunk in the compressed content, in bytes.
    """

    sender: str
    version: ConfigurationVersion
    offset: int


@frozen(kw_only=True)
class ContentChunk:
    """A chunk of the compressed content of a configuration version.

    Parameters
    ----------
    sender : str
        Name of the VM that has the content.
    version : ConfigurationVersion
        Configuration version.
    digest : str
        SHA-256 of the complete uncompressed content.
    offset, total : int
        Offset of the chunk and length of the complete compressed content, in bytes.
    data : bytes
        The chunk, at most ``CHUNK_BYTES`` long.
    """

    sender: str
    version: ConfigurationVersion
    digest: str
    offset: int
    total: int
    data: bytes
