"""JSON answers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange


async def answer_json(source: ServerExchange, status: int, content: Any) -> None:
    """Answer an exchange with a status and a JSON document."""
    headers = [(b"content-type", b"application/json")]
    body = json.dumps(content).encode()
    await source.answer(status=status, headers=headers, body=body)
