"""Request ids issued by this process, the only one that runs requests with them.

An id contains the VM and the incarnation of the process that issued it. No other
process runs a request with that id, so this process detects all duplicates in its own
memory, without a write to the platform. A restart changes the incarnation, and requests
with older ids are answered ``unknown``.
"""

from __future__ import annotations

import hmac
import re

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer
from plankspindle_daemon.idempotency.verdicts import AnsweredUnrecorded
from plankspindle_daemon.idempotency.verdicts import Foreign
from plankspindle_daemon.idempotency.verdicts import IdVerdict
from plankspindle_daemon.idempotency.verdicts import InProgress
from plankspindle_daemon.idempotency.verdicts import Invalid
from plankspindle_daemon.idempotency.verdicts import Mismatch
from plankspindle_daemon.idempotency.verdicts import NoMemory
from plankspindle_daemon.idempotency.verdicts import Replay
from plankspindle_daemon.idempotency.verdicts import RunIt

_ID_PATTERN = re.compile(
    r"(?P<vm>[A-Za-z0-9_-]{1,64})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<counter>[0-9a-f]{1,16})\.(?P<expiry>[0-9]{1,15})\.(?P<mac>[0-9a-f]{32})"
)
_MAC_BYTES = 16


@frozen(kw_only=True)
class _ParsedId:
    vm: str
    incarnation: int
    counter: int
    expiry_ms: int
    signed: str
    mac: str


@define(kw_only=True)
class _UsedId:
    fingerprint: Fingerprint
    expires: float
    finished: bool = False
    answer: RecordedAnswer | None = None


@define(kw_only=True)
class IssuedIds:
    """Ids issued by one process, and the state of their requests.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Random number of this process, 64 bits.
    secret : bytes
        Random secret of this process, which is the only one to verify its ids.
    ttl_s : float
        Time from issue to expiry of an id, in seconds.
    retention_s : float
        Seconds for which a used id is retained after its expiry; longer than any
        request can run.
    max_retained : int
        Maximum number of used ids that are retained.

    Attributes
    ----------
    issued : int
        Number of ids issued.
    ran : int
        Number of times that a request with an id was sent to an upstream.
    """

    vm: str
    incarnation: int
    secret: bytes
    ttl_s: float
    retention_s: float
    max_retained: int
    issued: int = 0
    ran: int = 0
    _used_by_counter: dict[int, _UsedId] = field(factory=dict)
    _started: set[int] = field(factory=set)

    @property
    def retained(self) -> int:
        """Number of used ids that are retained."""
        return len(self._used_by_counter)

    def issue(self, now: float) -> str:
        """Issue an id.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        str
            The id, valid until its expiry by the monotonic clock of this process.
        """
        self.issued += 1
        expiry_ms = int((now + self.ttl_s) * 1000)
        signed = f"{self.vm}.{self.incarnation:016x}.{self.issued:x}.{expiry_ms}"
        return f"{signed}.{self._mac(signed)}"

    def _mac(self, signed: str) -> str:
        return hmac.digest(self.secret, signed.encode(), "sha256")[:_MAC_BYTES].hex()

    def begin(self, request_id: str, fingerprint: Fingerprint, now: float) -> IdVerdict:
        """Decide on a request that carries an id.

        Parameters
        ----------
        request_id : str
            The id that the caller sent.
        fingerprint : Fingerprint
            Fingerprint of the request and its caller.
        now : float
            Monotonic seconds.

        Returns
        -------
        IdVerdict
            ``RunIt`` only for the first request with a valid id of this process.
        """
        parsed = _parse_id(request_id)
        if parsed is None:
            return Invalid()
        if (parsed.vm, parsed.incarnation) != (self.vm, self.incarnation):
            return Foreign(parsed.vm, parsed.incarnation)
        if not hmac.compare_digest(parsed.mac, self._mac(parsed.signed)):
            return Invalid()
        used = self._used_by_counter.get(parsed.counter)
        if used is not None:
            return _verdict_on_repeat(used, fingerprint)
        if parsed.expiry_ms <= now * 1000:
            return Invalid()
        return self._begin_first(parsed, fingerprint)

    def _begin_first(self, parsed: _ParsedId, fingerprint: Fingerprint) -> IdVerdict:
        if len(self._used_by_counter) >= self.max_retained:
            return NoMemory()
        expires = parsed.expiry_ms / 1000 + self.retention_s
        self._used_by_counter[parsed.counter] = _UsedId(
            fingerprint=fingerprint, expires=expires
        )
        return RunIt()

    def record_started(self, request_id: str) -> None:
        """Record that a request is sent, and assert that it was not sent before.

        Call :meth:`record_not_run` before a retry of a request that provably did not
        run.
        """
        counter = _counter_of(request_id)
        check_invariant("at-most-once", counter not in self._started, request_id)
        self._started.add(counter)
        self.ran += 1

    def record_not_run(self, request_id: str) -> None:
        """Record that the request that was sent provably did not run."""
        self._started.discard(_counter_of(request_id))

    def release(self, request_id: str) -> None:
        """Release an id whose request was answered ``not-run``, for a later retry."""
        counter = _counter_of(request_id)
        check_invariant("not-run-is-true", counter not in self._started, request_id)
        self._used_by_counter.pop(counter, None)

    def finish(self, request_id: str, answer: RecordedAnswer | None) -> None:
        """Record the completion of a request; None for an answer too long to keep."""
        used = self._used_by_counter.get(_counter_of(request_id))
        if used is not None:
            used.finished = True
            used.answer = answer

    def expire(self, now: float) -> None:
        """Discard ids whose retention period is over."""
        expired = [
            counter
            for counter, used in self._used_by_counter.items()
            if used.expires <= now
        ]
        for counter in expired:
            del self._used_by_counter[counter]
            self._started.discard(counter)


def _verdict_on_repeat(used: _UsedId, fingerprint: Fingerprint) -> IdVerdict:
    if used.fingerprint != fingerprint:
        return Mismatch()
    if not used.finished:
        return InProgress()
    return AnsweredUnrecorded() if used.answer is None else Replay(used.answer)


def _parse_id(text: str) -> _ParsedId | None:
    found = _ID_PATTERN.fullmatch(text)
    if found is None:
        return None
    return _ParsedId(
        vm=found["vm"],
        incarnation=int(found["incarnation"], 16),
        counter=int(found["counter"], 16),
        expiry_ms=int(found["expiry"]),
        signed=text[: found.start("mac") - 1],
        mac=found["mac"],
    )


def _counter_of(text: str) -> int:
    parsed = _parse_id(text)
    check_invariant("id-was-checked", parsed is not None, text)
    return parsed.counter if parsed else 0
