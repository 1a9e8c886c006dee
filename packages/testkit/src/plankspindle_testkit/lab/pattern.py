"""Load patterns of the lab, read from YAML files and validated."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

import yaml
from attrs import Factory
from attrs import field
from attrs import fields
from attrs import frozen
from attrs import validators
from result import Err
from result import Ok
from result import Result

PATTERNS_FOLDER = Path(__file__).with_name("patterns")
"""Folder of the patterns that are part of the lab."""
_NUMBER = validators.instance_of((int, float))
_INTEGER = validators.instance_of(int)
_POSITIVE = [_NUMBER, validators.gt(0.0)]
_NOT_NEGATIVE = [_NUMBER, validators.ge(0.0)]
_SHARE = [_NUMBER, validators.ge(0.0), validators.le(1.0)]
_POSITIVE_INTEGER = [_INTEGER, validators.gt(0)]
_NOT_NEGATIVE_INTEGER = [_INTEGER, validators.ge(0)]


class EventKind(Enum):
    """Kind of an event in a pattern."""

    LOAD = "load"
    SLOW = "slow"
    SHED = "shed"
    CRASH = "crash"
    END = "end"
    DRAIN = "drain"
    RESTART = "restart"
    CRASHING_REQUEST = "crashing-request"
    LIMIT = "limit"
    LEAVE = "leave"
    REST = "rest"
    STORE_RETURN = "store-return"
    CUT = "cut"


@frozen(kw_only=True)
class PatternEvent:
    """An event during a run.

    Parameters
    ----------
    kind : EventKind
        Kind of the event.
    at_s, for_s : float
        Start and duration, in seconds.
    share : float
        Share of the upstreams that are affected, chosen by the seed. With ``crash``
        they become unresponsive; with ``end`` they abort running requests and refuse
        connections; with ``store-return`` the platform's store has returned from a copy
        without their entries, which are back at the end of the event. With ``cut`` it
        is the share of the entry VMs, which are cut off from all upstreams.
    factor : float
        Factor on the load or on the processing time; for ``shed`` the share of requests
        that is shed, for ``limit`` the rate limit that each upstream states in requests
        a second, for ``rest`` the Retry-After delay in seconds with which each sheds
        all requests.
    domain : str, optional
        Failure domain to which the event is restricted.
    operation : str, optional
        For ``crashing-request`` the operation of the repeated request, which crashes
        each upstream that starts it.
    per_s : float
        Rate of the crashing request, per second.
    down_s : float
        Time from a crash to the restart of the upstream, in seconds.
    hangs : bool
        Whether connections of a cut hang; otherwise they are refused.
    """

    kind: EventKind = field(converter=EventKind)
    at_s: float = field(validator=_NOT_NEGATIVE)
    for_s: float = field(default=0.0, validator=_NOT_NEGATIVE)
    share: float = field(default=1.0, validator=_SHARE)
    factor: float = field(default=1.0, validator=_NOT_NEGATIVE)
    domain: str | None = None
    operation: str | None = None
    per_s: float = field(default=1.0, validator=_POSITIVE)
    down_s: float = field(default=3.0, validator=_POSITIVE)
    hangs: bool = True

    def is_on(self, now: float) -> bool:
        """Return whether the event is active at a time, in seconds from the start."""
        return self.at_s <= now < self.at_s + self.for_s


@frozen(kw_only=True)
class ModelService:
    """Model of a service and its upstreams.

    Parameters
    ----------
    upstreams_by_domain : dict of str to int
        Number of upstreams in each failure domain.
    slots : int
        Requests that each upstream runs concurrently.
    queue : int
        Requests that may wait at each upstream; further ones are shed.
    remembered_keys : int
        Size of each upstream's cache of recently used keys, which are served faster.
    cold_s : float
        Duration of the cold phase after a start, in seconds.
    cold_factor : float
        Factor on the processing time in the cold phase.
    cold_requests_per_s : float
        Requests a second that a cold upstream can serve.
    """

    upstreams_by_domain: dict[str, int]
    slots: int = field(validator=_POSITIVE_INTEGER)
    queue: int = field(validator=_NOT_NEGATIVE_INTEGER)
    remembered_keys: int = field(validator=_NOT_NEGATIVE_INTEGER)
    cold_s: float = field(default=3.0, validator=_NOT_NEGATIVE)
    cold_factor: float = field(default=2.0, validator=_POSITIVE)
    cold_requests_per_s: float = field(default=10.0, validator=_POSITIVE)


@frozen(kw_only=True)
class ModelOperation:
    """Model of an operation and its load.

    Parameters
    ----------
    service : str
        Name of the service.
    per_s : float
        Requests a second, summed over all callers.
    work_ms : float
        Processing time at an upstream that has not cached the key.
    hit_part : float
        Share of that time at an upstream that has, from 0 to 1.
    target_ms, timeout_ms : float
        Latency target, and time after which the caller gives up.
    keys_by_region : int
        Number of keys that the callers of each region use.
    rank : int
        Priority class; zero is the most important.
    worth : float
        Worth of an answer within the latency target.
    late_worth : float
        Worth of a later answer.
    idempotent : bool
        Whether it may run more than once.
    same_part : float
        Share of its requests that are identical and sent by many callers, from 0 to 1.
    """

    service: str
    per_s: float = field(validator=_POSITIVE)
    work_ms: float = field(validator=_POSITIVE)
    hit_part: float = field(default=0.3, validator=_SHARE)
    target_ms: float = field(validator=_POSITIVE)
    timeout_ms: float = field(validator=_POSITIVE)
    keys_by_region: int = field(validator=_POSITIVE_INTEGER)
    rank: int = field(default=0, validator=_NOT_NEGATIVE_INTEGER)
    worth: float = field(default=1.0, validator=_NOT_NEGATIVE)
    late_worth: float = field(default=0.2, validator=_NOT_NEGATIVE)
    idempotent: bool = True
    same_part: float = field(default=0.0, validator=_SHARE)


@frozen(kw_only=True)
class Pattern:
    """A deployment, its load and its events.

    Parameters
    ----------
    name, answers, grounds : str
        Name, the situation that it models, and the source of its figures.
    seconds : float
        Duration of a run in seconds.
    region_by_domain : dict of str to str
        Region of each failure domain.
    vms_by_domain : dict of str to int
        Number of entry VMs in each failure domain.
    between_domains_ms, between_regions_ms, to_callers_ms : float
        One-way delays in milliseconds.
    services_by_name : dict of str to ModelService
        Services.
    operations_by_name : dict of str to ModelOperation
        Operations.
    events : tuple of PatternEvent
        Events.
    callers_by_domain : dict of str to float
        Weight of each failure domain among the callers; equal ones if empty.
    """

    name: str
    answers: str
    grounds: str
    seconds: float = field(validator=_POSITIVE)
    region_by_domain: dict[str, str]
    vms_by_domain: dict[str, int]
    between_domains_ms: float = field(validator=_NOT_NEGATIVE)
    between_regions_ms: float = field(validator=_NOT_NEGATIVE)
    to_callers_ms: float = field(validator=_NOT_NEGATIVE)
    services_by_name: dict[str, ModelService]
    operations_by_name: dict[str, ModelOperation]
    events: tuple[PatternEvent, ...] = ()
    callers_by_domain: dict[str, float] = Factory(dict)

    def problems(self) -> list[str]:
        """Return the inconsistencies of the pattern."""
        domains = self.region_by_domain.keys()
        used = {*self.vms_by_domain, *self.callers_by_domain}
        for service in self.services_by_name.values():
            used |= {*service.upstreams_by_domain}
        used |= {each.domain for each in self.events if each.domain is not None}
        unknown = sorted(used - domains)
        found = [f"no failure domain {name!r} is declared" for name in unknown]
        found += [
            f"operation {name!r} names no service that is declared: {each.service!r}"
            for name, each in self.operations_by_name.items()
            if each.service not in self.services_by_name
        ]
        found += [
            f"event {each.kind.value!r} names no operation that is declared: "
            f"{each.operation!r}"
            for each in self.events
            if each.kind is EventKind.CRASHING_REQUEST
            and each.operation not in self.operations_by_name
        ]
        if not any(self.vms_by_domain.values()):
            found.append("there is no entry VM; name some under vms_by_domain")
        return found

    def load_factor(self, now: float) -> float:
        """Return the factor on all request rates at a time, in seconds."""
        factor = 1.0
        for event in self.events:
            if event.kind is EventKind.LOAD and event.is_on(now):
                factor *= event.factor
        return factor


def read_pattern(path: Path) -> Result[Pattern, str]:
    """Read a pattern, or return the problems of the file.

    Parameters
    ----------
    path : Path
        The YAML file.
    """
    try:
        document = yaml.safe_load(path.read_text())
        pattern = _pattern_of(path.stem, document)
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    except (yaml.YAMLError, TypeError, ValueError, AttributeError) as error:
        return Err(f"{path}: {error}")
    problems = pattern.problems()
    return Err(f"{path}: {'; '.join(problems)}") if problems else Ok(pattern)


def _pattern_of(name: str, document: Any) -> Pattern:
    if not isinstance(document, dict):
        raise TypeError("expected a mapping of the pattern's fields")
    found = {"name": name, **document}
    for key, cls in (
        ("services_by_name", ModelService),
        ("operations_by_name", ModelOperation),
    ):
        found[key] = {
            each: _structured(cls, value)
            for each, value in dict(found.get(key, {})).items()
        }
    events = found.get("events") or ()
    found["events"] = tuple(_structured(PatternEvent, each) for each in events)
    pattern: Pattern = _structured(Pattern, found)
    return pattern


def _structured(cls: type[Any], found: Any) -> Any:
    """Return an instance with the given fields; raise TypeError for an unknown one."""
    field_names = {each.name for each in fields(cls)}
    unknown = sorted(set(found) - field_names)
    if unknown:
        raise TypeError(f"{cls.__name__} has no field {unknown[0]!r}")
    return cls(**found)
