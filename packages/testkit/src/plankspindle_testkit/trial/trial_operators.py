"""Operators of a trial, who make and confirm plans, also concurrently."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from attrs import define

from plankspindle_core.configuration.shift import Shift
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.configuration.head_row import HEAD_KEY
from plankspindle_daemon.configuration.head_row import head_row_from_mapping
from plankspindle_daemon.control.intents import ShiftIntent
from plankspindle_daemon.control.plan_store import PlanOvertaken
from plankspindle_daemon.control.plan_store import PlanStore
from plankspindle_daemon.digests.digest_table import DigestTable
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.load_digest import ServiceLoad
from plankspindle_testkit.trial.fake_platform import run_to_completion
from plankspindle_testkit.trial.ground_truth import GuaranteeViolatedError
from plankspindle_testkit.trial.world import SERVICE
from plankspindle_testkit.trial.world import World
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.platform.platform_client import PlatformClient


@define(kw_only=True)
class TrialOperators:
    """Make and confirm plans.

    Parameters
    ----------
    world : World
        State of the trial.
    """

    world: World

    def make_plan(self, intent: Any) -> str:
        """Make a plan and return its id; empty if that failed."""
        made = run_to_completion(self._plan_store().create(intent, "operator"))
        return made.unwrap().id if made.is_ok() else ""

    def confirm_until_answered(self, plan_id: str) -> str:
        """Confirm a plan until an answer arrives, in at most 20 attempts."""
        for _ in range(20):
            answer = run_to_completion(self._plan_store().confirm(plan_id, "operator"))
            if answer.is_ok():
                return "accepted"
            if isinstance(answer.unwrap_err(), PlanOvertaken):
                return "overtaken"
        return "not known"

    def is_in_force(self) -> bool:
        """Return whether every VM has the accepted version."""
        row = self.world.platform.table.read(HEAD_KEY)
        accepted = head_row_from_mapping(row.value).unwrap().version
        return all(
            vm.node.version.revision == accepted
            for vm in self.world.vms_by_name.values()
        )

    def _plan_store(self) -> PlanStore:
        platform = cast("PlatformClient", self.world.platform)
        reader = ConfigurationReader(platform=platform)
        return PlanStore(
            platform=platform,
            reader=reader,
            random=self.world.random,
            digests=self._digests_with_spare_capacity(),
        )

    def _digests_with_spare_capacity(self) -> DigestTable:
        """Return digests with spare capacity, as plans are refused without it."""
        digests = DigestTable()
        load = ServiceLoad(service=SERVICE, capacity=1000, in_flight=0, queued=0)
        for domain in self.world.options.configuration.failure_domains_by_name:
            digest = LoadDigest(
                sender=domain,
                failure_domain=domain,
                configuration_version=build_version(1),
                loads=(load,),
            )
            digests.record(digest, monotonic())
        return digests

    def put_in_force(self, intent: Any) -> None:
        """Plan and confirm until the plan is accepted, in at most 20 attempts."""
        store = self._plan_store()
        for _ in range(20):
            made = run_to_completion(store.create(intent, "operator"))
            if made.is_ok():
                confirmed = run_to_completion(
                    store.confirm(made.unwrap().id, "operator")
                )
                if confirmed.is_ok():
                    return

    def race_confirmations(self) -> None:
        """Let two operators plan on the same version and both confirm.

        Raises
        ------
        GuaranteeViolatedError
            If both plans are accepted on the same version.
        """
        store = self._plan_store()
        plans = []
        for shift_id, cap in (("one", 10.0), ("two", 20.0)):
            shift = self._shift(cap)
            if shift is None:
                return
            intent = ShiftIntent(shift_id=shift_id, shift=shift)
            made = run_to_completion(store.create(intent, shift_id))
            if made.is_ok():
                plans.append(made.unwrap())
        accepted = [
            plan
            for plan in plans
            if run_to_completion(store.confirm(plan.id, plan.operator)).is_ok()
        ]
        bases = [plan.base_version for plan in accepted]
        if len(set(bases)) != len(bases):
            raise GuaranteeViolatedError(
                f"two plans accepted on one base version: {bases}"
            )

    def _shift(self, cap: float) -> Shift | None:
        domains = self.world.options.configuration.failure_domains_by_name
        regions = sorted({each.region for each in domains.values()})
        if len(regions) < 2:
            return None
        return Shift(
            service=SERVICE,
            from_region=regions[0],
            to_region=regions[1],
            cap_percent=cap,
        )
