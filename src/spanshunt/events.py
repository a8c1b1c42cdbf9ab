"""Event streams cut into whole events."""

import re

import msgspec

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)", re.MULTILINE)


class Events(msgspec.Struct, frozen=True):
    """Whole events in a row, the id of the last one that has one, and their number."""

    block: bytes
    last_id: int | None
    count: int = 0


class EventSplitter:
    """Takes blocks as they come and returns the whole events in them.

    Parameters
    ----------
    seen : int or None
        Events with ids up to this one are dropped: the caller has them.
    """

    def __init__(self, seen: int | None = None) -> None:
        self._rest = b""
        self._seen = seen

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, block: bytes) -> Events:
        """Return the events that `block` completes."""
        data = self._rest + block
        kept: list[bytes] = []
        begin = 0
        last: int | None = None
        for match in _END.finditer(data):
            event = data[begin : match.end()]
            begin = match.end()
            number = _number(event)
            if number is not None:
                if self._seen is not None and number <= self._seen:
                    continue
                last = number
            kept.append(event)
        self._rest = data[begin:]
        return Events(b"".join(kept), last, len(kept))


def _number(event: bytes) -> int | None:
    match = _ID.search(event)
    return int(match[1]) if match else None
