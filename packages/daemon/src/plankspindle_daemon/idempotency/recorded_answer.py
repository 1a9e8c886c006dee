"""Recorded answer, replayed to repeats of its request."""

from __future__ import annotations

import base64
from typing import Any

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.errors import Unreadable
from plankspindle_core.http.headers import HeaderList


@frozen(kw_only=True)
class RecordedAnswer:
    """Complete answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        Headers without the hop-by-hop ones.
    body : bytes
        The complete body.
    """

    status: int
    headers: HeaderList
    body: bytes

    def to_mapping(self) -> dict[str, Any]:
        """Return the mapping that is stored in the table service."""
        return {
            "status": self.status,
            "headers": [
                [key.decode("latin-1"), value.decode("latin-1")]
                for key, value in self.headers
            ],
            "body": base64.b64encode(self.body).decode(),
        }


def answer_from_mapping(mapping: Any) -> Result[RecordedAnswer, Unreadable]:
    """Decode a mapping from the table service."""
    try:
        return Ok(
            RecordedAnswer(
                status=int(mapping["status"]),
                headers=[
                    (key.encode("latin-1"), value.encode("latin-1"))
                    for key, value in mapping["headers"]
                ],
                body=base64.b64decode(mapping["body"], validate=True),
            )
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        return Err(Unreadable(repr(error)))


def build_recorded_answer(
    status: int, headers: HeaderList, chunks: list[bytes] | None
) -> RecordedAnswer | None:
    """Build the record of a relayed answer.

    Parameters
    ----------
    status : int
        Its status.
    headers : list of (bytes, bytes)
        Its headers.
    chunks : list of bytes, optional
        Its body; None if it is too long to be kept.
    """
    if chunks is None:
        return None
    kept_headers = [
        each for each in headers if each[0] not in (b"content-length", b"date")
    ]
    return RecordedAnswer(status=status, headers=kept_headers, body=b"".join(chunks))
