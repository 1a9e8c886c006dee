"""The daemon: listeners, loops and machines of one process."""

from __future__ import annotations

import secrets
import signal
import socket as stdlib_socket
import time
import traceback
from random import Random
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

from curio import Event
from curio import TaskGroup
from curio import sleep
from curio import socket
from curio import spawn

from plankspindle_core.invariants import InvariantError
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.configuration.messages import ContentChunk
from plankspindle_daemon.configuration.messages import ContentRequest
from plankspindle_daemon.control.plan_store import PlanStore
from plankspindle_daemon.digests.messages import LoadDigest
from plankspindle_daemon.dispatch.dispatch_runner import DispatchRunner
from plankspindle_daemon.dispatch.messages import SlotsGranted
from plankspindle_daemon.headroom.messages import HeadroomGrant
from plankspindle_daemon.headroom.messages import HeadroomRequest
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.claim_sweeper import ClaimSweeper
from plankspindle_daemon.idempotency.gate import IdempotencyGate
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.leaving.leave import Left
from plankspindle_daemon.listeners.caller_listener import CallerListener
from plankspindle_daemon.listeners.operator_listener import OperatorListener
from plankspindle_daemon.listeners.request_reader import RequestReader
from plankspindle_daemon.listeners.request_service import RequestService
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership import MembershipOptions
from plankspindle_daemon.membership.messages import Heartbeat
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.effects import BeginLeaving
from plankspindle_daemon.node.effects import SendToPeer
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.observability.metrics import MetricsReader
from plankspindle_daemon.observability.metrics import RequestMetrics
from plankspindle_daemon.observability.state_dump import dump_shells
from plankspindle_daemon.platform.ports import Ports
from plankspindle_daemon.platform.ports import own_ports
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_daemon.upstreams.messages import SlotGrant
from plankspindle_daemon.upstreams.messages import SlotRequest
from plankspindle_daemon.wire.frame import FrameSealer

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.node.effects import NodeEffect
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings
    from plankspindle_daemon.wire.codec import PeerMessage

