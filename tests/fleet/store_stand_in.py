"""In-memory stand-in of the platform's store, with conditional writes and faults."""

from __future__ import annotations

import json
from itertools import count
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

import curio
from attrs import frozen
from builders import build_row
from builders import wire_row

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.loopback_network import loopback_host

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

POLL_S = 0.02
_PORTS = count(18_400)
SERVER_DOCUMENT = {
    "address": "10.6.0.1:8080",
    "info": {"service": "desk", "config_version": "v1", "zone": "zone-b", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "1500ms"},
}


@frozen(kw_only=True)
class StoreCopy:
    """Rows of the store as of one transaction.

    Parameters
    ----------
    rows_by_key : dict
        Version and value of each row.
    removed_version_by_key : dict
        Versions at which rows were removed.
    version : int
        Number of the transaction.
    """

    rows_by_key: dict[tuple[str, str], tuple[int, str]]
    removed_version_by_key: dict[tuple[str, str], int]
    version: int


class StoreStandIn:
    """Rows in memory with conditional writes, and answers that may be lost.

    Attributes
    ----------
    requested_waits_ms : list of int
        Wait times of the long polls that were received.
    honours_waits : bool
        Whether the feed waits for a change as requested.
    rejects_writes : bool
        Whether transactions get 429.
    is_unresponsive : bool
        Whether new and waiting calls never get an answer; their connections stay open.
    vm_replaced_before_write : str or None
        Entry VM whose row changes just before each transaction.
    era : int or None
        Era that all answers name; None if they name none.
    told_time : object
        Time that answers about rows tell instead of the steady clock; ``...`` for the
        clock, None if they tell none.
    """

    def __init__(self) -> None:
        self.rows_by_key: dict[tuple[str, str], tuple[int, str]] = {}
        self.removed_version_by_key: dict[tuple[str, str], int] = {}
        self.version = 0
        self.oldest_version = 0
        self.page_rows = 500
        self.requested_waits_ms: list[int] = []
        self.honours_waits = False
        self.drops_answers = False
        self.delays_answers = False
        self.is_unresponsive = False
        self.rejects_writes = False
        self._silenced: set[Any] = set()
        self._connections: set[Any] = set()
        self.vm_replaced_before_write: str | None = None
        self.era: int | None = 1
        self.told_time: Any = ...

    def copy(self) -> StoreCopy:
        """Return a copy of all rows, to return from later."""
        return StoreCopy(
            rows_by_key=dict(self.rows_by_key),
            removed_version_by_key=dict(self.removed_version_by_key),
            version=self.version,
        )

    def return_from(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy, and begin another era."""
        self.rows_by_key = dict(copy.rows_by_key)
        self.removed_version_by_key = dict(copy.removed_version_by_key)
        self.version = copy.version
        self.oldest_version = min(self.oldest_version, copy.version)
        assert self.era is not None
        self.era += 1

    def era_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that all answers have."""
        return [] if self.era is None else [(b"store-era", str(self.era).encode())]

    async def handle(self, exchange: ServerExchange) -> None:
        body = await exchange.read_body(max_bytes=1_000_000) or b""
        path, _, query = exchange.target.partition("?")
        connection = exchange._socket
        self._connections.add(connection)
        is_lost = self.is_unresponsive or connection in self._silenced
        if self.delays_answers:
            await curio.sleep(1.0)
        if path == "/rows-tx":
            status, answer = self._transact(json.loads(body))
        else:
            fields = {key: each[0] for key, each in parse_qs(query).items()}
            status, answer = await self._read(path, fields)
        headers = self.era_headers()
        if self.is_unresponsive or is_lost or connection in self._silenced:
            await curio.Event().wait()
        if self.drops_answers:
            exchange.abort()
            return
        await exchange.answer(
            status=status, headers=headers, body=self.encode_answer(answer)
        )

    def encode_answer(self, answer: Any) -> bytes:
        """Encode an answer; those about rows tell the time as text with a unit."""
        if isinstance(answer, dict) and self.told_time is not None:
            is_told = self.told_time is not ...
            now = self.told_time if is_told else f"{int(monotonic() * 1000)}ms"
            answer = {**answer, "now": now}
        return json.dumps(answer).encode()

    def silence_connections(self) -> None:
        """Stop answering on all present connections; new ones work."""
        self._silenced |= self._connections

    def _transact(self, change: dict[str, Any]) -> tuple[int, Any]:
        if self.rejects_writes:
            return 429, {"error": "too many"}
        if self.vm_replaced_before_write is not None:
            self.put(
                "plankspindle-vms", self.vm_replaced_before_write, {"nonce": "new"}
            )
        for wanted in change["expected_revision"]:
            found = self.rows_by_key.get((wanted["table"], wanted["tls_key"]), (0, ""))
            if found[0] != wanted["schema_version"]:
                row = {"tls_key": wanted["tls_key"], "schema_version": found[0]}
                return 412, {"rows": [row]}
        self.version += 1
        for put in change["puts"]:
            row_key = (put["table"], put["tls_key"])
            self.rows_by_key[row_key] = (self.version, put["value"])
        for removal in change["remove"]:
            self.rows_by_key.pop((removal["table"], removal["tls_key"]), None)
        return 200, {"schema_version": self.version}

    async def _read(self, path: str, fields: dict[str, str]) -> tuple[int, Any]:
        if path == "/rows-feed":
            await self._wait(fields)
            return self._feed(fields)
        limit = min(int(fields["limit"]), self.page_rows)
        rows = [
            {"tls_key": key, "schema_version": version, "value": value}
            for (table, key), (version, value) in sorted(self.rows_by_key.items())
            if table == fields["table"]
            and key >= fields.get("from", "")
            and ("target_version" not in fields or key < fields["target_version"])
        ]
        truncated = len(rows) > limit
        page = {"rows": rows[:limit], "truncated": truncated}
        return 200, {**page, "schema_version": self.version}

    async def _wait(self, fields: dict[str, str]) -> None:
        """Wait for a change of a table, at most as long as requested."""
        self.requested_waits_ms.append(int(fields["wait_ms"]))
        wait_s = int(fields["wait_ms"]) / 1000 if self.honours_waits else 0.0
        end = monotonic() + wait_s
        while monotonic() < end and not self._feed(fields)[1].get("rows"):
            if self.is_unresponsive:
                await curio.Event().wait()
            await curio.sleep(POLL_S)

    def _feed(self, fields: dict[str, str]) -> tuple[int, Any]:
        after = int(fields["after"])
        if not self.oldest_version <= after <= self.version:
            return 410, {"error": "gone"}
        rows = [
            {"tls_key": key, "schema_version": version, "value": value}
            for (table, key), (version, value) in sorted(self.rows_by_key.items())
            if table == fields["table"] and version > after
        ]
        rows += [
            {"tls_key": key, "schema_version": version, "tombstone": True}
            for (table, key), version in self.removed_version_by_key.items()
            if table == fields["table"] and version > after
        ]
        return 200, {"rows": rows, "schema_version": self.version}

    def remove(self, table: str, key: str) -> None:
        self.version += 1
        del self.rows_by_key[table, key]
        self.removed_version_by_key[table, key] = self.version

    def put(self, table: str, key: str, document: Any) -> None:
        self.version += 1
        value = wire_row(build_row(key, self.version, document))["value"]
        self.removed_version_by_key.pop((table, key), None)
        self.rows_by_key[table, key] = (self.version, value)


def run_with_store(scenario: Callable[[StoreStandIn, Endpoint], Awaitable[Any]]) -> Any:
    endpoint = Endpoint(loopback_host(7, 1), next(_PORTS))
    store = StoreStandIn()

    async def run() -> Any:
        server = HttpServer(
            endpoint=endpoint, limits=HttpLimits(), handler=store.handle
        )
        await server.start()
        try:
            return await scenario(store, endpoint)
        finally:
            await server.close()

    return curio.run(run)
