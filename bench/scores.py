"""Worth by day of the journal's scores, those of new code beside those of old code.

``python -m bench.scores BEFORE AFTER`` takes two commits, or beginnings of them, reads
the entries that scores made on their code, and prints each day that both played. Days
are drawn by name and seed, so both are the same day. Scores themselves are made by the
bench of the users, one deployment after the other.
"""

import json
import pathlib
import statistics
import sys
import typing as t
from dataclasses import dataclass

import cappa

JOURNAL = pathlib.Path(__file__).parent.parent / "journal"

MAX_FALL = 0.03
"""Largest fall of a deployment's mean worth that counts as noise."""


class DayKey(t.NamedTuple):
    """A day of a deployment, drawn with a seed."""

    site: str
    day: str
    seed: int


class DayScore(t.NamedTuple):
    """What a day earned: its worth, the served share, and the broken rules."""

    worth: float
    served: float
    broken: tuple[str, ...]


def read_scores(journal: pathlib.Path, head: str) -> dict[DayKey, DayScore]:
    """Return the days of all scores made on the code of commit `head`, newest last."""
    found: dict[DayKey, DayScore] = {}
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry.get("cmd") != "score" or not entry["head"].startswith(head):
            continue
        for day in entry["days"]:
            key = DayKey(entry["site"], day["name"], day["seed"])
            broken = tuple(sorted(day["rules"] or ()))
            if day["fault"]:
                broken += ("fault",)
            found[key] = DayScore(day["G"], day["served"], broken)
    return found


def fallen_sites(
    before: dict[DayKey, DayScore], after: dict[DayKey, DayScore]
) -> list[str]:
    """Return the deployments whose mean worth fell by over `MAX_FALL`."""
    falls: dict[str, list[float]] = {}
    for key in before.keys() & after.keys():
        falls.setdefault(key.site, []).append(before[key].worth - after[key].worth)
    return sorted(
        site for site, rows in falls.items() if statistics.fmean(rows) > MAX_FALL
    )


@cappa.command(name="scores")
@dataclass
class Compare:
    """Compare the scores of two commits; exit with 1 if a deployment fell.

    Parameters
    ----------
    before, after : str
        Commits, or beginnings of them.
    """

    before: str
    after: str

    def __call__(self) -> None:
        """Print the days that both played, and the deployments that fell."""
        before = read_scores(JOURNAL, self.before)
        after = read_scores(JOURNAL, self.after)
        for key in sorted(before.keys() & after.keys()):
            old, new = before[key], after[key]
            print(
                f"{key.site:28} {key.day:12} worth {old.worth:.3f} -> {new.worth:.3f}"
                f"  served {old.served:.3f} -> {new.served:.3f}"
                f"  {' '.join(new.broken)}"
            )
        fallen = fallen_sites(before, after)
        print("fallen:", ", ".join(fallen) or "none")
        if fallen:
            sys.exit(1)


if __name__ == "__main__":
    cappa.invoke(Compare)
