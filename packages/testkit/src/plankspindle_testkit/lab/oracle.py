"""Placement with full knowledge, as a reference for what better decisions can gain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from plankspindle_testkit.lab.deployment import Deployment

if TYPE_CHECKING:
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream

MISS_COST_FACTOR = 1.0
"""Share of its extra work that a cache miss costs in addition to its own delay.

A miss occupies a slot for longer, and evicts another key of the upstream.
"""


@frozen(kw_only=True)
class Oracle:
    """Chooses the upstream with the earliest answer, with full knowledge of all.

    Parameters
    ----------
    deployment : Deployment
        Upstreams with their actual state, and the delays to them.

    Notes
    -----
    It is greedy: it knows the actual loads, cached keys, slowness and unresponsiveness,
    but no future events. It is not an upper bound, but its gain shows where entry VMs
    lack information.
    """

    deployment: Deployment

    def choose(
        self, operation: str, key: str, *, domain: str, now: float
    ) -> ModelledUpstream | None:
        """Return the best upstream for a request; None if there is none.

        Parameters
        ----------
        operation, key : str
            Operation and key of the request.
        domain : str
            Failure domain of the entry VM.
        now : float
            Simulated time in seconds.
        """
        service = self.deployment.pattern.operations_by_name[operation].service
        candidates = [
            each
            for each in self.deployment.upstreams_by_name.values()
            if each.service_name == service
            and each.domain not in self.deployment.drained_domains
            and not each.is_dead
            and each.load < each.service.slots + each.service.queue
        ]
        if not candidates:
            return None
        return min(
            candidates, key=lambda each: self._cost_s(each, operation, key, domain, now)
        )

    def _cost_s(
        self,
        upstream: ModelledUpstream,
        operation: str,
        key: str,
        domain: str,
        now: float,
    ) -> float:
        model = self.deployment.pattern.operations_by_name[operation]
        work_s = upstream.expected_duration_s(operation, key, now)
        slots = upstream.service.slots
        queue_share = max(0, upstream.load + 1 - slots) / slots
        extra_s = 0.0
        if not upstream.is_cached(operation, key):
            extra_s = MISS_COST_FACTOR * work_s * (1 - model.hit_part)
        return (
            work_s
            + queue_share * work_s * model.hit_part
            + extra_s
            + 2 * self.deployment.one_way_s(domain, upstream.domain)
        )
