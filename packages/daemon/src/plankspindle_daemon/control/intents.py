"""What an operator wants to change."""

from __future__ import annotations

from typing import Any

from attrs import evolve
from attrs import frozen
from result import Err
from result import Ok
from result import Result

from plankspindle_core.configuration.codec import configuration_from_mapping
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.errors import InvalidDocument
from plankspindle_core.settings.structure import make_converter
from plankspindle_core.settings.structure import structure


@frozen(kw_only=True)
class ApplyIntent:
    """Put a whole configuration in force."""

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
    """End a shift."""

    shift_id: str


Intent = ApplyIntent | ShiftIntent | UndoShiftIntent
_CONVERTER = make_converter()


def intent_from_mapping(mapping: Any) -> Result[Intent, InvalidDocument]:
    """Read the JSON form of an intent.

    Parameters
    ----------
    mapping : object
        Decoded JSON with ``kind`` and the fields of that kind.

    Returns
    -------
    Result
        The intent, or every problem found.
    """
    if not isinstance(mapping, dict):
        return Err(InvalidDocument(("document: expected an object",)))
    fields = {key: value for key, value in mapping.items() if key != "kind"}
    match mapping.get("kind"):
        case "apply":
            return configuration_from_mapping(fields.get("configuration")).map(
                lambda found: ApplyIntent(configuration=found)
            )
        case "shift":
            return _widen(structure(_CONVERTER, fields, ShiftIntent))
        case "undo-shift":
            return _widen(structure(_CONVERTER, fields, UndoShiftIntent))
        case kind:
            problem = f"kind: {kind!r} is not one of apply, shift, undo-shift"
            return Err(InvalidDocument((problem,)))


def _widen(found: Result[Any, InvalidDocument]) -> Result[Intent, InvalidDocument]:
    return found


def apply_intent(
    intent: Intent, base: Configuration | None
) -> Result[Configuration, InvalidDocument]:
    """Give the configuration that an intent leads to.

    Parameters
    ----------
    intent : Intent
        What is wanted.
    base : Configuration, optional
        The version it is based on; None if there is none yet.

    Returns
    -------
    Result
        The valid configuration, or why the intent is refused.
    """
    match intent:
        case ApplyIntent(configuration=configuration):
            wanted = configuration
        case _ if base is None:
            problem = "no configuration is in force yet; apply one first"
            return Err(InvalidDocument((problem,)))
        case ShiftIntent(shift_id=shift_id, shift=shift):
            shifts = {**base.shifts_by_id, shift_id: shift}
            wanted = evolve(base, shifts_by_id=shifts)
        case UndoShiftIntent(shift_id=shift_id):
            if shift_id not in base.shifts_by_id:
                return Err(InvalidDocument((f"shift_id: no shift {shift_id!r}",)))
            shifts = dict(base.shifts_by_id)
            del shifts[shift_id]
            wanted = evolve(base, shifts_by_id=shifts)
    problems = wanted.problems()
    return Err(InvalidDocument(tuple(problems))) if problems else Ok(wanted)
