"""A plan: one intent worked out on one version of the configuration."""

from __future__ import annotations

from enum import Enum
from typing import Any

from attrs import evolve
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.errors import Unreadable

PLAN_VALIDITY_S = 900.0
PLANS_PREFIX = "plans/"


class PlanState(Enum):
    """Where a plan stands."""

    OPEN = "open"
    ACCEPTED = "accepted"


@frozen(kw_only=True)
class Plan:
    """A change that is worked out but not in force until it is confirmed.

    Parameters
    ----------
    id : str
        Random name.
    operator : str
        Who asked for it.
    base_version : int
        Version that it is based on; zero if there was none.
    base_row_version : int
        Version of the head row at that time; confirmation demands the same.
    digest : str
        Content that it leads to.
    effects : tuple of str
        What moves and what it costs, a sentence each.
    expires_at : float
        Seconds since the Unix epoch.
    state : PlanState
        Where it stands.
    """

    id: str
    operator: str
    base_version: int
    base_row_version: int
    digest: str
    effects: tuple[str, ...]
    expires_at: float
    state: PlanState = PlanState.OPEN

    @property
    def version(self) -> int:
        """Version that it leads to."""
        return self.base_version + 1

    def as_accepted(self) -> Plan:
        """Give the plan as it stands once it is in force."""
        return evolve(self, state=PlanState.ACCEPTED)

    def to_mapping(self) -> dict[str, Any]:
        """Give the form kept in the table service and shown to operators."""
        return {
            "id": self.id,
            "operator": self.operator,
            "base_version": self.base_version,
            "base_row_version": self.base_row_version,
            "digest": self.digest,
            "effects": list(self.effects),
            "expires_at": self.expires_at,
            "state": self.state.value,
        }


def plan_from_mapping(mapping: Any) -> Result[Plan, Unreadable]:
    """Read the form kept in the table service."""
    try:
        return Ok(
            Plan(
                id=mapping["id"],
                operator=mapping["operator"],
                base_version=int(mapping["base_version"]),
                base_row_version=int(mapping["base_row_version"]),
                digest=mapping["digest"],
                effects=tuple(mapping["effects"]),
                expires_at=float(mapping["expires_at"]),
                state=PlanState(mapping["state"]),
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(Unreadable(repr(error)))


def plan_key(plan_id: str) -> str:
    """Name the row of a plan."""
    return PLANS_PREFIX + plan_id
