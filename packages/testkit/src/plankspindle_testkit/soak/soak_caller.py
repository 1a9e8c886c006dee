"""Caller that opens a connection for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from curio import sleep

from plankspindle_core import header_names
from plankspindle_core.http.fetch import fetch
from plankspindle_core.outcome import Outcome
from plankspindle_testkit.soak.layout import SERVICE
from plankspindle_testkit.soak.layout import TIMEOUT_MS
from plankspindle_testkit.soak.recording_caller import AUTHORIZATION
from plankspindle_testkit.soak.recording_caller import RecordingCaller
from plankspindle_testkit.upstream_stand_in.upstream_stand_in import MARK_HEADER

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList

MAX_PAUSE_S = 0.05
MAX_TRIES = 4
FETCH_TIMEOUT_S = TIMEOUT_MS / 1000 + 3.0
"""Answer timeout of a caller, in seconds; no answer comes after it."""


@define(kw_only=True)
class SoakCaller(RecordingCaller):
    """Caller that sends requests one after the other to random entry VMs."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            mark = self.next_mark()
            kind = self.random.choice(("read", "read", "write", "key"))
            self.observations.in_flight_marks.add(mark)
            if kind == "key":
                await self._send_keyed(mark)
            else:
                await self._send(mark, is_read=kind == "read")
            self.observations.in_flight_marks.discard(mark)
            await sleep(MAX_PAUSE_S * self.random.random())

    async def _send_keyed(self, mark: str) -> None:
        """Repeat a request with its key, at any VM, until it is done or given up."""
        key = (header_names.IDEMPOTENCY_KEY, mark.encode())
        for _ in range(MAX_TRIES):
            outcome = await self._send(mark, is_read=False, extra=[key])
            if outcome is Outcome.DONE:
                return
            await sleep(4 * MAX_PAUSE_S)

    async def _send(
        self, mark: str, *, is_read: bool, extra: HeaderList | None = None
    ) -> Outcome | None:
        place = self.random.choice(self.layout.places)
        sent_at = self.now()
        answer = await fetch(
            self.layout.proxy_endpoint("caller", place.name),
            method="GET" if is_read else "POST",
            target=f"/v1/services/{SERVICE}/{mark}",
            headers=[
                AUTHORIZATION,
                (MARK_HEADER, mark.encode()),
                (header_names.TIMEOUT, str(TIMEOUT_MS).encode()),
                *(extra or []),
            ],
            timeout_s=FETCH_TIMEOUT_S,
        )
        attempt = self.record_attempt(
            answer.ok(),
            mark=mark,
            vm=place.name,
            is_read=is_read,
            sent_at=sent_at,
            timeout_ms=TIMEOUT_MS,
        )
        return attempt.outcome
