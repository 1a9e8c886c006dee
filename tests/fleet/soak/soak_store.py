"""The platform's store in a soak: one listener per VM, and faults for some or all."""

from __future__ import annotations

import base64
import json
from collections import deque
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from attrs import frozen
from curio import sleep
from store_stand_in import StoreCopy
from store_stand_in import StoreStandIn

from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.steady_clock import monotonic
from plankspindle_platform.operator_reader import OPERATOR_TABLE

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_core.http.server_exchange import ServerExchange

POLL_S = 0.02
SLOW_S = (0.2, 1.5)
LOST_CALL_S = 30.0
"""Time after which the connection of a lost call is closed, above any wait, in s."""
MAX_COPIES = 64
"""Copies that are kept; taken each 0.25 s, they are up to 16 s old."""
ANSWER_S = 0.004
"""Duration of a call, as at the fleet's store, in seconds."""
WRITE_BLOCKING_KINDS = ("away", "held", "refused", "resets")
"""Faults during which the operator and upstreams write nothing."""


@frozen(kw_only=True, eq=False)
class StoreFault:
    """A fault of the store.

    Parameters
    ----------
    kind : str
        ``away``, ``held``, ``refused``, ``resets``, ``slow`` or ``loses``. All but
        ``refused`` also affect calls that are waiting.
    vms : frozenset of str
        Affected VMs; if empty, all VMs, the operator and upstreams.
    """

    kind: str
    vms: frozenset[str] = frozenset()


