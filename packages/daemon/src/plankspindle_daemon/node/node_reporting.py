"""Creates what tells callers and other entry VMs of the state of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.node.self_report import SelfReport
from plankspindle_daemon.node.steering_updater import SteeringUpdater

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node


def make_self_report(node: Node) -> SelfReport:
    """Create the report of a node, whose other parts exist already."""
    return SelfReport(
        vm=node.vm,
        failure_domain=node.failure_domain,
        caller_endpoint=node.caller_endpoint,
        peer_endpoint=node.peer_endpoint,
        incarnation=node.incarnation,
        needs_list=node.needs_list,
        membership=node.membership,
        leave=node.leave,
        services=node.services,
        vm_drains=node.vm_drains,
        head=node.versions.head,
        quarantine=node.quarantine,
        reach=node.reach,
    )


def make_steering_updater(node: Node) -> SteeringUpdater:
    """Create what answers lookups, from the report of a node."""
    return SteeringUpdater(
        failure_domain=node.failure_domain,
        membership=node.membership,
        vm_drains=node.vm_drains,
        self_report=node.self_report,
    )
