"""Selection of the requests that a shift moves, with a strict cap on their number."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.invariants import check_invariant
from plankspindle_core.stable_hash import stable_hash

_HASH_RANGE = float(1 << 64)


@frozen
class Stay:
    """The request stays in the region of this VM."""


@frozen
class Move:
    """The request is moved by a shift.

    Parameters
    ----------
    shift_id : str
        Name of the shift.
    to_region : str
        Target region.
    """

    shift_id: str
    to_region: str


@define(kw_only=True)
class MeteredShift:
    """A shift and the number of requests that this VM has moved under it.

    Parameters
    ----------
    shift : Shift
        The shift.
    started_at : float
        When it took effect on this VM, monotonic seconds.
    request_count : int
        Requests of the service since then.
    moved_count : int
        Requests among them that were moved.
    """

    shift: Shift
    started_at: float
    request_count: int = 0
    moved_count: int = 0

    def may_move(self) -> bool:
        """Return whether one more moved request stays within the cap."""
        return (
            self.moved_count + 1
        ) * 100 <= self.shift.cap_percent * self.request_count

    def ramped_percent(self, now: float) -> float:
        """Return the share of callers that may be moved now, in percent."""
        if self.shift.ramp_s == 0:
            return self.shift.cap_percent
        ramp_share = min(1.0, max(0.0, now - self.started_at) / self.shift.ramp_s)
        return self.shift.cap_percent * ramp_share


@define(kw_only=True)
class ShiftMeter:
    """Selects the requests that shifts move out of the region of this VM.

    Parameters
    ----------
    region : str, optional
        Region of this VM.

    Notes
    -----
    A stable hash maps callers to [0, 100). The shifts of a service occupy consecutive
    ranges of it, ordered by their ids, so the callers of a 20 % shift are a subset of
    those of the 30 % shift that replaces it. The cap applies to counted requests, so a
    caller that sends half of the traffic cannot make a shift exceed its cap.
    """

    region: str | None
    _by_id_by_service: dict[str, dict[str, MeteredShift]]

    @classmethod
    def create(cls, *, region: str | None) -> ShiftMeter:
        """Return a meter without shifts."""
        return cls(region=region, by_id_by_service={})

    def apply_shifts(self, shifts_by_id: dict[str, Shift], now: float) -> None:
        """Apply the shifts of a new version; unchanged ones keep their counts."""
        metered_by_id = {
            shift_id: metered
            for by_id in self._by_id_by_service.values()
            for shift_id, metered in by_id.items()
        }
        self._by_id_by_service = {}
        for shift_id, shift in sorted(shifts_by_id.items()):
            if shift.from_region != self.region:
                continue
            metered = metered_by_id.get(shift_id)
            if metered is None or metered.shift != shift:
                metered = MeteredShift(shift=shift, started_at=now)
            self._by_id_by_service.setdefault(shift.service, {})[shift_id] = metered

    def choose(self, *, service: str, caller_key: str, now: float) -> Stay | Move:
        """Count a request and decide whether it may be moved.

        Parameters
        ----------
        service : str
            Service of the request.
        caller_key : str
            Stable name of the caller.
        now : float
            Monotonic seconds.

        Returns
        -------
        Stay or Move
            A move must be recorded with :meth:`record_move` if it is made.
        """
        by_id = self._by_id_by_service.get(service)
        if not by_id:
            return Stay()
        caller_percent = stable_hash(f"{service}/{caller_key}") / _HASH_RANGE * 100
        range_start = 0.0
        chosen: Stay | Move = Stay()
        for shift_id, metered in by_id.items():
            metered.request_count += 1
            range_end = range_start + metered.ramped_percent(now)
            if range_start <= caller_percent < range_end and metered.may_move():
                chosen = Move(shift_id, metered.shift.to_region)
            range_start += metered.shift.cap_percent
        return chosen

    def record_move(self, *, service: str, move: Move) -> None:
        """Record that a request was moved."""
        metered = self._by_id_by_service[service][move.shift_id]
        metered.moved_count += 1
        check_invariant(
            "shift-within-cap",
            metered.moved_count * 100
            <= metered.shift.cap_percent * metered.request_count,
            move.shift_id,
        )

    def shifts(self) -> list[Shift]:
        """Return all shifts."""
        return [metered.shift for metered in self.counts_by_id().values()]

    def counts_by_id(self) -> dict[str, MeteredShift]:
        """Return all shifts with their counts, by shift id."""
        return {
            shift_id: metered
            for by_id in self._by_id_by_service.values()
            for shift_id, metered in by_id.items()
        }
