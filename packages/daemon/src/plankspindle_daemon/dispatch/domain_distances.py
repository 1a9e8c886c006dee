"""Round-trip times from this entry VM to failure domains, measured or declared."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.configuration.configuration import Configuration


@define(kw_only=True)
class DomainDistances:
    """Round-trip times and regions of failure domains, as seen from one of them.

    Parameters
    ----------
    home_domain : str
        Failure domain of this VM.
    """

    home_domain: str
    _configuration: Configuration | None = None
    _rtt_s_by_domain: dict[str, float] = Factory(dict)
    _is_local_by_domain: dict[str, bool] = Factory(dict)
    _declared_rtt_s_by_domain: dict[str, float] = Factory(dict)

    def set_configuration(self, configuration: Configuration) -> None:
        """Set the configuration that declares regions and distances."""
        self._configuration = configuration
        self._is_local_by_domain.clear()
        self._declared_rtt_s_by_domain.clear()

    def record_connect_time(self, domain: str, seconds: float) -> None:
        """Record the time that a connect took, in seconds; the minimum is used."""
        known = self._rtt_s_by_domain.get(domain, seconds)
        self._rtt_s_by_domain[domain] = min(known, seconds)

    def rtt_s(self, domain: str) -> float:
        """Return the round-trip time to a failure domain, in seconds."""
        measured = self._rtt_s_by_domain.get(domain)
        if measured is not None:
            return measured
        declared = self._declared_rtt_s_by_domain.get(domain)
        if declared is None:
            declared = self._declared_rtt_s(domain)
            self._declared_rtt_s_by_domain[domain] = declared
        return declared

    def _declared_rtt_s(self, domain: str) -> float:
        if self._configuration is None:
            return 0.0
        one_way = self._configuration.distance_ms(self.home_domain, domain)
        return 2 * one_way / 1000

    def region_of(self, domain: str) -> str | None:
        """Return the region of a failure domain."""
        if self._configuration is None:
            return None
        return self._configuration.region_of(domain)

    def is_local(self, domain: str) -> bool:
        """Return whether a failure domain is in the region of this VM."""
        is_local = self._is_local_by_domain.get(domain)
        if is_local is None:
            is_local = self.region_of(domain) == self.region_of(self.home_domain)
            self._is_local_by_domain[domain] = is_local
        return is_local
