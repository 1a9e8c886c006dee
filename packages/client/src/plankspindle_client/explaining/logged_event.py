"""One event of a log."""

from __future__ import annotations

from datetime import datetime

from attrs import frozen

from plankspindle_core.logs.line_rendering import parse_line

_HEADER_KEYS = frozenset({"time", "event", "vm", "request", "step"})


@frozen(kw_only=True)
class LoggedEvent:
    """One event as a line told it.

    Parameters
    ----------
    at : datetime
        When it happened.
    event : str
        Its name.
    vm : str
        Where it happened.
    request : str, optional
        Id of the request that it belongs to.
    step : int
        Its number among those of the request.
    fields : dict of str to str
        Its other values.
    """

    at: datetime
    event: str
    vm: str
    request: str | None
    step: int
    fields: dict[str, str]

    @classmethod
    def parse(cls, line: str) -> LoggedEvent | None:
        """Read a line; None if it holds no event."""
        pairs = parse_line(line)
        if pairs is None:
            return None
        try:
            at = datetime.fromisoformat(pairs["time"])
            step = int(pairs.get("step", "0"))
        except ValueError:
            return None
        fields = {key: each for key, each in pairs.items() if key not in _HEADER_KEYS}
        return cls(
            at=at,
            event=pairs["event"],
            vm=pairs.get("vm", ""),
            request=pairs.get("request"),
            step=step,
            fields=fields,
        )

    def int_field(self, key: str) -> int:
        """Give a value as a whole number; zero if it is none."""
        text = self.fields.get(key, "")
        return int(text) if text.isdigit() else 0
