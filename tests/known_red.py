"""Tests that fail for a real fault which is not mended yet: ``KNOWN-RED.txt``.

One line each: the test's id, the cause, the open issue, divided by `` | ``. A run
passes over these alone and prints them. A test is listed once, shortly, and only while
an issue is open for it.
"""

import pathlib
import re
import typing as t

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

CAUSE_MOST = 320
"""Longest cause, in characters: what was seen, with command and seed."""

ISSUE = re.compile(r"issue \d+")


class KnownRed(t.NamedTuple):
    """A test that is known to fail, why, and the issue that is open for it."""

    test: str
    cause: str
    issue: str


def read_known_red(path: pathlib.Path = PATH) -> list[KnownRed]:
    """Return the listed tests; none where there is no list."""
    if not path.exists():
        return []
    found = []
    for line in path.read_text().splitlines():
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != len(KnownRed._fields) or not all(parts):
            raise ValueError(f"{path.name}: {line!r}: allowed is TEST | CAUSE | ISSUE")
        red = KnownRed(*parts)
        if not ISSUE.fullmatch(red.issue):
            raise ValueError(f"{path.name}: {red.issue!r}: allowed is issue NUMBER")
        if len(red.cause) > CAUSE_MOST:
            allowed = f"allowed are {CAUSE_MOST} characters"
            raise ValueError(f"{path.name}: {red.test}: {len(red.cause)}, {allowed}")
        if any(red.test == other.test for other in found):
            raise ValueError(f"{path.name}: {red.test}: listed twice")
        found.append(red)
    return found
