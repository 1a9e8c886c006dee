"""A plan: one intent worked out on one version of the configuration."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from attrs import evolve
from attrs import frozen
from result import Err
from result import Ok
from result import Result

from plankspindle_daemon.control.intents import ApplyIntent
from plankspindle_daemon.control.intents import ShiftIntent
from plankspindle_daemon.control.intents import UndoShiftIntent

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_daemon.control.intents import Intent

PLAN_LIFE_S = 900.0


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

    def accepted(self) -> Plan:
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


@frozen
class BadPlan:
    """A plan row that cannot be read."""

    detail: str


def plan_from_mapping(mapping: Any) -> Result[Plan, BadPlan]:
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
        return Err(BadPlan(repr(error)))


def plan_key(plan_id: str) -> str:
    """Name the row of a plan."""
    return f"plans/{plan_id}"


def describe_effects(
    intent: Intent, base: Configuration | None, wanted: Configuration
) -> tuple[str, ...]:
    """Say what an intent moves and what that costs.

    Parameters
    ----------
    intent : Intent
        What is wanted.
    base : Configuration, optional
        Version that it is based on.
    wanted : Configuration
        Version that it leads to.

    Returns
    -------
    tuple of str
        A sentence an effect.
    """
    match intent:
        case ShiftIntent(shift_id=shift_id, shift=shift):
            before = base.shifts_by_id.get(shift_id) if base else None
            here = _slots(wanted, shift.service, shift.from_region)
            there = _slots(wanted, shift.service, shift.to_region)
            was = before.cap_percent if before else 0.0
            added = wanted.distances.between_regions_ms * 2
            return (
                f"at most {shift.cap_percent:g} percent of the requests of"
                f" {shift.service} received in {shift.from_region} move to"
                f" {shift.to_region} (was {was:g} percent)",
                f"each moved request takes about {added:g} ms longer",
                f"{shift.to_region} has {there} slots of {shift.service},"
                f" {shift.from_region} has {here}",
                "requests with an issued request id stay where it was issued",
            )
        case UndoShiftIntent(shift_id=shift_id):
            return (f"shift {shift_id} ends; its requests stay in their region",)
        case ApplyIntent():
            return tuple(_differences(base, wanted)) or ("nothing changes",)


def _slots(configuration: Configuration, service: str, region: str) -> int:
    return sum(
        upstream.slots
        for upstream in configuration.upstreams_by_name.values()
        if upstream.service == service
        and configuration.region_of(upstream.failure_domain) == region
    )


def _differences(base: Configuration | None, wanted: Configuration) -> list[str]:
    sections = {
        "services": "services_by_name",
        "upstreams": "upstreams_by_name",
        "callers": "callers_by_name",
        "sites": "sites_by_name",
        "client blocks": "site_by_prefix",
        "shifts": "shifts_by_id",
        "failure domains": "failure_domains_by_name",
    }
    found = []
    for title, field in sections.items():
        old: dict[str, Any] = getattr(base, field) if base else {}
        new: dict[str, Any] = getattr(wanted, field)
        added = len(new.keys() - old.keys())
        removed = len(old.keys() - new.keys())
        changed = sum(1 for key in new.keys() & old.keys() if new[key] != old[key])
        if added or removed or changed:
            found.append(
                f"{title}: {added} added, {removed} removed, {changed} changed"
            )
    return found
