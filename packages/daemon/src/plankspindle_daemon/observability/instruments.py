"""OpenTelemetry instruments of a process: counters, gauges and histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY
from prometheus_client import generate_latest

from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.observability.histogram_collector import HistogramCollector

MAX_LABELLED_WORKSPACES = 20
"""Workspaces with a label value of their own, to bound the number of time series."""

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from plankspindle_daemon.observability.metric_sources import MetricSources
    from plankspindle_daemon.rollouts.rollout_status import RolloutStatus

    Observe = Callable[[], Iterable[Observation]]


class Instruments:
    """Observable instruments, registered until this object is closed.

    Parameters
    ----------
    sources : MetricSources
        Counts of the process.
    """

    def __init__(self, *, sources: MetricSources) -> None:
        self._sources = sources
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._histograms = HistogramCollector(sources=sources)
        REGISTRY.register(self._histograms)
        self._add_counter("lookups", self._lookups)
        self._add_counter("rejections", self._rejections)
        self._add_counter("retries", self._retries)
        self._add_counter("ejections", self._ejections)
        self._add_counter("log_lines_dropped", self._log_lines_dropped)
        self._add_counter("platform_calls", self._platform_calls)
        self._add_counter("platform_calls_refused", self._platform_calls_refused)
        self._add_counter("upstream_crashes_reported", self._upstream_crashes_reported)
        self._add_counter("requests_held_back", self._requests_refused)
        self._add_counter("quota_requests", self._quota_requests)
        self._add_counter("upstream_statements_unreadable", self._statements_unreadable)
        self._add_counter("software_version_requests", self._version_requests)
        self._add_counter("software_version_bad_answers", self._version_bad_answers)
        self._add_counter("upstream_connects", self._upstream_connects)
        self._add_counter("relays", self._relays)
        self._add_gauge("reaches_upstreams", self._reaches_upstreams)
        self._add_gauge("members_cut_off", self._members_cut_off)
        self._add_gauge("rollout_stage", self._rollout_stages)
        self._add_gauge("rollout_exposed_requests", self._rollout_exposed)
        self._add_gauge("rollout_seconds_to_deadline", self._rollout_deadlines)
        self._add_gauge("upstreams_limited", self._upstreams_limited)
        self._add_gauge("quarantined_requests", self._quarantined_requests)
        self._add_gauge("platform_available", self._platform_available)
        self._add_gauge("platform_era", self._platform_era)
        self._add_gauge("queued", self._queued)
        self._add_gauge("in_flight", self._in_flight)
        self._add_gauge("configuration_version", self._configuration_version)
        self._add_gauge("configuration_revision", self._configuration_revision)
        self._add_gauge("keys_leaving_region", self._keys_leaving_region)

    def close(self) -> None:
        """Unregister the instruments."""
        REGISTRY.unregister(self._histograms)
        self._provider.shutdown()

    def render(self) -> bytes:
        """Read all instruments and return them in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def _add_counter(self, name: str, observe: Observe) -> None:
        meter = self._provider.get_meter("plankspindle")
        meter.create_observable_counter(
            f"plankspindle_{name}", callbacks=[_callback(observe)]
        )

    def _add_gauge(self, name: str, observe: Observe) -> None:
        meter = self._provider.get_meter("plankspindle")
        meter.create_observable_gauge(
            f"plankspindle_{name}", callbacks=[_callback(observe)]
        )

    def _lookups(self) -> Iterable[Observation]:
        return [Observation(self._sources.requests.lookups)]

    def _rejections(self) -> Iterable[Observation]:
        return [
            Observation(count, {"service": service, "reason": reason.value})
            for service, each in self._sources.node.dispatchers_by_service.items()
            for reason, count in each.rejections.count_by_reason.items()
        ]

    def _retries(self) -> Iterable[Observation]:
        counts = self._sources.requests.retries_by_key
        return [
            Observation(
                count, {"service": service, "decision": decision, "because": because}
            )
            for (service, decision, because), count in counts.items()
        ]

    def _keys_leaving_region(self) -> Iterable[Observation]:
        return [
            Observation(plan.remote_share, {"service": service})
            for service, each in self._sources.node.dispatchers_by_service.items()
            if (plan := each.region_plan()) is not None
        ]

    def _version_requests(self) -> Iterable[Observation]:
        return [
            Observation(count, {"service": service, "role": role})
            for service, each in self._sources.node.dispatchers_by_service.items()
            for role, count in each.versions.sent_by_role.items()
        ]

    def _version_bad_answers(self) -> Iterable[Observation]:
        return [
            Observation(count, {"service": service, "role": role})
            for service, each in self._sources.node.dispatchers_by_service.items()
            for role, count in each.versions.tally.bad_by_role.items()
        ]

    def _rollout_stages(self) -> Iterable[Observation]:
        return [
            Observation(1, {"service": each.service, "stage": each.stage})
            for each in self._ordered_rollouts()
        ]

    def _rollout_exposed(self) -> Iterable[Observation]:
        return [
            Observation(
                each.exposed,
                {"service": each.service, "of": "all" if each.is_of_all_vms else "vm"},
            )
            for each in self._ordered_rollouts()
        ]

    def _rollout_deadlines(self) -> Iterable[Observation]:
        return [
            Observation(each.to_deadline_s, {"service": each.service})
            for each in self._ordered_rollouts()
            if each.to_deadline_s is not None
        ]

    def _ordered_rollouts(self) -> list[RolloutStatus]:
        """Return the states of the services that had an order."""
        statuses = self._sources.node.rollouts.status(monotonic())
        return [each for each in statuses if each.stage is not None]

    def _ejections(self) -> Iterable[Observation]:
        return [
            Observation(count, {"service": service})
            for service, count in self._sources.ejections_by_service.items()
        ]

    def _upstream_crashes_reported(self) -> Iterable[Observation]:
        return [Observation(self._sources.node.quarantine.crashes_reported)]

    def _requests_refused(self) -> Iterable[Observation]:
        return [Observation(self._sources.node.quarantine.requests_refused)]

    def _quota_requests(self) -> Iterable[Observation]:
        """Yield counts of the workspaces with most refusals, and the sum of others."""
        requester = self._sources.node.quotas.token_requester
        for decision, counts in (
            ("admitted", requester.admitted_by_workspace),
            ("refused", requester.refused_by_workspace),
        ):
            named = [
                name
                for name, _ in requester.refused_by_workspace.most_common(
                    MAX_LABELLED_WORKSPACES
                )
            ]
            for name in named:
                labels = {"workspace": name, "decision": decision}
                yield Observation(counts[name], labels)
            other_count = counts.total() - sum(counts[name] for name in named)
            yield Observation(
                other_count, {"workspace": "others", "decision": decision}
            )

    def _statements_unreadable(self) -> Iterable[Observation]:
        return [
            Observation(each.statements_unreadable, {"service": service})
            for service, each in self._sources.node.dispatchers_by_service.items()
        ]

    def _upstreams_limited(self) -> Iterable[Observation]:
        return [
            Observation(
                sum(
                    upstream.last_statement.limit_per_s is not None
                    for upstream in each.upstreams_by_name.values()
                ),
                {"service": service},
            )
            for service, each in self._sources.node.dispatchers_by_service.items()
        ]

    def _quarantined_requests(self) -> Iterable[Observation]:
        quarantine_list = self._sources.node.quarantine.quarantine_list
        return [Observation(len(quarantine_list.entries_by_identity))]

    def _upstream_connects(self) -> Iterable[Observation]:
        contact = self._sources.node.reach.contact
        return [
            Observation(contact.connects, {"outcome": "established"}),
            Observation(contact.failed_connects, {"outcome": "failed"}),
        ]

    def _relays(self) -> Iterable[Observation]:
        node = self._sources.node
        relays, admission = node.relays, node.relay_admission
        return [
            Observation(relays.sent, {"side": "sender", "outcome": "sent"}),
            Observation(relays.declined, {"side": "sender", "outcome": "declined"}),
            Observation(admission.accepted, {"side": "server", "outcome": "accepted"}),
            Observation(admission.declined, {"side": "server", "outcome": "declined"}),
        ]

    def _reaches_upstreams(self) -> Iterable[Observation]:
        return [Observation(int(not self._sources.node.reach.is_cut_off))]

    def _members_cut_off(self) -> Iterable[Observation]:
        members = self._sources.node.membership.members_by_name.values()
        return [Observation(sum(member.is_cut_off for member in members))]

    def _log_lines_dropped(self) -> Iterable[Observation]:
        return [Observation(self._sources.log_lines_dropped)]

    def _platform_calls(self) -> Iterable[Observation]:
        return [
            Observation(count, {"kind": kind.value})
            for kind, count in self._sources.calls.calls_by_kind.items()
        ]

    def _platform_calls_refused(self) -> Iterable[Observation]:
        calls = self._sources.calls
        return [
            Observation(calls.refused_by_breaker, {"by": "breaker"}),
            Observation(calls.refused_by_budget, {"by": "budget"}),
        ]

    def _platform_available(self) -> Iterable[Observation]:
        return [Observation(int(self._sources.calls.available))]

    def _platform_era(self) -> Iterable[Observation]:
        return [Observation(self._sources.calls.era.number)]

    def _queued(self) -> Iterable[Observation]:
        return [
            Observation(len(each.queue), {"service": service})
            for service, each in self._sources.node.dispatchers_by_service.items()
        ]

    def _in_flight(self) -> Iterable[Observation]:
        return [
            Observation(
                upstream.ledger.in_flight, {"service": service, "upstream": name}
            )
            for service, each in self._sources.node.dispatchers_by_service.items()
            for name, upstream in each.upstreams_by_name.items()
        ]

    def _configuration_version(self) -> Iterable[Observation]:
        return [Observation(self._sources.node.version.number)]

    def _configuration_revision(self) -> Iterable[Observation]:
        return [Observation(self._sources.node.version.revision)]


def _callback(observe: Observe) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda _: observe()
