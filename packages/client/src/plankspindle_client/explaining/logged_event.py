"""Event parsed from a line of a log."""

from __future__ import annotations

from datetime import datetime

from attrs import frozen

from plankspindle_core.logs.line_rendering import parse_line

_HEADER_KEYS = frozenset({"time", "event", "vm", "request", "step"})


@frozen(kw_only=True)
class LoggedEvent:
    """One event of a log.

    Parameters
    ----------
    at : datetime
        Time of the event.
    event : str
        Name of the event.
    vm : str
        Entry VM that logged it.
    request : str, optional
        Id of the request that the event belongs to.
    step : int
        Number of the event within its request.
    fields : dict of str to str
        All other fields of the line.
    """

    at: datetime
    event: str
    vm: str
    request: str | None
    step: int
    fields: dict[str, str]

    @classmethod
    def parse(cls, line: str) -> LoggedEvent | None:
        """Parse a line; None if it is not an event."""
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
        """Return a field as an integer; zero if it is missing or not a number."""
        text = self.fields.get(key, "")
        return int(text) if text.isdigit() else 0
