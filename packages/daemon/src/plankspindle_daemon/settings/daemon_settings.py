"""Settings of one daemon, read from a YAML file."""

from __future__ import annotations

import os

from attrs import Factory
from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.limits import HttpLimits
from plankspindle_daemon.leaving.leave import LINGER_S

MIN_PEER_KEY_HEX_DIGITS = 32
DEFAULT_LINGER_MS = int(LINGER_S * 1000)


@frozen(kw_only=True)
class ListenSettings:
    """Addresses of the listeners.

    Parameters
    ----------
    caller : Endpoint
        TCP address for callers.
    operator : Endpoint
        TCP address for operators, metrics and state dumps.
    peer : Endpoint
        UDP address for the other entry VMs.
    metrics : Endpoint, optional
        Additional TCP address that serves metrics without a token.
    """

    caller: Endpoint
    operator: Endpoint
    peer: Endpoint
    metrics: Endpoint | None = None


@frozen(kw_only=True)
class TimingSettings:
    """Periods and time limits, in milliseconds.

    Parameters
    ----------
    heartbeat_ms : int
        Period of heartbeats to each peer while they fit the byte budget.
    suspect_after_ms : int
        Time without a heartbeat after which a peer gets no forwarded requests.
    live_list_ms : int
        Period of reading the platform's list of VMs.
    configuration_ms : int
        Period of reading the head row of the configuration.
    probe_ms : int
        Period of reading an upstream's load report.
    platform_timeout_ms : int
        Answer timeout of the platform.
    watch_ms : int
        Long-poll timeout at a platform that reports changes; a call that the platform
        lost is detected after this plus ``platform_timeout_ms``.
    recovery_ms : int
        Time after a fault of the platform or of its connections within which this VM
        must have stopped using upstreams that are gone.
    shared_read_ms : int
        Period at which reader VMs read the platform on behalf of their failure domain;
        zero if every VM reads for itself. If the reader dies, a change is still read
        within 1.8 times this plus 0.3 s.
    connect_timeout_ms : int
        Timeout of connecting to an upstream.
    pause_ms : int
        Gap in the clock of the event loop from which on the process counts as paused.
    linger_ms : int
        Time after SIGTERM for which new requests are still accepted, until cached
        lookups expire.
    leave_ms : int
        Maximum time for running requests to finish after SIGTERM.
    """

    heartbeat_ms: int = field(default=500, validator=validators.gt(0))
    suspect_after_ms: int = field(default=2_000, validator=validators.gt(0))
    live_list_ms: int = field(default=1_000, validator=validators.gt(0))
    configuration_ms: int = field(default=500, validator=validators.gt(0))
    probe_ms: int = field(default=1_000, validator=validators.gt(0))
    platform_timeout_ms: int = field(default=1_000, validator=validators.gt(0))
    watch_ms: int = field(default=3_000, validator=validators.gt(0))
    recovery_ms: int = field(default=6_000, validator=validators.gt(0))
    shared_read_ms: int = field(default=0, validator=validators.ge(0))
    connect_timeout_ms: int = field(default=300, validator=validators.gt(0))
    pause_ms: int = field(default=1_000, validator=validators.gt(0))
    linger_ms: int = field(default=DEFAULT_LINGER_MS, validator=validators.ge(0))
    leave_ms: int = field(default=600_000, validator=validators.ge(0))


@frozen(kw_only=True)
class SecretSettings:
    """Keys shared between processes.

    Parameters
    ----------
    peer_keys : list of str
        Keys of the messages between entry VMs, in hexadecimal. The first signs; all
        are accepted, so that keys can be rotated.
    operator_token : str, optional
        Bearer token of the operator listener. Optional on loopback only.
    """

    peer_keys: list[str]
    operator_token: str | None = None


@frozen(kw_only=True)
class RequestSettings:
    """Limits on requests and on their records.

    Parameters
    ----------
    max_keyed_body_bytes : int
        Maximum body size of a request with an idempotency key or a request id.
    max_recorded_answer_bytes : int
        Maximum size of an answer that is recorded for replay.
    max_remembered_ids : int
        Maximum number of issued ids in memory.
    request_id_ttl_ms : int
        Time for which an issued id is valid.
    max_connections_per_upstream : int
        Maximum number of open connections to one upstream.
    max_upstream_connections : int
        Maximum number of open connections to all upstreams and other entry VMs.
    max_idle_unrepeatable_ms : int
        Maximum idle time of a connection that is reused for a request that is not
        idempotent; such requests always get new connections if it is zero.
    hold_answer_bytes : int
        Answers of up to this size are buffered until they are complete.
    max_upload_stall_ms : int
        Time without a byte after which an upload gives way to a request that waits for
        an upstream.
    """

    max_keyed_body_bytes: int = field(default=1_048_576, validator=validators.gt(0))
    max_recorded_answer_bytes: int = field(default=32_768, validator=validators.gt(0))
    max_remembered_ids: int = field(default=50_000, validator=validators.gt(0))
    request_id_ttl_ms: int = field(default=600_000, validator=validators.gt(0))
    max_connections_per_upstream: int = field(default=200, validator=validators.gt(0))
    max_upstream_connections: int = field(default=2_000, validator=validators.gt(0))
    max_idle_unrepeatable_ms: int = field(default=0, validator=validators.ge(0))
    hold_answer_bytes: int = field(default=16_384, validator=validators.ge(0))
    max_upload_stall_ms: int = field(default=1_000, validator=validators.gt(0))


