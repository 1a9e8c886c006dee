"""The daemon: sockets, clocks and tasks around the decision logic of a node."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from attrs import evolve
from curio import TaskGroup
from curio import sleep

from plankspindle_core.http.memory_budget import MemoryBudget
from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.admission.identity_signer import IdentitySigner
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.claim_sweeper import ClaimSweeper
from plankspindle_daemon.listeners.caller_listener import CallerListener
from plankspindle_daemon.listeners.make_request_service import make_request_service
from plankspindle_daemon.listeners.make_request_service import max_key_age_s
from plankspindle_daemon.listeners.make_request_service import peer_keys
from plankspindle_daemon.listeners.metrics_listener import MetricsListener
from plankspindle_daemon.listeners.operator_listener import OperatorListener
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.configuration_follower import ConfigurationFollower
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.list_follower import ListFollower
from plankspindle_daemon.node.make_node import make_node
from plankspindle_daemon.node.pause_monitor import PauseMonitor
from plankspindle_daemon.node.presence_maintainer import PresenceMaintainer
from plankspindle_daemon.node.quota_runner import QuotaRunner
from plankspindle_daemon.observability.metric_sources import MetricSources
from plankspindle_daemon.observability.metrics_reader import MetricsReader
from plankspindle_daemon.observability.request_metrics import RequestMetrics
from plankspindle_daemon.platform_ports import ExtraListener
from plankspindle_daemon.platform_ports import PlatformPorts
from plankspindle_daemon.platform_ports import default_ports
from plankspindle_daemon.quarantine.crash_detector import CrashDetector
from plankspindle_daemon.quarantine.quarantine_store import QuarantineStore
from plankspindle_daemon.rollouts.record_keeper import make_record_keeper
from plankspindle_daemon.settings.settings_file import RELOADABLE_SECTIONS
from plankspindle_daemon.settings.settings_file import SettingsChange
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor
from plankspindle_daemon.ticker import Ticker
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_daemon.wire.frame import FrameSealer

if TYPE_CHECKING:
    from random import Random

    from plankspindle_daemon.listeners.plan_service import PlanService
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings
    from plankspindle_daemon.settings.settings_file import SettingsFile

SETTINGS_CHECK_PERIOD_S = 5.0
"""Period of checking whether the settings file has changed, in seconds."""


class Daemon:
    """One running daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Its settings.
    random : Random
        Source of all its random choices.
    ports : PlatformPorts, optional
        Interfaces to the platform; the product's own interface if not given.
    log : KeyValueDestination, optional
        Destination of the log, flushed at every tick.
    file : SettingsFile, optional
        File of the settings, read again when it has changed.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        random: Random,
        ports: PlatformPorts | None = None,
        log: KeyValueDestination | None = None,
        file: SettingsFile | None = None,
    ) -> None:
        self.settings = settings
        self._settings_file = file
        self._log = log
        self._ports = ports or default_ports(settings)
        self._supervisor = Supervisor()
        self._budget = MemoryBudget(limit_bytes=settings.memory.callers_bytes)
        self.node = make_node(
            settings,
            random,
            all_domains=self._ports.heartbeats_across_domains,
            lists_upstreams=self._ports.lists_upstreams,
            store_era=self._ports.platform.calls.era,
        )
        self._platform = self._ports.platform
        self._make_outbound_links(random)
        self._make_followers()
        self._claims = ClaimStore(
            platform=self._platform, random=random, supervisor=self._supervisor
        )
        self._sweeper = ClaimSweeper(
            platform=self._platform,
            membership=self.node.membership,
            random=random,
            supervisor=self._supervisor,
        )
        requests = RequestMetrics()
        self._status_monitor = StatusMonitor()
        self._metric_sources = MetricSources(
            node=self.node,
            requests=requests,
            calls=self._platform.calls,
            ejections_by_service=self._status_monitor.upstreams.ejections_by_service,
            log=log,
        )
        self._metrics = MetricsReader(sources=self._metric_sources)
        self._caller_listener = self._make_caller_listener(requests, random)
        self._effects.on_adoption = self._caller_listener.apply_limits
        self._operator_listener = self._make_operator_listener(random)
        self._extra_listeners = self._make_extra_listeners()
        self._ticker = self._make_ticker()

    def _make_outbound_links(self, random: Random) -> None:
        """Create what sends to other entry VMs and to upstreams."""
        settings = self.settings
        self._sealer = FrameSealer(keys=peer_keys(settings))
        self._peers = PeerLink(
            endpoint=settings.listen.peer,
            sealer=self._sealer,
            membership=self.node.membership,
            random=random,
            supervisor=self._supervisor,
        )
        self._dispatch = DispatchRunner(
            node=self.node, peers=self._peers, supervisor=self._supervisor
        )
        self._pool = ConnectionPool(
            max_per_endpoint=settings.requests.max_connections_per_upstream,
            connect_timeout_s=settings.timing.connect_timeout_ms / 1000,
            max_connections=settings.requests.max_upstream_connections,
        )
        self._quotas = QuotaRunner(node=self.node, peers=self._peers)
        self._effects = EffectRunner(
            node=self.node,
            peers=self._peers,
            dispatch=self._dispatch,
            quotas=self._quotas,
            leave=self.leave,
        )
        self._crashes = CrashDetector(
            quarantine=self.node.quarantine,
            pool=self._pool,
            supervisor=self._supervisor,
            send_messages=self._send_messages,
            reaches_others=self._dispatch.reaches_others,
        )
        self._quarantine = QuarantineStore(
            quarantine=self.node.quarantine, platform=self._platform, random=random
        )
        records, rollouts = self._ports.rollout_records, self.node.rollouts
        self._records = make_record_keeper(rollouts, records, random)

    def _make_followers(self) -> None:
        """Create what reads the platform periodically."""
        timing = self.settings.timing
        self._configuration_follower = ConfigurationFollower(
            node=self.node,
            reader=self._ports.reader,
            effects=self._effects,
            period_s=timing.configuration_ms / 1000,
            all_read=self._ports.all_vms_read_configuration,
        )
        self._list_follower = ListFollower(
            node=self.node,
            platform=self._platform,
            effects=self._effects,
            period_s=timing.live_list_ms / 1000,
        )
        self._effects.on_list_update = self._list_follower.apply_update
        self._pauses = PauseMonitor(
            node=self.node,
            effects=self._effects,
            list_follower=self._list_follower,
            min_pause_s=lambda: self.settings.timing.pause_ms / 1000,
        )
        self._presence = PresenceMaintainer(
            node=self.node, presence=self._ports.presence
        )

    def _make_ticker(self) -> Ticker:
        return Ticker(
            node=self.node,
            effects=self._effects,
            dispatch=self._dispatch,
            pauses=self._pauses,
            quarantine=self._quarantine,
            status_monitor=self._status_monitor,
            calls=self._platform.calls,
            supervisor=self._supervisor,
            records=self._records,
            running=lambda: self._caller_listener.running,
            log=self._log,
        )

    def _make_caller_listener(
        self, requests: RequestMetrics, random: Random
    ) -> CallerListener:
        return CallerListener(
            settings=self.settings,
            supervisor=self._supervisor,
            node=self.node,
            requests=make_request_service(
                self.settings,
                node=self.node,
                dispatch=self._dispatch,
                quotas=self._quotas,
                pool=self._pool,
                claims=self._claims,
                crash_detector=self._crashes,
                pause_monitor=self._pauses,
                effects=self._effects,
                dialect=self._ports.dialect,
                has_native_api=self._ports.has_native_api,
                metrics=requests,
                random=random,
            ),
            metrics=requests,
            budget=self._budget,
        )

    def _make_operator_listener(self, random: Random) -> OperatorListener:
        return OperatorListener(
            settings=self.settings,
            supervisor=self._supervisor,
            node=self.node,
            make_plan_handler=partial(self._make_plans, random),
            metrics=self._metrics,
            dump_runtime=self._dump_runtime,
            send=self._send_messages,
            budget=self._budget,
        )

    def _make_plans(self, random: Random) -> PlanService:
        from plankspindle_daemon.control.plan_store import PlanStore
        from plankspindle_daemon.listeners.plan_service import PlanService

        return PlanService(
            plans=PlanStore(
                platform=self._platform,
                reader=ConfigurationReader(platform=self._platform),
                random=random,
                digests=self.node.digest_exchange.digests,
                allows_rollouts=self.settings.rollouts.enabled,
            )
        )

    def _make_extra_listeners(self) -> list[ExtraListener]:
        listeners = [
            make(self.node, self._supervisor, self._budget)
            for make in self._ports.listener_factories
        ]
        if self.settings.listen.metrics is not None:
            metrics = MetricsListener(
                endpoint=self.settings.listen.metrics,
                supervisor=self._supervisor,
                metrics=self._metrics,
                budget=self._budget,
            )
            listeners.append(metrics)
        return listeners

    async def start(self) -> None:
        """Open all listeners.

        Raises
        ------
        OSError
            If an address cannot be used.
        """
        await self._peers.start(self._effects.receive)
        await self._caller_listener.start()
        await self._operator_listener.start()
        for listener in self._extra_listeners:
            await listener.start()
        await self._claims.start()
        await self._sweeper.start()
        log_event(
            "started",
            failure_domain=self.settings.failure_domain,
            caller=str(self.settings.listen.caller),
            incarnation=f"{self.node.incarnation:016x}",
        )

    async def close(self) -> None:
        """Close all listeners and connections."""
        self._metrics.close()
        await self._caller_listener.close()
        await self._operator_listener.close()
        for listener in self._extra_listeners:
            await listener.close()
        await self._sweeper.close()
        await self._claims.close()
        await self._pool.close()
        await self._peers.close()
        log_event("stopped", uptime_s=round(monotonic() - self.node.started_at, 1))

    def leave(self, reason: str) -> None:
        """Begin the planned stop; the reason is logged."""
        if not self.node.leave.is_leaving:
            log_event("leaving", reason=reason, running=self._caller_listener.running)
        self.node.leave.begin(monotonic())
        self._caller_listener.disable_keep_alive()

    def reload(self) -> None:
        """Read the settings file again, and apply what a running process can change."""
        if self._settings_file is None:
            return
        read = self._settings_file.read()
        if read.is_err():
            problems = "; ".join(read.unwrap_err().problems)
            log_event(
                "reload_refused", path=str(self._settings_file.path), problems=problems
            )
            return
        change = SettingsChange.between(self.settings, read.unwrap())
        self._apply_settings(read.unwrap())
        log_event(
            "reloaded",
            path=str(self._settings_file.path),
            taken=",".join(change.reloadable),
            at_next_start=",".join(change.restart_required),
        )

    def _apply_settings(self, new: DaemonSettings) -> None:
        applied = {name: getattr(new, name) for name in RELOADABLE_SECTIONS}
        self.settings = evolve(self.settings, **applied)
        self._caller_listener.settings = self.settings
        self._caller_listener.requests.settings = self.settings
        self._operator_listener.settings = self.settings
        self._sealer.set_keys(peer_keys(new))
        resolver = self._caller_listener.requests.resolver
        resolver.signer = IdentitySigner(keys=peer_keys(new))
        resolver.max_key_age_s = max_key_age_s(new)
        membership = self.node.membership
        membership.options = evolve(membership.options, seeds=tuple(new.peers))

    async def _follow_settings(self) -> None:
        """Reload the settings file whenever it has changed, also without a signal."""
        while True:
            await sleep(SETTINGS_CHECK_PERIOD_S)
            if self._settings_file is not None and self._settings_file.has_changed():
                self.reload()

    async def run(self) -> None:
        """Run until the planned stop is complete."""
        async with TaskGroup(wait=any) as group:
            await group.spawn(self._ticker.run)
            await group.spawn(self._list_follower.run)
            await group.spawn(self._configuration_follower.run)
            await group.spawn(self._pool.run)
            await group.spawn(self._presence.run)
            await group.spawn(self._quarantine.run)
            if self._records is not None:
                await group.spawn(self._records.run)
            await group.spawn(self._follow_settings)
        _ = group.result

    async def _send_messages(self, messages: list[SendToPeer]) -> None:
        """Send messages to other entry VMs."""
        await self._effects.perform([*messages])

    def _dump_runtime(self) -> dict[str, Any]:
        from plankspindle_daemon.listeners.runtime_dump import dump_runtime
        from plankspindle_daemon.observability.state_dump import dump_metrics

        dumped = dump_runtime(
            listener=self._caller_listener,
            pool=self._pool,
            peers=self._peers,
            platform=self._platform,
            claims=self._claims,
            supervisor=self._supervisor,
            budget=self._budget,
        )
        return {**dumped, **dump_metrics(self._metric_sources)}
