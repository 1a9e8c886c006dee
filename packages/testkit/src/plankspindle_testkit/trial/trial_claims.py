"""Claims of idempotency keys in a trial."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field

from plankspindle_daemon.idempotency import claim_attempt as claims
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_store import needs_closing_write
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_testkit.trial.fake_platform import run_to_completion
from plankspindle_testkit.trial.world import World

if TYPE_CHECKING:
    from plankspindle_daemon.idempotency.verdicts import ClaimVerdict


@define(kw_only=True)
class TrialClaims:
    """Claim idempotency keys, and close the claims some time later.

    Parameters
    ----------
    world : World
        State of the trial.

    Attributes
    ----------
    closings : list of (str, ClaimRow)
        Keys of claims to be closed, with the rows that close them.
    """

    world: World
    closings: list[tuple[str, ClaimRow]] = field(factory=list)

    def claim(self, key: str, row: ClaimRow) -> ClaimVerdict:
        """Claim a key."""
        attempt = claims.ClaimAttempt(key=key, claim_row=row)
        effects = attempt.begin()
        for _ in range(8):
            if isinstance(effects[-1], claims.Settled):
                return effects[-1].verdict
            effects = attempt.handle(self._perform(effects[-1]))
        settled = attempt.handle(claims.DeadlineExceeded())[-1]
        assert isinstance(settled, claims.Settled)
        self.closings.append((key, row.released()))
        return settled.verdict

    def _perform(self, effect: claims.ClaimEffect) -> claims.ClaimEvent:
        match effect:
            case claims.WriteRow(write=write):
                transaction = Transaction(writes=[write])
                committed = run_to_completion(self.world.platform.commit(transaction))
                if committed.is_ok():
                    return claims.WriteAnswered(True)
                if isinstance(committed.unwrap_err(), ConditionFailed):
                    return claims.WriteAnswered(False)
                return claims.WriteUnanswered()
            case claims.ReadRow(key=key):
                read = run_to_completion(self.world.platform.read_row(key))
                if read.is_err():
                    return claims.ReadUnanswered()
                return claims.RowRead(read.unwrap())
            case claims.Settled():
                raise AssertionError("settled already")

    def close_one(self) -> None:
        """Close the oldest claim with a probability of one half."""
        if not self.closings or self.world.random.random() < 0.5:
            return
        key, closing_row = self.closings.pop(0)
        read = run_to_completion(self.world.platform.read_row(key))
        if read.is_err():
            self.closings.append((key, closing_row))
            return
        row = read.unwrap()
        if not needs_closing_write(row, closing_row):
            return
        write = RowWrite(
            key=key, expected_version=row.version, value=closing_row.to_mapping()
        )
        run_to_completion(self.world.platform.commit(Transaction(writes=[write])))
        self.closings.append((key, closing_row))


@define(kw_only=True)
class TrialClaimRecord:
    """Record of a claimed key, whose closing happens later in the trial."""

    closings: list[tuple[str, ClaimRow]]
    key: str
    row: ClaimRow

    def record_started(self) -> None:
        """Do nothing."""

    def record_not_run(self) -> None:
        """Do nothing."""

    def release(self) -> None:
        """Queue the release of the key."""
        self.closings.append((self.key, self.row.released()))

    def finish(self, answer: Any) -> None:
        """Queue the answer to be stored."""
        self.closings.append((self.key, self.row.finished(answer)))
