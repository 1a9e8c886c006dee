"""The daemon: sockets, clocks and tasks around the decisions of a node."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from attrs import evolve
from curio import TaskGroup
from curio import sleep

from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.admission.identity_sealer import IdentitySealer
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.claim_sweeper import ClaimSweeper
from plankspindle_daemon.listeners.caller_listener import CallerListener
from plankspindle_daemon.listeners.idempotency_gate import IdempotencyGate
from plankspindle_daemon.listeners.metrics_listener import MetricsListener
from plankspindle_daemon.listeners.operator_listener import OperatorListener
from plankspindle_daemon.listeners.request_reader import RequestReader
from plankspindle_daemon.listeners.request_service import RequestService
from plankspindle_daemon.listeners.shell_dump import dump_shells
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.configuration_follower import ConfigurationFollower
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.list_follower import ListFollower
from plankspindle_daemon.node.make_node import make_node
from plankspindle_daemon.node.pause_monitor import PauseMonitor
from plankspindle_daemon.node.presence_maintainer import PresenceMaintainer
from plankspindle_daemon.node.quota_runner import QuotaRunner
from plankspindle_daemon.observability.measures import Measures
from plankspindle_daemon.observability.metrics import RequestMetrics
from plankspindle_daemon.observability.metrics_reader import MetricsReader
from plankspindle_daemon.observability.state_dump import dump_measures
from plankspindle_daemon.ports import Door
from plankspindle_daemon.ports import Ports
from plankspindle_daemon.ports import own_ports
from plankspindle_daemon.quarantine.crash_detector import CrashDetector
from plankspindle_daemon.quarantine.quarantine_store import QuarantineStore
from plankspindle_daemon.settings.settings_file import LIVE_SECTIONS
from plankspindle_daemon.settings.settings_file import SettingsChange
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor
from plankspindle_daemon.ticker import Ticker
from plankspindle_daemon.traces.request_trace_log import RequestTraceLog
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_daemon.wire.frame import FrameSealer

if TYPE_CHECKING:
    from random import Random

    from plankspindle_daemon.listeners.plan_service import PlanService
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings
    from plankspindle_daemon.settings.settings_file import SettingsFile

STALE_PERIOD_S = 5.0
SETTINGS_PERIOD_S = 5.0
"""Period of looking whether the settings file has changed."""


class Daemon:
    """One running daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Its settings.
    random : Random
        Source of all its random choices.
    ports : Ports, optional
        The ways to the platform; the product's own interface if not given.
    log : KeyValueDestination, optional
        Where events go, to be flushed now and then.
    file : SettingsFile, optional
        Where the settings come from, to be read again.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        random: Random,
        ports: Ports | None = None,
        log: KeyValueDestination | None = None,
        file: SettingsFile | None = None,
    ) -> None:
        self.settings = settings
        self._file = file
        self._log = log
        self._ports = ports or own_ports(settings)
        self._supervisor = Supervisor()
        self.node = make_node(
            settings,
            random,
            all_domains=self._ports.all_domains,
            lists_upstreams=self._ports.lists_upstreams,
        )
        self._platform = self._ports.platform
        self._make_outgoing(random)
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
        self._measures = Measures(
            node=self.node,
            requests=requests,
            calls=self._platform.calls,
            ejections_by_service=self._status_monitor.upstreams.ejections_by_service,
            log=log,
        )
        self._metrics = MetricsReader(measures=self._measures)
        self._callers = self._make_callers(requests, random)
        self._operators = self._make_operators(random)
        self._doors = self._make_doors()
        self._ticker = self._make_ticker()

    def _make_outgoing(self, random: Random) -> None:
        """Make the ways to other entry VMs and to upstreams."""
        settings = self.settings
        self._sealer = FrameSealer(keys=_keys_of(settings))
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
            send_messages=self._tell,
        )
        self._quarantine = QuarantineStore(
            quarantine=self.node.quarantine, platform=self._platform, random=random
        )

    def _make_followers(self) -> None:
        """Make what follows the platform."""
        timing = self.settings.timing
        self._configurations = ConfigurationFollower(
            node=self.node,
            reader=self._ports.reader,
            effects=self._effects,
            period_s=timing.configuration_ms / 1000,
            all_read=self._ports.all_read,
        )
        self._lists = ListFollower(
            node=self.node,
            platform=self._platform,
            effects=self._effects,
            period_s=timing.live_list_ms / 1000,
        )
        self._effects.on_list_update = self._lists.apply_update
        self._pauses = PauseMonitor(
            node=self.node,
            effects=self._effects,
            list_follower=self._lists,
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
            running=lambda: self._callers.running,
            log=self._log,
        )

    def _make_callers(self, requests: RequestMetrics, random: Random) -> CallerListener:
        dialect = self._ports.dialect
        return CallerListener(
            settings=self.settings,
            supervisor=self._supervisor,
            node=self.node,
            requests=RequestService(
                settings=self.settings,
                node=self.node,
                dispatch=self._dispatch,
                quotas=self._quotas,
                pool=self._pool,
                gate=IdempotencyGate(
                    node=self.node, claims=self._claims, random=random
                ),
                metrics=requests,
                reader=RequestReader(
                    node=self.node,
                    dialect=dialect,
                    sealer=IdentitySealer(keys=_keys_of(self.settings)),
                    max_key_age_s=_max_key_age_s(self.settings),
                ),
                dialect=dialect,
                trace_log=RequestTraceLog(vm=self.settings.vm),
                crashes=self._crashes,
                pauses=self._pauses,
            ),
            metrics=requests,
        )

    def _make_operators(self, random: Random) -> OperatorListener:
        return OperatorListener(
            settings=self.settings,
            supervisor=self._supervisor,
            node=self.node,
            make_plans=partial(self._make_plans, random),
            metrics=self._metrics,
            dump_shells=self._dump_shells,
            tell=self._tell,
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
            )
        )

    def _make_doors(self) -> list[Door]:
        doors = [make(self.node, self._supervisor) for make in self._ports.doors]
        if self.settings.listen.metrics is not None:
            metrics = MetricsListener(
                endpoint=self.settings.listen.metrics,
                supervisor=self._supervisor,
                metrics=self._metrics,
            )
            doors.append(metrics)
        return doors

    async def start(self) -> None:
        """Open all listeners.

        Raises
        ------
        OSError
            If an address cannot be used.
        """
        await self._peers.start(self._effects.receive)
        await self._callers.start()
        await self._operators.start()
        for door in self._doors:
            await door.start()
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
        await self._callers.close()
        await self._operators.close()
        for door in self._doors:
            await door.close()
        await self._sweeper.close()
        await self._claims.close()
        await self._pool.close()
        await self._peers.close()
        log_event("stopped", uptime_s=round(monotonic() - self.node.started_at, 1))

    def leave(self, reason: str) -> None:
        """Begin the planned stop."""
        if not self.node.leave.is_leaving:
            log_event("leaving", reason=reason, running=self._callers.running)
        self.node.leave.begin(monotonic())
        self._callers.note_leaving()

    def reload(self) -> None:
        """Read the settings file again, and take what a running process can take."""
        if self._file is None:
            return
        read = self._file.read()
        if read.is_err():
            problems = "; ".join(read.unwrap_err().problems)
            log_event("reload_refused", path=str(self._file.path), problems=problems)
            return
        change = SettingsChange.between(self.settings, read.unwrap())
        self._take(read.unwrap())
        log_event(
            "reloaded",
            path=str(self._file.path),
            taken=",".join(change.live),
            at_next_start=",".join(change.at_start),
        )

    def _take(self, new: DaemonSettings) -> None:
        taken = {name: getattr(new, name) for name in LIVE_SECTIONS}
        self.settings = evolve(self.settings, **taken)
        self._callers.settings = self.settings
        self._callers.requests.settings = self.settings
        self._operators.settings = self.settings
        self._sealer.use(_keys_of(new))
        reader = self._callers.requests.reader
        reader.sealer = IdentitySealer(keys=_keys_of(new))
        reader.max_key_age_s = _max_key_age_s(new)
        membership = self.node.membership
        membership.options = evolve(membership.options, seeds=tuple(new.peers))

    async def _follow_settings(self) -> None:
        """Read the settings file again when it has changed without a signal."""
        while True:
            await sleep(SETTINGS_PERIOD_S)
            if self._file is not None and self._file.has_changed():
                self.reload()

    async def run(self) -> None:
        """Run until the planned stop is complete."""
        async with TaskGroup(wait=any) as group:
            await group.spawn(self._ticker.run)
            await group.spawn(self._lists.run)
            await group.spawn(self._configurations.run)
            await group.spawn(self._drop_stale_connections)
            await group.spawn(self._presence.run)
            await group.spawn(self._quarantine.run)
            await group.spawn(self._follow_settings)
        _ = group.result

    async def _tell(self, news: list[SendToPeer]) -> None:
        """Send news to other entry VMs."""
        await self._effects.perform([*news])

    async def _drop_stale_connections(self) -> None:
        while True:
            await sleep(STALE_PERIOD_S)
            await self._pool.discard_stale()

    def _dump_shells(self) -> dict[str, Any]:
        dumped = dump_shells(
            listener=self._callers,
            pool=self._pool,
            peers=self._peers,
            platform=self._platform,
            claims=self._claims,
            supervisor=self._supervisor,
        )
        return {**dumped, **dump_measures(self._measures)}


def _max_key_age_s(settings: DaemonSettings) -> float:
    return settings.quotas.max_key_age_ms / 1000 or math.inf


def _keys_of(settings: DaemonSettings) -> list[bytes]:
    return [bytes.fromhex(key) for key in settings.secrets.peer_keys]
