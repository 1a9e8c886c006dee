"""Records of roll-outs as JSON values of rows."""

from __future__ import annotations

from math import isfinite
from typing import Any

from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.stage import Stage

RECORDED_STAGES = frozenset(
    {Stage.PREPARING, Stage.CANARY, Stage.MOVING, Stage.COMPLETE, Stage.ROLLED_BACK}
)
"""Stages that a record may have.

``HALTED`` is none: it is told to other VMs, and lasts as ``ROLLED_BACK``.
"""
_KEY_PREFIX = "rollout/"
_MAX_UINT64 = (1 << 64) - 1
"""Highest number of an order; messages to entry VMs have a 64-bit field for it."""
_MAX_UINT32 = (1 << 32) - 1
"""Longest duration in milliseconds; messages have 32-bit fields for times."""


def record_key(service: str) -> str:
    """Return the key of the row that has the record of a service."""
    return f"{_KEY_PREFIX}{service}"


def encode_record(record: RolloutRecord) -> dict[str, Any]:
    """Return a record as the value of a row.

    Raises
    ------
    ValueError
        If its stage is not one that lasts.
    """
    if record.stage not in RECORDED_STAGES:
        raise ValueError(f"the stage {record.stage.value} is never recorded")
    return {
        "service": record.service,
        "baseline_version": record.baseline_version,
        "order": record.order,
        "target_version": record.target_version,
        "duration_ms": record.duration_ms,
        "stage": record.stage.value,
        "ordered_at_s": record.ordered_at_s,
        "moving_at_s": record.moving_at_s,
        "ends_at_s": record.ends_at_s,
    }


def decode_record(service: str, value: Any) -> RolloutRecord | None:
    """Return the record of a service; None if there is none or it is damaged.

    Parameters
    ----------
    service : str
        Service whose row was read.
    value : object
        Content of the row; None if there is no row.
    """
    if value is None:
        return None
    try:
        return _parse(service, value)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        log_event("rollout_record_unreadable", service=service, reason=repr(error))
        return None


def _parse(service: str, value: Any) -> RolloutRecord:
    stage = Stage(value["stage"])
    if value["service"] != service or stage not in RECORDED_STAGES:
        raise ValueError("the record is of another service, or its stage never lasts")
    return RolloutRecord(
        service=service,
        baseline_version=_text(value["baseline_version"]),
        order=_count(value["order"], _MAX_UINT64),
        target_version=_text(value["target_version"]),
        duration_ms=_count(value["duration_ms"], _MAX_UINT32),
        stage=stage,
        ordered_at_s=_seconds(value["ordered_at_s"]),
        moving_at_s=_seconds(value["moving_at_s"]),
        ends_at_s=_seconds(value["ends_at_s"]),
    )


def _text(found: Any) -> str:
    if not isinstance(found, str):
        raise TypeError(f"{found!r:.40} is not a string")
    found.encode()
    return found


def _count(found: Any, maximum: int) -> int:
    if type(found) is not int or not 0 <= found <= maximum:
        raise ValueError(f"{found!r:.40} is not between 0 and {maximum}")
    return found


def _seconds(found: Any) -> float:
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f"{found!r:.40} is not a number")
    if not isfinite(found):
        raise ValueError(f"{found!r} is not a time")
    return float(found)
