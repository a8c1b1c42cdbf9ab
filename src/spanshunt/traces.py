"""The way of one request through the logs of the boxes that it reached."""

import typing as t

import msgspec

Line = dict[str, t.Any]

_NOT_SHOWN = frozenset({"at", "level", "box", "event", "request"})

CONTEXT = frozenset(
    {
        "catalog",
        "workers",
        "worker ended",
        "content kept back",
        "content released",
        "woke",
        "roll-out ordered",
        "roll-out evidence",
        "roll-out judged",
        "verdict recorded",
        "store lost",
        "store regained",
        "peer lost",
        "peer regained",
        "started",
        "stopping",
    }
)
"""Events that change what a box believes."""

CONTEXT_S = 10.0
"""How long before a request's last line such events are shown, in s."""


class Trace(msgspec.Struct, frozen=True):
    """The lines of one request, and what its boxes came to believe shortly before.

    Attributes
    ----------
    lines : list of dict
        In the order of their times.
    unreadable : int
        Lines that are no log lines.
    """

    lines: list[Line]
    unreadable: int


def trace(raw: t.Iterable[bytes], request: str) -> Trace:
    """Collect the lines of a request and the context of the boxes that it reached."""
    own: list[Line] = []
    context: list[Line] = []
    unreadable = 0
    for line in raw:
        begin = line.find(b"{")
        try:
            decoded = msgspec.json.decode(line[max(0, begin) :], type=Line)
        except msgspec.MsgspecError:
            unreadable += 1
            continue
        if decoded.get("request") == request:
            own.append(decoded)
        elif decoded.get("event") in CONTEXT:
            context.append(decoded)
    last = max((line.get("at", 0.0) for line in own), default=0.0)
    boxes = {line.get("box") for line in own}
    near = [
        line
        for line in context
        if line.get("box") in boxes and last - CONTEXT_S <= line.get("at", 0.0) <= last
    ]
    lines = sorted(own + near, key=lambda line: float(line.get("at", 0.0)))
    return Trace(lines, unreadable)


def show(line: Line, begin: float) -> str:
    """Return a line for people, its time counted from `begin`, in s."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _NOT_SHOWN
    )
    mark = ">" if "request" in line else " "
    at = float(line.get("at", 0.0)) - begin
    return f"{mark} {at:8.3f} {line.get('box')} {line.get('event')}: {fields}"
