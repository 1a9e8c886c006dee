"""A modelled roll-out: records of requests whose version a policy decides."""

from __future__ import annotations

import zlib
from random import Random
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_testkit.rollouts.rollout_records import Arrival
from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_records import RolloutBounds
from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
from plankspindle_testkit.rollouts.rollout_records import RolloutOrder
from plankspindle_testkit.rollouts.rollout_records import StateChange

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_daemon.dispatch.version_split import VersionSplit

BOUNDS = RolloutBounds(
    exposure_share=0.1, exposure_slack=50, rollback_s=5.0, drain_s=3.0
)
BEGIN_S, DEADLINE_S, END_S = -5.0, 12.0, 20.0
"""Beginning, deadline and end of a modelled run; the order is given at zero."""
REQUESTS_PER_S = 400
VMS, KEYS, UPSTREAMS_PER_VERSION = 5, 100, 4
WORK_S = (0.05, 0.4)
LONG_WORK_S, LONG_SHARE = 3.0, 0.02


@frozen(kw_only=True)
class Observed:
    """What a policy decides from.

    Parameters
    ----------
    now : float
        Time since the order, in seconds.
    bad_answers : int
        Bad answers of the target so far.
    baseline_in_flight : int
        Requests that run at the baseline.
    """

    now: float
    bad_answers: int
    baseline_in_flight: int


def model_rollout(
    split_for: Callable[[Observed], VersionSplit], *, bad_share: float
) -> RolloutHistory:
    """Return the records of requests that a policy splits between two versions.

    Parameters
    ----------
    split_for : callable
        Returns the split now. ``rolled_back`` is published once it has a limit of no
        exposure, ``complete`` once it is complete; it does not change afterwards.
    bad_share : float
        Share of bad answers of the target.
    """
    random, arrivals, changes = Random(1), list[Arrival](), list[StateChange]()
    running: list[Arrival] = []
    split, bad_answers = None, 0
    for number in range(int((END_S - BEGIN_S) * REQUESTS_PER_S)):
        now = BEGIN_S + number / REQUESTS_PER_S
        bad_answers += sum(each.is_bad for each in running if each.ended_at <= now)
        running = [each for each in running if each.ended_at > now]
        if not changes:
            observed = Observed(
                now=now,
                bad_answers=bad_answers,
                baseline_in_flight=sum(_is_at_baseline(each) for each in running),
            )
            split = split_for(observed)
            state = _published_state(split)
            if state is not None:
                changes.append(
                    StateChange(service="desk", target="v2", state=state, at=now)
                )
        assert split is not None
        arrival = _draw_arrival(random, split, now, bad_share)
        arrivals.append(arrival)
        running.append(arrival)
    order = RolloutOrder(
        service="desk",
        target="v2",
        ordered_at=0.0,
        deadline=DEADLINE_S,
        is_bad=bad_share > 0,
    )
    return RolloutHistory(
        bounds=BOUNDS,
        baseline_by_service={"desk": "v1"},
        orders=(order,),
        arrivals=tuple(arrivals),
        state_changes=tuple(changes),
    )


def _is_at_baseline(arrival: Arrival) -> bool:
    return arrival.software_version == "v1"


def _published_state(split: VersionSplit) -> PublishedState | None:
    if split.is_complete:
        return PublishedState.COMPLETE
    return PublishedState.ROLLED_BACK if split.max_exposure_share == 0 else None


def _draw_arrival(
    random: Random, split: VersionSplit, now: float, bad_share: float
) -> Arrival:
    key = str(random.randrange(KEYS))
    is_long = random.random() < LONG_SHARE
    work_s = LONG_WORK_S if is_long else random.uniform(*WORK_S)
    position = zlib.crc32(f"{split.order}/{key}".encode()) / 2**32
    goes_to_target = (
        split.is_complete
        or position < split.target_share
        or now + work_s > split.baseline_ends_at
    )
    software_version = "v2" if goes_to_target else "v1"
    return Arrival(
        request=f"{now:.4f}",
        service="desk",
        software_version=software_version,
        upstream=f"{software_version}-{random.randrange(UPSTREAMS_PER_VERSION)}",
        vm=f"vm-{random.randrange(VMS)}",
        sent_at=now,
        arrived_at=now,
        ended_at=now + work_s,
        is_bad=goes_to_target and random.random() < bad_share,
        key=key,
    )
