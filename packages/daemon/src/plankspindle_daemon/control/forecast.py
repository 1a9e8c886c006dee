"""Forecast of the load that a change moves, its cost, and the targets' capacity."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.errors import InvalidDocument
from plankspindle_daemon.control.intents import AbortRolloutIntent
from plankspindle_daemon.control.intents import ApplyIntent
from plankspindle_daemon.control.intents import DrainIntent
from plankspindle_daemon.control.intents import Intent
from plankspindle_daemon.control.intents import PriorityClassIntent
from plankspindle_daemon.control.intents import RolloutIntent
from plankspindle_daemon.control.intents import ShiftIntent
from plankspindle_daemon.control.intents import UndoDrainIntent
from plankspindle_daemon.control.intents import UndoIntent
from plankspindle_daemon.control.intents import UndoShiftIntent
from plankspindle_daemon.digests.digest_table import DigestTable

if TYPE_CHECKING:
    from plankspindle_core.configuration.drain import Drain
    from plankspindle_core.configuration.shift import Shift
    from plankspindle_daemon.peer_messages.load_digest import ServiceLoad

RESERVED_CAPACITY_SHARE = 0.1
"""Share of a target's capacity that a plan must leave free, from 0 to 1."""
SHORT_ROLLOUT_MS = 5_000
"""Duration of an order below which operators are warned, in milliseconds."""

Effects = Result[tuple[str, ...], InvalidDocument]


