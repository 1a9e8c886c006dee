"""Creation, storage and confirmation of plans at the platform."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.codec import content_digest
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.errors import InvalidDocument
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.configuration.head_row import HEAD_KEY
from plankspindle_daemon.configuration.head_row import LOG_PREFIX
from plankspindle_daemon.configuration.head_row import HeadRow
from plankspindle_daemon.configuration.head_row import head_row_from_mapping
from plankspindle_daemon.configuration.head_row import log_key
from plankspindle_daemon.configuration.head_row import object_name
from plankspindle_daemon.control.forecast import Forecast
from plankspindle_daemon.control.intents import ApplyIntent
from plankspindle_daemon.control.intents import RolloutIntent
from plankspindle_daemon.control.intents import UndoIntent
from plankspindle_daemon.control.intents import apply_intent
from plankspindle_daemon.control.order_numbers import with_new_order_numbers
from plankspindle_daemon.control.plan import PLAN_VALIDITY_S
from plankspindle_daemon.control.plan import PLANS_PREFIX
from plankspindle_daemon.control.plan import Plan
from plankspindle_daemon.control.plan import PlanState
from plankspindle_daemon.control.plan import plan_from_mapping
from plankspindle_daemon.control.plan import plan_key
from plankspindle_daemon.digests.digest_table import DigestTable
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_daemon.control.intents import Intent
    from plankspindle_daemon.platform.errors import ConditionFailed

MAX_CONFIRM_ATTEMPTS = 3
MAX_LISTED_PLANS = 200
MAX_HISTORY_VERSIONS = 50
ROLLOUTS_DISABLED = (
    "rollouts.enabled: roll-outs are disabled in the settings of this entry VM; enable"
    " them at all entry VMs and restart these"
)


@frozen
class NotPossible:
    """The platform did not answer; no change is known to have been made.

    Parameters
    ----------
    detail : str
        Description of the failure.
    """

    detail: str


@frozen
class NoSuchPlan:
    """There is no plan with that id."""


@frozen
class PlanExpired:
    """The plan has expired; a new one must be created."""


@frozen
class PlanOvertaken:
    """Another plan was confirmed first; this one has no effect.

    Parameters
    ----------
    head : HeadRow
        The version that is in force now.
    """

    head: HeadRow


@frozen
class ConfirmationUnknown:
    """No answer was received; confirm again to see whether the plan was accepted."""


PlanError = NotPossible | NoSuchPlan | InvalidDocument
ConfirmError = (
    NotPossible | NoSuchPlan | PlanExpired | PlanOvertaken | ConfirmationUnknown
)


@define(kw_only=True)
class PlanStore:
    """Creates, lists and confirms plans.

    Parameters
    ----------
    platform : PlatformClient
        Table service and object store.
    reader : ConfigurationReader
        Reader of configuration versions.
    random : Random
        Source of plan ids.
    digests : DigestTable
        Reported load of all failure domains.
    allows_rollouts : bool
        Whether roll-outs are enabled in the settings. If not, they are refused, since
        an order would be accepted and have no effect.
    """

    platform: PlatformClient
    reader: ConfigurationReader
    random: Random
    digests: DigestTable
    allows_rollouts: bool = True

    async def list_all(self) -> Result[list[Plan], NotPossible]:
        """Return the stored plans, at most ``MAX_LISTED_PLANS``."""
        page = await self.platform.read_range(
            prefix=PLANS_PREFIX, after=PLANS_PREFIX, limit=MAX_LISTED_PLANS
        )
        if page.is_err():
            return Err(NotPossible(page.unwrap_err().detail))
        decoded = [plan_from_mapping(row.value) for row in page.unwrap()]
        return Ok([each.unwrap() for each in decoded if each.is_ok()])

    async def create(self, intent: Intent, operator: str) -> Result[Plan, PlanError]:
        """Create a plan based on the newest version and store it.

        Parameters
        ----------
        intent : Intent
            The requested change.
        operator : str
            Operator who requests it.

        Returns
        -------
        Result
            The open plan, or why it could not be created.
        """
        if isinstance(intent, RolloutIntent) and not self.allows_rollouts:
            return Err(InvalidDocument((ROLLOUTS_DISABLED,)))
        row = await self.platform.read_row(HEAD_KEY)
        if row.is_err():
            return Err(NotPossible(row.unwrap_err().detail))
        base = await self._read_base(row.unwrap())
        if base.is_err():
            return Err(base.unwrap_err())
        head, configuration = base.unwrap()
        if isinstance(intent, UndoIntent) and head and head.version == intent.version:
            before = await self._read_version(head.version - 1)
            if before.is_err():
                return Err(before.unwrap_err())
            intent = ApplyIntent(configuration=before.unwrap())
        applied = apply_intent(intent, configuration)
        if applied.is_err():
            return Err(applied.unwrap_err())
        base_version = head.version if head else 0
        proposed = with_new_order_numbers(
            applied.unwrap(), configuration, base_version + 1
        )
        effects = Forecast(
            base=configuration,
            proposed=proposed,
            digests=self.digests,
            now=monotonic(),
        ).effects_of(intent)
        if effects.is_err():
            return Err(effects.unwrap_err())
        content = encode_configuration(proposed)
        plan = Plan(
            id=f"{self.random.getrandbits(48):012x}",
            operator=operator,
            base_version=base_version,
            base_row_version=row.unwrap().version,
            digest=content_digest(content),
            effects=effects.unwrap(),
            expires_at=time.time() + PLAN_VALIDITY_S,
        )
        return await self._store(plan, content)

    async def _read_base(
        self, row: Row
    ) -> Result[tuple[HeadRow | None, Configuration | None], PlanError]:
        if row.version == ABSENT:
            return Ok((None, None))
        head = head_row_from_mapping(row.value)
        if head.is_err():
            return Err(NotPossible(head.unwrap_err().detail))
        content = await self.reader.read_content(head.unwrap().digest)
        if content.is_err():
            return Err(NotPossible(content.unwrap_err().detail))
        return Ok((head.unwrap(), content.unwrap()))

    async def _read_version(self, version: int) -> Result[Configuration, PlanError]:
        row = await self.platform.read_row(log_key(version))
        if row.is_err():
            return Err(NotPossible(row.unwrap_err().detail))
        if row.unwrap().version == ABSENT:
            return Err(InvalidDocument((f"version: there is no version {version}",)))
        head = head_row_from_mapping(row.unwrap().value)
        if head.is_err():
            return Err(NotPossible(head.unwrap_err().detail))
        content = await self.reader.read_content(head.unwrap().digest)
        return content.map_err(lambda error: NotPossible(error.detail))

    async def history(self) -> Result[list[HeadRow], NotPossible]:
        """Return the newest accepted versions, ``MAX_HISTORY_VERSIONS`` at most."""
        row = await self.platform.read_row(HEAD_KEY)
        if row.is_err():
            return Err(NotPossible(row.unwrap_err().detail))
        head = head_row_from_mapping(row.unwrap().value)
        newest = head.unwrap().version if head.is_ok() else 0
        page = await self.platform.read_range(
            prefix=LOG_PREFIX,
            after=log_key(max(0, newest - MAX_HISTORY_VERSIONS)),
            limit=MAX_HISTORY_VERSIONS,
        )
        if page.is_err():
            return Err(NotPossible(page.unwrap_err().detail))
        decoded = [head_row_from_mapping(each.value) for each in page.unwrap()]
        return Ok([each.unwrap() for each in decoded if each.is_ok()])

    async def _store(self, plan: Plan, content: bytes) -> Result[Plan, PlanError]:
        stored = await self.platform.put_object(object_name(plan.digest), content)
        if stored.is_err():
            return Err(NotPossible(stored.unwrap_err().detail))
        write = RowWrite(
            key=plan_key(plan.id), expected_version=ABSENT, value=plan.to_mapping()
        )
        committed = await self.platform.commit(Transaction(writes=[write]))
        if committed.is_err():
            return Err(NotPossible(str(committed.unwrap_err())))
        return Ok(plan)

    async def read(self, plan_id: str) -> Result[Plan, NotPossible | NoSuchPlan]:
        """Return the plan with an id."""
        found = await self._read_rows(plan_id)
        if found.is_err():
            return Err(found.unwrap_err())
        return Ok(found.unwrap()[0])

    async def _read_rows(
        self, plan_id: str
    ) -> Result[tuple[Plan, Row, Row], NotPossible | NoSuchPlan]:
        key = plan_key(plan_id)
        read = await self.platform.read_rows([key, HEAD_KEY])
        if read.is_err():
            return Err(NotPossible(read.unwrap_err().detail))
        rows = read.unwrap()
        if rows[key].version == ABSENT:
            return Err(NoSuchPlan())
        plan = plan_from_mapping(rows[key].value)
        if plan.is_err():
            return Err(NotPossible(plan.unwrap_err().detail))
        return Ok((plan.unwrap(), rows[key], rows[HEAD_KEY]))

    async def confirm(self, plan_id: str, operator: str) -> Result[Plan, ConfirmError]:
        """Accept a plan, if the version that it is based on is still in force.

        Parameters
        ----------
        plan_id : str
            Identifier of the plan.
        operator : str
            Operator who confirms it.

        Returns
        -------
        Result
            The accepted plan, also if it was accepted before, or why it was refused. Of
            two plans with the same base exactly one is accepted, because both require
            the same version of the head row.
        """
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            found = await self._read_rows(plan_id)
            if found.is_err():
                return Err(found.unwrap_err())
            plan, plan_row, head_row = found.unwrap()
            refused = _refusal_reason(plan, head_row)
            if plan.state is PlanState.ACCEPTED or refused is not None:
                return Ok(plan) if refused is None else Err(refused)
            committed = await self._commit(plan, plan_row, operator)
            if committed.is_ok():
                return Ok(plan.as_accepted())
        return Err(ConfirmationUnknown())

    async def _commit(
        self, plan: Plan, plan_row: Row, operator: str
    ) -> Result[None, ConditionFailed | object]:
        head = HeadRow(
            version=plan.version, digest=plan.digest, plan=plan.id, operator=operator
        )
        writes = [
            RowWrite(
                key=HEAD_KEY,
                expected_version=plan.base_row_version,
                value=head.to_mapping(),
                era=plan_row.era,
            ),
            plan_row.replaced_by(plan.as_accepted().to_mapping()),
            RowWrite(
                key=log_key(plan.version),
                expected_version=ABSENT,
                value=head.to_mapping(),
            ),
        ]
        return await self.platform.commit(Transaction(writes=writes))


def _refusal_reason(plan: Plan, head_row: Row) -> PlanExpired | PlanOvertaken | None:
    if plan.state is PlanState.ACCEPTED:
        return None
    if head_row.version != plan.base_row_version:
        head = head_row_from_mapping(head_row.value)
        if head.is_ok():
            return PlanOvertaken(head.unwrap())
    if time.time() > plan.expires_at:
        return PlanExpired()
    return None
