"""Simulated requests of one entry VM, divided among software versions."""

from __future__ import annotations

from random import Random

from attrs import Factory
from attrs import define
from attrs import evolve
from attrs import field

from plankspindle_daemon.dispatch.version_counts import ListedVersion
from plankspindle_daemon.dispatch.version_counts import VersionCounts
from plankspindle_daemon.dispatch.version_split import VersionSplit
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

REQUEST_S = 0.25
"""Time that a request takes, in seconds."""


@define(kw_only=True)
class FakeVersionDispatch:
    """Requests of one VM, divided as its split says.

    Attributes
    ----------
    sent : list of (float, str)
        When requests were sent, and to which software version.
    answers_of_target : bool
        Whether the target answers.
    """

    failure_domain: str
    random: Random
    split: VersionSplit | None = None
    listed: dict[str, ListedVersion] = Factory(dict)
    bad_share_by_version: dict[str, float] = Factory(dict)
    sent: list[tuple[float, str]] = Factory(list)
    answers_of_target: bool = True
    now: float = 0.0
    _counted: VersionOutcomes = field(init=False)
    _requests: int = 0
    _exposed: int = 0

    def __attrs_post_init__(self) -> None:
        self._begin_count()

    def _begin_count(self) -> None:
        self._requests = self._exposed = 0
        self._counted = VersionOutcomes(
            operation="read", failure_domain=self.failure_domain
        )

    def set_version_split(self, service: str, split: VersionSplit, now: float) -> None:
        """Use a split from now on."""
        if self.split is None or self.split.order != split.order:
            self._begin_count()
        self.split = split

    def version_counts(self, service: str) -> VersionCounts:
        """Return the counts since the order."""
        recent = (version for at, version in self.sent if at > self.now - REQUEST_S)
        target = None if self.split is None else self.split.target
        return VersionCounts(
            requests=self._requests,
            exposed=self._exposed,
            outcomes=(self._counted,),
            baseline_in_flight=sum(version != target for version in recent),
        )

    def listed_versions(self, service: str) -> dict[str, ListedVersion]:
        """Return the listed upstreams by software version."""
        return self.listed

    def send_requests(self, number: int, now: float) -> None:
        """Send requests, which are answered at once."""
        self.now = now
        for _ in range(number):
            if self.split is not None:
                self._send(self.split, now)

    def _send(self, split: VersionSplit, now: float) -> None:
        self._requests += 1
        is_exposed = split.target is not None and self._goes_to_target(split, now)
        version = split.target if is_exposed and split.target else split.baseline
        self.sent.append((now, version))
        is_bad = self.random.random() < self.bad_share_by_version.get(version, 0.0)
        counted = self._counted
        if is_exposed:
            self._exposed += 1
            self._counted = evolve(
                counted,
                target_answers=counted.target_answers + self.answers_of_target,
                target_bad=counted.target_bad + is_bad,
            )
        else:
            self._counted = evolve(
                counted,
                baseline_answers=counted.baseline_answers + 1,
                baseline_bad=counted.baseline_bad + is_bad,
            )

    def _goes_to_target(self, split: VersionSplit, now: float) -> bool:
        if split.is_complete or now + REQUEST_S > split.baseline_ends_at:
            return True
        limit = split.max_exposure_share
        if limit is not None and self._exposed + 1 > limit * self._requests:
            return False
        return self.random.random() < split.target_share
