"""Durations as arguments of commands."""

from __future__ import annotations

from math import isfinite
from typing import Any

import click

_MS_BY_UNIT = {"ms": 1, "s": 1_000, "min": 60_000}


class DurationType(click.ParamType[Any]):
    """A number and its unit, such as ``12s``, as whole milliseconds."""

    name = "DURATION"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> int:
        """Parse the text."""
        if isinstance(value, int):
            return value
        for unit, factor in _MS_BY_UNIT.items():
            number = str(value).removesuffix(unit)
            if number != value and _is_duration(number):
                return round(float(number) * factor)
        self.fail(f"{value!r} is no duration; write a number and ms, s or min", param)
        return None


def _is_duration(number: str) -> bool:
    try:
        return isfinite(float(number)) and float(number) >= 0
    except ValueError:
        return False
