"""Mechanisms of placement and retries, and the constants that disable them."""

from __future__ import annotations

from contextlib import contextmanager
from importlib import import_module
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

_DAEMON = "plankspindle_daemon"


@frozen(kw_only=True)
class Mechanism:
    """A mechanism of the daemon, and the constant that disables it.

    Parameters
    ----------
    name : str
        Description of the mechanism.
    module : str
        Module of the constant, relative to the daemon's package.
    constant : str
        Name of the constant.
    disabled_value : float
        Value that disables the mechanism.
    """

    name: str
    module: str
    constant: str
    disabled_value: float


MECHANISMS = (
    Mechanism(
        name="requests wait at upstreams",
        module="upstreams.reported_slots",
        constant="QUEUE_SHARE",
        disabled_value=0.01,
    ),
    Mechanism(
        name="an upstream that shed counts as full",
        module="upstreams.reported_slots",
        constant="FULL_AFTER_SHED_S",
        disabled_value=0.0,
    ),
    Mechanism(
        name="requests wait at entry VMs",
        module="listeners.request_resolver",
        constant="MAX_QUEUE_WAIT_SHARE",
        disabled_value=0.0,
    ),
    Mechanism(
        name="upstreams that saw a key lately count",
        module="dispatch.seen_keys",
        constant="SEEN_KEY_TTL_S",
        disabled_value=0.0,
    ),
    Mechanism(
        name="less loaded upstreams are preferred",
        module="dispatch.placement_cost",
        constant="LOAD_COST_SHARE",
        disabled_value=0.0,
    ),
    Mechanism(
        name="the second in a key's order takes over",
        module="dispatch.placement",
        constant="MAX_MISS_LOAD_SHARE",
        disabled_value=-1.0,
    ),
    Mechanism(
        name="silent upstreams cost more",
        module="dispatch.placement_cost",
        constant="MIN_SILENCE_FACTOR",
        disabled_value=1e9,
    ),
    Mechanism(
        name="measured latency of an upstream counts",
        module="upstreams.upstream_state",
        constant="LATENCY_WEIGHT",
        disabled_value=0.0,
    ),
    Mechanism(
        name="silent upstreams are left",
        module="exchange.attempt_timeout",
        constant="MIN_ATTEMPT_TIMEOUT_S",
        disabled_value=1e9,
    ),
    Mechanism(
        name="late requests are given up while they wait",
        module="dispatch.time_limits",
        constant="MIN_TIME_LEFT_FACTOR",
        disabled_value=0.0,
    ),
    Mechanism(
        name="requests leave their region at a bounded rate",
        module="dispatch.spillover_limiter",
        constant="MAX_SHARE_CHANGE_PER_S",
        disabled_value=1e9,
    ),
)


@contextmanager
def override_constant(module: str, constant: str, value: float) -> Iterator[None]:
    """Override a module constant within a context.

    Parameters
    ----------
    module : str
        Module of the constant, relative to the daemon's package.
    constant : str
        Name of the constant.
    value : float
        Temporary value.

    Raises
    ------
    AttributeError
        If the module has no such constant.
    ModuleNotFoundError
        If the module does not exist.
    """
    target = import_module(f"{_DAEMON}.{module}")
    original = getattr(target, constant)
    setattr(target, constant, value)
    try:
        yield
    finally:
        setattr(target, constant, original)
