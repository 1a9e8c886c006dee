"""Software of upstreams in a soak, and its flaws."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

GOOD_SHARE = 0.4
"""Share of the drawn versions that have no flaw."""
FLAWED_SHARES = (0.3, 0.6, 1.0)
SLOW_FACTORS = (4.0, 10.0)
LATE_S = (2.0, 8.0)
LOADED_IN_FLIGHT = 2
CONDITIONS = ("always", "later", "under load", "on one route")


@frozen(kw_only=True)
class SoftwareVersion:
    """A version of the software of upstreams.

    Parameters
    ----------
    name : str
        Its name, as entries of upstreams have it.
    flawed_share : float
        Share of the answers that are bad where its flaw shows.
    slow_factor : float
        Factor on the duration of a bad answer, which is at least the usual one; if 1,
        it is a failure instead.
    flawed_from : float
        When its flaw begins to show, monotonic seconds.
    min_in_flight : int
        Requests that must run at an upstream for its flaw to show.
    path_prefix : str
        Route on which its flaw shows; empty for all.
    """

    name: str
    flawed_share: float = 0.0
    slow_factor: float = 1.0
    flawed_from: float = -inf
    min_in_flight: int = 0
    path_prefix: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether it has a flaw."""
        return self.flawed_share > 0

    @property
    def fails(self) -> bool:
        """Whether its bad answers are failures."""
        return self.slow_factor == 1.0

    def draw_flaw(
        self, random: Random, *, path: str, in_flight: int, now: float
    ) -> bool:
        """Draw whether an answer is bad.

        Parameters
        ----------
        random : Random
            Source of random choices.
        path : str
            Path of the request.
        in_flight : int
            Requests that run at the upstream, this one included.
        now : float
            Monotonic seconds.
        """
        shows = (
            now >= self.flawed_from
            and in_flight >= self.min_in_flight
            and path.startswith(self.path_prefix)
        )
        return shows and random.random() < self.flawed_share


BASELINE = SoftwareVersion(name="v1")
"""Software of all upstreams at the beginning."""


def draw_software_version(
    random: Random, name: str, *, path_prefixes: Sequence[str], now: float
) -> SoftwareVersion:
    """Draw a version without a flaw, or with one of any kind.

    Parameters
    ----------
    random : Random
        Source of random choices.
    name : str
        Name of the version.
    path_prefixes : sequence of str
        Routes of the service.
    now : float
        Monotonic seconds.
    """
    if random.random() < GOOD_SHARE:
        return SoftwareVersion(name=name)
    condition = random.choice(CONDITIONS)
    is_on_one_route = condition == "on one route" and len(path_prefixes) > 0
    return SoftwareVersion(
        name=name,
        flawed_share=random.choice(FLAWED_SHARES),
        slow_factor=random.choice((1.0, random.uniform(*SLOW_FACTORS))),
        flawed_from=now + random.uniform(*LATE_S) if condition == "later" else -inf,
        min_in_flight=LOADED_IN_FLIGHT if condition == "under load" else 0,
        path_prefix=random.choice(path_prefixes) if is_on_one_route else "",
    )
