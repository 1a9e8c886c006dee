"""State machine by which entry VMs fetch configuration versions from each other."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.codec import content_digest
from plankspindle_core.token_bucket import TokenBucket
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

if TYPE_CHECKING:
    from collections.abc import Sequence

CHUNK_BYTES = 1_000
"""Compressed content in one message, in bytes."""
MAX_CONTENT_BYTES = 64 * 1024 * 1024
WINDOW_CHUNKS = 16
"""Chunks that are requested at a time."""
SENT_CHUNKS_PER_S = 600.0
SENT_CHUNKS_BURST = 200.0
"""Chunks that a VM sends, so that they leave half of a link of 10 Mbit/s to the rest.

Without a limit a version that many members request at once fills the link of its
source for seconds, and they request again what is still in its queue.
"""
CHUNK_RETRY_S = 0.25
"""Time after which missing chunks are requested again, in seconds."""
FETCH_TIMEOUT_S = 5.0
"""Duration after which a stalled fetch is abandoned, in seconds."""
SOURCE_TIMEOUT_S = 2 * CHUNK_RETRY_S
"""Time without a chunk after which another member may replace the source, in seconds.

A VM that cannot read from the platform gets versions from members only, so it must not
depend on a failed one.
"""
READER_COUNT = 2
"""Members of a failure domain that poll the platform."""
READER_TIMEOUT_S = 2.0
"""Age of the last reported read after which all members poll, in seconds."""


@frozen(kw_only=True)
class FetchedContent:
    """Complete content fetched from a member, which matches its digest."""

    version: ConfigurationVersion
    content: bytes


@frozen(kw_only=True)
class SameContent:
    """A higher version has the content that this VM has in force."""

    version: ConfigurationVersion


@frozen
class DamagedContent:
    """The content does not match its digest and must be fetched from another member."""

    detail: str


ChunkResult = Result[
    FetchedContent | SameContent | list[ContentRequest], DamagedContent
]


@define(kw_only=True)
class _Fetch:
    source: str
    version: ConfigurationVersion
    started_at: float
    requested_at: float
    received_at: float
    digest: str = ""
    total: int | None = None
    chunks_by_offset: dict[int, bytes] = field(factory=dict)

    def is_source_responsive(self, now: float) -> bool:
        """Return whether the source sent a chunk within ``SOURCE_TIMEOUT_S``."""
        return now - self.received_at < SOURCE_TIMEOUT_S

    def missing_offsets(self) -> list[int]:
        if self.total is None:
            return [0]
        offsets = range(0, self.total, CHUNK_BYTES)
        return [each for each in offsets if each not in self.chunks_by_offset]


@frozen(kw_only=True)
class _Offer:
    """Compressed content of the version in force, as sent to members."""

    digest: str
    compressed: bytes

    @classmethod
    def of(cls, content: bytes) -> _Offer:
        return cls(digest=content_digest(content), compressed=zlib.compress(content, 6))


@define(kw_only=True)
class VersionExchange:
    """Serves the version in force to members, and fetches higher ones from them.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Notes
    -----
    Heartbeats announce the version in force. A member that receives a higher one than
    its own requests its content in chunks from the sender. Only the first one is
    transferred if its digest shows that the content is the same, as after a restart of
    a VM, which reads the same documents as of a later transaction. Content is accepted
    only if it matches its digest. The digest is trusted because the sender is
    authenticated; the member that first read the version got it from the table service.
    """

    vm: str
    version: ConfigurationVersion = NO_VERSION
    fetched_count: int = 0
    damaged_count: int = 0
    _make_content: Callable[[], bytes] = bytes
    _offer: _Offer | None = None
    _fetch: _Fetch | None = None
    _fetched: tuple[ConfigurationVersion, _Offer] | None = None
    _sent_chunks: TokenBucket = Factory(
        lambda: TokenBucket(per_s=SENT_CHUNKS_PER_S, burst=SENT_CHUNKS_BURST)
    )

    def serve_version(
        self, version: ConfigurationVersion, make_content: Callable[[], bytes]
    ) -> None:
        """Serve a version that is in force.

        Parameters
        ----------
        version : ConfigurationVersion
            The version.
        make_content : callable
            Encodes the content. It is called at the first request, since most members
            read the version themselves or request it from another member.
        """
        fetched, self._fetched = self._fetched, None
        is_fetched = fetched is not None and fetched[0] == version
        self._make_content = make_content
        self._offer = fetched[1] if fetched is not None and is_fetched else None
        self._set_version(version)

    def serve_same_content(self, version: ConfigurationVersion) -> None:
        """Serve the present content under a higher version."""
        self._set_version(version)

    def _set_version(self, version: ConfigurationVersion) -> None:
        self.version = version
        if self._fetch is not None and self._fetch.version <= version:
            self._fetch = None

    def is_reader(self, members: Sequence[str], now: float, reported_at: float) -> bool:
        """Return whether this VM must poll the platform for a new version.

        Parameters
        ----------
        members : sequence of str
            All members of the failure domain, sorted.
        now : float
            Monotonic seconds.
        reported_at : float
            Latest time at which a member reported to have read the head row,
            monotonic seconds.

        Returns
        -------
        bool
            True for the first ``READER_COUNT`` members, and for all members while no
            read has been reported for ``READER_TIMEOUT_S``.
        """
        return self.vm in members[:READER_COUNT] or now - reported_at > READER_TIMEOUT_S

    def handle_announcement(
        self, sender: str, version: ConfigurationVersion, now: float
    ) -> list[ContentRequest]:
        """Handle the version that a member announces; request it if it is higher."""
        if version <= self.version:
            return []
        fetch = self._fetch
        if (
            fetch is not None
            and fetch.version >= version
            and fetch.is_source_responsive(now)
        ):
            return []
        self._fetch = _Fetch(
            source=sender,
            version=version,
            started_at=now,
            requested_at=now,
            received_at=now,
        )
        return self._request_chunks(self._fetch, now)

    def _request_chunks(self, fetch: _Fetch, now: float) -> list[ContentRequest]:
        fetch.requested_at = now
        return [
            ContentRequest(sender=self.vm, version=fetch.version, offset=offset)
            for offset in fetch.missing_offsets()[:WINDOW_CHUNKS]
        ]

    def chunk_for(self, request: ContentRequest, now: float) -> ContentChunk | None:
        """Return a chunk of the version in force.

        Parameters
        ----------
        request : ContentRequest
            Request of a member.
        now : float
            Monotonic seconds.

        Returns
        -------
        ContentChunk or None
            None if the request is invalid, or too many chunks were sent just before.
        """
        is_misaligned = request.offset % CHUNK_BYTES
        if is_misaligned or not self._is_in_force(request.version):
            return None
        offer = self._current_offer()
        compressed = offer.compressed
        if request.offset >= len(compressed) or not self._sent_chunks.take(now):
            return None
        end = request.offset + CHUNK_BYTES
        return ContentChunk(
            sender=self.vm,
            version=self.version,
            digest=offer.digest,
            offset=request.offset,
            total=len(compressed),
            data=compressed[request.offset : end],
        )

    def _current_offer(self) -> _Offer:
        if self._offer is None:
            self._offer = _Offer.of(self._make_content())
        return self._offer

    def _is_in_force(self, requested: ConfigurationVersion) -> bool:
        """Return whether a member requests the version in force.

        A member that knows no eras and revisions requests a version by its number.
        """
        if self.version.is_none:
            return False
        return requested in (
            self.version,
            ConfigurationVersion(number=self.version.number),
        )

    def handle_chunk(self, chunk: ContentChunk, now: float) -> ChunkResult:
        """Handle a received chunk.

        Returns
        -------
        Result
            The complete content, that it is the one in force, the next requests, or the
            reason why the content is damaged.
        """
        fetch = self._fetch
        if fetch is None or chunk.version != fetch.version:
            return Ok([])
        if not 0 < chunk.total <= MAX_CONTENT_BYTES:
            return Ok([])
        if fetch.total is None:
            if self._is_same_content(chunk):
                self._fetch = None
                return Ok(SameContent(version=fetch.version))
            fetch.total = chunk.total
            fetch.digest = chunk.digest
        if (chunk.total, chunk.digest) != (fetch.total, fetch.digest):
            return Ok([])
        fetch.received_at = now
        is_duplicate = chunk.offset in fetch.chunks_by_offset
        fetch.chunks_by_offset[chunk.offset] = chunk.data
        if not fetch.missing_offsets():
            self._fetch = None
            return self._finish(fetch)
        is_window_complete = len(fetch.chunks_by_offset) % WINDOW_CHUNKS in (0, 1)
        return Ok(
            self._request_chunks(fetch, now)
            if is_window_complete and not is_duplicate
            else []
        )

    def _is_same_content(self, chunk: ContentChunk) -> bool:
        """Return whether a higher version has the present content.

        Versions of different revisions differ, which spares encoding the present one.
        """
        if self.version.is_none or chunk.version.revision != self.version.revision:
            return False
        return chunk.digest == self._current_offer().digest

    def _finish(self, fetch: _Fetch) -> ChunkResult:
        ordered = sorted(fetch.chunks_by_offset.items())
        compressed = b"".join(part for _, part in ordered)
        try:
            content = _decompress(compressed)
        except zlib.error as error:
            self.damaged_count += 1
            return Err(DamagedContent(str(error)))
        if content_digest(content) != fetch.digest:
            self.damaged_count += 1
            return Err(DamagedContent("content does not match its digest"))
        self.fetched_count += 1
        self._fetched = (
            fetch.version,
            _Offer(digest=fetch.digest, compressed=compressed),
        )
        return Ok(FetchedContent(version=fetch.version, content=content))

    def tick(self, now: float) -> tuple[str, list[ContentRequest]]:
        """Request missing chunks again.

        Returns
        -------
        tuple of str and list of ContentRequest
            The source and the requests; both empty if nothing is due.
        """
        fetch = self._fetch
        if fetch is None:
            return "", []
        if (
            now - fetch.started_at > FETCH_TIMEOUT_S
            and now - fetch.requested_at > CHUNK_RETRY_S
        ):
            self._fetch = None
            return "", []
        if now - fetch.requested_at < CHUNK_RETRY_S:
            return "", []
        return fetch.source, self._request_chunks(fetch, now)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise zlib.error("content is truncated or too long")
    return content