@frozen(kw_only=True)
class MemorySettings:
    """Memory that callers may make the process hold.

    Parameters
    ----------
    limit_mb : int, optional
        Memory that the process may take, in MB; that of the machine if not given.
    callers_percent : int
        Part of it for bodies, buffers and queues of all callers together, in percent.
        The rest is for the process itself and what the allocator leaves unused.
    """

    limit_mb: int | None = field(
        default=None, validator=validators.optional(validators.gt(0))
    )
    callers_percent: int = field(
        default=25, validator=[validators.gt(0), validators.le(100)]
    )

    @property
    def callers_bytes(self) -> int:
        """Memory for all callers together, in bytes."""
        total = machine_memory_bytes()
        if self.limit_mb is not None:
            total = self.limit_mb * 1_000_000
        return total * self.callers_percent // 100


def machine_memory_bytes() -> int:
    """Return the memory of the machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


@frozen(kw_only=True)
class QuotaSettings:
    """Limits on the quotas of workspaces.

    Parameters
    ----------
    slack_requests : float
        Requests of a workspace that all entry VMs together may admit beyond its burst,
        so that small workspaces are not refused below their quota.
    max_key_age_ms : int
        Time without an update from the platform after which a VM no longer accepts API
        keys, since they may have been revoked; unlimited if zero.
    """

    slack_requests: float = field(default=0.0, validator=validators.ge(0))
    max_key_age_ms: int = field(default=0, validator=validators.ge(0))


@frozen(kw_only=True)
class RolloutSettings:
    """Bounds on roll-outs of software versions.

    Parameters
    ----------
    enabled : bool
        Whether upstreams get requests by their software version. If not, all upstreams
        of a service do, whatever version they run.
    exposure_share, exposure_slack : float
        Requests that a bad version may get between its order and the deadline, summed
        over all entry VMs: this share of all requests of the service, and this many.
    rollback_ms : int
        Time after a bad version's fiftieth bad answer from which it must get nothing.
    """

    enabled: bool = False
    exposure_share: float = field(
        default=0.1, validator=[validators.gt(0), validators.le(1)]
    )
    exposure_slack: float = field(default=50.0, validator=validators.ge(0))
    rollback_ms: int = field(default=5_000, validator=validators.gt(0))


@frozen(kw_only=True)
class DaemonSettings:
    """All settings of one daemon.

    Parameters
    ----------
    vm : str
        Name of the entry VM.
    failure_domain : str
        Failure domain of the VM.
    listen : ListenSettings
        Addresses of its listeners.
    platform : Endpoint
        Address of the platform.
    secrets : SecretSettings
        Keys and tokens.
    peers : list of Endpoint
        Peer addresses that get heartbeats independently of the list of VMs.
    timing : TimingSettings
        Periods and time limits.
    requests : RequestSettings
        Limits on requests.
    http : HttpLimits
        Limits of the caller listener.
    memory : MemorySettings
        Memory for callers.
    quotas : QuotaSettings
        Limits on quotas of workspaces.
    rollouts : RolloutSettings
        Bounds on roll-outs of software versions.
    """

    vm: str
    failure_domain: str
    listen: ListenSettings
    platform: Endpoint
    secrets: SecretSettings
    peers: list[Endpoint] = Factory(list)
    timing: TimingSettings = Factory(TimingSettings)
    requests: RequestSettings = Factory(RequestSettings)
    http: HttpLimits = Factory(HttpLimits)
    memory: MemorySettings = Factory(MemorySettings)
    quotas: QuotaSettings = Factory(QuotaSettings)
    rollouts: RolloutSettings = Factory(RolloutSettings)

    def problems(self) -> list[str]:
        """Return the problems that the types of single keys do not rule out.

        Returns
        -------
        list of str
            One line for each problem, beginning with the path of the key.
        """
        found = []
        if self.listen.caller == self.listen.operator:
            found.append(
                f"listen.operator: {self.listen.operator} is already listen.caller;"
                " give it another port"
            )
        if self.listen.metrics in (self.listen.caller, self.listen.operator):
            found.append(
                f"listen.metrics: {self.listen.metrics} is already another listener's;"
                " give it another port, or leave it out: listen.operator has metrics,"
                " too"
            )
        if not self.secrets.peer_keys:
            found.append("secrets.peer_keys: name at least one key")
        for index, key in enumerate(self.secrets.peer_keys):
            if not _is_key(key):
                found.append(
                    f"secrets.peer_keys[{index}]: write at least"
                    f" {MIN_PEER_KEY_HEX_DIGITS} hexadecimal digits"
                )
        if not self.secrets.operator_token and not _is_loopback(self.listen.operator):
            found.append(
                "secrets.operator_token: set a token; only a listener on loopback may"
                " go without"
            )
        return found


def _is_key(text: str) -> bool:
    try:
        return len(bytes.fromhex(text)) * 2 >= MIN_PEER_KEY_HEX_DIGITS
    except ValueError:
        return False


def _is_loopback(endpoint: Endpoint) -> bool:
    return endpoint.host.startswith("127.") or endpoint.host == "::1"
