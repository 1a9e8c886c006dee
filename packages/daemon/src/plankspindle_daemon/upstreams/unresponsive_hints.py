"""Hints of other entry VMs that an upstream is unresponsive."""

from __future__ import annotations

import math

from attrs import Factory

from plankspindle_core.classes import define

SEND_HINT_AFTER_S = 1.0
"""Time without an answer after which other entry VMs get a hint, in seconds."""
HINTED_UNRESPONSIVE_S = 2.0
"""Time without an answer that a fresh hint counts as, in seconds."""
HINT_DECAY_S = 1.0
"""Time constant of the decay of a hint, in seconds; twice the period of heartbeats."""
MIN_AGREEING_DOMAINS = 2
OWN_ANSWER_VALID_S = 1.0
"""Maximum age of an own answer that overrides hints, in seconds."""


@define(kw_only=True)
class UnresponsiveHints:
    """Hints of other entry VMs about one upstream.

    Notes
    -----
    An entry VM sends each upstream a request every second or two. If each VM detects an
    unresponsive upstream by its own requests alone, each loses some before it places
    them elsewhere: nine VMs left 27 requests at an upstream of three slots that
    answered nothing for seconds. A hint costs the upstream's name in a heartbeat, twice
    a second while it lasts.

    One failure domain may be cut off from an upstream that serves all others. So hints
    count only once two domains agree, and an own answer of the last second overrides
    them.
    """

    _hinted_at_by_domain: dict[str, float] = Factory(dict)

    def record_hint(self, domain: str, now: float) -> None:
        """Record a hint of an entry VM.

        Parameters
        ----------
        domain : str
            Failure domain of that VM.
        now : float
            Monotonic seconds.
        """
        self._hinted_at_by_domain[domain] = now

    def hinted_unresponsive_s(self, answered_at: float, now: float) -> float:
        """Return the time without an answer that hints count as now, in seconds.

        Parameters
        ----------
        answered_at : float
            When the upstream last answered this VM, monotonic seconds.
        now : float
            Monotonic seconds.
        """
        if len(self._hinted_at_by_domain) < MIN_AGREEING_DOMAINS:
            return 0.0
        agreed_at = sorted(self._hinted_at_by_domain.values())[-MIN_AGREEING_DOMAINS]
        if answered_at > agreed_at - OWN_ANSWER_VALID_S:
            return 0.0
        return HINTED_UNRESPONSIVE_S * math.exp((agreed_at - now) / HINT_DECAY_S)
