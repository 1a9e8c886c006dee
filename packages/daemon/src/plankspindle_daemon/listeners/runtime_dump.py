"""Counters of listeners, connections and clients, as plain JSON values."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from plankspindle_daemon.platform.bounded_calls import CallKind

if TYPE_CHECKING:
    from plankspindle_core.http.memory_budget import MemoryBudget
    from plankspindle_core.supervisor import Supervisor
    from plankspindle_daemon.idempotency.claim_store import ClaimStore
    from plankspindle_daemon.listeners.caller_listener import CallerListener
    from plankspindle_daemon.membership.peer_link import PeerLink
    from plankspindle_daemon.platform.platform_client import PlatformClient
    from plankspindle_daemon.upstreams.connection_pool import ConnectionPool


def dump_runtime(
    *,
    listener: CallerListener,
    pool: ConnectionPool,
    peers: PeerLink,
    platform: PlatformClient,
    claims: ClaimStore,
    supervisor: Supervisor,
    budget: MemoryBudget,
) -> dict[str, Any]:
    """Return the counters of listeners, connections and clients for the state dump."""
    return {
        "errors_contained": supervisor.contained_errors,
        "callers": {
            "connections": listener.connections,
            "running": listener.running,
            "refused": listener.refused,
            "held_bytes": budget.held_bytes,
            "shed": budget.shed,
        },
        "connections": {
            "open": pool.open_connections,
            "opened": pool.opened,
            "reused": pool.reused,
            "found_dirty": pool.found_dirty,
        },
        "peers": {
            "bytes_sent": peers.bytes_sent,
            "bytes_received": peers.bytes_received,
            "dropped": dict(peers.dropped_by_reason),
        },
        "platform": {
            "available": platform.calls.available,
            "failure": platform.calls.last_failure,
            "era": platform.calls.era.number,
            "returns_from_copy": platform.calls.era.returns,
            "reads": platform.calls.calls_by_kind[CallKind.READ],
            "writes": platform.calls.calls_by_kind[CallKind.WRITE],
            "refused_by_budget": platform.calls.refused_by_budget,
            "refused_by_breaker": platform.calls.refused_by_breaker,
        },
        "claims": {
            "unclosed": len(claims.unclosed_by_nonce),
            "dropped_closings": claims.dropped_closings,
            "written_again": claims.restorer.written,
            "run_elsewhere": claims.restorer.run_elsewhere,
            "forgotten": claims.recent.forgotten,
        },
    }
