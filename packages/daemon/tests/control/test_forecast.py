"""Forecast of effects, and refusal of plans that exceed the targets' capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.control.forecast import Forecast
from plankspindle_daemon.control.intents import DrainIntent
from plankspindle_daemon.control.intents import Intent
from plankspindle_daemon.control.intents import PriorityClassIntent
from plankspindle_daemon.control.intents import ShiftIntent
from plankspindle_daemon.control.intents import UndoDrainIntent
from plankspindle_daemon.control.intents import apply_intent
from plankspindle_daemon.control.intents import intent_from_mapping
from plankspindle_daemon.digests.digest_table import DigestTable
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.load_digest import ServiceLoad
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration

NOW = 100.0
DOMAINS = ("ba-1", "ba-2", "ke-1")


def build_base() -> Configuration:
    return build_configuration(
        upstreams_by_name={
            domain: build_upstream(
                failure_domain=domain,
                slots=10,
                endpoint=Endpoint("127.0.0.1", 9000 + number),
            )
            for number, domain in enumerate(DOMAINS)
        }
    )


def build_digests(in_flight: int, *, domains: tuple[str, ...] = DOMAINS) -> DigestTable:
    table = DigestTable()
    for domain in domains:
        load = ServiceLoad(
            service="registry", capacity=10, in_flight=in_flight, queued=0
        )
        digest = LoadDigest(
            sender=f"vm-{domain}",
            failure_domain=domain,
            configuration_version=build_version(1),
            loads=(load,),
        )
        table.record(digest, NOW)
    return table


def forecast(intent: Intent, digests: DigestTable) -> tuple[tuple[str, ...], str]:
    base = build_base()
    proposed = apply_intent(intent, base).unwrap()
    result = Forecast(
        base=base, proposed=proposed, digests=digests, now=NOW
    ).effects_of(intent)
    if result.is_ok():
        return result.unwrap(), ""
    return (), str(result.unwrap_err())


def drain(kind: DrainKind, name: str) -> DrainIntent:
    return DrainIntent(drain_id="d", drain=Drain(kind=kind, name=name))


def shift(percent: float) -> ShiftIntent:
    return ShiftIntent(
        shift_id="s",
        shift=Shift(
            service="registry",
            from_region="bratislava",
            to_region="kosice",
            cap_percent=percent,
        ),
    )


def test_drain_forecast_states_moved_load_and_spare_capacity() -> None:
    effects, _ = forecast(drain(DrainKind.FAILURE_DOMAIN, "ba-1"), build_digests(4))
    text = "\n".join(effects)
    assert "registry loses 10 slots, about 4 requests at once move" in text
    assert "can take 10 of 20 slots" in text
    assert "ba-2: it can take 5 of 10 slots of registry" in text
    assert "ke-1: it can take 5 of 10 slots of registry" in text
    assert "1 of 2 client blocks" in text
    assert "running work ends within about 1 s, in the worst case 120 s" in text


def test_drain_beyond_remaining_capacity_is_refused_with_shortfall() -> None:
    _, refusal = forecast(drain(DrainKind.REGION, "bratislava"), build_digests(7))
    assert "14.0 requests at once would move" in refusal
    assert "short by 12.0" in refusal


def test_target_without_digest_counts_as_full() -> None:
    digests = build_digests(1, domains=("ba-1", "ba-2"))
    _, refusal = forecast(shift(50.0), digests)
    assert "not heard lately: ke-1" in refusal


def test_expired_digests_are_ignored() -> None:
    base = build_base()
    intent = shift(50.0)
    proposed = apply_intent(intent, base).unwrap()
    expired = Forecast(
        base=base, proposed=proposed, digests=build_digests(5), now=NOW + 31.0
    )
    assert expired.effects_of(intent).is_ok()
    assert expired.digests.reporting_domains(NOW + 31.0) == set()


def test_shift_forecast_states_cap_latency_and_moved_load() -> None:
    effects, _ = forecast(shift(20.0), build_digests(5))
    text = "\n".join(effects)
    assert "at most 20 percent" in text
    assert "about 2.0 requests at once" in text
    assert "about 70 ms longer" in text


def test_upstream_drain_is_refused_if_fewer_slots_remain_than_needed() -> None:
    _, refusal = forecast(drain(DrainKind.UPSTREAM, "ba-1"), build_digests(3))
    assert "short by 3 slots" in refusal


def test_forecast_of_a_priority_class_change() -> None:
    effects, _ = forecast(
        PriorityClassIntent(caller="desk", priority_class="gold"), build_digests(0)
    )
    assert effects == ("requests of desk are served as gold (was bronze)",)


def test_intents_with_unknown_names_are_refused() -> None:
    base = build_base()
    for intent in (
        UndoDrainIntent(drain_id="none"),
        PriorityClassIntent(caller="nobody", priority_class="gold"),
        PriorityClassIntent(caller="desk", priority_class="platinum"),
        drain(DrainKind.REGION, "nowhere"),
    ):
        assert apply_intent(intent, base).is_err()
    assert apply_intent(shift(1.0), None).is_err()


def test_intent_is_parsed_from_json_or_refused_with_the_faulty_key() -> None:
    fields = {"kind": "drain", "drain_id": "d"}
    drain_fields = {"kind": "region", "name": "kosice"}
    read = intent_from_mapping({**fields, "drain": drain_fields}).unwrap()
    assert read == drain(DrainKind.REGION, "kosice")
    bad = intent_from_mapping({**fields, "drain": {**drain_fields, "kind": "moon"}})
    assert bad.unwrap_err().problems[0].startswith("drain.kind:")
    assert "not one of apply" in str(intent_from_mapping({"kind": "x"}).unwrap_err())