@frozen(kw_only=True)
class Forecast:
    """Forecasts the effects of intents on one version of the configuration.

    Parameters
    ----------
    base : Configuration, optional
        Version that the intent is based on.
    proposed : Configuration
        Configuration that results from the intent.
    digests : DigestTable
        Load reported by entry VMs. It lags behind the actual load, so a forecast is
        an estimate.
    now : float
        Monotonic seconds.
    """

    base: Configuration | None
    proposed: Configuration
    digests: DigestTable
    now: float

    def effects_of(self, intent: Intent) -> Effects:
        """Return the load that an intent moves and its cost, as sentences.

        Returns
        -------
        Result
            One sentence per effect, or the capacity shortfalls for which the intent is
            refused.
        """
        match intent:
            case ShiftIntent(shift_id=shift_id, shift=shift):
                return self._of_shift(shift_id, shift)
            case DrainIntent(drain=drain):
                return self._of_drain(drain)
            case UndoShiftIntent(shift_id=shift_id):
                return Ok((f"shift {shift_id} ends; its requests stay at home",))
            case UndoDrainIntent(drain_id=drain_id):
                return Ok((f"drain {drain_id} ends; its place gets work again",))
            case PriorityClassIntent(caller=caller, priority_class=priority_class):
                return Ok(self._of_class(caller, priority_class))
            case RolloutIntent():
                return Ok(self._of_rollout(intent))
            case AbortRolloutIntent(service=service):
                return Ok(
                    (
                        f"the order to roll out {service} is withdrawn; if it runs, its"
                        " requests go back to the software version in force",
                    )
                )
            case ApplyIntent() | UndoIntent():
                return Ok(tuple(self._differences()) or ("nothing changes",))

    def _of_shift(self, shift_id: str, shift: Shift) -> Effects:
        before = self.base.shifts_by_id.get(shift_id) if self.base else None
        was = before.cap_percent if before else 0.0
        source = self._load(shift.service, self.proposed.domains_of(shift.from_region))
        target_domains = self.proposed.domains_of(shift.to_region)
        target = self._load(shift.service, target_domains)
        moving = (source.in_flight + source.queued) * shift.cap_percent / 100
        added_ms = self.proposed.distances.between_regions_ms * 2
        shortfall = self._shortfall(shift.service, moving, target, target_domains)
        if shortfall:
            return Err(InvalidDocument((shortfall,)))
        return Ok(
            (
                f"at most {shift.cap_percent:g} percent of the requests of"
                f" {shift.service} received in {shift.from_region} move to"
                f" {shift.to_region} (was {was:g} percent), over {shift.ramp_s:g} s",
                f"now about {moving:.1f} requests at once;"
                f" {self._free_line(shift.service, target, shift.to_region)}",
                f"each moved request takes about {added_ms:g} ms longer",
                "a request moves only under a grant of its target; without one it"
                " stays, as do requests with an issued request id",
                "failover of callers whose region is dead is no shift and is not"
                " counted in the cap",
            )
        )

    def _of_drain(self, drain: Drain) -> Effects:
        drained = self._drained_domains(drain)
        lines = [f"{drain.kind.value} {drain.name}: {_start_line(drain)}"]
        shortfalls = []
        for service in sorted(self.proposed.services_by_name):
            if drain.kind is DrainKind.UPSTREAM:
                line, shortfall = self._upstream_effect(service, drain.name)
            elif drain.kind is DrainKind.VM:
                line, shortfall = "", ""
            else:
                line, shortfall = self._domains_effect(service, drained)
            lines += [line] if line else []
            shortfalls += [shortfall] if shortfall else []
        if shortfalls:
            return Err(InvalidDocument(tuple(shortfalls)))
        lines += self._target_lines(drained)
        lines += self._cold_lines(drained)
        return Ok((*lines, self._drain_time_line()))

    def _drained_domains(self, drain: Drain) -> set[str]:
        match drain.kind:
            case DrainKind.REGION:
                return self.proposed.domains_of(drain.name)
            case DrainKind.FAILURE_DOMAIN | DrainKind.UPSTREAMS_OF_DOMAIN:
                return {drain.name}
            case DrainKind.UPSTREAM | DrainKind.VM:
                return set()

    def _upstream_effect(self, service: str, name: str) -> tuple[str, str]:
        upstream = self.proposed.upstreams_by_name[name]
        if upstream.service != service:
            return "", ""
        domain = {upstream.failure_domain}
        load = self._load(service, domain)
        left = self._slots(service, domain) - upstream.slots
        needed = load.in_flight + load.queued
        line = (
            f"{service} in {upstream.failure_domain} keeps {left} of"
            f" {left + upstream.slots} slots; about {needed} are needed now"
        )
        if needed > left:
            return line, f"{line}: short by {needed - left} slots"
        return line, ""

    def _domains_effect(self, service: str, drained: set[str]) -> tuple[str, str]:
        source = self._load(service, drained)
        remaining = set(self.proposed.failure_domains_by_name) - drained
        target = self._load(service, remaining)
        moving = source.in_flight + source.queued
        lost = self._slots(service, drained)
        if lost == 0:
            return "", ""
        line = (
            f"{service} loses {lost} slots, about {moving} requests at once move;"
            f" {self._free_line(service, target, 'the other failure domains')}"
        )
        return line, self._shortfall(service, moving, target, remaining)

    def _free_line(self, service: str, target: ServiceLoad, where: str) -> str:
        free = self._free(target)
        return f"{where} can take {free:.0f} of {target.capacity} slots of {service}"

    def _free(self, load: ServiceLoad) -> float:
        return (
            load.capacity * (1 - RESERVED_CAPACITY_SHARE) - load.in_flight - load.queued
        )

    def _shortfall(
        self, service: str, moving: float, target: ServiceLoad, domains: set[str]
    ) -> str:
        free = self._free(target)
        if self._slots(service, domains) == 0:
            return f"{service}: no upstream in {', '.join(sorted(domains))}"
        if moving <= max(0.0, free):
            return ""
        silent = sorted(domains - self.digests.reporting_domains(self.now))
        note = f"; not heard lately: {', '.join(silent)}" if silent else ""
        return (
            f"{service}: about {moving:.1f} requests at once would move, the targets"
            f" can take {max(0.0, free):.0f}, short by"
            f" {moving - max(0.0, free):.1f}{note}"
        )

    def _target_lines(self, drained: set[str]) -> list[str]:
        """Return the spare capacity of each failure domain and service, as lines."""
        if not drained:
            return []
        return [
            f"{domain}: {self._free_line(service, self._load(service, {domain}), 'it')}"
            for domain in sorted(set(self.proposed.failure_domains_by_name) - drained)
            for service in sorted(self.proposed.services_by_name)
            if self._slots(service, {domain})
        ]

    def _cold_lines(self, drained: set[str]) -> list[str]:
        sites = {
            name
            for name, site in self.proposed.sites_by_name.items()
            if site.failure_domain in drained
        }
        blocks = sum(
            1 for site in self.proposed.site_by_prefix.values() if site in sites
        )
        total = len(self.proposed.site_by_prefix)
        if not blocks:
            return []
        return [
            f"{blocks} of {total} client blocks get other entry VMs; their first"
            " requests there meet cold caches"
        ]

    def _drain_time_line(self) -> str:
        operations = [
            operation
            for service in self.proposed.services_by_name.values()
            for operation in service.operations
        ]
        usual_s = max((each.expected_ms for each in operations), default=0) / 1000
        longest_s = max((each.timeout_ms for each in operations), default=0) / 1000
        return (
            f"running work ends within about {usual_s:g} s,"
            f" in the worst case {longest_s:g} s"
        )

    def _of_class(self, caller: str, priority_class: str) -> tuple[str, ...]:
        previous = "none"
        if self.base is not None and caller in self.base.callers_by_name:
            previous = self.base.callers_by_name[caller].priority_class
        return (
            f"requests of {caller} are served as {priority_class} (was {previous})",
        )

    def _of_rollout(self, intent: RolloutIntent) -> tuple[str, ...]:
        before = (
            self.base.rollouts_by_service.get(intent.service) if self.base else None
        )
        lines = [
            f"requests of {intent.service} move to upstreams of software version"
            f" {intent.target_version} within {intent.duration_ms / 1000:g} s",
            "they go back by themselves if its answers are bad, or if it has no"
            " upstreams by then",
        ]
        if before is not None:
            lines.append(f"it replaces the order for {before.target_version}")
        lines += self._software_version_lines(intent.service)
        if intent.duration_ms < SHORT_ROLLOUT_MS:
            lines.append("so short an order leaves little time to judge the version")
        return tuple(lines)

    def _software_version_lines(self, service: str) -> list[str]:
        """Return the declared upstreams by software version, as a line."""
        found = Counter(
            upstream.software_version or "unknown"
            for upstream in self.proposed.upstreams_by_name.values()
            if upstream.service == service
        )
        counts = ", ".join(f"{found[each]} of {each}" for each in sorted(found))
        return [f"declared upstreams by software version: {counts}"] if found else []

    def _load(self, service: str, domains: set[str]) -> ServiceLoad:
        return self.digests.load_of(service=service, domains=domains, now=self.now)

    def _slots(self, service: str, domains: set[str]) -> int:
        return sum(
            upstream.slots
            for upstream in self.proposed.upstreams_by_name.values()
            if upstream.service == service and upstream.failure_domain in domains
        )

    def _differences(self) -> list[str]:
        sections = {
            "services": "services_by_name",
            "upstreams": "upstreams_by_name",
            "callers": "callers_by_name",
            "sites": "sites_by_name",
            "client blocks": "site_by_prefix",
            "shifts": "shifts_by_id",
            "drains": "drains_by_id",
            "roll-outs": "rollouts_by_service",
            "failure domains": "failure_domains_by_name",
        }
        lines = []
        for title, field in sections.items():
            old: dict[str, Any] = getattr(self.base, field) if self.base else {}
            new: dict[str, Any] = getattr(self.proposed, field)
            added = len(new.keys() - old.keys())
            removed = len(old.keys() - new.keys())
            both = new.keys() & old.keys()
            changed = sum(1 for key in both if new[key] != old[key])
            if added or removed or changed:
                lines.append(
                    f"{title}: {added} added, {removed} removed, {changed} changed"
                )
        return lines


def _start_line(drain: Drain) -> str:
    if drain.at is None:
        return "gets no new work at once, running work finishes"
    return f"gets no new work from {drain.at:.0f} (Unix time), running work finishes"
