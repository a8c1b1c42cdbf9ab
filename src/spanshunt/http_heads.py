"""Grammar of the heads of HTTP answers, by RFC 9112 and RFC 9110.

The HTTP library reads answers leniently: it takes status lines that are none and fields
whose names or values no message may have. What is no HTTP is found here, before the
library reads it, so that whatever works on an answer works on one that was checked.
"""

import re
import typing as t

LOWEST_STATUS, HIGHEST_STATUS = 100, 599
"""The statuses that HTTP has (RFC 9110, 15); others are invalid."""

SWITCHED = 101
"""Status of an answer that changes the protocol, which no request here asks for."""

MAX_HEAD_BYTES = 262_144
"""Maximum length of a head in bytes; the library's own limits on lines and their number
are far below."""

SHOWN_CHARS = 80
"""Characters of a line that a flaw shows at most."""

_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([0-9]{3}) [\t \x21-\x7e\x80-\xff]*")
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t \x21-\x7e\x80-\xff]*")
_LENGTH = re.compile(rb"[0-9]+")


class HeadChecker:
    """Checks the heads of the answers to one request as their bytes come in.

    Interim answers (1xx) are checked as the one that follows them is.
    """

    def __init__(self) -> None:
        self._head = bytearray()
        self._complete = False

    def feed(self, data: bytes) -> str:
        """Take the next bytes; return what is wrong with a head, empty for nothing.

        Bytes behind the head of the final answer are not looked at.
        """
        if self._complete:
            return ""
        # The end of a head may have begun in the bytes before.
        start = max(0, len(self._head) - 3)
        self._head += data
        while not self._complete:
            end = self._head.find(b"\r\n\r\n", start)
            if end < 0:
                return self._flaw_so_far()
            lines = bytes(self._head[:end]).split(b"\r\n")
            flaw = head_flaw(lines)
            if flaw:
                return flaw
            del self._head[: end + 4]
            start = 0
            self._complete = not lines[0].split(b" ")[1].startswith(b"1")
        self._head.clear()
        return ""

    def _flaw_so_far(self) -> str:
        """Return what is wrong with a head that is not complete yet."""
        if len(self._head) > MAX_HEAD_BYTES:
            return f"head of over {MAX_HEAD_BYTES} bytes"
        end = self._head.find(b"\r\n")
        return status_line_flaw(bytes(self._head[:end])) if end >= 0 else ""


def head_flaw(lines: t.Sequence[bytes]) -> str:
    """Return what is wrong with a complete head, empty for nothing.

    `lines` are its status line and its fields, without line ends.
    """
    flaw = status_line_flaw(lines[0])
    if flaw:
        return flaw
    fields: list[tuple[bytes, bytes]] = []
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon:
            return f"field line {_shown(line)} without a colon"
        fields.append((name, value.strip(b" \t")))
    return fields_flaw(fields)


def status_line_flaw(line: bytes) -> str:
    """Return what is wrong with a status line, empty for nothing."""
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        return f"status line {_shown(line)} is none of HTTP/1"
    return status_flaw(int(found[1]))


def status_flaw(status: int) -> str:
    """Return what is wrong with a status, empty for nothing."""
    if not LOWEST_STATUS <= status <= HIGHEST_STATUS:
        return (
            f"status {status} is none of HTTP; "
            f"{LOWEST_STATUS} to {HIGHEST_STATUS} is allowed"
        )
    if status == SWITCHED:
        return f"status {status} changes the protocol unasked"
    return ""


def fields_flaw(fields: t.Iterable[tuple[bytes, bytes]]) -> str:
    """Return what is wrong with all fields of a head, empty for nothing."""
    lengths: set[bytes] = set()
    codings: list[bytes] = []
    for name, value in fields:
        flaw = field_flaw(name, value)
        if flaw:
            return flaw
        if name.lower() == b"content-length":
            lengths.add(value)
        elif name.lower() == b"transfer-encoding":
            codings.append(value.lower())
    return _framing_flaw(lengths, codings)


def field_flaw(name: bytes, value: bytes) -> str:
    """Return what is wrong with one field, empty for nothing."""
    if not _NAME.fullmatch(name):
        return f"field name {_shown(name)} is no token"
    if not _VALUE.fullmatch(value):
        return f"field {_shown(name)} holds a control byte"
    return ""


def _framing_flaw(lengths: set[bytes], codings: list[bytes]) -> str:
    """Return what makes it unclear where a body ends (RFC 9112, 6.3)."""
    if codings and codings != [b"chunked"]:
        return f"Transfer-Encoding {_shown(b', '.join(codings))}; chunked is allowed"
    if codings and lengths:
        return "both Content-Length and Transfer-Encoding"
    if len(lengths) > 1:
        return "several lengths"
    if any(not _LENGTH.fullmatch(length) for length in lengths):
        return f"Content-Length {_shown(*lengths)} is no number"
    return ""


def _shown(text: bytes) -> str:
    return repr(text[:SHOWN_CHARS].decode("latin-1"))
