"""Every fault at every step of every operation, run in trials.

An operation is started in a trial without random faults, a fault is injected a number
of steps later and ended after a while, and the outcome of the operation must be an
allowed one. The trial and the daemon itself check their guarantees at every step.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import field
from attrs import frozen

from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.invariants import InvariantError
from plankspindle_daemon.control.intents import DrainIntent
from plankspindle_daemon.control.intents import PriorityClassIntent
from plankspindle_daemon.control.intents import ShiftIntent
from plankspindle_testkit.trial.ground_truth import GuaranteeViolatedError
from plankspindle_testkit.trial.standard_trial import build_trial
from plankspindle_testkit.trial.trial import STEP_S
from plankspindle_testkit.trial.trial import Trial

WARM_UP_S = 6.0
FAULT_DURATION_S = 4.0
RECOVERY_TIME_S = 14.0
MAX_DRAIN_S = 3.0
INJECTION_STEPS = (0, 1, 2, 3, 4, 6, 10, 20, 40)
FIRST_VM = "ba-1-a"
REQUEST_RATE = 15.0

Fault = Callable[[Trial], None]
Check = Callable[[Trial], str]


@frozen(kw_only=True)
class MatrixOperation:
    """Operation into which faults are injected.

    Parameters
    ----------
    name : str
        Name of the operation.
    requirement : str
        What must hold under every fault.
    allowed_outcomes : frozenset of str
        Allowed outcomes.
    start : callable
        Starts the operation and returns a function that determines its outcome.
    allowed_outcome_by_fault : dict of str to str
        One more outcome that is allowed under a fault, by name of the fault.
    """

    name: str
    requirement: str
    allowed_outcomes: frozenset[str]
    start: Callable[[Trial], Check]
    allowed_outcome_by_fault: dict[str, str] = field(factory=dict)


@frozen(kw_only=True)
class MatrixCell:
    """Outcomes of one operation under one fault, over all steps of its injection.

    Parameters
    ----------
    operation, fault : str
        Names of operation and fault.
    outcomes : tuple of (str, int)
        Outcomes, and the number of runs with each.
    violations : tuple of str
        Violations, with the step at which the fault was injected.
    """

    operation: str
    fault: str
    outcomes: tuple[tuple[str, int], ...]
    violations: tuple[str, ...]


def _request(kind: str, timeout_s: float, duration_s: float) -> MatrixOperation:
    def start(trial: Trial) -> Check:
        number = trial.requests.submit_one(
            FIRST_VM, kind=kind, timeout_s=timeout_s, duration_s=duration_s
        )

        def check(trial: Trial) -> str:
            return trial.requests.outcome_of(number)

        return check

    requirement = {
        "lookup": "one answer; runs again only because it may",
        "download": "one answer, whole or reset",
        "id": "runs at most once; not-run is true",
        "key": "runs at most once on any VM; not-run is true",
    }[kind]
    return MatrixOperation(
        name=kind,
        requirement=requirement,
        allowed_outcomes=frozenset(
            {"done", "not-run", "unknown", "aborted", "vm lost"}
        ),
        start=start,
    )


def _confirm(trial: Trial) -> Check:
    plan_id = trial.operators.make_plan(
        PriorityClassIntent(caller="desk", priority_class="gold")
    )

    def check(trial: Trial) -> str:
        return trial.operators.confirm_until_answered(plan_id) if plan_id else "no plan"

    return check


def _adoption(trial: Trial) -> Check:
    plan_id = trial.operators.make_plan(
        PriorityClassIntent(caller="desk", priority_class="gold")
    )
    answer = trial.operators.confirm_until_answered(plan_id) if plan_id else "no plan"

    def check(trial: Trial) -> str:
        return (
            "in force"
            if answer == "accepted" and trial.operators.is_in_force()
            else "missing"
        )

    return check


def _drain(trial: Trial) -> Check:
    drain = Drain(kind=DrainKind.UPSTREAM, name="u0")
    plan_id = trial.operators.make_plan(DrainIntent(drain_id="d", drain=drain))
    answer = trial.operators.confirm_until_answered(plan_id) if plan_id else "no plan"
    latest_start = (
        trial.world.now + FAULT_DURATION_S + INJECTION_STEPS[-1] * STEP_S + MAX_DRAIN_S
    )

    def check(trial: Trial) -> str:
        upstream = trial.world.upstreams_by_name["u0"]
        if answer != "accepted" or not trial.operators.is_in_force():
            return "missing"
        if upstream.last_started_at > latest_start:
            return "got new work"
        return "empty" if not upstream.runs else "still running"

    return check


def _shift(trial: Trial) -> Check:
    shift = Shift(
        service="registry",
        from_region="bratislava",
        to_region="kosice",
        cap_percent=20.0,
        ramp_s=0.0,
    )
    plan_id = trial.operators.make_plan(ShiftIntent(shift_id="s", shift=shift))
    answer = trial.operators.confirm_until_answered(plan_id) if plan_id else "no plan"

    def check(trial: Trial) -> str:
        in_force = answer == "accepted" and trial.operators.is_in_force()
        return "within cap" if in_force else "missing"

    return check


def _start_vm(trial: Trial) -> Check:
    trial.hosts.restart(FIRST_VM)

    def check(trial: Trial) -> str:
        return "serves" if trial.all_vms_serve() else "does not serve"

    return check


def _stop_vm(trial: Trial) -> Check:
    trial.hosts.begin_leaving(FIRST_VM)

    def check(trial: Trial) -> str:
        return "others serve" if trial.all_vms_serve() else "others do not serve"

    return check


OPERATIONS = [
    _request("lookup", 1.0, 0.15),
    _request("id", 1.0, 0.15),
    _request("key", 1.0, 0.15),
    _request("download", 3.0, 2.5),
    MatrixOperation(
        name="confirm",
        requirement=(
            "accepted unless another plan came first, and told truly when asked again"
        ),
        allowed_outcomes=frozenset({"accepted"}),
        start=_confirm,
        allowed_outcome_by_fault={"operators race": "overtaken"},
    ),
    MatrixOperation(
        name="adoption",
        requirement="in force at every VM after the fault, never reverted",
        allowed_outcomes=frozenset({"in force"}),
        start=_adoption,
    ),
    MatrixOperation(
        name="drain",
        requirement="the upstream gets nothing new and runs empty",
        allowed_outcomes=frozenset({"empty"}),
        start=_drain,
    ),
    MatrixOperation(
        name="shift",
        requirement="in force, never over its cap",
        allowed_outcomes=frozenset({"within cap"}),
        start=_shift,
    ),
    MatrixOperation(
        name="VM start",
        requirement="slots hold; it serves in the end",
        allowed_outcomes=frozenset({"serves"}),
        start=_start_vm,
    ),
    MatrixOperation(
        name="VM stop",
        requirement="nothing is cut off; the others serve",
        allowed_outcomes=frozenset({"others serve"}),
        start=_stop_vm,
    ),
]


def _injection(name: str) -> Fault:
    return lambda trial: trial.faults.inject(name, vm=FIRST_VM, upstream="u2")


FAULTS: dict[str, Fault] = {
    "none": lambda trial: None,
    "process killed": _injection("kill"),
    "power loss": _injection("power-loss"),
    "paused": _injection("pause"),
    "platform down": _injection("platform"),
    "store answers lost": _injection("store-answers-lost"),
    "store writes late": _injection("store-writes-late"),
    "reports stop": _injection("reports-stop"),
    "report lies": _injection("liar"),
    "upstreams shed": _injection("all-shed"),
    "upstreams lose answers": _injection("all-lose-answers"),
    "upstreams hang": _injection("all-hang"),
    "upstreams down": _injection("all-down"),
    "upstream leaves": _injection("leave"),
    "VM cut off": _injection("isolate"),
    "operators race": _injection("race"),
    "region fails": _injection("region-fails"),
}


def run_once(
    operation: MatrixOperation, faults: list[tuple[int, Fault]], seed: int
) -> str:
    """Run one operation with faults injected some steps after its start.

    Parameters
    ----------
    operation : MatrixOperation
        The operation.
    faults : list of (int, callable)
        Steps after the start of the operation, and faults, in order.
    seed : int
        Seed of the trial.

    Returns
    -------
    str
        Outcome of the operation.

    Raises
    ------
    GuaranteeViolatedError
        If a guarantee of the system is violated.
    """
    trial = build_trial(seed=seed, fault_free=True)
    trial.run(WARM_UP_S)
    trial.request_rate = REQUEST_RATE
    check = operation.start(trial)
    last = 0
    for step, fault in faults:
        trial.run((step - last) * STEP_S)
        last = step
        fault(trial)
    trial.run(FAULT_DURATION_S)
    trial.faults.heal_all()
    trial.run(RECOVERY_TIME_S)
    return check(trial)


def run_cell(
    operation: MatrixOperation, fault: str, steps: tuple[int, ...] = INJECTION_STEPS
) -> MatrixCell:
    """Run an operation once for each step, with one fault injected at that step.

    Parameters
    ----------
    operation : MatrixOperation
        The operation.
    fault : str
        Name of the fault.
    steps : tuple of int
        Steps at which the fault is injected, counted from the start in steps of 50 ms.
    """
    plans = [[(step, FAULTS[fault])] for step in steps]
    return _collect(operation, (fault,), plans)


def run_pair(operation: MatrixOperation, first: str, second: str) -> MatrixCell:
    """Run an operation with one fault after another, at three different intervals."""
    gaps = ((1, 2), (2, 10), (0, 40))
    plans = [[(one, FAULTS[first]), (two, FAULTS[second])] for one, two in gaps]
    return _collect(operation, (first, second), plans)


def _collect(
    operation: MatrixOperation,
    faults: tuple[str, ...],
    plans: list[list[tuple[int, Fault]]],
) -> MatrixCell:
    extra_allowed = {
        operation.allowed_outcome_by_fault.get(fault, "") for fault in faults
    }
    allowed = operation.allowed_outcomes | extra_allowed
    outcomes: Counter[str] = Counter()
    violations = []
    for seed, plan in enumerate(plans, start=1):
        steps = "+".join(str(step) for step, _ in plan)
        try:
            outcome = run_once(operation, plan, seed)
        except (GuaranteeViolatedError, InvariantError) as error:
            violations.append(f"step {steps}: {error}")
            continue
        if outcome in allowed:
            outcomes[outcome] += 1
        else:
            violations.append(f"step {steps}: ended as {outcome}")
    return MatrixCell(
        operation=operation.name,
        fault=" + ".join(faults),
        outcomes=tuple(sorted(outcomes.items())),
        violations=tuple(violations),
    )
