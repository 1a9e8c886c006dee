"""``plankspindle rollouts``: how far services are on the way to other versions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

NO_ROLLOUT = "no roll-out; order one with plankspindle rollout SERVICE VERSION --within"


@click.command()
@click.option("--service", help="Only this service.")
@click.pass_context
def rollouts(context: click.Context, service: str | None) -> None:
    """Show stage, share, answers by software version and route, and what decided."""
    found = unwrap_or_exit(get_api(context).get("/v1/rollouts"))["rollouts"]
    shown = [each for each in found if service in (None, each["service"])]
    lines = [line for each in shown for line in _render(each)]
    print_result(context, shown, lines or [NO_ROLLOUT])


def _render(rollout: Mapping[str, Any]) -> Iterator[str]:
    if rollout["stage"] is None:
        in_force = rollout["version_in_force"] or "unknown"
        yield f"{rollout['service']}: software version {in_force}, no order"
        return
    yield (
        f"{rollout['service']}: {rollout['baseline']} to {rollout['target']},"
        f" {rollout['stage']}{_reason(rollout)}, order {rollout['order']},"
        f" {_time_left(rollout['to_deadline_s'])}"
    )
    yield (
        f"  {100 * rollout['target_share']:.1f} % of the keys go to"
        f" {rollout['target']}; {rollout['exposed']} of {rollout['requests']} requests"
        f" {_extent(rollout)} did; coordinated by {rollout['coordinator'] or 'no VM'}"
    )
    yield from _outcome_lines(rollout, rollout["outcomes"])


def _reason(rollout: Mapping[str, Any]) -> str:
    return f" ({rollout['reason']})" if rollout["reason"] else ""


def _extent(rollout: Mapping[str, Any]) -> str:
    return "of all VMs" if rollout["is_of_all_vms"] else "of this VM"


def _time_left(seconds: float | None) -> str:
    if seconds is None:
        return "no deadline"
    if seconds < 0:
        return f"deadline {-seconds:.1f} s ago"
    return f"{seconds:.1f} s left"


def _outcome_lines(
    rollout: Mapping[str, Any], outcomes: Iterable[Mapping[str, Any]]
) -> Iterator[str]:
    for each in outcomes:
        baseline = f"{each['baseline_bad']} of {each['baseline_answers']}"
        target = f"{each['target_bad']} of {each['target_answers']}"
        yield (
            f"  {each['operation']} in {each['failure_domain']}: bad answers"
            f" {baseline} at {rollout['baseline']}, {target} at {rollout['target']}"
        )
