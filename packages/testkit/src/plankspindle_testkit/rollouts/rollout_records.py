"""Records of what callers, upstreams and the operator observed of roll-outs."""

from __future__ import annotations

from enum import Enum
from math import inf

from plankspindle_core.classes import frozen


class PublishedState(Enum):
    """State of a roll-out as the operator reads it."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


@frozen(kw_only=True)
class Span:
    """Period of time, both ends included.

    Parameters
    ----------
    begin, end : float
        Seconds.
    """

    begin: float
    end: float = inf

    def contains(self, at: float) -> bool:
        """Return whether a time is in the period."""
        return self.begin <= at <= self.end


@frozen(kw_only=True)
class StoreSpan(Span):
    """Period in which the store was unstable.

    It begins with a disturbance and ends once ``contact`` has passed without one.

    Parameters
    ----------
    answers_all : bool
        Whether the store was neither away nor slow and lost no answer throughout. The
        roll-back bound is then extended, not suspended, for VMs that reach it.
    """

    answers_all: bool = False


@frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to another software version.

    Parameters
    ----------
    service, target : str
        The service, and the software version that its requests are to move to.
    ordered_at, deadline : float
        When the order was sent to the store, and when it must be fulfilled, in seconds.
    is_bad : bool
        Whether the target answers worse than the version in force.
    withdrawn_at : float
        When the store acknowledged that the order is withdrawn, in seconds.
    """

    service: str
    target: str
    ordered_at: float
    deadline: float
    is_bad: bool = False
    withdrawn_at: float = inf


@frozen(kw_only=True)
class Arrival:
    """A request that reached an upstream.

    Parameters
    ----------
    request : str
        Id of the request, shared by its attempts.
    service, software_version, upstream : str
        Where it arrived.
    vm : str
        Entry VM that the caller sent it to.
    sent_at : float
        When the caller sent it, in seconds.
    arrived_at, ended_at : float
        When the upstream got it and stopped to work on it, in seconds; the end is
        infinite if it never did.
    is_bad : bool
        Whether it was answered with a failure or several times too late.
    key : str
        Affinity key of the caller; empty without one.
    """

    request: str
    service: str
    software_version: str
    upstream: str
    vm: str
    sent_at: float
    arrived_at: float
    ended_at: float = inf
    is_bad: bool = False
    key: str = ""


@frozen(kw_only=True)
class StateChange:
    """A state of a roll-out that the system published.

    Parameters
    ----------
    service, target : str
        Service and software version that the state belongs to.
    state : PublishedState
        The state.
    at : float
        When the operator could first read it, in seconds.
    """

    service: str
    target: str
    state: PublishedState
    at: float


@frozen(kw_only=True)
class UpstreamEnd:
    """The planned end of an upstream.

    Parameters
    ----------
    upstream : str
        The upstream.
    at : float
        When the store acknowledged that it drains, or when it stopped if it did not
        drain, in seconds.
    """

    upstream: str
    at: float


@frozen(kw_only=True)
class RolloutBounds:
    """Bounds on roll-outs.

    Parameters
    ----------
    exposure_share, exposure_slack : float
        Requests that a bad version may get until its deadline: this share of all
        requests of the service, and this many.
    rollback_s : float
        Time after the last tolerated bad answer from which a bad version gets nothing,
        in seconds.
    drain_s : float
        Time after the planned end of an upstream from which it gets nothing, in
        seconds.
    outer_s : float
        Extension of the roll-back bound while the store is unstable but answers all
        calls, in seconds.
    """

    exposure_share: float
    exposure_slack: float
    rollback_s: float
    drain_s: float
    outer_s: float = 0.0


@frozen(kw_only=True)
class RolloutHistory:
    """All records of a run.

    Parameters
    ----------
    bounds : RolloutBounds
        Bounds in force.
    baseline_by_service : dict of str to str
        Software version in force at the beginning, by service.
    orders : tuple of RolloutOrder
        Orders.
    arrivals : tuple of Arrival
        Requests that reached an upstream of any service.
    state_changes : tuple of StateChange
        Published states.
    upstream_ends : tuple of UpstreamEnd
        Planned ends of upstreams.
    out_of_touch_by_vm : dict of str to tuple of Span
        Periods in which a VM was not in touch for a reason of its own.
    store_unstable : tuple of StoreSpan
        Periods in which the store was unstable; no VM is in touch then.
    """

    bounds: RolloutBounds
    baseline_by_service: dict[str, str]
    orders: tuple[RolloutOrder, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    state_changes: tuple[StateChange, ...] = ()
    upstream_ends: tuple[UpstreamEnd, ...] = ()
    out_of_touch_by_vm: dict[str, tuple[Span, ...]] = {}
    store_unstable: tuple[StoreSpan, ...] = ()

    def is_in_touch(self, vm: str, at: float) -> bool:
        """Return whether the bounds apply to a VM at a time."""
        is_unstable = any(each.contains(at) for each in self.store_unstable)
        return not is_unstable and self.is_undisturbed(vm, at)

    def is_undisturbed(self, vm: str, at: float) -> bool:
        """Return whether a VM was in touch at a time, leaving the store aside."""
        spans = self.out_of_touch_by_vm.get(vm, ())
        return not any(each.contains(at) for each in spans)

    def arrivals_of(self, service: str) -> list[Arrival]:
        """Return the requests that reached a service, by time of arrival."""
        found = [each for each in self.arrivals if each.service == service]
        return sorted(found, key=lambda each: each.arrived_at)

    def next_order_at(
        self, service: str, after: float, *, target: str | None = None
    ) -> float:
        """Return when a service was ordered next after a time; infinite if never.

        Parameters
        ----------
        service : str
            The service.
        after : float
            Time after which orders count, in seconds.
        target : str, optional
            Target of the orders that count; None for any.
        """
        times = (
            each.ordered_at
            for each in self.orders
            if each.service == service
            and each.ordered_at > after
            and target in (None, each.target)
        )
        return min(times, default=inf)

    def version_in_force(self, service: str, at: float) -> str:
        """Return the software version that a service had last been moved to."""
        completed = [
            each
            for each in self.state_changes
            if each.service == service
            and each.state is PublishedState.COMPLETE
            and each.at <= at
        ]
        if not completed:
            return self.baseline_by_service[service]
        return max(completed, key=lambda each: each.at).target

    def published(self, order: RolloutOrder) -> list[StateChange]:
        """Return the states that belong to an order, by time."""
        next_at = self.next_order_at(order.service, order.ordered_at)
        found = [
            each
            for each in self.state_changes
            if (each.service, each.target) == (order.service, order.target)
            and order.ordered_at <= each.at < next_at
        ]
        return sorted(found, key=lambda each: each.at)

    def reached_at(self, order: RolloutOrder, state: PublishedState) -> float:
        """Return when a state of an order was first published; infinite if never."""
        times = [each.at for each in self.published(order) if each.state is state]
        return min(times, default=inf)
