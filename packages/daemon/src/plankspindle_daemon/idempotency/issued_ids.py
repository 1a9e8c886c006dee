"""Request ids issued by this process, which alone runs requests that carry them.

An id names the VM and the incarnation of the process that issued it. No other process
ever runs it, so the memory of this one is a complete filter of duplicates, and no write
at the platform is needed. After a restart the incarnation is another one, and old ids
are answered ``unknown``.
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

_ID_FORM = re.compile(
    r"(?P<vm>[A-Za-z0-9_-]{1,64})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<counter>[0-9a-f]{1,16})\.(?P<expiry>[0-9]{1,15})\.(?P<mac>[0-9a-f]{32})"
)
_MAC_BYTES = 16


@frozen(kw_only=True)
class _Parsed:
    vm: str
    incarnation: int
    counter: int
    expiry_ms: int
    signed: str
    mac: str


@define(kw_only=True)
class _Used:
    fingerprint: Fingerprint
    expires: float
    finished: bool = False
    answer: RecordedAnswer | None = None


@define(kw_only=True)
class IssuedIds:
    """Ids of one process and what became of them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Random number of this process, 64 bits.
    secret : bytes
        Random secret of this process; ids are never checked by another one.
    ttl_s : float
        Life of an id, in seconds.
    retention_s : float
        Time for which a used id is remembered after its expiry; longer than any
        request can run.
    max_retained : int
        Used ids remembered at once.
    """

    vm: str
    incarnation: int
    secret: bytes
    ttl_s: float
    retention_s: float
    max_retained: int
    issued: int = 0
    ran: int = 0
    _used_by_counter: dict[int, _Used] = field(factory=dict)
    _started: set[int] = field(factory=set)

    @property
    def retained(self) -> int:
        """Used ids that are remembered."""
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
            The id; it holds until its expiry in the clock of this process.
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
            The id as sent.
        fingerprint : Fingerprint
            The request and its caller.
        now : float
            Monotonic seconds.

        Returns
        -------
        IdVerdict
            ``RunIt`` for the first request with a valid id of this process only.
        """
        parsed = _parse(request_id)
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

    def _begin_first(self, parsed: _Parsed, fingerprint: Fingerprint) -> IdVerdict:
        if len(self._used_by_counter) >= self.max_retained:
            return NoMemory()
        expires = parsed.expiry_ms / 1000 + self.retention_s
        self._used_by_counter[parsed.counter] = _Used(
            fingerprint=fingerprint, expires=expires
        )
        return RunIt()

    def record_started(self, request_id: str) -> None:
        """Assert that an id reaches an upstream for the first time.

        A retry after a proof that the request was not run is announced by
        :meth:`note_not_run` first.
        """
        counter = _counter_of(request_id)
        check_invariant("at-most-once", counter not in self._started, request_id)
        self._started.add(counter)
        self.ran += 1

    def record_not_run(self, request_id: str) -> None:
        """Record a proof that what was started did not run."""
        self._started.discard(_counter_of(request_id))

    def release(self, request_id: str) -> None:
        """Free an id whose request was answered ``not run``, for a later try."""
        counter = _counter_of(request_id)
        check_invariant("not-run-is-true", counter not in self._started, request_id)
        self._used_by_counter.pop(counter, None)

    def finish(self, request_id: str, answer: RecordedAnswer | None) -> None:
        """Record the end of a request; without an answer it was too long to keep."""
        used = self._used_by_counter.get(_counter_of(request_id))
        if used is not None:
            used.finished = True
            used.answer = answer

    def expire(self, now: float) -> None:
        """Forget ids that no request can use any more."""
        expired = [
            counter
            for counter, used in self._used_by_counter.items()
            if used.expires <= now
        ]
        for counter in expired:
            del self._used_by_counter[counter]
            self._started.discard(counter)


def _verdict_on_repeat(used: _Used, fingerprint: Fingerprint) -> IdVerdict:
    if used.fingerprint != fingerprint:
        return Mismatch()
    if not used.finished:
        return InProgress()
    return AnsweredUnrecorded() if used.answer is None else Replay(used.answer)


def _parse(text: str) -> _Parsed | None:
    found = _ID_FORM.fullmatch(text)
    if found is None:
        return None
    return _Parsed(
        vm=found["vm"],
        incarnation=int(found["incarnation"], 16),
        counter=int(found["counter"], 16),
        expiry_ms=int(found["expiry"]),
        signed=text[: found.start("mac") - 1],
        mac=found["mac"],
    )


def _counter_of(text: str) -> int:
    parsed = _parse(text)
    check_invariant("id-was-checked", parsed is not None, text)
    return parsed.counter if parsed else 0
