"""Decision whether a request with a request id or idempotency key may run here."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.exchange.messages import AnswerCaller
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_key
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.request_records import ClaimRecord
from plankspindle_daemon.idempotency.request_records import IdRecord
from plankspindle_daemon.idempotency.request_records import RequestRecord
from plankspindle_daemon.idempotency.verdicts import AnsweredUnrecorded
from plankspindle_daemon.idempotency.verdicts import ClaimVerdict
from plankspindle_daemon.idempotency.verdicts import Foreign
from plankspindle_daemon.idempotency.verdicts import IdVerdict
from plankspindle_daemon.idempotency.verdicts import InProgress
from plankspindle_daemon.idempotency.verdicts import Invalid
from plankspindle_daemon.idempotency.verdicts import Mismatch
from plankspindle_daemon.idempotency.verdicts import NoMemory
from plankspindle_daemon.idempotency.verdicts import Replay
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.idempotency.verdicts import StoreRestoring
from plankspindle_daemon.idempotency.verdicts import StoreUnavailable
from plankspindle_daemon.node.node import Node

if TYPE_CHECKING:
    from plankspindle_daemon.exchange.caller_request import CallerRequest
    from plankspindle_daemon.idempotency.fingerprint import Fingerprint

CLAIM_TTL_S = 7 * 24 * 3600.0
CLAIM_TIMEOUT_S = 3.0
"""Maximum wait for a claim, so that the caller still gets an answer in an outage."""


@frozen
class RunRequest:
    """The request may run here."""

    record: RequestRecord


@frozen
class SendHome:
    """The request belongs to the process that issued its id."""

    endpoint: Endpoint


@frozen(kw_only=True)
class AnsweredWithoutRunning:
    """The request does not run; the caller gets the reason, or a replayed answer.

    Parameters
    ----------
    verdict : IdVerdict or ClaimVerdict
        Result of the request id table or of the claim store.
    answer : AnswerCaller
        The answer; ignored if a recorded answer is replayed.
    """

    verdict: IdVerdict | ClaimVerdict
    answer: AnswerCaller


Decision = RunRequest | SendHome | AnsweredWithoutRunning


@define(kw_only=True)
class IdempotencyChecker:
    """Check ids and keys of requests against issued ids and claims.

    Parameters
    ----------
    node : Node
        Node that holds the ids issued here.
    claims : ClaimStore
        Claims of idempotency keys.
    random : Random
        Source of nonces.
    """

    node: Node
    claims: ClaimStore
    random: Random

    async def decide(
        self,
        request: CallerRequest,
        fingerprint: Fingerprint,
        *,
        deadline: float,
        now: float,
    ) -> Decision:
        """Decide whether one request runs here, is forwarded or is answered.

        Parameters
        ----------
        request : CallerRequest
            A request with an id or a key.
        fingerprint : Fingerprint
            Fingerprint of the request.
        deadline, now : float
            Deadline of the request and current time, monotonic seconds.
        """
        if request.request_id is not None:
            return self._decide_id(request, request.request_id, fingerprint, now)
        assert request.idempotency_key is not None
        key = claim_key(
            service=request.service, idempotency_key=request.idempotency_key
        )
        row = ClaimRow(
            fingerprint=fingerprint,
            nonce=f"{self.random.getrandbits(128):032x}",
            state=ClaimState.CLAIMED,
            expires_at=time.time() + CLAIM_TTL_S,
        )
        verdict = await self.claims.claim(
            key=key, claim_row=row, deadline=min(deadline, now + CLAIM_TIMEOUT_S)
        )
        if isinstance(verdict, RunIt):
            return RunRequest(ClaimRecord(store=self.claims, key=key, row=row))
        return AnsweredWithoutRunning(verdict=verdict, answer=answer_for(verdict))

    def _decide_id(
        self,
        request: CallerRequest,
        text: str,
        fingerprint: Fingerprint,
        now: float,
    ) -> Decision:
        verdict = self.node.ids.begin(text, fingerprint, now)
        if isinstance(verdict, RunIt):
            return RunRequest(IdRecord(ids=self.node.ids, request_id=text))
        if isinstance(verdict, Foreign) and not request.forwarded:
            home = self.node.membership.caller_endpoint_of(verdict.vm)
            if home is not None and verdict.vm != self.node.vm:
                return SendHome(home)
        return AnsweredWithoutRunning(verdict=verdict, answer=answer_for(verdict))


def answer_for(verdict: IdVerdict | ClaimVerdict) -> AnswerCaller:
    """Return the answer to a request that does not run.

    Parameters
    ----------
    verdict : IdVerdict or ClaimVerdict
        Result of the request id table or of the claim store.

    Returns
    -------
    AnswerCaller
        Its outcome is ``not-run`` only if no copy of the request can have run.
    """
    match verdict:
        case Replay() | RunIt():
            return AnswerCaller(status=200, outcome=Outcome.DONE, reason="answered")
        case AnsweredUnrecorded():
            return AnswerCaller(
                status=410, outcome=Outcome.DONE, reason="answer-too-long-to-keep"
            )
        case InProgress():
            return AnswerCaller(
                status=409, outcome=Outcome.UNKNOWN, reason="in-progress-or-lost"
            )
        case Mismatch():
            return AnswerCaller(
                status=422, outcome=Outcome.UNKNOWN, reason="key-of-another-request"
            )
        case Foreign():
            return AnswerCaller(
                status=409, outcome=Outcome.UNKNOWN, reason="issuer-not-reachable"
            )
        case Invalid():
            return AnswerCaller(
                status=410, outcome=Outcome.UNKNOWN, reason="id-expired-or-not-issued"
            )
        case NoMemory():
            return AnswerCaller(
                status=503, outcome=Outcome.NOT_RUN, reason="too-many-ids-in-use"
            )
        case StoreRestoring(left_s=left_s):
            return AnswerCaller(
                status=503,
                outcome=Outcome.NOT_RUN,
                reason="store-restoring",
                retry_after_s=left_s,
            )
        case StoreUnavailable():
            return AnswerCaller(
                status=503, outcome=Outcome.NOT_RUN, reason="claim-not-confirmed"
            )
