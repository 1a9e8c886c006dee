"""Tests of the removal of expired claims."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from result import Ok
from result import Result

from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_key
from plankspindle_daemon.idempotency.claim_sweeper import ClaimSweeper
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from plankspindle_daemon.membership.membership import Membership
    from plankspindle_daemon.platform.platform_client import PlatformClient


class RangedPlatform(FakePlatform):
    """Fake platform that reads the first rows with a key prefix."""

    async def read_range(
        self, *, prefix: str, after: str, limit: int
    ) -> Result[list[Row], Any]:
        keys = [key for key in sorted(self.table.rows_by_key) if key.startswith(prefix)]
        return Ok([self._row(key) for key in keys[:limit]])


def test_sweep_removes_only_expired_claims() -> None:
    platform = RangedPlatform(random=Random(1), fault_rate=0.0)
    writes = []
    for number, expires_at in enumerate((10.0, 99.0, 20.0)):
        row = ClaimRow(
            fingerprint=Fingerprint(caller="dealer", digest="aa"),
            nonce="n",
            state=ClaimState.CLAIMED,
            expires_at=expires_at,
        )
        key = claim_key(service="registry", idempotency_key=str(number))
        writes.append(
            RowWrite(key=key, expected_version=ABSENT, value=row.to_mapping())
        )
    run_to_completion(platform.commit(Transaction(writes=writes)))
    sweeper = ClaimSweeper(
        platform=cast("PlatformClient", platform),
        membership=cast("Membership", None),
        random=Random(2),
        supervisor=Supervisor(),
    )
    run_to_completion(sweeper.sweep(50.0))
    assert sweeper.removed == 2
    assert set(platform.table.rows_by_key) == {writes[1].key}
    run_to_completion(sweeper.sweep(50.0))
    assert sweeper.removed == 2
