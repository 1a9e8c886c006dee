"""Test of a token that is refused although the next one is due at the same moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.token_requester import TokenRequester
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node

if TYPE_CHECKING:
    import pytest

NOW = 5.0


# The refusal made waiting requests ask again at once, without end, until the process
# stopped with a RecursionError.
def test_refused_token_is_not_requested_again_at_the_same_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limits = build_empty_node(Fleet(vms=1, upstreams=1)).quotas.limits
    statement = UpstreamStatement(limit_per_s=5.0)
    limits.apply_statement("u#1", statement, sent_at=NOW - 0.1, now=NOW)
    limiter = limits.limiter_by_incarnation["u#1"]
    monkeypatch.setattr(
        TokenRequester,
        "request_token",
        lambda _, ticket, *args: [
            TokenRefused(ticket=ticket, retry_after_s=0.0, is_over_quota=True)
        ],
    )
    assert limiter.may_request_token(NOW)
    limits.request_token("u#1", "registry", NOW)
    assert not limiter.may_request_token(NOW)
    assert limiter.may_request_token(NOW + 0.05)
