"""HTTP client of the platform."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from urllib.parse import quote
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from plankspindle_core.http.fetch import HttpAnswer
from plankspindle_core.http.fetch import fetch
from plankspindle_core.read_json import read_json
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.bounded_calls import CallKind
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import parse_live_list
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import Row

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_core.http.errors import HttpError
    from plankspindle_daemon.platform.table import Transaction
    from plankspindle_daemon.versions.store_version import StoreVersion

Parsed = TypeVar("Parsed")
_COMMIT_TARGET = "/table/commit"
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


class PlatformClient:
    """Client of the platform's table service, object store and list of VMs.

    Parameters
    ----------
    endpoint : Endpoint
        Address of the platform's service.
    timeout_s : float
        Timeout of one call, in seconds.

    Attributes
    ----------
    calls : BoundedCalls
        Limits and counters of all calls.
    """

    def __init__(self, *, endpoint: Endpoint, timeout_s: float) -> None:
        self.endpoint = endpoint
        self.calls = BoundedCalls(timeout_s=timeout_s)
        self._list_unavailable_at: float | None = None

    async def read_row(self, key: str) -> Result[Row, PlatformUnavailable]:
        """Read one row; a row that does not exist has version ``ABSENT``."""
        answer = await self._call("GET", f"/table/{quote(key, safe='')}")
        if answer.is_err():
            return Err(answer.unwrap_err())
        if answer.unwrap().status == _NOT_FOUND:
            return Ok(Row(key=key, version=ABSENT))
        return self._parse_answer(answer.unwrap(), lambda found: _row(key, found))

    async def read_rows(
        self, keys: list[str]
    ) -> Result[dict[str, Row], PlatformUnavailable]:
        """Read several rows with one call.

        Parameters
        ----------
        keys : list of str
            Keys of the rows.

        Returns
        -------
        Result
            The row of each key, or why there is none.
        """
        answer = await self._call("POST", "/table/read", {"keys": keys})
        if answer.is_err():
            return Err(answer.unwrap_err())
        return self._parse_answer(
            answer.unwrap(),
            lambda found: {key: _row(key, found["rows"][key]) for key in keys},
        )

    async def read_range(
        self, *, prefix: str, after: str, limit: int
    ) -> Result[list[Row], PlatformUnavailable]:
        """Read rows in the order of their keys.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str
            Key after which the range begins.
        limit : int
            Largest number of rows to read.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        answer = await self._call("GET", f"/table?{query}")
        if answer.is_err():
            return Err(answer.unwrap_err())
        return self._parse_answer(
            answer.unwrap(),
            lambda found: [_row(str(row["key"]), row) for row in found["rows"]],
        )

    async def commit(
        self, transaction: Transaction
    ) -> Result[None, ConditionFailed | PlatformUnavailable]:
        """Commit a transaction.

        Returns
        -------
        Result
            Nothing if it took effect; :class:`ConditionFailed` if it did not; after
            :class:`PlatformUnavailable` it is not known whether it took effect.
        """
        body = {
            "writes": [
                {
                    "key": write.key,
                    "expected_version": write.expected_version,
                    "value": write.value,
                }
                for write in transaction.writes
            ]
        }
        answer = await self._call("POST", _COMMIT_TARGET, body)
        if answer.is_err():
            return Err(answer.unwrap_err())
        if answer.unwrap().status != _CONFLICT:
            return self._parse_answer(answer.unwrap(), lambda _: None)
        failed = self._parse_answer(
            answer.unwrap(),
            lambda found: tuple(str(key) for key in found["failed"]),
            accepted=_CONFLICT,
        )
        if failed.is_err():
            return Err(failed.unwrap_err())
        return Err(ConditionFailed(failed.unwrap()))

    async def put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformUnavailable]:
        """Store an object; names are digests, so storing it twice is harmless."""
        answer = await self._call("PUT", f"/objects/{name}", content)
        if answer.is_err():
            return Err(answer.unwrap_err())
        return self._parse_answer(answer.unwrap(), lambda _: None)

    async def get_object(self, name: str) -> Result[bytes | None, PlatformUnavailable]:
        """Read an object; None if there is no object with that name."""
        answer = await self._call("GET", f"/objects/{name}")
        if answer.is_err():
            return Err(answer.unwrap_err())
        match answer.unwrap().status:
            case 200:
                return Ok(answer.unwrap().body)
            case 404:
                return Ok(None)
            case status:
                return Err(PlatformUnavailable(f"status {status}"))

    @property
    def long_poll_s(self) -> float | None:
        """Default long-poll wait for a change of the list, in seconds.

        None if the platform does not support waiting for changes.
        """
        return None

    @property
    def list_unavailable_at(self) -> float | None:
        """Start of the last read of the list that found the platform unavailable.

        Monotonic seconds; None if there was none. Only reads over new connections
        count: an idle connection may have failed silently long before, while the
        platform was available.
        """
        return self._list_unavailable_at

    @property
    def unreadable_names(self) -> frozenset[str]:
        """Names of VMs in the list whose entries exist but are unreadable."""
        return frozenset()

    @property
    def list_version(self) -> StoreVersion | None:
        """Version of the last read list; None if the platform has no versions."""
        return None

    def apply_list_change(
        self, *, version: StoreVersion, changed: Iterable[ListedVm], gone: Iterable[str]
    ) -> list[ListedVm]:
        """Apply a change of the list received from another VM; return the new list.

        Parameters
        ----------
        version : StoreVersion
            Version of the list after the change.
        changed : iterable of ListedVm
            Upstreams that are new or have changed.
        gone : iterable of str
            Names of upstreams that are no longer listed.
        """
        raise NotImplementedError("this platform's list has no versions")

    async def read_live_list(
        self, wait_s: float | None = None
    ) -> Result[list[ListedVm], PlatformUnavailable]:
        """Read the platform's list of live and leaving VMs.

        Parameters
        ----------
        wait_s : float, optional
            Longest time to wait for a change, if the platform supports that; the
            client's default if not given.
        """
        del wait_s
        began = monotonic()
        answer = await self._call("GET", "/vms")
        if answer.is_err():
            if answer.unwrap_err().tried:
                self._list_unavailable_at = began
            return Err(answer.unwrap_err())
        document = self._parse_answer(answer.unwrap(), lambda found: found)
        return document.and_then(parse_live_list)

    async def _call(
        self, method: str, target: str, body: Any = b""
    ) -> Result[HttpAnswer, PlatformUnavailable]:
        is_write = method == "PUT" or target == _COMMIT_TARGET
        kind = CallKind.WRITE if is_write else CallKind.READ
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        return await self.calls.make(kind, self._fetch, method, target, content)

    async def _fetch(
        self, method: str, target: str, content: bytes
    ) -> Result[HttpAnswer, HttpError]:
        return await fetch(
            self.endpoint,
            method=method,
            target=target,
            body=content,
            timeout_s=self.calls.timeout_s,
        )

    def _parse_answer(
        self,
        answer: HttpAnswer,
        parse: Callable[[Any], Parsed],
        accepted: int = _OK,
    ) -> Result[Parsed, PlatformUnavailable]:
        """Parse the JSON body of an answer; a malformed one counts as unavailable."""
        if answer.status != accepted:
            return Err(PlatformUnavailable(f"status {answer.status}"))
        try:
            return Ok(parse(read_json(answer.body or b"{}")))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return Err(PlatformUnavailable(f"malformed answer: {error!r}"))


def _row(key: str, found: Any) -> Row:
    return Row(key=key, version=int(found["version"]), value=found["value"])
