"""Creates what serves requests of callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from plankspindle_daemon.admission.identity_signer import IdentitySigner
from plankspindle_daemon.listeners.idempotency_checker import IdempotencyChecker
from plankspindle_daemon.listeners.request_resolver import RequestResolver
from plankspindle_daemon.listeners.request_service import RequestService
from plankspindle_daemon.listeners.runner_factory import RunnerFactory
from plankspindle_daemon.traces.request_trace_log import RequestTraceLog

if TYPE_CHECKING:
    from random import Random

    from plankspindle_daemon.exchange.dialect import Dialect
    from plankspindle_daemon.idempotency.claim_store import ClaimStore
    from plankspindle_daemon.node.dispatch_runner import DispatchRunner
    from plankspindle_daemon.node.effect_runner import EffectRunner
    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.node.pause_monitor import PauseMonitor
    from plankspindle_daemon.node.quota_runner import QuotaRunner
    from plankspindle_daemon.observability.request_metrics import RequestMetrics
    from plankspindle_daemon.quarantine.crash_detector import CrashDetector
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings
    from plankspindle_daemon.upstreams.connection_pool import ConnectionPool


def make_request_service(
    settings: DaemonSettings,
    *,
    node: Node,
    dispatch: DispatchRunner,
    quotas: QuotaRunner,
    pool: ConnectionPool,
    claims: ClaimStore,
    crash_detector: CrashDetector,
    pause_monitor: PauseMonitor,
    effects: EffectRunner,
    dialect: Dialect,
    has_native_api: bool,
    metrics: RequestMetrics,
    random: Random,
) -> RequestService:
    """Create what serves requests of callers.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    node, dispatch, quotas : Node, DispatchRunner, QuotaRunner
        State of this VM, and what assigns upstreams and tokens.
    pool : ConnectionPool
        Connections to upstreams and other entry VMs.
    claims : ClaimStore
        Claims of idempotency keys.
    crash_detector : CrashDetector
        Records crashes of upstreams during requests.
    pause_monitor : PauseMonitor
        Detects that the process was paused.
    effects : EffectRunner
        Sends messages to other entry VMs.
    dialect : Dialect
        Header names.
    has_native_api : bool
        Whether callers can name a service in the path.
    metrics : RequestMetrics
        Request counters.
    random : Random
        Source of random choices.
    """
    resolver = RequestResolver(
        node=node,
        dialect=dialect,
        signer=IdentitySigner(keys=peer_keys(settings)),
        has_native_api=has_native_api,
        max_key_age_s=max_key_age_s(settings),
    )
    return RequestService(
        settings=settings,
        node=node,
        runners=RunnerFactory(
            vm=settings.vm,
            node=node,
            dispatch=dispatch,
            quotas=quotas,
            pool=pool,
            resolver=resolver,
            dialect=dialect,
            crash_detector=crash_detector,
        ),
        idempotency_checker=IdempotencyChecker(node=node, claims=claims, random=random),
        metrics=metrics,
        resolver=resolver,
        dialect=dialect,
        trace_log=RequestTraceLog(vm=settings.vm),
        pause_monitor=pause_monitor,
        effects=effects,
    )


def max_key_age_s(settings: DaemonSettings) -> float:
    """Return for how long API keys are accepted without the platform, in seconds."""
    return settings.quotas.max_key_age_ms / 1000 or math.inf


def peer_keys(settings: DaemonSettings) -> list[bytes]:
    """Return the keys of the messages between entry VMs."""
    return [bytes.fromhex(key) for key in settings.secrets.peer_keys]
