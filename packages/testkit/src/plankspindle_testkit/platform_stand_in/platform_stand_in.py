"""HTTP server of the platform stand-in."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

from attrs import define
from attrs import field
from curio import sleep

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_testkit.platform_stand_in.faults import Faults
from plankspindle_testkit.platform_stand_in.table_store import TableStore

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange

MAX_BODY_BYTES = 64 * 1024 * 1024


@define(kw_only=True)
class PlatformStandIn:
    """Table service, object store and list of VMs, with faults set by tests.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.

    Attributes
    ----------
    vms : list of dict
        The list of VMs; only tests change it.
    calls_by_kind : Counter of str
        Numbers of reads and writes, to be compared with the platform's limits.
    """

    endpoint: Endpoint
    table: TableStore = field(factory=TableStore)
    objects_by_name: dict[str, bytes] = field(factory=dict)
    vms: list[dict[str, Any]] = field(factory=list)
    faults: Faults = field(factory=Faults)
    calls_by_kind: Counter[str] = field(factory=Counter)
    _server: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.endpoint, limits=HttpLimits(), handler=self._handle
        )

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, source: ServerExchange) -> None:
        body = await source.read_body(max_bytes=MAX_BODY_BYTES) or b""
        if source.target == "/control":
            await self._control(source, body)
            return
        if self.faults.down:
            await source.answer(status=503)
            return
        path, _, query = source.target.partition("?")
        is_write = (source.method, path) == ("POST", "/table/commit")
        is_write = is_write or source.method == "PUT"
        self.calls_by_kind["writes" if is_write else "reads"] += 1
        if (source.method, path) == ("GET", "/table"):
            status, content = 200, self._read_range(parse_qs(query))
        else:
            status, content = self._serve(source.method, path, body)
        if self.faults.delay_ms:
            await sleep(self.faults.delay_ms / 1000)
        if is_write and self.faults.consume_lost_answer():
            source.abort()
            return
        await source.answer(status=status, body=content)

    def _read_range(self, fields: dict[str, list[str]]) -> bytes:
        prefix, after = fields["prefix"][0], fields["after"][0]
        keys = sorted(
            key
            for key in self.table.rows_by_key
            if key.startswith(prefix) and key > after
        )
        page = keys[: int(fields["limit"][0])]
        rows = [{"key": key, **_row_mapping(self.table, key)} for key in page]
        return _json({"rows": rows})

    def _serve(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        match method, path:
            case "GET", "/vms":
                return 200, _json({"vms": self.vms})
            case "POST", "/table/read":
                keys = json.loads(body)["keys"]
                rows = {key: _row_mapping(self.table, key) for key in keys}
                return 200, _json({"rows": rows})
            case "POST", "/table/commit":
                failed = self.table.commit(json.loads(body)["writes"])
                return (409, _json({"failed": failed})) if failed else (200, b"{}")
            case "GET", _ if path.startswith("/table/"):
                key = unquote(path.removeprefix("/table/"))
                found = _row_mapping(self.table, key)
                return (200 if found["version"] else 404), _json(found)
            case "PUT", _ if path.startswith("/objects/"):
                self.objects_by_name[path.removeprefix("/objects/")] = body
                return 200, b"{}"
            case "GET", _ if path.startswith("/objects/"):
                content = self.objects_by_name.get(path.removeprefix("/objects/"))
                return (404, b"") if content is None else (200, content)
            case _:
                return 404, b""

    async def _control(self, source: ServerExchange, body: bytes) -> None:
        requested = json.loads(body or b"{}")
        if "vms" in requested:
            self.vms = requested["vms"]
        if "faults" in requested:
            self.faults = Faults(**requested["faults"])
        counts = {
            "calls": dict(self.calls_by_kind),
            "rows": len(self.table.rows_by_key),
        }
        await source.answer(status=200, body=_json(counts))


def _row_mapping(table: TableStore, key: str) -> dict[str, Any]:
    row = table.read(key)
    return {"version": row.version, "value": row.value}


def _json(content: Any) -> bytes:
    return json.dumps(content).encode()
