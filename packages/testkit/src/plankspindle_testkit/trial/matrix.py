"""Run the fault matrix: ``python -m plankspindle_testkit.trial.matrix``."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations
from pathlib import Path
from typing import TYPE_CHECKING

import click

from plankspindle_testkit.trial.fault_matrix import FAULTS
from plankspindle_testkit.trial.fault_matrix import INJECTION_STEPS
from plankspindle_testkit.trial.fault_matrix import OPERATIONS
from plankspindle_testkit.trial.fault_matrix import MatrixCell
from plankspindle_testkit.trial.fault_matrix import run_cell
from plankspindle_testkit.trial.fault_matrix import run_pair

if TYPE_CHECKING:
    from collections.abc import Sequence

WORKERS = 6
CHUNK = 4
HAND_WRITTEN_HEADING = "# The soak\n"
"""Heading of the hand-written part, which follows the matrix on its page."""
_BY_NAME = {operation.name: operation for operation in OPERATIONS}


@click.command()
@click.option(
    "--write",
    type=click.Path(path_type=Path),
    help="Markdown page to write the table to.",
)
@click.option("--pairs/--no-pairs", default=False, help="Run pairs of faults, too.")
def main(write: Path | None, pairs: bool) -> None:
    """Run every fault at every step of every operation and print the outcomes."""
    with ProcessPoolExecutor(WORKERS) as pool:
        single_cells = list(pool.map(_run_single, _single_names(), chunksize=CHUNK))
        pair_cells: list[MatrixCell] = []
        if pairs:
            pair_cells = list(pool.map(_run_double, _double_names(), chunksize=CHUNK))
    with_violations = [cell for cell in (*single_cells, *pair_cells) if cell.violations]
    page = render_page(single_cells, pair_cells)
    if write is None:
        click.echo(page)
    else:
        before = write.read_text(encoding="utf-8") if write.exists() else ""
        write.write_text(page + hand_written_part(before), encoding="utf-8")
    for cell in with_violations:
        where = f"{cell.operation}, {cell.fault}"
        click.echo(f"broken: {where}: {cell.violations[0]}", err=True)
    sys.exit(1 if with_violations else 0)


def hand_written_part(page: str) -> str:
    """Return the part of a page that this command does not generate.

    Parameters
    ----------
    page : str
        Previous content of the page; the part starts at ``HAND_WRITTEN_HEADING``.
    """
    _, heading, rest = page.partition(HAND_WRITTEN_HEADING)
    return f"\n{heading}{rest}" if heading else ""


def _single_names() -> list[tuple[str, str]]:
    return [(operation, fault) for operation in _BY_NAME for fault in FAULTS]


def _double_names() -> list[tuple[str, str, str]]:
    faults = [fault for fault in FAULTS if fault != "none"]
    return [
        (operation, first, second)
        for operation in _BY_NAME
        for first, second in combinations(faults, 2)
    ]


def _run_single(names: tuple[str, str]) -> MatrixCell:
    return run_cell(_BY_NAME[names[0]], names[1])


def _run_double(names: tuple[str, str, str]) -> MatrixCell:
    return run_pair(_BY_NAME[names[0]], names[1], names[2])


def render_page(
    single_cells: Sequence[MatrixCell], pair_cells: Sequence[MatrixCell]
) -> str:
    """Render the matrix as a Markdown page.

    Parameters
    ----------
    single_cells, pair_cells : sequence of MatrixCell
        Cells of single faults, and of pairs of faults.

    Returns
    -------
    str
        The page.
    """
    steps = ", ".join(str(step) for step in INJECTION_STEPS)
    lines = [
        "# Fault matrix",
        "",
        "Written by `python -m plankspindle_testkit.trial.matrix --pairs --write"
        " docs/FAULTS.md`.",
        "Each cell is an operation under a fault that is injected some steps of 50 ms",
        f"after its start ({steps}), healed 4 s later and followed for 14 s, beside a",
        "load of 15 requests a second. A cell says how often the operation ended in",
        "which way. A broken promise or an end that is not allowed is in bold.",
        "",
    ]
    for operation in OPERATIONS:
        lines += _render_operation(operation.name, single_cells)
    if pair_cells:
        lines += _render_pairs(pair_cells)
    return "\n".join(lines) + "\n"


def _render_operation(name: str, single_cells: Sequence[MatrixCell]) -> list[str]:
    operation = _BY_NAME[name]
    lines = [
        f"## {name}",
        "",
        f"Must: {operation.requirement}. May end as:"
        f" {', '.join(sorted(operation.allowed_outcomes))}.",
        "",
        "| fault | ended as |",
        "| --- | --- |",
    ]
    for cell in single_cells:
        if cell.operation == name:
            lines.append(f"| {cell.fault} | {_render_outcomes(cell)} |")
    return [*lines, ""]


def _render_outcomes(cell: MatrixCell) -> str:
    outcomes = [f"{outcome}: {count}" for outcome, count in cell.outcomes]
    outcomes += [f"**{each}**" for each in cell.violations]
    return ", ".join(outcomes)


def _render_pairs(pair_cells: Sequence[MatrixCell]) -> list[str]:
    lines = [
        "## Pairs",
        "",
        "Each pair of different faults, the second 1, 8 and 40 steps after the first.",
        "",
        "| operation | pairs | runs | broken | ended as |",
        "| --- | --- | --- | --- | --- |",
    ]
    for operation in OPERATIONS:
        cells = [cell for cell in pair_cells if cell.operation == operation.name]
        totals: dict[str, int] = {}
        for cell in cells:
            for outcome, count in cell.outcomes:
                totals[outcome] = totals.get(outcome, 0) + count
        failed = [f"{cell.fault}: {each}" for cell in cells for each in cell.violations]
        runs = sum(totals.values()) + len(failed)
        ends = ", ".join(
            f"{outcome}: {count}" for outcome, count in sorted(totals.items())
        )
        lines.append(
            f"| {operation.name} | {len(cells)} | {runs} | {len(failed)} | {ends} |"
        )
        lines += [f"\n**{each}**" for each in failed]
    return [*lines, ""]


if __name__ == "__main__":
    main()
