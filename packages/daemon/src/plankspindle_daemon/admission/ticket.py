"""A request that waits for an upstream."""

from __future__ import annotations

from attrs import evolve

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Ticket:
    """One request as admission sees it.

    Parameters
    ----------
    id : int
        Number of the request in this process.
    rank : int
        Rank of its priority class; zero is the most important.
    operation : str
        Name under which its duration is averaged.
    deadline : float
        Latest end, monotonic seconds.
    expected_s : float
        Declared usual duration, in seconds.
    affinity : str, optional
        Key of the thing that it concerns; requests with one key do well together.
    bulky : bool
        Whether its answer is large.
    allowed_regions : frozenset of str
        The only regions where it may run; any region if empty.
    queue_deadline : float
        Latest time to wait for an upstream, monotonic seconds.
    excluded_upstreams : frozenset of str
        Upstreams that already failed it.
    """

    id: int
    rank: int
    operation: str
    deadline: float
    expected_s: float
    affinity: str | None = None
    bulky: bool = False
    allowed_regions: frozenset[str] = frozenset()
    queue_deadline: float = float("inf")
    excluded_upstreams: frozenset[str] = frozenset()

    def excluding(self, upstreams: frozenset[str]) -> Ticket:
        """Give the ticket of a retry, which avoids some upstreams.

        Notes
        -----
        A retry may wait to its deadline: refused, it would end as unknown.
        """
        if not upstreams:
            return self
        return evolve(self, excluded_upstreams=upstreams, queue_deadline=float("inf"))
