"""Dump of the state that a daemon bases its decisions on, as plain JSON values."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from plankspindle_core.invariants import checks_by_name
from plankspindle_daemon.observability.version_dump import dump_versions
from plankspindle_daemon.quarantine.request_identity import identity_text
from plankspindle_daemon.quotas.quota_holder import shard_of

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.observability.metric_sources import MetricSources
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


def dump_node(node: Node, now: float) -> dict[str, Any]:
    """Dump the state of a node.

    Parameters
    ----------
    node : Node
        The node.
    now : float
        Monotonic seconds.

    Returns
    -------
    dict
        Values by key; a key is mostly one package of the daemon.
    """
    return {
        "vm": node.vm,
        "failure_domain": node.failure_domain,
        "incarnation": f"{node.incarnation:016x}",
        "readiness": node.readiness().value,
        "leave": type(node.leave.state).__name__,
        "uptime_s": round(now - node.started_at, 3),
        "configuration": _dump_configuration(node, now),
        "membership": _dump_membership(node, now),
        "upstream_contact": _dump_contact(node, now),
        "services": {
            name: _dump_dispatcher(dispatcher, now)
            for name, dispatcher in node.dispatchers_by_service.items()
        },
        "retries": {
            name: {"fresh": budget.fresh, "retried": budget.retried}
            for name, budget in node.services.budgets_by_service.items()
        },
        "shifts": {
            shift_id: {
                "service": metered.shift.service,
                "to_region": metered.shift.to_region,
                "cap_percent": metered.shift.cap_percent,
                "total": metered.request_count,
                "moved": metered.moved_count,
            }
            for shift_id, metered in node.shift_meter.counts_by_id().items()
        },
        "quarantine": _dump_quarantine(node, now),
        "workspaces": _dump_workspaces(node, now),
        "drained_vms": sorted(node.vm_drains.drained_vms),
        "headroom": {
            service: {"granted": ledger.granted, "refused": ledger.refused}
            for service, ledger in node.headroom.ledgers_by_service.items()
        },
        "grants_missed": node.headroom.grants.missed,
        "failure_domains": _dump_domains(node, now),
        "request_ids": {
            "issued": node.ids.issued,
            "ran": node.ids.ran,
            "remembered": node.ids.retained,
        },
        "steering": _dump_steering(node),
        "invariants_checked": dict(checks_by_name),
    }


def _dump_contact(node: Node, now: float) -> dict[str, Any]:
    """Dump the connections of this VM to all upstreams together."""
    contact = node.reach.contact
    return {
        "state": type(node.reach.state).__name__,
        "answered_s_ago": _age_s(contact.answered_at, now),
        "connected_s_ago": _age_s(contact.connected_at, now),
        "connects": contact.connects,
        "failed_connects": contact.failed_connects,
        "failed_since": sorted(contact.failed_at_by_upstream),
        "last_failure": contact.last_failure_text,
        "relayed_to": node.relays.in_flight_by_vm(),
        "relays_sent": node.relays.sent,
        "relays_accepted": node.relay_admission.accepted,
        "relays_in_flight_here": node.relay_admission.in_flight,
    }


def _age_s(at: float, now: float) -> float | None:
    return None if math.isinf(at) else round(now - at, 3)


def _dump_workspaces(node: Node, now: float) -> dict[str, Any]:
    """Dump quotas and which VMs grant their tokens, without digests of API keys."""
    configuration = node.configuration
    if configuration is None:
        return {}
    quotas = node.quotas
    return {
        name: {
            "keys": len(workspace.key_sha256s),
            "priority_class": workspace.priority_class,
            "rate_per_s": workspace.rate_per_s,
            "burst": workspace.burst,
            "home_regions": workspace.home_regions,
            "holder": quotas.lessor.holder_of(shard_of(name), now),
            "share_held": round(quotas.holder.share_of(shard_of(name), now), 4),
            "tokens_given": quotas.holder.granted_by_workspace.get(name, 0),
            "tokens_denied": quotas.holder.denied_by_workspace.get(name, 0),
            "admitted": quotas.token_requester.admitted_by_workspace.get(name, 0),
            "refused": quotas.token_requester.refused_by_workspace.get(name, 0),
        }
        for name, workspace in configuration.workspaces_by_name.items()
    }


def _dump_configuration(node: Node, now: float) -> dict[str, Any]:
    age = (
        None
        if node.in_force.adopted_at is None
        else round(now - node.in_force.adopted_at, 3)
    )
    checked = node.versions.head.age_s(now)
    return {
        "version": node.version.number,
        "revision": node.version.revision,
        "era": node.version.era,
        "in_force_for_s": age,
        "retained_drains": node.in_force.retained_drains.ids(),
        "head_read_s_ago": None if checked is None else round(checked, 3),
        "reads_platform": node.versions.is_reader(now),
        "learned_from_members": node.versions.exchange.fetched_count,
        "damaged": node.versions.exchange.damaged_count,
    }


def _dump_membership(node: Node, now: float) -> dict[str, Any]:
    membership = node.membership
    read_at = node.self_report.list_read_at
    return {
        "view": list(membership.member_names()),
        "view_digest": f"{membership.view_digest():016x}",
        "watchers": list(membership.detector.watchers()),
        "heartbeat_period_s": round(membership.heartbeat_period_s(), 3),
        "list_age_s": None if read_at is None else round(now - read_at, 3),
        "members": {
            name: {
                "readiness": member.readiness.value,
                "silent_s": None
                if member.last_heartbeat_at is None
                else round(now - member.last_heartbeat_at, 3),
                "suspected": membership.is_silent(member, now),
                "suspected_by": sorted(member.suspected_by),
                "cut_off": member.is_cut_off,
                "agrees": member.view_digest == membership.view_digest(),
                "over_share": sorted(member.over_share),
                "configuration_version": member.configuration_version.number,
                "configuration_revision": member.configuration_version.revision,
                "configuration_era": member.configuration_version.era,
            }
            for name, member in membership.members_by_name.items()
        },
    }


def _dump_dispatcher(dispatcher: Dispatcher, now: float) -> dict[str, Any]:
    plan = dispatcher.region_plan()
    return {
        "keys_leaving_region": None if plan is None else plan.remote_share,
        **dump_versions(dispatcher),
        "queued": len(dispatcher.queue),
        "assigned": dispatcher.assigned,
        "rejected": {
            reason.value: count
            for reason, count in dispatcher.rejections.count_by_reason.items()
        },
        "upstreams": {
            name: _dump_upstream(upstream, now)
            for name, upstream in dispatcher.upstreams_by_name.items()
        },
    }


def _dump_upstream(upstream: UpstreamState, now: float) -> dict[str, Any]:
    limiter = upstream.fleet_limiter()
    return {
        "standing": upstream.status(now).value,
        "evidence": upstream.evidence,
        "slots": upstream.ledger.slots,
        "share": upstream.ledger.share,
        "limit": upstream.usable_slots(now),
        "in_flight": upstream.ledger.in_flight,
        "health": type(upstream.health.state).__name__,
        "leaving": upstream.leaving,
        "fleet_limit_per_s": None if limiter is None else limiter.limit_per_s,
        "fleet_limit_used": 0 if limiter is None else limiter.used,
        "rests_ms": round(1000 * (upstream.health.retry_at(now) - now)),
        "relative_latency": round(upstream.relative_latency, 3),
    }


def _dump_quarantine(node: Node, now: float) -> dict[str, Any]:
    quarantine = node.quarantine
    return {
        "requests": {
            identity_text(each.identity): {
                "for_s": round(now - each.quarantined_at, 3),
                "trials": each.probe_attempts,
                "next_trial_s": round(each.next_probe_at - now, 3),
            }
            for each in quarantine.quarantine_list.entries_by_identity.values()
        },
        "counted": {
            identity_text(record.identity): list(record.crashed_at_by_incarnation)
            for record in quarantine.crash_records.records_by_identity.values()
        },
        "held_back": quarantine.requests_refused,
        "crashes_reported": quarantine.crashes_reported,
    }


def _dump_domains(node: Node, now: float) -> dict[str, Any]:
    if node.configuration is None:
        return {}
    received = node.digest_exchange.digests.received_by_vm.values()
    dumped = {}
    for domain, declared in node.configuration.failure_domains_by_name.items():
        digests = [each for each in received if each.digest.failure_domain == domain]
        versions = [each.digest.configuration_version for each in digests]
        loads = {
            service: node.digest_exchange.digests.load_of(
                service=service, domains={domain}, now=now
            )
            for service in node.configuration.services_by_name
        }
        lowest = min(versions, default=None)
        dumped[domain] = {
            "region": declared.region,
            "heard_vms": len(digests),
            "heard_s_ago": min(
                (round(now - e.received_at, 3) for e in digests), default=None
            ),
            "lowest_version": None if lowest is None else lowest.number,
            "lowest_revision": None if lowest is None else lowest.revision,
            "services": {
                service: {
                    "capacity": load.capacity,
                    "in_flight": load.in_flight,
                    "queued": load.queued,
                }
                for service, load in loads.items()
            },
        }
    return dumped


def _dump_steering(node: Node) -> dict[str, Any]:
    if node.steering is None:
        return {}
    return {
        "client_blocks": node.steering.table.blocks,
        "sites": len(node.steering.table.site_names),
        "table_bytes": node.steering.table.nbytes,
    }


def dump_metrics(sources: MetricSources) -> dict[str, Any]:
    """Dump the counts that are also exported as metrics."""
    requests = sources.requests
    return {
        "measures": {
            "lookups": requests.lookups,
            "requests": [
                {"service": service, "rank": rank, "ending": ending}
                | {"count": each.observations, "seconds": round(each.total, 6)}
                for (
                    service,
                    rank,
                    ending,
                ), each in requests.request_durations_by_key.items()
            ],
            "attempts": [
                {"service": service, "verdict": verdict}
                | {"count": each.observations, "seconds": round(each.total, 6)}
                for (
                    service,
                    verdict,
                ), each in requests.attempt_durations_by_key.items()
            ],
            "retries": [
                {"service": service, "decision": decision, "because": because}
                | {"count": count}
                for (
                    service,
                    decision,
                    because,
                ), count in requests.retries_by_key.items()
            ],
            "ejections": dict(sources.ejections_by_service),
            "log_lines_dropped": sources.log_lines_dropped,
        }
    }