TICK_S = 0.05
STALE_PERIOD_S = 5.0
PRESENCE_PERIOD_S = 0.5
RETRY_LIST_MS = 1_000.0
LIST_VMS_PER_S = 50.0
"""Listed VMs that one node reads each second, about 5.5 kB."""
LAST_HEARTBEATS = 3
ID_MEMORY_S = 3_600.0
EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
EXIT_ADDRESS = 69


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
    """

    def __init__(
        self, *, settings: DaemonSettings, random: Random, ports: Ports | None = None
    ) -> None:
        self.settings = settings
        self._ports = ports or own_ports(settings)
        self._supervisor = Supervisor()
        self.node = _make_node(settings, random, self._ports)
        self._keys = FrameSealer(
            keys=[bytes.fromhex(key) for key in settings.secrets.peer_keys]
        )
        self._peers = PeerLink(
            endpoint=settings.listen.peer,
            sealer=self._keys,
            membership=self.node.membership,
            random=random,
            supervisor=self._supervisor,
        )
        self._platform = self._ports.platform
        self._reader = self._ports.reader
        self._dispatch = DispatchRunner(
            node=self.node, peers=self._peers, supervisor=self._supervisor
        )
        self._pool = ConnectionPool(
            max_per_endpoint=settings.requests.max_connections_per_upstream,
            connect_timeout_s=settings.timing.connect_timeout_ms / 1000,
        )
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
        self._metrics = MetricsReader(node=self.node, requests=requests)
        self._callers = CallerListener(
            settings=settings,
            supervisor=self._supervisor,
            node=self.node,
            requests=RequestService(
                settings=settings,
                node=self.node,
                dispatch=self._dispatch,
                pool=self._pool,
                gate=IdempotencyGate(
                    node=self.node, claims=self._claims, random=random
                ),
                metrics=requests,
                reader=RequestReader(node=self.node, dialect=self._ports.dialect),
                dialect=self._ports.dialect,
            ),
            metrics=requests,
        )
        self._doors = [make(self.node, self._supervisor) for make in self._ports.doors]
        self._operators = OperatorListener(
            settings=settings,
            supervisor=self._supervisor,
            node=self.node,
            plans=PlanStore(
                platform=self._platform,
                reader=ConfigurationReader(platform=self._platform),
                random=random,
                digests=self.node.digests,
            ),
            metrics=self._metrics,
            dump_shells=self._dump_shells,
        )
        self._list_task: Any = None
        self._last_tick = monotonic()

    async def start(self) -> None:
        """Open all listeners.

        Raises
        ------
        OSError
            If an address cannot be used.
        """
        await self._peers.start(self._receive)
        await self._callers.start()
        await self._operators.start()
        for door in self._doors:
            await door.start()
        await self._claims.start()
        await self._sweeper.start()
        log_event(
            "started",
            vm=self.settings.vm,
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
        log_event("stopped", vm=self.settings.vm)

    def leave(self, reason: str) -> None:
        """Begin the planned stop."""
        if not self.node.leave.is_leaving:
            log_event("leaving", reason=reason, running=self._callers.running)
        self.node.leave.begin(monotonic())
        self._callers.note_leaving()

    async def run(self) -> None:
        """Run until the planned stop is complete."""
        async with TaskGroup(wait=any) as group:
            await group.spawn(self._tick_until_left)
            await group.spawn(self._read_live_list)
            await group.spawn(self._read_configuration)
            await group.spawn(self._drop_stale_connections)
            await group.spawn(self._keep_present)
        _ = group.result

    async def _keep_present(self) -> None:
        """Enter this VM in the platform's list, and take it out once it leaves."""
        presence = self._ports.presence
        if presence is None:
            await _sleep_forever()
            return
        while not self.node.leave.is_leaving:
            if not presence.is_present and await presence.announce():
                log_event("announced")
            await sleep(self._jittered(PRESENCE_PERIOD_S * 1000))
        await presence.withdraw()
        await _sleep_forever()

    async def _tick_until_left(self) -> None:
        while True:
            await sleep(TICK_S)
            self._supervisor.check()
            now = monotonic()
            gap = now - self._last_tick
            self._last_tick = now
            if gap > self.settings.timing.pause_ms / 1000:
                log_event("paused", seconds=round(gap, 3))
                await self._read_list_anew()
                await self._perform(
                    self.node.wake_from_pause(now=now, wall=time.time())
                )
            await self._perform(self.node.tick(now=now, wall=time.time()))
            state = self.node.leave.advance(running=self._callers.running, now=now)
            if isinstance(state, Left):
                log_event("left", cut_off=state.cut_off)
                await self._send_last_heartbeats()
                return

    async def _read_list_anew(self) -> None:
        """Give up a read of the list that may have waited through a pause."""
        if self._list_task is not None and not self._list_task.terminated:
            await self._list_task.cancel(blocking=False)

    async def _send_last_heartbeats(self) -> None:
        for _ in range(LAST_HEARTBEATS):
            heartbeat = self.node.heartbeat(now=monotonic(), left=True)
            for endpoint in self.node.membership.peer_endpoints():
                await self._peers.send(heartbeat, endpoint)

    async def _read_live_list(self) -> None:
        while True:
            self._list_task = await spawn(self._platform.read_live_list, daemon=True)
            await self._list_task.wait()
            if self._list_task.cancelled:
                self.node.listed.note_failed()
                continue
            read = self._list_task.result
            if read.is_ok():
                event = LiveListRead(tuple(read.unwrap()))
                await self._perform(
                    self.node.take_membership(event, now=monotonic(), wall=time.time())
                )
                await sleep(self._jittered(self._list_period_ms()))
            else:
                self.node.listed.note_failed()
                await sleep(self._jittered(RETRY_LIST_MS))

    async def _drop_stale_connections(self) -> None:
        while True:
            await sleep(STALE_PERIOD_S)
            await self._pool.drop_stale()

    def _list_period_ms(self) -> float:
        """Stretch the period with the length of the list, which each reader pays."""
        listed = len(self.node.membership.listed_by_name)
        return self.settings.timing.live_list_ms * max(1.0, listed / LIST_VMS_PER_S)

    async def _read_configuration(self) -> None:
        while True:
            await sleep(self._jittered(self.settings.timing.configuration_ms))
            if not (self._ports.all_read or self.node.is_reader(monotonic())):
                continue
            read = await self._reader.read_newer(self.node.version)
            if read.is_ok():
                self.node.head.note_read(monotonic())
            else:
                log_event("configuration_unread", detail=read.unwrap_err().detail)
            newer = read.unwrap_or(None)
            if newer is not None:
                effects = self.node.adopt(
                    newer.configuration, version=newer.head.version, now=monotonic()
                )
                self._log_adopted(plan=newer.head.plan, source="platform")
                await self._perform(effects)

    def _log_adopted(self, *, plan: str, source: str) -> None:
        log_event(
            "configuration_adopted",
            version=self.node.version,
            plan=plan,
            source=source,
        )

    def _jittered(self, period_ms: float) -> float:
        return period_ms / 1000 * self.node.random.uniform(0.8, 1.2)

    async def _receive(self, message: PeerMessage, sender: Endpoint) -> None:
        match message:
            case Heartbeat():
                event = HeartbeatReceived(message)
                await self._perform(
                    self.node.take_membership(event, now=monotonic(), wall=time.time())
                )
            case SlotRequest():
                effects = self.node.take_slot_request(message, sender, monotonic())
                await self._perform(effects)
            case ContentRequest():
                await self._perform(self.node.take_content_request(message, sender))
            case ContentChunk():
                before = self.node.version
                effects = self.node.take_content_chunk(message, monotonic())
                if self.node.version != before:
                    self._log_adopted(plan="", source=message.sender)
                await self._perform(effects)
            case HeadroomRequest():
                await self._perform(
                    self.node.take_headroom_request(message, sender, monotonic())
                )
            case HeadroomGrant():
                self.node.headroom.grants.take_grant(message, monotonic())
            case LoadDigest():
                self.node.digests.take(message, monotonic())
            case SlotGrant():
                service = self.node.service_of(message.upstream)
                await self._dispatch.tell(service, SlotsGranted(message))

    async def _perform(self, effects: list[NodeEffect]) -> None:
        heartbeat = None
        for effect in effects:
            match effect:
                case SendHeartbeat(to=to):
                    heartbeat = heartbeat or self.node.heartbeat(now=monotonic())
                    await self._peers.send(heartbeat, to)
                case SendToPeer(message=message, to=to):
                    await self._peers.send(message, to)
                case BeginLeaving(reason=reason):
                    self.leave(reason)
                case _:
                    pass
        await self._dispatch.perform(effects)

    def _dump_shells(self) -> dict[str, Any]:
        return dump_shells(
            listener=self._callers,
            pool=self._pool,
            peers=self._peers,
            platform=self._platform,
            claims=self._claims,
        )


