"""Splitting of event streams into complete events."""

import re

import msgspec

from .ports import BrokenAnswerError
from .sse import MAX_EVENT_BYTES
from .utils import WHOLE_DIGITS

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_END_BYTES = 3
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)", re.MULTILINE)


class Events(msgspec.Struct, frozen=True):
    """Consecutive complete events, the last id among them, and their number."""

    block: bytes
    last_id: int | None
    count: int = 0


class EventSplitter:
    """Splits blocks of a stream into complete events.

    Parameters
    ----------
    last_seen_id : int or None
        Events with ids up to this one are dropped, as the caller received them.
    """

    def __init__(self, last_seen_id: int | None = None) -> None:
        self._partial = b""
        self._last_seen_id = last_seen_id

    @property
    def partial(self) -> bytes:
        """Bytes of an incomplete event at the end."""
        return self._partial

    def feed(self, block: bytes) -> Events:
        """Return the events that `block` completes.

        Raises
        ------
        BrokenAnswerError
            If an id has too many digits, or the event that follows them is too long.
        """
        searched = max(0, len(self._partial) - _END_BYTES)
        data = self._partial + block
        events: list[bytes] = []
        start = 0
        last_id: int | None = None
        for match in _EVENT_END.finditer(data, searched):
            event = data[start : match.end()]
            start = match.end()
            event_id = _event_id(event)
            if event_id is not None:
                if self._last_seen_id is not None and event_id <= self._last_seen_id:
                    continue
                last_id = event_id
            events.append(event)
        self._partial = data[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise BrokenAnswerError(f"event: over {MAX_EVENT_BYTES} bytes")
        return Events(b"".join(events), last_id, len(events))


def _event_id(event: bytes) -> int | None:
    match = _EVENT_ID.search(event)
    if match is None:
        return None
    digits = match[1]
    if len(digits) > WHOLE_DIGITS:
        detail = f"{len(digits)} digits; up to {WHOLE_DIGITS} are allowed"
        raise BrokenAnswerError(f"event id: {detail}")
    return int(digits)
