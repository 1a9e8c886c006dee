"""Tests of explaining one request from logs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from click.testing import CliRunner

from plankspindle_client.console.application import main
from plankspindle_core.logs.line_rendering import render_line

if TYPE_CHECKING:
    from pathlib import Path

    from click.testing import Result


def line(event: str, at: float, vm: str = "a", **fields: Any) -> str:
    return render_line(event=event, wall=at, fields={"vm": vm, **fields})


def explain(*arguments: str, log: list[str] | None = None) -> Result:
    text = None if log is None else "\n".join(log) + "\n"
    return CliRunner().invoke(main, ["explain", *arguments], input=text)


REJECTED = [
    line(
        "request_rejected",
        10.2,
        request="r",
        step=2,
        reason="queue-full",
        retry_after_ms=300,
        queued=7,
        capacity=4,
        in_flight=4,
        usual_ms=250,
        left_ms=900,
    ),
    line("request_routed", 10.0, request="r", step=1, service="registry"),
    line("request_failed", 10.2, request="r", step=3, ending="not-run", status=503),
]


def test_steps_are_printed_in_order_of_time() -> None:
    printed = explain("r", log=REJECTED).output.splitlines()
    events = [each.split()[4] for each in printed[1:-1]]
    assert events == ["request_routed", "request_rejected", "request_failed"]
    assert printed[0] == "request r on a"
    assert "+200 ms" in printed[2]


def test_rejection_is_explained_with_its_numbers() -> None:
    printed = explain("r", log=REJECTED).output.splitlines()[-1]
    assert printed == (
        "It was rejected as queue-full, and was not run: 7 requests waited, 4 of 4"
        " places were in use, such a request usually takes 250 ms and 900 ms were left;"
        " it was told to come back after 300 ms."
    )


def test_rejection_for_withheld_upstreams_refers_to_statements() -> None:
    rejected = line("request_rejected", 10.2, request="r", step=2, reason="withheld")
    printed = explain("r", log=[rejected, *REJECTED[1:]]).output.splitlines()[-1]
    assert "rests, or names a limit" in printed
    assert "upstream_stated" in printed


def test_lost_answer_is_explained_with_reason_for_no_retry() -> None:
    log = [
        line("attempt_sent", 1.0, request="r", step=1),
        line(
            "attempt_ended",
            1.4,
            request="r",
            step=2,
            attempt=1,
            upstream="u",
            came="no answer",
            ran="maybe",
            took_ms=400,
        ),
        line("retry_decided", 1.4, request="r", step=3, taken=False, because="budget"),
        line("request_failed", 1.4, request="r", step=4, ending="unknown"),
    ]
    assert explain("r", log=log).output.splitlines()[-1] == (
        "Attempt 1 at u ended after 400 ms: no answer. It may have run. It was not sent"
        " again: budget."
    )


def test_suspected_request_is_explained_with_its_identity() -> None:
    log = [
        line("attempt_ended", 1.0, request="q", step=1, attempt=1, upstream="u",
             verdict="failed", came="connection lost", ran="maybe", took_ms=90),
        line("request_suspected", 1.0, request="q", step=2, identity="00ab"),
        line("request_failed", 1.1, request="q", step=3, ending="unknown",
             status=502, reason="suspected", took_ms=100),
    ]  # fmt: skip
    printed = explain("q", log=log).output
    assert "It may have run. It was not sent again: upstreams ended under" in printed
    assert "00ab" in printed


def test_late_answer_is_explained_with_its_longest_interval() -> None:
    log = [
        line("request_routed", 1.0, request="r", step=1),
        line("attempt_sent", 1.1, request="r", step=2),
        line("attempt_ended", 1.9, request="r", step=3, upstream="u"),
        line("request_late", 1.9, request="r", step=4, ending="served", took_ms=900),
    ]
    assert explain("r", log=log).output.splitlines()[-1] == (
        "It was served after 900 ms; the longest part, 800 ms, lies between"
        " attempt_sent and attempt_ended (upstream u)."
    )


def test_only_related_events_are_printed_as_context() -> None:
    log = [
        line("upstream_standing", 9.0, service="registry", upstream="u", now="gone"),
        line(
            "upstream_standing", 9.0, service="registry", upstream="other", now="gone"
        ),
        line("platform_lost", 9.5, seen="status 503"),
        line("platform_lost", 9.5, vm="elsewhere"),
        line("platform_lost", -500.0),
        line("request_routed", 10.0, request="r", step=1),
        line("attempt_ended", 10.1, request="r", step=2, upstream="u", ran="no"),
        line("request_failed", 10.1, request="r", step=3, ending="not-run"),
        line("request_failed", 10.1, request="another", step=3),
    ]
    printed = explain("r", log=log).output.splitlines()
    context_lines = printed[printed.index("at that time:") + 1 : -1]
    assert len(context_lines) == 2
    assert "upstream=u" in context_lines[0]
    assert "platform_lost" in context_lines[1]


def test_logs_of_several_vms_are_merged_into_one_trace(tmp_path: Path) -> None:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        line("request_sent_on", 1.0, request="r", step=1)
        + "\nTraceback (most recent call last):\n"
        + line("request_failed", 1.5, request="r", step=2, ending="not-run")
    )
    second.write_text(line("request_rejected", 1.2, vm="b", request="r", step=1))
    printed = explain("r", str(first), str(second)).output.splitlines()
    assert printed[0] == "request r on a, b"
    assert [each.split()[3] for each in printed[1:4]] == ["a", "b", "a"]


def test_unknown_request_is_reported_with_number_of_dropped_lines() -> None:
    log = [line("log_lines_dropped", 1.0, lines=12, by_event="request_failed:12")]
    found = explain("r", log=log)
    assert found.exit_code == 1
    assert "none of 1 lines names request 'r'" in found.output
    assert "12 lines were dropped" in found.output


def test_json_output_has_steps_and_cause() -> None:
    found = CliRunner().invoke(
        main, ["--output", "json", "explain", "r"], input="\n".join(REJECTED)
    )
    printed = json.loads(found.output)
    assert [each["event"] for each in printed["steps"]][-1] == "request_failed"
    assert printed["cause"].startswith("It was rejected as queue-full")


@pytest.mark.parametrize(
    ("ending", "fields", "printed"),
    [
        ("refused", {"status": 404, "reason": "no route"}, "refused (404): no route."),
        ("caller-gone", {"took_ms": 80}, "caller went away after 80 ms."),
        ("not-run", {"reason": "leaving"}, "ended as not-run: leaving"),
    ],
)
def test_every_outcome_is_explained(
    ending: str, fields: dict[str, Any], printed: str
) -> None:
    log = [line("request_failed", 1.0, request="r", step=1, ending=ending, **fields)]
    assert printed in explain("r", log=log).output.splitlines()[-1]


def test_missing_completion_event_is_explained() -> None:
    log = [line("request_routed", 1.0, request="r", step=1)]
    assert "read those of all entry VMs" in explain("r", log=log).output


def test_software_version_is_explained_if_versions_share_requests() -> None:
    placed = line("request_placed", 10.1, request="r", step=2, upstream="u")
    served = line(
        "request_served", 10.3, request="r", step=3, ending="served", took_ms=3
    )
    assert "software version" not in explain("r", log=[placed, served]).output
    versioned = line(
        "request_placed",
        10.1,
        request="r",
        step=2,
        upstream="u",
        software_version="v2",
        software_version_reason="canary",
    )
    printed = explain("r", log=[versioned, served]).output.splitlines()[-1]
    assert printed.endswith(
        "It was sent to software version v2, as one of the few requests of a roll-out"
        " that try the new version."
    )


def test_vm_that_served_for_another_is_named() -> None:
    log = [
        line("request_routed", 10.0, request="r", step=1, service="registry"),
        line("request_relayed", 10.1, request="r", step=2, to="b", asked_before=0),
        line("relay_accepted", 10.1, vm="b", request="r", step=2, sender="a"),
        line(
            "request_served",
            10.3,
            request="r",
            step=3,
            ending="served",
            status=200,
            took_ms=300,
        ),
    ]
    printed = explain("r", log=log).output.splitlines()[-1]
    assert printed.endswith("a reached no upstream and relayed it to b.")


def test_request_that_no_vm_took_is_explained() -> None:
    log = [
        line("request_routed", 10.0, request="r", step=1, service="registry"),
        line(
            "request_failed",
            10.1,
            request="r",
            step=2,
            ending="not-run",
            status=503,
            reason="cut-off",
        ),
    ]
    assert "reached no upstream" in explain("r", log=log).output.splitlines()[-1]
