"""What silence of an upstream means, as seen here and as told by other entry VMs."""

from __future__ import annotations

import math

from attrs import Factory

from plankspindle_core.classes import define

SEND_HINT_AFTER_S = 1.0
"""Silence from which on other entry VMs are told, in seconds."""
HINTED_UNRESPONSIVE_S = 2.0
"""Silence that a hint stands for, in seconds."""
HINT_DECAY_S = 1.0
"""Time in which a hint loses most of its weight, twice the period of heartbeats."""
MIN_AGREEING_DOMAINS = 2
OWN_ANSWER_VALID_S = 1.0
"""Age up to which an own answer goes before a hint, in seconds."""


@define(kw_only=True)
class UnresponsiveHints:
    """Hints of other entry VMs on one upstream.

    Notes
    -----
    An entry VM sends each upstream a request every second or two. Where it learns of
    silence by its own requests alone, each VM loses some before it looks elsewhere:
    nine VMs left 27 requests at an upstream of three slots that answered none for
    seconds. A hint costs its name in a heartbeat, twice a second while it lasts.

    One failure domain may be cut off from an upstream that serves all others, so hints
    count once two domains agree, and not against an own answer of the last second.
    """

    _hinted_at_by_domain: dict[str, float] = Factory(dict)

    def record_hint(self, domain: str, now: float) -> None:
        """Take a hint of an entry VM.

        Parameters
        ----------
        domain : str
            Its failure domain.
        now : float
            Monotonic seconds.
        """
        self._hinted_at_by_domain[domain] = now

    def hinted_unresponsive_s(self, answered_at: float, now: float) -> float:
        """Give the silence that hints stand for by now.

        Parameters
        ----------
        answered_at : float
            When the upstream last answered this VM.
        now : float
            Monotonic seconds.
        """
        if len(self._hinted_at_by_domain) < MIN_AGREEING_DOMAINS:
            return 0.0
        agreed_at = sorted(self._hinted_at_by_domain.values())[-MIN_AGREEING_DOMAINS]
        if answered_at > agreed_at - OWN_ANSWER_VALID_S:
            return 0.0
        return HINTED_UNRESPONSIVE_S * math.exp((agreed_at - now) / HINT_DECAY_S)
