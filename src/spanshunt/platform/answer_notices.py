"""What workers say of themselves in the headers of their answers, decoded.

Each function takes all values of a header, as an answer may have it twice. An error
names the header, what was found and what is allowed.
"""

import datetime
import re
import typing as t
from email.utils import parsedate_to_datetime

from result import Err
from result import Ok
from result import Result

from ..ids import Millis
from .wire import BRITTLE
from .wire import FLAW_SHOWN
from .wire import LEAVING
from .wire import LOAD
from .wire import RATE_LIMIT
from .wire import RETRY_AFTER

REST_MOST_MS = 3_600_000
"""Longest rest that a worker gets at one word, in ms: an hour is longer than any lack
of room lasts, and a worker that asks for a year means nothing by it."""

MAX_SLOWDOWN = 100.0
"""Longest time of work that a worker may report, as a multiple of its usual one."""

_DECIMAL = re.compile(r"\d{1,12}(\.\d{0,20})?", re.ASCII)


def decode_rate(texts: t.Sequence[str]) -> Result[float | None, str]:
    """Decode the limits that an answer names: none, or one decimal number."""
    if not texts:
        return Ok(None)
    text = texts[0].strip()
    if len(texts) == 1 and _DECIMAL.fullmatch(text):
        return Ok(float(text))
    found = ", ".join(texts)[:FLAW_SHOWN]
    return Err(f"{RATE_LIMIT} is {found!r}; one decimal number is allowed")


def decode_brittle(texts: t.Sequence[str]) -> Result[float | None, str]:
    """Decode how many rejections a second a brittle worker tolerates.

    The result is None without the header; the value is one number above 0.
    """
    if not texts:
        return Ok(None)
    text = texts[0].strip()
    if len(texts) == 1 and _DECIMAL.fullmatch(text) and float(text) > 0.0:
        return Ok(float(text))
    found = ", ".join(texts)[:FLAW_SHOWN]
    return Err(f"{BRITTLE} is {found!r}; one decimal number above 0 is allowed")


def decode_slowdown(texts: t.Sequence[str]) -> Result[float | None, str]:
    """Decode the figures of a load report after its counts: none, or the slowdown.

    The figure is a percentage of the time that work usually takes at the worker. The
    result is that time as a multiple.
    """
    if not texts:
        return Ok(None)
    text = texts[0].strip()
    if len(texts) == 1 and _DECIMAL.fullmatch(text):
        slowdown = float(text) / 100
        if 0.0 < slowdown <= MAX_SLOWDOWN:
            return Ok(slowdown)
    found = ",".join(texts)[:FLAW_SHOWN]
    allowed = f"one number above 0 and up to {MAX_SLOWDOWN * 100:.0f} is allowed"
    return Err(f"{LOAD} ends with {found!r}; {allowed}")


def decode_leaving(texts: t.Sequence[str]) -> Result[bool, str]:
    """Decode whether an answer says that its worker leaves."""
    if not texts:
        return Ok(False)
    if len(texts) == 1 and texts[0].strip() == "1":
        return Ok(True)
    found = ", ".join(texts)[:FLAW_SHOWN]
    return Err(f"{LEAVING} is {found!r}; 1 or no such header is allowed")


def decode_rest(
    texts: t.Sequence[str], dates: t.Sequence[str]
) -> Result[Millis | None, str]:
    """Decode for how long a worker that turned a request away wants nothing, in ms.

    A time of day is taken against the answer's own `dates`: clocks differ.
    """
    if not texts:
        return Ok(None)
    text = texts[0].strip()
    if len(texts) == 1 and _DECIMAL.fullmatch(text):
        return Ok(Millis(min(REST_MOST_MS, round(float(text) * 1_000))))
    until, said = _time_of_day(texts), _time_of_day(dates)
    if until is not None and said is not None:
        seconds = (until - said).total_seconds()
        return Ok(Millis(max(0, min(REST_MOST_MS, round(seconds * 1_000)))))
    found = ", ".join(texts)[:FLAW_SHOWN]
    return Err(f"{RETRY_AFTER} is {found!r}; seconds or a time of day are allowed")


def _time_of_day(texts: t.Sequence[str]) -> datetime.datetime | None:
    """Decode the one time of day of a header; None for anything else."""
    try:
        found = parsedate_to_datetime(texts[0]) if len(texts) == 1 else None
    except ValueError:
        return None
    return found if found is not None and found.tzinfo is not None else None
