"""A plan: an intent applied to one version of the configuration, to be confirmed."""

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
"""Time for which a plan can be confirmed, in seconds."""
PLANS_PREFIX = "plans/"


class PlanState(Enum):
    """Whether a plan has been confirmed."""

    OPEN = "open"
    ACCEPTED = "accepted"


@frozen(kw_only=True)
class Plan:
    """A prepared change, which takes effect only when it is confirmed.

    Parameters
    ----------
    id : str
        Random identifier, 12 hexadecimal digits.
    operator : str
        Operator who requested it.
    base_version : int
        Version of the configuration that it is based on; zero if there was none.
    base_row_version : int
        Version of the head row when the plan was made. Confirmation requires that the
        row still has it.
    digest : str
        Digest of the resulting configuration.
    effects : tuple of str
        The load that it moves and its cost, one sentence each.
    expires_at : float
        End of its validity, seconds since the Unix epoch.
    state : PlanState
        Whether it has been confirmed.
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
        """Version number that the resulting configuration gets."""
        return self.base_version + 1

    def as_accepted(self) -> Plan:
        """Return a copy of the plan in the state accepted."""
        return evolve(self, state=PlanState.ACCEPTED)

    def to_mapping(self) -> dict[str, Any]:
        """Return the form stored in the table service and shown to operators."""
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
    """Parse the form stored in the table service."""
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
    """Return the key of the row of a plan."""
    return PLANS_PREFIX + plan_id
