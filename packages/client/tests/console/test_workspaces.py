"""Tests of the list of workspaces and of explaining their refusals."""

from __future__ import annotations

from typing import Any

from click.testing import CliRunner

from plankspindle_client.console.application import main
from plankspindle_client.console.commands.workspaces import _render
from plankspindle_core.logs.line_rendering import render_line


def workspace(**fields: Any) -> dict[str, Any]:
    shown = {
        "keys": 2,
        "priority_class": None,
        "rate_per_s": 8.0,
        "burst": 4.0,
        "home_regions": [],
        "holder": "vm-2",
        "share_held": 0.0,
        "tokens_given": 0,
        "tokens_denied": 0,
        "admitted": 7,
        "refused": 1,
    }
    return {**shown, **fields}


def test_limited_workspace_is_printed_with_token_holder() -> None:
    assert _render("depot", workspace()) == (
        "depot: 8/s and 4 at once, class of the route, any region, 2 keys; here 7"
        " admitted, 1 refused; tokens come from vm-2"
    )


def test_share_holder_prints_tokens_given() -> None:
    held = workspace(share_held=0.25, tokens_given=31, tokens_denied=4)
    assert _render("depot", held).endswith(
        "this VM holds 25 % of the limit, gave 31 tokens and denied 4"
    )


def test_unlimited_workspace_is_printed_without_holder() -> None:
    free = workspace(rate_per_s=0.0, home_regions=["kosice"], priority_class="gold")
    assert _render("depot", free) == (
        "depot: no limit, gold, kosice, 2 keys; here 7 admitted, 1 refused"
    )


def explain(**fields: Any) -> str:
    lines = [
        render_line(
            event=event, wall=at, fields={"vm": "a", "request": "r", "step": at, **more}
        )
        for at, event, more in (
            (1, "request_routed", {"service": "registry"}),
            (
                2,
                "quota_token_decided",
                {"workspace": "depot", "taken": False, **fields},
            ),
            (3, "request_failed", {"ending": "not-run", "status": 429}),
        )
    ]
    ran = CliRunner().invoke(main, ["explain", "r"], input="\n".join(lines) + "\n")
    return ran.output.splitlines()[-1]


def test_refusal_over_quota_is_explained() -> None:
    assert explain(over_quota=True, waited_ms=3) == (
        "Workspace depot had used its quota, and the request was not run; it was"
        " decided after 3 ms. plankspindle workspaces shows its limit."
    )


def test_refusal_without_holder_is_explained() -> None:
    assert "No entry VM that hands out the quota of workspace depot answered" in (
        explain(over_quota=False, waited_ms=600)
    )
