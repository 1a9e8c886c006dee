"""Checks before each sending of a request: its API key and its quota."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.admission.caller_directory import Identity
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.quota_runner import QuotaRunner
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import QuotaTokenDecided

KEY_REVOKED = "key-revoked"
OVER_QUOTA = "over-quota"
QUOTA_UNKNOWN = "quota-unknown"
MIN_RETRY_AFTER_S = 0.1
_UNAUTHORIZED = 401
_TOO_MANY = 429
_UNAVAILABLE = 503


@define(kw_only=True)
class RequestAdmission:
    """Check a request against its API key and the quota of its workspace.

    Parameters
    ----------
    identity : Identity
        Identity of the caller.
    node : Node
        Source of the configuration in force.
    quotas : QuotaRunner
        Source of quota tokens.
    trace : RequestTrace
        Trace of the request.
    """

    identity: Identity
    node: Node
    quotas: QuotaRunner
    trace: RequestTrace
    _has_token: bool = False
    _sent_with_token: bool = False

    async def admit(self) -> Refused | None:
        """Acquire a quota token, unless the request still has an unused one.

        Returns
        -------
        Refused or None
            None if the request may be sent.
        """
        refused = self.refuse_if_revoked()
        if refused is not None or self._has_token or self.identity.workspace is None:
            return refused
        started_at = monotonic()
        decision = await self.quotas.acquire(self.identity.workspace)
        refusal = decision if isinstance(decision, TokenRefused) else None
        self._has_token = refusal is None
        self._record_decision(refusal, started_at)
        if refusal is None:
            return None
        return Refused(
            reason=OVER_QUOTA if refusal.is_over_quota else QUOTA_UNKNOWN,
            retry_after_s=max(MIN_RETRY_AFTER_S, refusal.retry_after_s),
            status=_TOO_MANY if refusal.is_over_quota else _UNAVAILABLE,
        )

    def refuse_if_revoked(self) -> Refused | None:
        """Refuse a request whose key was revoked while it waited."""
        directory = self.node.directory
        if directory is None or directory.is_key_valid(self.identity):
            return None
        return Refused(reason=KEY_REVOKED, retry_after_s=0.0, status=_UNAUTHORIZED)

    def record_sent(self) -> None:
        """Spend the token, since the request may run from now on."""
        self._sent_with_token, self._has_token = self._has_token, False

    def record_not_run(self) -> None:
        """Keep the token for another attempt, since this one provably did not run."""
        self._has_token = self._sent_with_token

    def close(self) -> None:
        """Return an unused token to the quota."""
        if self._has_token and self.identity.workspace is not None:
            self._has_token = False
            self.quotas.return_token(self.identity.workspace)

    def _record_decision(self, refusal: TokenRefused | None, started_at: float) -> None:
        now = monotonic()
        step = QuotaTokenDecided(
            workspace=self.identity.workspace or "",
            taken=refusal is None,
            waited_ms=round(1000 * (now - started_at)),
            over_quota=None if refusal is None else refusal.is_over_quota,
        )
        self.trace.record(step, now)
