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
    """The lines of a request's content, and what its boxes believed shortly before.

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
    """Collect the lines of a request and the context of the boxes that it reached.

    Requests of the same content are its caller's further tries, at any box: their lines
    are collected, too.
    """
    lines, unreadable = _decoded(raw)
    contents = {
        line["fingerprint"]
        for line in lines
        if line.get("request") == request and line.get("fingerprint")
    }
    tries = {request} | {
        line["request"]
        for line in lines
        if "request" in line and line.get("fingerprint") in contents
    }
    own = [line for line in lines if line.get("request") in tries]
    context = [line for line in lines if line.get("event") in CONTEXT]
    last = max((line.get("at", 0.0) for line in own), default=0.0)
    boxes = {line.get("box") for line in own}
    near = [
        line
        for line in context
        if line.get("box") in boxes and last - CONTEXT_S <= line.get("at", 0.0) <= last
    ]
    found = sorted(own + near, key=lambda line: float(line.get("at", 0.0)))
    return Trace(found, unreadable)


def _decoded(raw: t.Iterable[bytes]) -> tuple[list[Line], int]:
    """Return the log lines, and how many lines are none."""
    lines: list[Line] = []
    unreadable = 0
    for line in raw:
        begin = line.find(b"{")
        try:
            lines.append(msgspec.json.decode(line[max(0, begin) :], type=Line))
        except msgspec.MsgspecError:
            unreadable += 1
    return lines, unreadable


def show(line: Line, begin: float, request: str) -> str:
    """Return a line for people, its time counted from `begin`, in s.

    Lines of `request` are marked ``>``, those of other tries of its content ``=``.
    """
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _NOT_SHOWN
    )
    told = line.get("request")
    mark = " " if told is None else ">" if told == request else f"= {told}"
    at = float(line.get("at", 0.0)) - begin
    return f"{mark} {at:8.3f} {line.get('box')} {line.get('event')}: {fields}"
