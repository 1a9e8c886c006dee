"""Propagation of a version with dead nodes: rounds, messages, misses by strategy."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from plankspindle_daemon.configuration.broadcast_targets import broadcast_targets
from plankspindle_testkit.bench.table import print_table

SIZES = (205, 4_500)
DEAD_SHARES = (0.0, 0.05)
SEEDS = range(20)
MESSAGE_BYTES = 200
MAX_ROUNDS = 60

Strategy = Callable[[str, list[str], Random], list[str]]


def run_spread_bench() -> None:
    """Print a row for each strategy, size and share of dead nodes."""
    rows = []
    for size in SIZES:
        for dead_share in DEAD_SHARES:
            for name, strategy in _strategies():
                rows.append(_row(size, dead_share, name, strategy))
    print_table(
        "Propagation of a version from one node over 20 seeds; dead nodes are not known"
        " to be dead; 200 bytes per message",
        (
            "nodes",
            "dead %",
            "strategy",
            "live nodes missed (mean)",
            "complete runs",
            "rounds (mean)",
            "messages per node",
            "most bytes sent by a node",
        ),
        rows,
    )


def _strategies() -> list[tuple[str, Strategy]]:
    return [
        ("ring", _ring_and_random(0)),
        ("ring and 1 random", _ring_and_random(1)),
        ("ring and 2 random", _ring_and_random(2)),
        ("random 4", _random(4)),
        ("random 8", _random(8)),
        ("tree of 4", _tree(4)),
        ("direct", _direct),
    ]


def _ring_and_random(random_targets: int) -> Strategy:
    def choose(me: str, members: list[str], random: Random) -> list[str]:
        return broadcast_targets(
            own_name=me,
            members=members,
            random=random,
            random_target_count=random_targets,
        )

    return choose


def _random(fanout: int) -> Strategy:
    def choose(me: str, members: list[str], random: Random) -> list[str]:
        return [members[random.randrange(len(members))] for _ in range(fanout)]

    return choose


def _tree(fanout: int) -> Strategy:
    def choose(me: str, members: list[str], random: Random) -> list[str]:
        first = int(me) * fanout + 1
        return members[first : first + fanout]

    return choose


def _direct(me: str, members: list[str], random: Random) -> list[str]:
    return members[1:] if int(me) == 0 else []


def _row(size: int, dead_share: float, name: str, strategy: Strategy) -> list[str]:
    missed, rounds, messages, max_sent = [], [], [], 0
    for seed in SEEDS:
        result = _spread(size, dead_share, strategy, Random(seed))
        missed.append(result[0])
        rounds.append(result[1])
        messages.append(result[2])
        max_sent = max(max_sent, result[3])
    count = len(missed)
    return [
        str(size),
        f"{dead_share * 100:g}",
        name,
        f"{sum(missed) / count:.2f}",
        f"{missed.count(0)} of {count}",
        f"{sum(rounds) / count:.1f}",
        f"{sum(messages) / count / size:.2f}",
        str(max_sent * MESSAGE_BYTES),
    ]


def _spread(
    size: int, dead_share: float, strategy: Strategy, random: Random
) -> tuple[int, int, int, int]:
    """Return missed live nodes, rounds, messages, and the most messages of one node."""
    members = [f"{number:05}" for number in range(size)]
    dead = set(random.sample(members[1:], int(size * dead_share)))
    informed = {members[0]}
    fresh = [members[0]]
    messages = max_sent = rounds = 0
    while fresh and rounds < MAX_ROUNDS:
        reached = set()
        for node in fresh:
            targets = strategy(node, members, random)
            messages += len(targets)
            max_sent = max(max_sent, len(targets))
            reached.update(targets)
        fresh = sorted(reached - informed - dead)
        informed.update(fresh)
        rounds += bool(fresh)
    return size - len(dead) - len(informed), rounds, messages, max_sent
