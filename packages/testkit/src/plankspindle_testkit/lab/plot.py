"""SVG plot of a run over time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from xml.sax.saxutils import escape

from plankspindle_testkit.lab.outcomes import WINDOW_S
from plankspindle_testkit.lab.outcomes import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from plankspindle_testkit.lab.outcomes import Outcomes

WIDTH, HEIGHT, MARGIN = 800, 240, 40
"""Size of each of the two diagrams, and the margin around it, in pixels."""
_COLOR_BY_OUTCOME = {
    Outcome.ON_TIME: "#2a7f3f",
    Outcome.LATE: "#d9a400",
    Outcome.REFUSED: "#1f5fa8",
    Outcome.FAILED: "#b3261e",
}


def render_plot(title: str, outcomes: Outcomes) -> str:
    """Return a plot of requests by outcome, and of load and slots, over time.

    Parameters
    ----------
    title : str
        Name of the pattern.
    outcomes : Outcomes
        Outcomes of a run.

    Returns
    -------
    str
        An SVG document.
    """
    windows = sorted(outcomes.by_window)
    lines = [
        (
            outcome.value,
            _COLOR_BY_OUTCOME[outcome],
            [
                (window * WINDOW_S, float(outcomes.by_window[window][outcome]))
                for window in windows
            ],
        )
        for outcome in Outcome
    ]
    samples = outcomes.samples
    states = [
        ("load", "#2a7f3f", [(each.at_s, float(each.load)) for each in samples]),
        ("slots", "#555555", [(each.at_s, float(each.slots)) for each in samples]),
        ("waiting", "#d9a400", [(each.at_s, float(each.queued)) for each in samples]),
    ]
    body = [
        _diagram(f"{title}: requests a window by outcome", lines, top=0),
        _diagram("load, slots and requests that wait", states, top=HEIGHT + MARGIN),
    ]
    height = 2 * (HEIGHT + MARGIN) + MARGIN
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 2 * MARGIN}" '
        f'height="{height}" font-family="sans-serif" font-size="12">\n'
        + "\n".join(body)
        + "\n</svg>\n"
    )


def _diagram(
    title: str,
    lines: Sequence[tuple[str, str, Sequence[tuple[float, float]]]],
    *,
    top: int,
) -> str:
    points = [point for _, _, each in lines for point in each]
    last = max((x for x, _ in points), default=1.0) or 1.0
    max_y = max((y for _, y in points), default=1.0) or 1.0
    drawn = [f'<text x="{MARGIN}" y="{top + MARGIN - 8}">{escape(title)}</text>']
    for number, (name, color, each) in enumerate(lines):
        places = " ".join(
            f"{MARGIN + WIDTH * x / last:.1f},"
            f"{top + MARGIN + HEIGHT * (1 - y / max_y):.1f}"
            for x, y in each
        )
        drawn.append(f'<polyline fill="none" stroke="{color}" points="{places}"/>')
        label_x = MARGIN + 420 + 90 * number
        drawn.append(
            f'<text x="{label_x}" y="{top + MARGIN - 8}" fill="{color}">'
            f"{escape(name)}</text>"
        )
    axis = f"0 to {last:.0f} s, 0 to {max_y:.0f}"
    drawn.append(f'<text x="{MARGIN}" y="{top + MARGIN + HEIGHT + 14}">{axis}</text>')
    return "\n".join(drawn)
