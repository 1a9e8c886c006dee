"""Choice of the requests that a shift moves, with a hard meter."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.invariants import check_invariant
from plankspindle_core.stable_hash import stable_hash

_HASH_RANGE = float(1 << 64)


@frozen
class Stay:
    """The request is served here."""


@frozen
class Move:
    """The request is moved by a shift.

    Parameters
    ----------
    shift_id : str
        Which one.
    to_region : str
        Where to.
    """

    shift_id: str
    to_region: str


@define(kw_only=True)
class MeteredShift:
    """A shift and what this VM has moved under it.

    Parameters
    ----------
    shift : Shift
        The shift.
    started_at : float
        When it came in force here, monotonic seconds.
    request_count : int
        Requests of the service since the shift is in force here.
    moved_count : int
        Those that were moved.
    """

    shift: Shift
    started_at: float
    request_count: int = 0
    moved_count: int = 0

    def may_move(self) -> bool:
        """Tell whether one more moved request keeps within the cap."""
        return (
            self.moved_count + 1
        ) * 100 <= self.shift.cap_percent * self.request_count

    def ramped_percent(self, now: float) -> float:
        """Give the share of the callers that may move by now, in percent."""
        if self.shift.ramp_s == 0:
            return self.shift.cap_percent
        done = min(1.0, max(0.0, now - self.started_at) / self.shift.ramp_s)
        return self.shift.cap_percent * done


@define(kw_only=True)
class ShiftMeter:
    """All shifts out of the region of this VM, by service.

    Parameters
    ----------
    region : str, optional
        Region of this VM.

    Notes
    -----
    Callers are placed on [0, 1) by a stable hash. The shifts of a service take one part
    of it after another, in the order of their ids, so the callers of a 20 % shift are
    among those of the 30 % one that replaces it. The meter counts requests, so a caller
    that sends half of the traffic cannot carry a shift over its cap.
    """

    region: str | None
    _by_id_by_service: dict[str, dict[str, MeteredShift]]

    @classmethod
    def create(cls, *, region: str | None) -> ShiftMeter:
        """Make a meter without shifts."""
        return cls(region=region, by_id_by_service={})

    def apply_shifts(self, shifts_by_id: dict[str, Shift], now: float) -> None:
        """Take the shifts of another version; counts of unchanged ones are kept."""
        before = {
            shift_id: metered
            for by_id in self._by_id_by_service.values()
            for shift_id, metered in by_id.items()
        }
        self._by_id_by_service = {}
        for shift_id, shift in sorted(shifts_by_id.items()):
            if shift.from_region != self.region:
                continue
            metered = before.get(shift_id)
            if metered is None or metered.shift != shift:
                metered = MeteredShift(shift=shift, started_at=now)
            self._by_id_by_service.setdefault(shift.service, {})[shift_id] = metered

    def choose(self, *, service: str, caller_key: str, now: float) -> Stay | Move:
        """Count a request and decide whether it may move.

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
            A move has to be counted with :meth:`count_move` if it is made.
        """
        by_id = self._by_id_by_service.get(service)
        if not by_id:
            return Stay()
        place = stable_hash(f"{service}/{caller_key}") / _HASH_RANGE * 100
        begin = 0.0
        chosen: Stay | Move = Stay()
        for shift_id, metered in by_id.items():
            metered.request_count += 1
            moving = begin + metered.ramped_percent(now)
            if begin <= place < moving and metered.may_move():
                chosen = Move(shift_id, metered.shift.to_region)
            begin += metered.shift.cap_percent
        return chosen

    def record_move(self, *, service: str, move: Move) -> None:
        """Count a request that is moved."""
        metered = self._by_id_by_service[service][move.shift_id]
        metered.moved_count += 1
        check_invariant(
            "shift-within-cap",
            metered.moved_count * 100
            <= metered.shift.cap_percent * metered.request_count,
            move.shift_id,
        )

    def shifts(self) -> list[Shift]:
        """Give every shift."""
        return [metered.shift for metered in self.counts_by_id().values()]

    def counts_by_id(self) -> dict[str, MeteredShift]:
        """Give every shift with its counts."""
        return {
            shift_id: metered
            for by_id in self._by_id_by_service.values()
            for shift_id, metered in by_id.items()
        }
