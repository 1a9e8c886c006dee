"""Ticket of a request that waits for an upstream."""

from __future__ import annotations

from attrs import evolve

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class Ticket:
    """A request with what queueing and placement need of it.

    Parameters
    ----------
    id : int
        Number of the request in this process.
    rank : int
        Rank of its priority class; zero is the most important.
    operation : str
        Name under which its duration is averaged.
    deadline : float
        Deadline of the request, monotonic seconds.
    expected_s : float
        Declared expected duration, in seconds.
    affinity : str, optional
        Affinity key; requests with the same key belong on the same upstream.
    bulky : bool
        Whether its answer is large.
    is_upload : bool
        Whether its body is passed on as it arrives, so that its upstream may have to
        wait for its caller.
    allowed_regions : frozenset of str
        The only regions where it may run; any region if empty.
    queue_deadline : float
        Latest time to wait for an upstream, monotonic seconds.
    excluded_upstreams : frozenset of str
        Upstreams where it already failed.
    """

    id: int
    rank: int
    operation: str
    deadline: float
    expected_s: float
    affinity: str | None = None
    bulky: bool = False
    is_upload: bool = False
    allowed_regions: frozenset[str] = frozenset()
    queue_deadline: float = float("inf")
    excluded_upstreams: frozenset[str] = frozenset()

    def excluding(self, upstreams: frozenset[str]) -> Ticket:
        """Return the ticket of a retry that avoids some upstreams.

        Notes
        -----
        A retry may wait until its deadline: if it were refused, the outcome of the
        request would be unknown.
        """
        if not upstreams:
            return self
        return evolve(self, excluded_upstreams=upstreams, queue_deadline=float("inf"))
