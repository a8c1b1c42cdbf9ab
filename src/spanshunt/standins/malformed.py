"""Answers of a stand-in of a worker that lie about themselves or are none."""

import enum
import typing as t

from .endless import chunk
from .worker_messages import SeenRequest
from .worker_messages import write_head

NINES = "9" * 5_000
"""More digits than Python turns into a number."""


FLAWED_FIELD = "X-Flawed"
"""Name of a field whose line is no HTTP."""


class Malformed(enum.Enum):
    """What is wrong with an answer, after whose last byte its connection ends.

    ``LONG_ID``: an event's id has thousands of digits. ``FALLING_IDS``: ids fall.
    ``LONG_NUMBERS``, ``NO_NUMBERS``, ``NO_TEXT``: headers hold numbers out of range, no
    numbers, or bytes that are no UTF-8. ``ODD_STATUS``: a status of no meaning.
    ``NO_STATUS``, ``LOW_STATUS``, ``SHORT_STATUS``, ``HIGH_STATUS``: a status of 000,
    099, two digits, or 600. ``SWITCHED``: a protocol that nobody asked for.
    ``NO_VERSION``, ``OTHER_VERSION``: a status line without the protocol, or of another
    version of it. ``BLANK_NAME``, ``CONTROL_NAME``, ``EMPTY_NAME``: the name of a field
    holds a blank or a control byte, or nothing. ``CONTROL_VALUE``, ``BARE_RETURN``: a
    value holds a control byte, or a line end that is half of one. ``FOLDED``: a value
    goes on in a line of its own. ``NO_COLON``: a field has no value.
    ``LENGTH_AND_CHUNKS``, ``SIGNED_LENGTH``, ``OTHER_CODING``: it is unclear where the
    body ends.
    ``SHORT``: less than its length. ``TWO_LENGTHS``: two lengths. ``BAD_CHUNK``: a
    chunk whose size is none. ``NO_HTTP``: bytes of another protocol.
    ``ANSWERED_NOT_RUN``: a whole answer that says it was not run. ``ZERO_NOT_RUN``,
    ``EMPTY_NOT_RUN``: a failure whose word for that is 0, or empty.
    ``FAILED_NOT_RUN``: status 500 with it.
    """

    LONG_ID = "long id"
    FALLING_IDS = "falling ids"
    LONG_NUMBERS = "long numbers"
    NO_NUMBERS = "no numbers"
    NO_TEXT = "no text"
    ODD_STATUS = "odd status"
    NO_STATUS = "status 000"
    LOW_STATUS = "status 099"
    SHORT_STATUS = "status of two digits"
    HIGH_STATUS = "status 600"
    SWITCHED = "status 101"
    NO_VERSION = "no version"
    OTHER_VERSION = "other version"
    BLANK_NAME = "blank in a name"
    CONTROL_NAME = "control byte in a name"
    EMPTY_NAME = "empty name"
    CONTROL_VALUE = "control byte in a value"
    BARE_RETURN = "bare return"
    FOLDED = "folded line"
    NO_COLON = "no colon"
    LENGTH_AND_CHUNKS = "length and chunks"
    SIGNED_LENGTH = "signed length"
    OTHER_CODING = "other coding"
    SHORT = "short"
    TWO_LENGTHS = "two lengths"
    BAD_CHUNK = "bad chunk"
    NO_HTTP = "no HTTP"
    ANSWERED_NOT_RUN = "answered, not run"
    ZERO_NOT_RUN = "zero not run"
    EMPTY_NOT_RUN = "empty not run"
    FAILED_NOT_RUN = "failed, not run"


ANSWERS = frozenset(
    {
        Malformed.LONG_NUMBERS,
        Malformed.NO_NUMBERS,
        Malformed.NO_TEXT,
        Malformed.ANSWERED_NOT_RUN,
    }
)
"""Those whose body is whole and signed all the same."""

_STATUS_LINES = {
    Malformed.NO_STATUS: b"HTTP/1.1 000 OK",
    Malformed.LOW_STATUS: b"HTTP/1.1 099 OK",
    Malformed.SHORT_STATUS: b"HTTP/1.1 20 OK",
    Malformed.HIGH_STATUS: b"HTTP/1.1 600 Odd",
    Malformed.SWITCHED: b"HTTP/1.1 101 Switching Protocols",
    Malformed.NO_VERSION: b"HTTP 200 OK",
    Malformed.OTHER_VERSION: b"HTTP/3.7 200 OK",
}

