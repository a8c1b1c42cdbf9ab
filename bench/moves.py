"""Requests that ran on another version than the one before them in their session.

``python -m bench.moves LOG...`` counts them from boxes' log lines, a file a play.
``--hashes N`` plays the same traffic again under N other hashes by the rule that was in
force before sessions entered after the half alone: a box holds the sessions that it
answered itself to their version and draws the others.
"""

import collections
import pathlib
import typing as t
from dataclasses import dataclass

import cappa
import msgspec

from spanshunt.utils import unit_hash

SESSION_S = 5.0
"""How long a session may pause, in s."""

REMEMBERED_S = 6.0
"""How long a box remembered a session after its last answer began, in s."""

SHARE, ENTERS_S, HALF_S = 0.054, 0.7, 12.0
"""By that rule, for an order of 24 s: the share of sessions that enter in the first
half, when the version's workers are known, and when the half is over, in s."""


class Asked(t.NamedTuple):
    """A request of a session; times in s after the order, by the boxes' clocks."""

    at: float
    session: str
    box: str
    version: str
    first: float
    ended: float


def requests_of(path: pathlib.Path) -> list[Asked]:
    """Read the requests of sessions from a play's log lines, by their times."""
    sent: dict[str, dict[str, t.Any]] = {}
    first: dict[str, float] = {}
    ended: dict[str, float] = {}
    began = float("inf")
    for line in path.read_bytes().splitlines():
        try:
            row = msgspec.json.decode(line[max(0, line.find(b"{")) :], type=dict)
        except msgspec.MsgspecError:
            continue
        event, request = row.get("event"), row.get("request", "")
        if event == "roll-out ordered":
            began = min(began, row["at"] - row["age_ms"] / 1_000)
        elif event == "dispatch" and row.get("session"):
            sent.setdefault(request, row)
        elif event == "first event":
            first[request] = row["at"]
        elif event == "settled":
            ended[request] = row["at"]
    found = [
        Asked(
            at=row["at"] - began,
            session=row["session"],
            box=row["box"],
            version=row["version"],
            first=first.get(request, ended[request]) - began,
            ended=ended[request] - began,
        )
        for request, row in sent.items()
        if request in ended
    ]
    return sorted(found)


def count_moves(asked: t.Iterable[Asked]) -> int:
    """Count requests on another version than the one that ended before them."""
    moves = 0
    before: dict[str, Asked] = {}
    for one in asked:
        last = before.get(one.session)
        if last is not None and last.ended <= one.at < last.ended + SESSION_S:
            moves += one.version != last.version
        before[one.session] = one
    return moves


def drawn_by_memory(asked: t.Iterable[Asked], salt: str) -> list[Asked]:
    """Return the first half's traffic with the versions that the earlier rule gives."""
    remembered: dict[tuple[str, str], Asked] = {}
    drawn = []
    for one in asked:
        if one.at > HALF_S:
            break
        known = remembered.get((one.box, one.session))
        if one.at < ENTERS_S:
            version = "leaving"
        elif known is not None and one.at - known.first <= REMEMBERED_S:
            version = known.version
        else:
            version = "entering" if unit_hash(salt, one.session) < SHARE else "leaving"
        now = one._replace(version=version)
        remembered[(one.box, one.session)] = now
        drawn.append(now)
    return drawn


@cappa.command(name="moves", help="Requests that moved within their session.")
@dataclass
class MovesCommand:
    """Arguments of the count."""

    logs: t.Annotated[list[pathlib.Path], cappa.Arg(num_args=-1, help="Plays' logs.")]
    hashes: t.Annotated[int, cappa.Arg(long=True, help="Other hashes.")] = 0


def main() -> None:
    """Print the moves of each play, and how often the earlier rule gives how many."""
    command = cappa.parse(MovesCommand)
    given: collections.Counter[int] = collections.Counter()
    for path in command.logs:
        asked = requests_of(path)
        half = [one for one in asked if one.at <= HALF_S]
        print(f"{path.name}: {len(asked)} requests, {count_moves(half)} moved")
        for number in range(command.hashes):
            given[count_moves(drawn_by_memory(asked, str(number)))] += 1
    for moves, times in sorted(given.items()):
        print(f"{moves} moved: {times / given.total():.4f} of {given.total()}")


if __name__ == "__main__":
    main()