class SoakStore(StoreStandIn):
    """The store, which identifies calling VMs by the listener.

    Parameters
    ----------
    random : Random
        Source of random choices.
    """

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.faults: list[StoreFault] = []
        self.operator_writes_by_key: dict[str, Callable[[], Any]] = {}
        self._copies: deque[tuple[float, StoreCopy]] = deque(maxlen=MAX_COPIES)
        self._random = random
        self._servers: list[HttpServer] = []

    async def listen(self, vm: str, endpoint: Endpoint) -> None:
        """Start a listener for a VM."""
        server = HttpServer(
            endpoint=endpoint,
            limits=HttpLimits(idle_timeout_s=LOST_CALL_S),
            handler=partial(self.serve, vm),
        )
        await server.start()
        self._servers.append(server)

    async def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            await server.close()

    def has_fault(self, kind: str, vm: str) -> bool:
        """Return whether a kind of fault affects a VM now."""
        return any(
            each.kind == kind and (not each.vms or vm in each.vms)
            for each in self.faults
        )

    def keep_copy(self) -> None:
        """Keep a copy that the store may return from."""
        self._copies.append((monotonic(), self.copy()))

    def copy_of_age(self, age_s: float) -> StoreCopy:
        """Return the newest copy of at least an age, or the oldest one."""
        taken_before = monotonic() - age_s
        old_enough = [copy for at, copy in self._copies if at <= taken_before]
        return old_enough[-1] if old_enough else self._copies[0][1]

    def differs(self, table: str, key: str, document: Any) -> bool:
        """Return whether a row differs from a document; None stands for no row."""
        found = self.rows_by_key.get((table, key))
        if document is None or found is None:
            return (found is None) != (document is None)
        return bool(json.loads(base64.b64decode(found[1])) != document)

    def truncate_history(self) -> None:
        """Discard the history of changes so far."""
        self.oldest_version = self.version

    async def serve(self, vm: str, exchange: ServerExchange) -> None:
        """Answer a call of a VM, subject to the faults that affect the VM."""
        body = await exchange.read_body(max_bytes=1_000_000) or b""
        if self.has_fault("away", vm):
            await self._drop_call(exchange)
            return
        if self.has_fault("refused", vm):
            await self._refuse(exchange)
            return
        if self.has_fault("resets", vm):
            exchange.abort()
            return
        await self._slow_down(vm)
        is_lost = self.has_fault("loses", vm) and self._random.random() < 1 / 2
        if is_lost and self._random.random() < 1 / 2:
            exchange.abort()
            return
        result = await self._answer_for(vm, exchange.target, body)
        headers = self.era_headers()
        if result is None and self.has_fault("resets", vm):
            exchange.abort()
            return
        if result is None or is_lost:
            await (
                self._drop_call(exchange)
                if result is None
                else self._lose_answer(exchange)
            )
            return
        while self.has_fault("held", vm):
            await sleep(POLL_S)
        status, answer = result
        await exchange.answer(
            status=status, headers=headers, body=self.encode_answer(answer)
        )

    async def _answer_for(
        self, vm: str, target: str, body: bytes
    ) -> tuple[int, Any] | None:
        await sleep(ANSWER_S)
        if self._drops_calls(vm):
            return None
        path, _, query = target.partition("?")
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        fields = {key: each[0] for key, each in parse_qs(query).items()}
        if path == "/rows-feed" and not await self._wait_for(vm, fields):
            return None
        return await self._read(path, {**fields, "wait_ms": "0"})

    async def _wait_for(self, vm: str, fields: dict[str, str]) -> bool:
        """Wait for a change; False if the call is lost meanwhile."""
        end, checked_version = monotonic() + int(fields["wait_ms"]) / 1000, -1
        while monotonic() < end:
            if self._drops_calls(vm):
                return False
            if (
                checked_version != self.version
                or int(fields["after"]) < self.oldest_version
            ):
                checked_version = self.version
                status, found = self._feed(fields)
                if status != 200 or found["rows"]:
                    return True
            await sleep(POLL_S)
        return True

    def _drops_calls(self, vm: str) -> bool:
        """Return whether calls that were received get no answer."""
        return self.has_fault("away", vm) or self.has_fault("resets", vm)

    async def _slow_down(self, vm: str) -> None:
        if self.has_fault("slow", vm):
            await sleep(self._random.uniform(*SLOW_S))

    async def _refuse(self, exchange: ServerExchange) -> None:
        status = self._random.choice((503, 429, 0))
        if status:
            await exchange.answer(status=status, headers=self.era_headers(), body=b"{}")
        else:
            exchange.abort()

    async def _lose_answer(self, exchange: ServerExchange) -> None:
        if self._random.random() < 1 / 2:
            exchange.abort()
        else:
            await self._drop_call(exchange)

    async def _drop_call(self, exchange: ServerExchange) -> None:
        await sleep(LOST_CALL_S)
        exchange.abort()

    async def wait_until_back(self) -> None:
        """Wait until the operator and upstreams can write."""
        while any(self.has_fault(kind, "") for kind in WRITE_BLOCKING_KINDS):
            await sleep(POLL_S)

    def _newest(
        self, table: str, key: str, make: Callable[[], Any]
    ) -> Callable[[], Any]:
        """Return what makes a row now: the operator may have written it since."""
        if table != OPERATOR_TABLE:
            return make
        return self.operator_writes_by_key[key]

    async def write(self, table: str, key: str, make: Callable[[], Any]) -> float:
        """Write a row for the operator or an upstream, and retry until acknowledged.

        Parameters
        ----------
        table, key : str
            The row.
        make : callable
            Returns its content at the time of the write; None removes the row.

        Returns
        -------
        float
            Time of the acknowledgement, monotonic seconds.
        """
        if table == OPERATOR_TABLE:
            self.operator_writes_by_key[key] = make
        return await self.write_until_acknowledged(table, key, make)

    async def write_until_acknowledged(
        self, table: str, key: str, make: Callable[[], Any]
    ) -> float:
        """Write a row, or what the operator wrote there since; see :meth:`write`."""
        while True:
            await sleep(ANSWER_S)
            await self.wait_until_back()
            document = self._newest(table, key, make)()
            if document is not None:
                self.put(table, key, document)
            elif (table, key) in self.rows_by_key:
                self.remove(table, key)
            await self._slow_down("")
            if self.has_fault("loses", "") and self._random.random() < 1 / 2:
                continue
            return monotonic()
