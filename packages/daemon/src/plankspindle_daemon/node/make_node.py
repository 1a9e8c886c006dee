"""Creates the node of a daemon from its settings."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from plankspindle_core.process_start import PROCESS_STARTED_AT
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.quotas.quota_options import QuotaOptions

if TYPE_CHECKING:
    from random import Random

    from plankspindle_daemon.settings.daemon_settings import DaemonSettings
    from plankspindle_daemon.versions.store_era import StoreEra

ID_RETENTION_S = 3_600.0


def make_node(
    settings: DaemonSettings,
    random: Random,
    *,
    all_domains: bool,
    lists_upstreams: bool,
    store_era: StoreEra,
) -> Node:
    """Create a node without a configuration or a list of VMs.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    random : Random
        Source of all random choices.
    all_domains : bool
        Whether entry VMs of all failure domains exchange heartbeats.
    lists_upstreams : bool
        Whether upstreams are declared by the platform's list of VMs.
    store_era : StoreEra
        Era of the platform's store, shared with the client of the platform.
    """
    incarnation = random.getrandbits(64) or 1
    timing = settings.timing
    node = Node(
        vm=settings.vm,
        failure_domain=settings.failure_domain,
        caller_endpoint=settings.listen.caller,
        peer_endpoint=settings.listen.peer,
        incarnation=incarnation,
        random=random,
        membership=Membership(
            options=MembershipOptions(
                vm=settings.vm,
                failure_domain=settings.failure_domain,
                incarnation=incarnation,
                heartbeat_s=timing.heartbeat_ms / 1000,
                suspect_after_s=timing.suspect_after_ms / 1000,
                seeds=tuple(settings.peers),
                all_domains=all_domains,
            )
        ),
        ids=IssuedIds(
            vm=settings.vm,
            incarnation=incarnation,
            secret=secrets.token_bytes(32),
            ttl_s=settings.requests.request_id_ttl_ms / 1000,
            retention_s=ID_RETENTION_S,
            max_retained=settings.requests.max_remembered_ids,
        ),
        leave=Leave(leave_s=timing.leave_ms / 1000, linger_s=timing.linger_ms / 1000),
        needs_list=lists_upstreams,
        shared_read_period_s=timing.shared_read_ms / 1000,
        recovery_s=timing.recovery_ms / 1000,
        quota_options=QuotaOptions(
            slack_requests=settings.quotas.slack_requests,
            process_started_at=PROCESS_STARTED_AT,
        ),
        probe_period_s=timing.probe_ms / 1000,
        started_at=monotonic(),
        settle_s=timing.suspect_after_ms / 1000,
        rollout_settings=settings.rollouts,
    )
    node.versions.store_era = store_era
    node.rollouts.store_era = store_era
    return node
