"""Placement with perfect knowledge: what a better decision could buy at all."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from attrs import frozen

from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream
from plankspindle_testkit.lab.pattern import Pattern

if TYPE_CHECKING:
    from collections.abc import Set


MISS_COST = 1.0
"""Part of its extra work by which a miss counts beyond the answer that it delays.

It keeps a slot from others, and makes an upstream forget a key.
"""


@frozen(kw_only=True)
class Oracle:
    """Choose the upstream whose answer comes first, knowing all of them.

    Parameters
    ----------
    pattern : Pattern
        The deployment.
    upstreams_by_name : mapping of str to ModelledUpstream
        The upstreams as they are.

    Notes
    -----
    It is greedy: it knows loads, keys, slowness and silence as they are, and nothing of
    what will come. It is no bound, but what it gains shows where knowledge is missing.
    """

    pattern: Pattern
    upstreams_by_name: Mapping[str, ModelledUpstream]

    def choose(
        self, operation: str, key: str, *, domain: str, drained: Set[str], now: float
    ) -> ModelledUpstream | None:
        """Give the best upstream for a request; None if there is none.

        Parameters
        ----------
        operation, key : str
            The request.
        domain : str
            Where its entry VM stands.
        drained : set of str
            Failure domains whose upstreams get nothing.
        now : float
            Seconds of the run.
        """
        service = self.pattern.operations_by_name[operation].service
        fitting = [
            each
            for name, each in self.upstreams_by_name.items()
            if name.partition("/")[0] == service
            and each.domain not in drained
            and not each.is_dead
            and each.load < each.service.slots + each.service.queue
        ]
        if not fitting:
            return None
        return min(
            fitting, key=lambda each: self._cost_s(each, operation, key, domain, now)
        )

    def _cost_s(
        self,
        upstream: ModelledUpstream,
        operation: str,
        key: str,
        domain: str,
        now: float,
    ) -> float:
        kind = self.pattern.operations_by_name[operation]
        work_s = upstream.expected_s(operation, key, now)
        slots = upstream.service.slots
        waiting = max(0, upstream.load + 1 - slots) / slots
        extra_s = 0.0
        if not upstream.remembers(operation, key):
            extra_s = MISS_COST * work_s * (1 - kind.hit_part)
        return (
            work_s
            + waiting * work_s * kind.hit_part
            + extra_s
            + self._way_s(domain, upstream.domain)
        )

    def _way_s(self, domain: str, other: str) -> float:
        if domain == other:
            return 0.0
        regions = self.pattern.region_by_domain
        if regions[domain] == regions[other]:
            return 2 * self.pattern.between_domains_ms / 1000
        return 2 * self.pattern.between_regions_ms / 1000
