"""Placement with perfect knowledge: what a better decision could buy at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from plankspindle_testkit.lab.deployment import Deployment

if TYPE_CHECKING:
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream

MISS_COST_FACTOR = 1.0
"""Part of its extra work by which a miss counts beyond the answer that it delays.

It keeps a slot from others, and makes an upstream forget a key.
"""


@frozen(kw_only=True)
class Oracle:
    """Choose the upstream whose answer comes first, knowing all of them.

    Parameters
    ----------
    deployment : Deployment
        The upstreams as they are, and the ways to them.

    Notes
    -----
    It is greedy: it knows loads, keys, slowness and silence as they are, and nothing of
    what will come. It is no bound, but what it gains shows where knowledge is missing.
    """

    deployment: Deployment

    def choose(
        self, operation: str, key: str, *, domain: str, now: float
    ) -> ModelledUpstream | None:
        """Give the best upstream for a request; None if there is none.

        Parameters
        ----------
        operation, key : str
            The request.
        domain : str
            Where its entry VM stands.
        now : float
            Seconds of the run.
        """
        service = self.deployment.pattern.operations_by_name[operation].service
        fitting = [
            each
            for each in self.deployment.upstreams_by_name.values()
            if each.service_name == service
            and each.domain not in self.deployment.drained_domains
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
        kind = self.deployment.pattern.operations_by_name[operation]
        work_s = upstream.expected_duration_s(operation, key, now)
        slots = upstream.service.slots
        waiting = max(0, upstream.load + 1 - slots) / slots
        extra_s = 0.0
        if not upstream.is_cached(operation, key):
            extra_s = MISS_COST_FACTOR * work_s * (1 - kind.hit_part)
        return (
            work_s
            + waiting * work_s * kind.hit_part
            + extra_s
            + 2 * self.deployment.one_way_s(domain, upstream.domain)
        )
