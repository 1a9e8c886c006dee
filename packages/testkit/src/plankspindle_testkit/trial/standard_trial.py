"""The standard trial, which a seed determines."""

from __future__ import annotations

from attrs import frozen

from plankspindle_core.configuration.operation import Operation
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.invariants import InvariantError
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.fault_schedule import ScheduledFault
from plankspindle_testkit.trial.fault_schedule import draw_schedule
from plankspindle_testkit.trial.ground_truth import GuaranteeViolatedError
from plankspindle_testkit.trial.trial import Trial
from plankspindle_testkit.trial.world import SERVICE
from plankspindle_testkit.trial.world import TrialOptions

OPERATION = Operation(method="GET", timeout_ms=3_000, expected_ms=100)


@frozen(kw_only=True)
class TrialResult:
    """Result of a trial.

    Parameters
    ----------
    requests, done : int
        Requests sent, and those with a complete answer.
    violation : str, optional
        Time and description of the violated guarantee.
    trace : list of str
        Trace of the trial, newest line last.
    schedule : tuple of ScheduledFault
        Faults of the trial.
    duration_s : float
        Time until its end, in simulated seconds.
    """

    requests: int
    done: int
    violation: str | None
    trace: list[str]
    schedule: tuple[ScheduledFault, ...]
    duration_s: float


def build_trial(
    *,
    seed: int,
    partitions: bool = False,
    fault_rate: float = 0.5,
    fault_free: bool = False,
    simulated_s: float = 0.0,
    schedule: tuple[ScheduledFault, ...] | None = None,
) -> Trial:
    """Build the standard trial.

    It has three entry VMs and three upstreams in one failure domain, and an upstream in
    another region.

    Parameters
    ----------
    seed : int
        Seed of the trial.
    partitions : bool
        Whether VMs of the domain are partitioned from each other.
    fault_rate : float
        Faults per simulated second.
    fault_free : bool
        Whether there are neither random faults nor random requests.
    simulated_s : float
        Length for which faults are drawn, in simulated seconds.
    schedule : tuple of ScheduledFault, optional
        Faults of the trial; drawn from its seed if not given.
    """
    places = [
        VmAddresses(
            name=f"ba-1-{letter}",
            failure_domain="ba-1",
            host=f"127.0.1.{number}",
            base_port=7000,
        )
        for number, letter in enumerate("abc", start=1)
    ]
    upstreams = {
        f"u{number}": build_upstream(
            endpoint=Endpoint("127.0.2.1", 9000 + number), slots=slots
        )
        for number, slots in enumerate((2, 3, 9))
    }
    upstreams["far"] = build_upstream(
        endpoint=Endpoint("127.0.2.2", 9000), slots=9, failure_domain="ke-1"
    )
    options = TrialOptions(
        seed=seed,
        configuration=build_configuration(
            upstreams_by_name=upstreams,
            services_by_name={SERVICE: build_service(operations=[OPERATION])},
        ),
        places=places,
        partitions_within_domains=partitions,
        fault_rate=0.0 if fault_free else fault_rate,
        request_rate=0.0 if fault_free else 40.0,
        fault_free=fault_free,
    )
    if schedule is None:
        schedule = draw_schedule(options, simulated_s)
    return Trial(options=options, schedule=schedule)


def run_trial(
    *,
    seed: int,
    simulated_s: float,
    partitions: bool = False,
    fault_rate: float = 0.5,
    schedule: tuple[ScheduledFault, ...] | None = None,
) -> TrialResult:
    """Run one standard trial and return its result.

    Parameters
    ----------
    seed : int
        Seed of the trial.
    simulated_s : float
        Length of the trial, in simulated seconds.
    partitions : bool
        Whether VMs of the domain are partitioned from each other.
    fault_rate : float
        Faults per simulated second.
    schedule : tuple of ScheduledFault, optional
        Faults of the trial; drawn from its seed if not given.
    """
    trial = build_trial(
        seed=seed,
        partitions=partitions,
        fault_rate=fault_rate,
        simulated_s=simulated_s,
        schedule=schedule,
    )
    started_at = trial.world.now
    violation = None
    try:
        trial.run(simulated_s)
    except (GuaranteeViolatedError, InvariantError) as error:
        violation = f"at {trial.world.now:.2f}: {error}"
    return TrialResult(
        requests=trial.requests.requests,
        done=trial.requests.done,
        violation=violation,
        trace=trial.world.trace,
        schedule=trial.schedule,
        duration_s=trial.world.now - started_at,
    )
