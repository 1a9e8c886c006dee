"""Which software versions of a service a request may use."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.dispatch.version_split import VersionSplit

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_daemon.admission.ticket import Ticket

EXPECTED_END_FACTOR = 1.5
"""Expected durations after which a request is expected to have ended at the latest."""
OTHERS_AFTER_S = 10.0
"""Time without upstreams of the version in force after which others are used, in s.

An order must name a version before it gets requests. Without one, the version in force
is taken for replaced once its upstreams would be back from any outage.
"""
_HASH_COUNT = 1 << 64


class UpstreamSet(Enum):
    """Upstreams of a service that a request may use."""

    BASELINE = "baseline"
    CANARY = "canary"
    TARGET = "target"
    ANY = "any"


class VersionReason(Enum):
    """Why a request uses a software version."""

    BASELINE = "baseline"
    CANARY = "canary"
    MOVING = "moving"
    COMPLETE = "complete"
    FALLBACK = "fallback"


@frozen(kw_only=True)
class VersionOption:
    """Upstreams that a request may use, and why.

    Parameters
    ----------
    upstreams : UpstreamSet
        The upstreams.
    reason : VersionReason
        Why it may use them.
    """

    upstreams: UpstreamSet
    reason: VersionReason


_BASELINE = VersionOption(upstreams=UpstreamSet.BASELINE, reason=VersionReason.BASELINE)
_CANARY = VersionOption(upstreams=UpstreamSet.CANARY, reason=VersionReason.CANARY)
_MOVING = VersionOption(upstreams=UpstreamSet.TARGET, reason=VersionReason.MOVING)
_COMPLETE = VersionOption(upstreams=UpstreamSet.TARGET, reason=VersionReason.COMPLETE)
_FALLBACK = VersionOption(upstreams=UpstreamSet.ANY, reason=VersionReason.FALLBACK)


@define(kw_only=True)
class VersionGate:
    """Decide which software versions of one service a request may use.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Attributes
    ----------
    split : VersionSplit, optional
        Shares of the software versions; None if the versions of upstreams do not
        matter.
    requests, exposed : int
        Requests sent to the service since the order, and those of them sent to the
        target version.
    """

    vm: str = ""
    split: VersionSplit | None = None
    requests: int = 0
    exposed: int = 0
    _initial_allowance: float = 0.0
    _missing_since: float | None = None

    def set_split(self, split: VersionSplit | None) -> bool:
        """Set the shares; return whether another order begins, with counts of zero."""
        before, self.split = self.split, split
        if before is not None and split is not None and before.order == split.order:
            return False
        self.requests = self.exposed = 0
        if split is not None:
            self._initial_allowance = _unit_hash(f"{split.order} {self.vm}")
        return True

    def options(
        self,
        ticket: Ticket,
        *,
        failed_at_target: bool,
        expected_s: float,
        stays: Callable[[UpstreamSet], bool],
        now: float,
    ) -> tuple[VersionOption, ...]:
        """Return which upstreams a request may use now, the preferred ones first.

        Parameters
        ----------
        ticket : Ticket
            The request.
        failed_at_target : bool
            Whether an earlier attempt failed at an upstream of the target version.
        expected_s : float
            Expected duration of the request, in seconds.
        stays : callable
            Returns whether any upstream of a set is listed and stays.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of VersionOption
            At least one. A request waits only for the upstreams of the last one.
        """
        split = self.split
        assert split is not None
        if split.target is None:
            wanted: tuple[VersionOption, ...] = (_BASELINE,)
        elif split.is_complete:
            wanted = (_COMPLETE,)
        elif split.max_exposure_share is not None:
            is_canary = not failed_at_target and self._may_expose(split, ticket)
            wanted = (_CANARY, _BASELINE) if is_canary else (_BASELINE,)
        else:
            expected_end = now + EXPECTED_END_FACTOR * expected_s
            moves = expected_end > split.baseline_ends_at or (
                not failed_at_target and is_in_share(split, ticket)
            )
            wanted = (_MOVING,) if moves else (_BASELINE,)
        return self._available(split, wanted, stays, now)

    def _available(
        self,
        split: VersionSplit,
        wanted: tuple[VersionOption, ...],
        stays: Callable[[UpstreamSet], bool],
        now: float,
    ) -> tuple[VersionOption, ...]:
        """Replace options without any upstream that is listed and stays."""
        if stays(wanted[-1].upstreams):
            self._missing_since = None
            return tuple(each for each in wanted if stays(each.upstreams))
        if is_moving(split):
            for other in (_MOVING, _BASELINE):
                if stays(other.upstreams):
                    return (other,)
        preferred = tuple(each for each in wanted[:-1] if stays(each.upstreams))
        if self._missing_since is None:
            self._missing_since = now
        return (*preferred, _FALLBACK if self.may_use_others(now) else wanted[-1])

    def may_use_others(self, now: float) -> bool:
        """Return whether versions may be used that neither order nor record names.

        This applies while no upstream of the versions that may be used stays; ``now``
        in monotonic seconds.
        """
        if self.split is None or not self.split.is_baseline_known:
            return True
        since = self._missing_since
        return since is not None and now - since >= OTHERS_AFTER_S

    def _may_expose(self, split: VersionSplit, ticket: Ticket) -> bool:
        return self._is_below_limit(split) and is_in_share(split, ticket)

    def _is_below_limit(self, split: VersionSplit) -> bool:
        """Return whether one more request may be sent to the target version.

        Notes
        -----
        The allowance begins with a fraction of a request that differs between VMs and
        is uniform over them, so that many VMs of few requests each send the share
        together, where rounding down at each would send nothing.
        """
        if split.max_exposure_share is None:
            return False
        due = split.max_exposure_share * (self.requests + 1)
        return self.exposed + 1 <= self._initial_allowance + due

    def sets_in_use(self, now: float) -> tuple[UpstreamSet, ...]:
        """Return the upstreams that get requests now, if any of them stays.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        split = self.split
        assert split is not None
        if split.target is None:
            return (UpstreamSet.BASELINE,)
        if split.is_complete:
            return (UpstreamSet.TARGET,)
        if is_moving(split):
            if now >= split.baseline_ends_at:
                return (UpstreamSet.TARGET,)
            return (UpstreamSet.BASELINE, UpstreamSet.TARGET)
        if split.target_share > 0:
            return (UpstreamSet.BASELINE, UpstreamSet.CANARY)
        return (UpstreamSet.BASELINE,)

    def allows(self, option: VersionOption, *, is_target: bool, now: float) -> bool:
        """Return whether a request may be sent to a software version for a reason.

        Parameters
        ----------
        option : VersionOption
            Option by which the upstream was chosen.
        is_target : bool
            Whether the upstream runs the target version.
        now : float
            Monotonic time in seconds.
        """
        split = self.split
        if split is None:
            return False
        match option.reason:
            case VersionReason.BASELINE:
                return not is_target and not split.is_complete
            case VersionReason.CANARY:
                return is_target and self._is_below_limit(split)
            case VersionReason.MOVING:
                return is_target and is_moving(split)
            case VersionReason.COMPLETE:
                return is_target and split.is_complete
            case VersionReason.FALLBACK:
                return self.may_use_others(now)

    def record_sent(self, *, is_target: bool) -> None:
        """Count a request that is sent."""
        self.requests += 1
        self.exposed += is_target


def is_moving(split: VersionSplit) -> bool:
    """Return whether requests move to the target version without a limit."""
    return (
        split.target is not None
        and not split.is_complete
        and split.max_exposure_share is None
        and (split.target_share > 0 or split.baseline_ends_at < float("inf"))
    )


def is_in_share(split: VersionSplit, ticket: Ticket) -> bool:
    """Return whether a request is in the target version's range of the hash."""
    if split.target_share <= 0:
        return False
    name = str(ticket.id) if ticket.affinity is None else ticket.affinity
    return _unit_hash(f"{split.order} {name}") < split.target_share


def _unit_hash(text: str) -> float:
    """Return a hash of a text from 0 to 1, the same in every process."""
    return stable_hash(text) / _HASH_COUNT