_FIELD_LINES = {
    Malformed.BLANK_NAME: b"X Flawed: a",
    Malformed.CONTROL_NAME: b"X\x01Flawed: a",
    Malformed.EMPTY_NAME: b": a",
    Malformed.CONTROL_VALUE: f"{FLAWED_FIELD}: a\x01b".encode(),
    Malformed.BARE_RETURN: f"{FLAWED_FIELD}: a\rX-More: b".encode(),
    Malformed.FOLDED: f"{FLAWED_FIELD}: a\r\n b".encode(),
    Malformed.NO_COLON: FLAWED_FIELD.encode(),
    Malformed.LENGTH_AND_CHUNKS: b"Transfer-Encoding: chunked",
    Malformed.OTHER_CODING: b"Transfer-Encoding: gzip",
}

NO_HTTP_HEADS = frozenset(
    {*_STATUS_LINES, *_FIELD_LINES, Malformed.SIGNED_LENGTH, Malformed.TWO_LENGTHS}
)
"""Those whose head is no HTTP, or tells not where the body ends; all else is sound."""

_NUMBER_HEADERS = (
    "Confidence",
    "Instance-Load",
    "Server-Limit",
    "Server-Brittle",
    "Retry-After",
    "Keep-Alive",
)

_NOT_RUN_WORDS = {
    Malformed.ZERO_NOT_RUN: (503, "0"),
    Malformed.EMPTY_NOT_RUN: (503, ""),
    Malformed.FAILED_NOT_RUN: (500, "1"),
}


def malformed_answer(kind: Malformed, seen: SeenRequest, events: int) -> bytes:
    """Return the bytes of an answer to a request; a stream has so many events."""
    if kind is Malformed.NO_HTTP:
        return b"\x16\x03\x01\x02\x00\xff\xfe HTTP?\r\n\r\n"
    if kind in _NOT_RUN_WORDS:
        status, word = _NOT_RUN_WORDS[kind]
        return _head(seen, status, 0, {"Not-Executed": word})
    body = _body(kind, seen, events)
    headers = _headers(kind)
    if kind is Malformed.BAD_CHUNK:
        head = _head(seen, 200, None, {"Transfer-Encoding": "chunked"})
        return head + chunk(body) + b"zz\r\n"
    if kind in NO_HTTP_HEADS:
        return _spoil_head(kind, _head(seen, 200, len(body), headers)) + body
    status = 299 if kind is Malformed.ODD_STATUS else 200
    if kind is Malformed.ODD_STATUS and "model" not in seen.headers:
        status = 999
    length = len(body) + (9 if kind is Malformed.SHORT else 0)
    head = _head(seen, status, length, headers)
    if kind is Malformed.NO_TEXT:
        head = head.replace(b"@", b"\xff")
    return head + body


def _spoil_head(kind: Malformed, head: bytes) -> bytes:
    """Return a sound head with what is wrong with it."""
    status_line, _, fields = head.partition(b"\r\n")
    if kind is Malformed.SIGNED_LENGTH:
        fields = fields.replace(b"Content-Length: ", b"Content-Length: +")
    lines = [_STATUS_LINES.get(kind, status_line)]
    if kind in _FIELD_LINES:
        lines.append(_FIELD_LINES[kind])
    return b"\r\n".join([*lines, fields])


def _headers(kind: Malformed) -> dict[str, str]:
    if kind is Malformed.LONG_NUMBERS:
        return dict.fromkeys(_NUMBER_HEADERS, NINES)
    if kind is Malformed.NO_NUMBERS:
        words = ("nan", "-inf,1e400,nan", "1e400", "-1", "Tomorrow", "timeout=nan")
        return dict(zip(_NUMBER_HEADERS, words, strict=True))
    if kind is Malformed.NO_TEXT:
        return dict.fromkeys(("Confidence", "Server-Leaving", "X-Other"), "@")
    if kind is Malformed.TWO_LENGTHS:
        return {"content-length": "3"}
    if kind is Malformed.ANSWERED_NOT_RUN:
        return {"Not-Executed": "1"}
    return {}


def _head(
    seen: SeenRequest, status: int, length: int | None, extra: t.Mapping[str, str]
) -> bytes:
    headers = dict(extra)
    if "model" in seen.headers and status < 300:
        headers["Content-Type"] = "text/event-stream"
    tells_load = "Instance-Load" not in headers
    sealed = status < 300
    return write_head(
        status,
        seen.request,
        length,
        sealed=sealed,
        tells_load=tells_load,
        extra=headers,
    )


def _body(kind: Malformed, seen: SeenRequest, events: int) -> bytes:
    if "model" not in seen.headers:
        return f"answer to {seen.request} by nobody".encode()
    begin = int(seen.headers.get("last-event-id", "0")) + 1
    numbers = [str(number) for number in range(begin, events + 1)]
    if kind is Malformed.LONG_ID and numbers:
        numbers[-1] = NINES
    if kind is Malformed.FALLING_IDS:
        numbers.reverse()
    texts = [f"id: {number}\ndata: {seen.request}/{number}\n\n" for number in numbers]
    return "".join(texts).encode()
