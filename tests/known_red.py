"""Tests that fail for a real fault which is not mended yet: ``KNOWN-RED.txt``.

One line each: the test's id, the cause, the open issue, divided by `` | ``. A run
passes over these alone and prints them.
"""

import pathlib
import typing as t

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

MOST = 3
"""Tests that may be listed at once."""


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
        found.append(KnownRed(*parts))
    if len(found) > MOST:
        raise ValueError(f"{path.name}: {len(found)} lines, allowed are {MOST}")
    return found
