"""What a run's logs add up to: outcomes, times and attempts, second by second.

The lines are those that boxes write to standard output, of one box or of many.
"""

import collections
import typing as t

import msgspec

SHOWN_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "catalog",
        "roll-out ordered",
        "roll-out judged",
        "verdict recorded",
        "store lost",
        "store regained",
        "peer lost",
        "invariant broken",
    }
)
"""Events that change what a box believes; each is a row of the report's table."""

EVENTS_MOST = 400
"""Such events kept, the first ones: a run of many boxes has thousands."""

_NOT_SHOWN = frozenset({"at", "level", "box", "event"})


class LogLine(msgspec.Struct, frozen=True):
    """The members of a log line that a report reads; a line has some of them."""

    at: float
    event: str
    box: str = ""
    outcome: str = ""
    route: str = ""
    took_ms: int = 0
    attempts: tuple[str, ...] = ()


class RequestSummary(msgspec.Struct):
    """Requests of a route or a second: how they ended, and times of those delivered.

    The times are in ms.
    """

    outcomes: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    took: list[int] = msgspec.field(default_factory=list)


class EventRow(msgspec.Struct, frozen=True):
    """An event that changed what a box believes; the time is in s from the start."""

    at: float
    box: str
    event: str
    detail: str


class RunSummary(msgspec.Struct):
    """A run.

    Attributes
    ----------
    begin, end : float
        Times of the first and the last line, in s since the epoch.
    lines, unreadable : int
        Log lines, and lines that are none.
    boxes : set of str
        Who wrote them.
    routes : dict
        By route.
    seconds : dict
        By whole second from the start.
    endings : Counter
        How attempts ended, by worker and ending.
    events, events_left : list of EventRow, int
        What changed boxes' beliefs, and how many rows found no room.
    """

    begin: float = 0.0
    end: float = 0.0
    lines: int = 0
    unreadable: int = 0
    boxes: set[str] = msgspec.field(default_factory=set)
    routes: dict[str, RequestSummary] = msgspec.field(default_factory=dict)
    seconds: dict[int, RequestSummary] = msgspec.field(default_factory=dict)
    endings: collections.Counter[tuple[str, str]] = msgspec.field(
        default_factory=collections.Counter
    )
    events: list[EventRow] = msgspec.field(default_factory=list)
    events_left: int = 0


def summarise(raw: t.Iterable[bytes]) -> RunSummary:
    """Add up the lines of a run, in whatever order the boxes' files come."""
    summary = RunSummary()
    rows: list[tuple[LogLine, bytes]] = []
    for line in raw:
        data = line[max(0, line.find(b"{")) :]
        try:
            rows.append((msgspec.json.decode(data, type=LogLine), data))
        except msgspec.MsgspecError:
            summary.unreadable += 1
    rows.sort(key=lambda row: row[0].at)
    if rows:
        summary.begin, summary.end = rows[0][0].at, rows[-1][0].at
    for row, data in rows:
        _take(summary, row, data)
    return summary


def quantile(values: list[int], part: float) -> int:
    """Return the value below which `part` of `values` lie; 0 for none."""
    if not values:
        return 0
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def _take(summary: RunSummary, row: LogLine, data: bytes) -> None:
    summary.lines += 1
    summary.boxes.add(row.box)
    if row.event in ("settled", "refused"):
        _take_request(summary, row)
    elif row.event in SHOWN_EVENTS:
        _take_event(summary, row, data)


def _take_request(summary: RunSummary, row: LogLine) -> None:
    second = summary.seconds.setdefault(int(row.at - summary.begin), RequestSummary())
    route = summary.routes.setdefault(row.route or "(none)", RequestSummary())
    for part in (second, route):
        part.outcomes[row.outcome] += 1
        if row.outcome == "delivered":
            part.took.append(row.took_ms)
    for attempt in row.attempts:
        worker, _, rest = attempt.partition(":")
        ending = rest.split(":")[-2] if rest.count(":") >= 2 else rest
        summary.endings[worker, ending] += 1


def _take_event(summary: RunSummary, row: LogLine, data: bytes) -> None:
    if len(summary.events) >= EVENTS_MOST:
        summary.events_left += 1
        return
    members = msgspec.json.decode(data, type=dict[str, t.Any])
    detail = " ".join(
        f"{name}={value}" for name, value in members.items() if name not in _NOT_SHOWN
    )
    at = round(row.at - summary.begin, 3)
    summary.events.append(EventRow(at, row.box, row.event, detail))
