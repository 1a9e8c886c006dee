"""``plankspindle status``: the state of a daemon in a few lines."""

from __future__ import annotations

from typing import Any

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit


@click.command()
@click.pass_context
def status(context: click.Context) -> None:
    """Show version, members, services and shifts as one daemon sees them."""
    found = unwrap_or_exit(get_api(context).get("/state"))
    print_result(context, found, status_lines(found))


def status_lines(found: dict[str, Any]) -> list[str]:
    """Render a state dump.

    Parameters
    ----------
    found : dict
        State dump of a daemon.

    Returns
    -------
    list of str
        Lines for a terminal.
    """
    configuration = found["configuration"]
    lines = [
        f"{found['vm']} in {found['failure_domain']}: {found['readiness']},"
        f" version {configuration['version']}"
        f" in force for {configuration['in_force_for_s']} s",
        f"members: {' '.join(found['membership']['view'])}",
        f"platform: {_platform_state(found['platform'])}",
        *_suspected_lines(found["membership"]["members"]),
        *_cut_off_lines(found),
    ]
    for name, service in sorted(found["services"].items()):
        upstreams = service["upstreams"].values()
        used = sum(each["in_flight"] for each in upstreams)
        usable = sum(each["limit"] for each in upstreams)
        lines.append(
            f"service {name}: {used} of {usable} slots in use,"
            f" {service['queued']} queued, {service['assigned']} assigned"
        )
    for name, domain in sorted(found["failure_domains"].items()):
        heard = domain["heard_s_ago"]
        age = "not heard" if heard is None else f"heard {heard:g} s ago"
        lines.append(
            f"failure domain {name} of {domain['region']}: {age},"
            f" version {domain['lowest_version']}"
        )
        for service, load in sorted(domain["services"].items()):
            lines.append(
                f"  {service}: {load['in_flight']} of {load['capacity']} in use,"
                f" {load['queued']} queued"
            )
    for name, shift in sorted(found["shifts"].items()):
        lines.append(
            f"shift {name} of {shift['service']} to {shift['to_region']}:"
            f" {shift['moved']} of {shift['total']} moved,"
            f" cap {shift['cap_percent']:g} percent"
        )
    return lines


def _suspected_lines(members: dict[str, Any]) -> list[str]:
    """Render the suspected members, and the VMs that suspect them."""
    lines = []
    for name, member in sorted(members.items()):
        if not member["suspected"]:
            continue
        silent_s = member["silent_s"]
        heard = "never heard" if silent_s is None else f"silent for {silent_s:g} s"
        watchers = ", ".join(member["suspected_by"])
        by = f", suspected by {watchers}" if watchers else ""
        lines.append(f"member {name}: {heard}{by}")
    return lines


def _cut_off_lines(found: dict[str, Any]) -> list[str]:
    """Render the VMs that reach no upstream, and who serves for this one."""
    lines = []
    contact = found.get("upstream_contact", {})
    if contact.get("state") == "CutOff":
        servers = ", ".join(sorted(contact["relayed_to"])) or "no VM now"
        lines.append(f"{found['vm']} reaches no upstream; served for by {servers}")
    for name, member in sorted(found["membership"]["members"].items()):
        if member.get("cut_off"):
            lines.append(f"member {name}: reaches no upstream")
    return lines


def _platform_state(platform: dict[str, Any]) -> str:
    """Describe whether the platform answers, and whether it has lost writes."""
    state = "answers" if platform["available"] else "away"
    returns = platform.get("returns_from_copy", 0)
    if not returns:
        return state
    return f"{state}, returned from a copy {returns} times, era {platform['era']}"
