"""Client of the operator listener of a daemon."""

from __future__ import annotations

import getpass
import json
from typing import Any

import curio
from attrs import frozen
from result import Err
from result import Ok
from result import Result

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.errors import ConnectFailed
from plankspindle_core.http.fetch import fetch

TIMEOUT_S = 30.0
_FIRST_ERROR = 400


@frozen(kw_only=True)
class ApiError:
    """Failed call to the operator listener.

    Parameters
    ----------
    status : int
        HTTP status; zero if there was no answer.
    message : str
        Error message, with what the operator can do if that is known.
    problems : tuple of str
        The single problems if there are several, such as of a configuration.
    """

    status: int
    message: str
    problems: tuple[str, ...] = ()


@frozen(kw_only=True)
class OperatorApi:
    """Client of one daemon's operator listener.

    Parameters
    ----------
    endpoint : Endpoint
        Address of the listener.
    token : str, optional
        Operator token.
    """

    endpoint: Endpoint
    token: str | None = None

    def get(self, target: str) -> Result[Any, ApiError]:
        """Read a resource."""
        return self._call("GET", target, b"")

    def post(self, target: str, content: Any) -> Result[Any, ApiError]:
        """Send a JSON document to a resource."""
        return self._call("POST", target, json.dumps(content).encode())

    def _call(self, method: str, target: str, body: bytes) -> Result[Any, ApiError]:
        headers = [(b"plankspindle-operator", getpass.getuser().encode())]
        if self.token:
            headers.append((b"authorization", b"Bearer " + self.token.encode()))
        answer = curio.run(self._fetch, method, target, headers, body)
        if answer.is_err():
            error = answer.unwrap_err()
            advice = f"no answer from {self.endpoint} ({error})"
            if isinstance(error, ConnectFailed):
                advice += "; is the daemon running there?"
            return Err(ApiError(status=0, message=advice))
        return _read(answer.unwrap().status, answer.unwrap().body)

    async def _fetch(self, method: str, target: str, headers: Any, body: bytes) -> Any:
        return await fetch(
            self.endpoint,
            method=method,
            target=target,
            headers=headers,
            body=body,
            timeout_s=TIMEOUT_S,
        )


def _read(status: int, body: bytes) -> Result[Any, ApiError]:
    try:
        content = json.loads(body)
    except ValueError:
        return Err(ApiError(status=status, message=body.decode(errors="replace")))
    if status < _FIRST_ERROR:
        return Ok(content)
    return Err(
        ApiError(
            status=status,
            message=str(content.get("error", "refused")),
            problems=tuple(content.get("problems", ())),
        )
    )