def _make_node(settings: DaemonSettings, random: Random, ports: Ports) -> Node:
    incarnation = random.getrandbits(64) or 1
    timing = settings.timing
    return Node(
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
                all_domains=ports.all_domains,
            )
        ),
        ids=IssuedIds(
            vm=settings.vm,
            incarnation=incarnation,
            secret=secrets.token_bytes(32),
            ttl_s=settings.requests.request_id_ttl_ms / 1000,
            memory_s=ID_MEMORY_S,
            max_remembered=settings.requests.max_remembered_ids,
        ),
        leave=Leave(leave_s=timing.leave_ms / 1000, linger_s=timing.linger_ms / 1000),
        needs_list=ports.lists_upstreams,
        probe_s=timing.probe_ms / 1000,
        started_at=monotonic(),
        settle_s=timing.suspect_after_ms / 1000,
    )


async def run_daemon(settings: DaemonSettings, ports: Ports | None = None) -> int:
    """Run a daemon until it has left.

    Parameters
    ----------
    settings : DaemonSettings
        Its settings.
    ports : Ports, optional
        The ways to the platform; the product's own interface if not given.

    Returns
    -------
    int
        Exit status of the process.
    """
    random = Random(secrets.randbits(128))
    daemon = Daemon(settings=settings, random=random, ports=ports)
    try:
        await daemon.start()
    except OSError as error:
        log_event("address_not_usable", error=str(error))
        await daemon.close()
        return EXIT_ADDRESS
    try:
        async with TaskGroup(wait=any) as group:
            await group.spawn(_leave_on_signal, daemon)
            await group.spawn(daemon.run)
        _ = group.result
    except InvariantError as error:
        log_event("invariant_broken", error=str(error))
        return EXIT_BROKEN_INVARIANT
    except Exception as error:
        log_event("crashed", error=repr(error), trace=traceback.format_exc())
        return EXIT_BROKEN_INVARIANT
    finally:
        await daemon.close()
    return EXIT_OK


async def _sleep_forever() -> None:
    await Event().wait()


async def _leave_on_signal(daemon: Daemon) -> None:
    """Wait for SIGTERM and SIGINT on a socket that the interpreter writes to."""
    reader, writer = stdlib_socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    async with socket.fromfd(
        reader.fileno(), stdlib_socket.AF_UNIX, stdlib_socket.SOCK_STREAM
    ) as wakeups:
        while True:
            await wakeups.recv(1)
            daemon.leave("signal")
