"""A table of roll-outs: bad versions and sound ones, with troubles beside.

``python -m bench.plays --seeds 4`` plays each kind with each trouble on as many seeds.
It prints of each cell how many were taken back and how many kept their bounds, and the
most requests that a bad version got too late or over its share.
"""

import concurrent.futures
import os
import typing as t
from dataclasses import dataclass

import cappa

from spanshunt.tables.rollouts import Verdict

from .play_cases import Kind
from .play_cases import Outcome
from .play_cases import Trouble
from .play_cases import play_case


class Cell(t.NamedTuple):
    """One kind of version under one trouble."""

    kind: Kind
    trouble: Trouble


def play_table(
    cells: list[Cell], seeds: t.Sequence[int], jobs: int
) -> dict[Cell, list[Outcome]]:
    """Play each cell on each seed, on so many processors."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        plays = {
            cell: [pool.submit(play_case, *cell, seed) for seed in seeds]
            for cell in cells
        }
        return {cell: [play.result() for play in row] for cell, row in plays.items()}


def summary(cell: Cell, outcomes: list[Outcome]) -> str:
    """Return one line of the table."""
    verdicts = [outcome.verdict for outcome in outcomes]
    parts = [
        f"{cell.kind.value:26} {cell.trouble.value:38}",
        f"taken back {verdicts.count(Verdict.ROLLED_BACK):3}",
        f"succeeded {verdicts.count(Verdict.SUCCEEDED):3}",
        f"running {verdicts.count(Verdict.RUNNING):2}",
    ]
    if cell.kind is not Kind.GOOD:
        kept = sum(outcome.kept for outcome in outcomes)
        late = max(outcome.late for outcome in outcomes)
        over = max(outcome.exposed - outcome.allowed for outcome in outcomes)
        parts.append(f"kept {kept:3} of {len(outcomes):3}, late {late:4}, {over:+5.0f}")
    served = sum(outcome.served for outcome in outcomes) / len(outcomes)
    parts.append(f"served {served:.3f}")
    return "  ".join(parts)


@cappa.command(name="plays", help="A table of roll-outs in plays.")
@dataclass
class PlaysCommand:
    """Arguments of the table."""

    seeds: t.Annotated[int, cappa.Arg(long=True, help="Plays of each cell.")] = 2
    first: t.Annotated[int, cappa.Arg(long=True, help="The first seed.")] = 1
    kind: t.Annotated[str, cappa.Arg(long=True, help="Only kinds with this.")] = ""
    trouble: t.Annotated[str, cappa.Arg(long=True, help="Only troubles so.")] = ""
    jobs: t.Annotated[int, cappa.Arg(long=True, help="Processors; 0: half.")] = 0


def main() -> None:
    """Play and print the table."""
    command = cappa.parse(PlaysCommand)
    cells = [
        Cell(kind, trouble)
        for kind in Kind
        for trouble in Trouble
        if command.kind in kind.value and command.trouble in trouble.value
    ]
    seeds = range(command.first, command.first + command.seeds)
    jobs = command.jobs or max(1, (os.cpu_count() or 2) // 2)
    for cell, outcomes in play_table(cells, seeds, jobs).items():
        print(summary(cell, outcomes))


if __name__ == "__main__":
    main()
