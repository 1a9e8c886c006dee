"""Changes to the configuration that an operator requests."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

from attrs import evolve
from attrs import field
from attrs import validators
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.codec import configuration_from_mapping
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.rollout import MAX_DURATION_MS
from plankspindle_core.configuration.rollout import Rollout
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.errors import InvalidDocument
from plankspindle_core.settings.structure import make_converter
from plankspindle_core.settings.structure import structure
from plankspindle_daemon.control.order_numbers import with_known_order_numbers


@frozen(kw_only=True)
class ApplyIntent:
    """Replace the configuration as a whole."""

    configuration: Configuration


@frozen(kw_only=True)
class ShiftIntent:
    """Add or replace a shift.

    Parameters
    ----------
    shift_id : str
        Name of the shift.
    shift : Shift
        The shift.
    """

    shift_id: str
    shift: Shift


@frozen(kw_only=True)
class UndoShiftIntent:
    """Remove a shift."""

    shift_id: str


@frozen(kw_only=True)
class DrainIntent:
    """Add or replace a drain.

    Parameters
    ----------
    drain_id : str
        Name of the drain.
    drain : Drain
        The drain.
    """

    drain_id: str
    drain: Drain


@frozen(kw_only=True)
class UndoDrainIntent:
    """Remove a drain."""

    drain_id: str


@frozen(kw_only=True)
class PriorityClassIntent:
    """Change the priority class of a caller.

    Parameters
    ----------
    caller : str
        Name of the caller.
    priority_class : str
        Its new class.
    """

    caller: str
    priority_class: str


@frozen(kw_only=True)
class RolloutIntent:
    """Order to move a service to another software version; replaces its last order.

    Parameters
    ----------
    service : str
        The service.
    target_version : str
        Software version that its requests are to move to.
    duration_ms : int
        Time until the deadline, from when the order is in force, in milliseconds.
    """

    service: str
    target_version: str
    duration_ms: int = field(
        validator=[validators.ge(0), validators.le(MAX_DURATION_MS)]
    )


@frozen(kw_only=True)
class AbortRolloutIntent:
    """Withdraw the order of a service, which moves its requests back."""

    service: str


@frozen(kw_only=True)
class UndoIntent:
    """Restore the version before the newest one.

    Parameters
    ----------
    version : int
        The newest version, which is undone. The plan store replaces this intent by an
        :class:`ApplyIntent` with the configuration of the version before it.
    """

    version: int


Intent = (
    ApplyIntent
    | UndoIntent
    | ShiftIntent
    | UndoShiftIntent
    | DrainIntent
    | UndoDrainIntent
    | PriorityClassIntent
    | RolloutIntent
    | AbortRolloutIntent
)
_CLASS_BY_KIND: dict[str, type[Any]] = {
    "shift": ShiftIntent,
    "undo-shift": UndoShiftIntent,
    "drain": DrainIntent,
    "undo-drain": UndoDrainIntent,
    "class": PriorityClassIntent,
    "rollout": RolloutIntent,
    "abort-rollout": AbortRolloutIntent,
    "undo": UndoIntent,
}
_APPLY = "apply"
_CONVERTER = make_converter()
Value = TypeVar("Value")


def intent_from_mapping(mapping: Any) -> Result[Intent, InvalidDocument]:
    """Parse the JSON form of an intent.

    Parameters
    ----------
    mapping : object
        Decoded JSON with ``kind`` and the fields of that kind.

    Returns
    -------
    Result
        The intent, or all problems found.
    """
    if not isinstance(mapping, dict):
        return Err(InvalidDocument(("document: expected an object",)))
    fields = {key: value for key, value in mapping.items() if key != "kind"}
    kind = mapping.get("kind")
    if kind == _APPLY:
        return configuration_from_mapping(fields.get("configuration")).map(
            lambda found: ApplyIntent(configuration=found)
        )
    result = _CLASS_BY_KIND.get(str(kind))
    if result is None:
        known = ", ".join([_APPLY, *_CLASS_BY_KIND])
        return Err(InvalidDocument((f"kind: {kind!r} is not one of {known}",)))
    found: Result[Intent, InvalidDocument] = structure(_CONVERTER, fields, result)
    return found


def apply_intent(
    intent: Intent, base: Configuration | None
) -> Result[Configuration, InvalidDocument]:
    """Return the configuration that results from an intent.

    Parameters
    ----------
    intent : Intent
        The requested change.
    base : Configuration, optional
        Configuration to be changed; None if there is none yet.

    Returns
    -------
    Result
        The valid configuration, or why the intent is refused.
    """
    if isinstance(intent, ApplyIntent):
        result: Result[Configuration, InvalidDocument] = Ok(
            with_known_order_numbers(intent.configuration, base)
        )
    elif base is None:
        result = _refuse("no configuration is in force yet; apply one first")
    else:
        result = _change(intent, base)
    return result.and_then(_validated)


def _refuse(problem: str) -> Result[Configuration, InvalidDocument]:
    return Err(InvalidDocument((problem,)))


def _validated(configuration: Configuration) -> Result[Configuration, InvalidDocument]:
    problems = configuration.problems()
    return Err(InvalidDocument(tuple(problems))) if problems else Ok(configuration)


def _change(
    intent: Intent, base: Configuration
) -> Result[Configuration, InvalidDocument]:
    match intent:
        case ApplyIntent(configuration=configuration):
            return Ok(configuration)
        case UndoIntent(version=version):
            return _refuse(f"version: {version} is not the newest version")
        case ShiftIntent(shift_id=shift_id, shift=shift):
            shifts = {**base.shifts_by_id, shift_id: shift}
            return Ok(evolve(base, shifts_by_id=shifts))
        case DrainIntent(drain_id=drain_id, drain=drain):
            drains = {**base.drains_by_id, drain_id: drain}
            return Ok(evolve(base, drains_by_id=drains))
        case UndoShiftIntent(shift_id=shift_id):
            return _end_shift(base, shift_id)
        case UndoDrainIntent(drain_id=drain_id):
            return _end_drain(base, drain_id)
        case PriorityClassIntent(caller=name, priority_class=priority_class):
            return _change_priority_class(base, name, priority_class)
        case RolloutIntent() | AbortRolloutIntent():
            return _change_rollouts(intent, base)


def _end_shift(
    base: Configuration, shift_id: str
) -> Result[Configuration, InvalidDocument]:
    if shift_id not in base.shifts_by_id:
        return _refuse(f"shift_id: no shift {shift_id!r}")
    return Ok(evolve(base, shifts_by_id=_without(base.shifts_by_id, shift_id)))


def _end_drain(
    base: Configuration, drain_id: str
) -> Result[Configuration, InvalidDocument]:
    if drain_id not in base.drains_by_id:
        return _refuse(f"drain_id: no drain {drain_id!r}")
    return Ok(evolve(base, drains_by_id=_without(base.drains_by_id, drain_id)))


def _change_rollouts(
    intent: RolloutIntent | AbortRolloutIntent, base: Configuration
) -> Result[Configuration, InvalidDocument]:
    orders = base.rollouts_by_service
    if isinstance(intent, RolloutIntent):
        order = Rollout(
            target_version=intent.target_version, duration_ms=intent.duration_ms
        )
        return Ok(evolve(base, rollouts_by_service={**orders, intent.service: order}))
    if intent.service not in orders:
        return _refuse(f"service: no roll-out of {intent.service!r} is ordered")
    return Ok(evolve(base, rollouts_by_service=_without(orders, intent.service)))


def _change_priority_class(
    base: Configuration, name: str, priority_class: str
) -> Result[Configuration, InvalidDocument]:
    if name not in base.callers_by_name:
        return _refuse(f"caller: no caller {name!r}")
    caller = evolve(base.callers_by_name[name], priority_class=priority_class)
    callers = {**base.callers_by_name, name: caller}
    return Ok(evolve(base, callers_by_name=callers))


def _without(by_id: dict[str, Value], removed: str) -> dict[str, Value]:
    return {key: value for key, value in by_id.items() if key != removed}
