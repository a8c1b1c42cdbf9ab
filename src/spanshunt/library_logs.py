"""Log lines of libraries, in the project's own log: one line each, and few a second.

The HTTP server writes a traceback for each request that it can't read, so a caller
without a key could fill the log.
"""

import logging
import sys
import time
import types
import typing as t

from .logs import log_event
from .settling import Counter

LINES_A_SECOND = 5
"""Lines of libraries that are logged in a second; the others are counted."""

MAX_CHARS = 200
"""Characters of a message, or of an exception's text, that a line shows at most."""

SERVER_LOGGER, MALFORMED_START = "aiohttp.server", "Error handling request"
"""Who logs a request that could not be read, and how that line begins."""


class LibraryLines(logging.Handler):
    """Puts records of the standard library's logging into the project's log.

    Parameters
    ----------
    count : callable
        Increments a counter.
    now_s : callable
        Returns the time, in s.
    """

    def __init__(
        self, count: Counter, now_s: t.Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__(logging.INFO)
        self._count = count
        self._now_s = now_s
        self._second = 0
        self._logged = 0
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record, or count it if there were many within this second."""
        malformed = _is_malformed_request(record)
        self._count("requests_malformed" if malformed else "library_lines")
        self._turn_second()
        if self._logged >= LINES_A_SECOND:
            self._left_out += 1
            return
        self._logged += 1
        level = "INFO" if malformed else _level_of(record)
        message = "malformed request" if malformed else "library"
        log_event(level, message, **_fields(record))

    def _turn_second(self) -> None:
        """Begin a new second, and tell how many lines the last one left out."""
        second = int(self._now_s())
        if second == self._second:
            return
        self._second, self._logged = second, 0
        if self._left_out:
            log_event("WARNING", "library lines left out", lines=self._left_out)
            self._left_out = 0


def route_library_logs(count: Counter) -> None:
    """Send all that libraries log, and exceptions that no code takes, to our log."""
    logging.basicConfig(handlers=[LibraryLines(count)], level=logging.INFO, force=True)
    logging.captureWarnings(True)
    sys.unraisablehook = _log_unraisable


def _log_unraisable(found: "sys.UnraisableHookArgs") -> None:
    exc = found.exc_value
    info = (type(exc), exc, exc.__traceback__) if exc is not None else None
    logging.getLogger("python").error("%s", found.err_msg or "ignored", exc_info=info)


def _is_malformed_request(record: logging.LogRecord) -> bool:
    """Return whether a record tells of a request that could not be read."""
    return record.name == SERVER_LOGGER and str(record.msg).startswith(MALFORMED_START)


def _level_of(record: logging.LogRecord) -> str:
    return "ERROR" if record.levelno >= logging.ERROR else "WARNING"


def _fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the fields of a line: no traceback, but where an exception was raised."""
    fields: dict[str, object] = {
        "logger": record.name,
        "detail": _one_line(record.getMessage()),
    }
    exc = record.exc_info[1] if record.exc_info else None
    if exc is not None:
        fields["error"] = type(exc).__name__
        fields["error_detail"] = _one_line(str(exc))
        fields["where"] = _last_place(exc.__traceback__)
    return fields


def _one_line(text: str) -> str:
    """Return the first characters of a text, without line breaks."""
    return " ".join(text[:MAX_CHARS].split())


def _last_place(trace: types.TracebackType | None) -> str:
    """Return the file and line that an exception was raised at."""
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    name = trace.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{name}:{trace.tb_lineno}"
