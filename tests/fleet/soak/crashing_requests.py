"""Requests under which upstreams crash, and checks that they are quarantined."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from random import Random

from attrs import Factory
from attrs import define
from attrs import frozen
from curio import TaskTimeout
from curio import sleep
from curio import spawn
from curio import timeout_after

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.steady_clock import monotonic
from soak.checks import Checks
from soak.history import CREDENTIALS
from soak.history import HOST
from soak.history import MAIN_PREFIXES
from soak.history import RUN_ONCE_PREFIXES
from soak.upstreams import CRASHING_PATH_PREFIX
from soak.upstreams import ID
from soak.upstreams import Upstreams

QUARANTINE_CRASHES = 3
"""Crashed upstreams after which a request must be quarantined."""
MAX_FORWARDED = 3
"""Attempts that may be forwarded after the bound for the quarantine has passed."""
MEAN_ATTEMPT_GAP_S = 0.3
"""Mean time between two attempts of one request, in seconds."""
ANSWER_TIMEOUT_S = 4.0
QUARANTINE_ANSWER_S = 0.5
"""Time in which a quarantined request must be answered, in seconds."""
DEADLINE_MS = 2_500
NOT_RUN = 503


@frozen(kw_only=True)
class Attempt:
    """One attempt of a request.

    Parameters
    ----------
    request, vm : str
        Id of the attempt, and entry VM that got it.
    sent_at, ended_at : float
        Monotonic seconds.
    status : int or None
        Status of its answer.
    """

    request: str
    vm: str
    sent_at: float
    ended_at: float
    status: int | None


@define(kw_only=True)
class CrashingRequests:
    """Send requests under which upstreams crash, and check their quarantine.

    Parameters
    ----------
    checks : Checks
        Disturbances, and where violations are recorded.
    upstreams : Upstreams
        The upstreams, with the executions of requests.
    front : callable
        Returns the caller listener of an entry VM.
    vms : list of str
        All entry VMs.
    seed : int
        Random seed, combined with the time of the fault, so that replays are equal.
    """

    checks: Checks
    upstreams: Upstreams
    front: Callable[[str], Endpoint]
    vms: list[str]
    seed: int
    attempts_by_path: dict[str, list[Attempt]] = Factory(dict)

    async def inject(self, at: float, for_s: float) -> None:
        """Send one such request repeatedly for a while, to random entry VMs."""
        random = Random(f"crashing request of {self.seed} at {at}")
        prefix = random.choice(MAIN_PREFIXES)
        path = f"{prefix}{CRASHING_PATH_PREFIX}{len(self.attempts_by_path)}"
        attempts = self.attempts_by_path.setdefault(path, [])
        ends_at = monotonic() + for_s
        while monotonic() < ends_at:
            await spawn(
                self._send_attempt,
                path,
                prefix in RUN_ONCE_PREFIXES,
                random,
                attempts,
                daemon=True,
            )
            await sleep(random.expovariate(1 / MEAN_ATTEMPT_GAP_S))

    async def _send_attempt(
        self, path: str, runs_once: bool, random: Random, attempts: list[Attempt]
    ) -> None:
        vm, request = random.choice(self.vms), f"{random.getrandbits(64):016x}"
        connection = ClientConnection(endpoint=self.front(vm))
        sent_at, status = monotonic(), None
        with suppress(TaskTimeout):
            status = await timeout_after(
                ANSWER_TIMEOUT_S, _exchange, connection, path, runs_once, request
            )
        await connection.close()
        attempts.append(
            Attempt(
                request=request,
                vm=vm,
                sent_at=sent_at,
                ended_at=monotonic(),
                status=status,
            )
        )

    def check(self) -> None:
        """Check all attempts, at the end of the soak."""
        for path, attempts in self.attempts_by_path.items():
            crashed_at = sorted(self.upstreams.crashed_at_by_path.get(path, []))
            self.checks.counts["upstreams that crashed under requests"] += len(
                crashed_at
            )
            self._check_not_run(path, attempts)
            if len(crashed_at) >= QUARANTINE_CRASHES:
                self._check_quarantine(
                    path, attempts, crashed_at[QUARANTINE_CRASHES - 1]
                )

    def _check_not_run(self, path: str, attempts: list[Attempt]) -> None:
        for each in attempts:
            runs = self.upstreams.runs_by_id.get(each.request, [])
            if each.status == NOT_RUN and runs:
                detail = f"{path} at {each.vm} ran and was told as not run"
                self.checks.fail("not run", detail, each.ended_at)

    def _check_quarantine(
        self, path: str, attempts: list[Attempt], since: float
    ) -> None:
        contact_s, disturbances = self.checks.bounds.contact, self.checks.disturbances
        late = []
        for each in attempts:
            for run in self.upstreams.runs_by_id.get(each.request, []):
                at = run.arrived_at
                is_late = at > disturbances.extended_deadline(since, contact_s, at)
                late += [each] * (
                    is_late and disturbances.is_undisturbed(each.vm, at, at)
                )
        checked = [each for each in attempts if each.sent_at > since + contact_s]
        self.checks.counts["judged for crashing requests"] += len(checked)
        if len(late) > MAX_FORWARDED:
            detail = f"{path} came to upstreams {len(late)} times more, from {late[0]}"
            self.checks.fail("held back", detail, late[0].ended_at)
        for each in checked:
            took_s = each.ended_at - each.sent_at
            took_s -= disturbances.stalled_s(each.sent_at, each.ended_at)
            is_undisturbed = disturbances.is_undisturbed(
                each.vm, each.sent_at, each.ended_at
            )
            if each not in late and is_undisturbed and took_s > QUARANTINE_ANSWER_S:
                detail = f"{path} at {each.vm} waited {took_s:.3f} s for {each.status}"
                self.checks.fail("at once", detail, each.ended_at)


async def _exchange(
    connection: ClientConnection, path: str, runs_once: bool, request: str
) -> int | None:
    if (await connection.start(timeout_s=1.0)).is_err():
        return None
    headers = [
        (b"host", HOST.encode()),
        (ID, request.encode()),
        CREDENTIALS,
        (b"x-plankspindle-deadline-ms", str(DEADLINE_MS).encode()),
    ]
    if runs_once:
        headers.append((b"content-length", b"0"))
    await connection.send_request(
        method="POST" if runs_once else "GET", target=path, headers=headers
    )
    if (await connection.end_request()).is_err():
        return None
    head = await connection.read_head()
    return None if head.is_err() else int(head.unwrap().status_code)
