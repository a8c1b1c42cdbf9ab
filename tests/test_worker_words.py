"""Each header of workers' answers is either read or ignored for a stated reason.

The headers of the protocol are listed here, so that a header which the adapter ignores
by mistake is found.
"""

import pathlib
import re

import pytest

from spanshunt.platform import wire

ADAPTER = pathlib.Path(wire.__file__).parent

READ = {
    "Attempt-Id": "REQUEST_ID",
    "Response-Seal": "SEAL",
    "Not-Executed": "NOT_RUN",
    "Instance-Load": "LOAD",
    "Confidence": "SURENESS",
    "Server-Limit": "RATE_LIMIT",
    "Server-Leaving": "LEAVING",
    "Server-Brittle": "BRITTLE",
    "Retry-After": "RETRY_AFTER",
}
"""Headers that the adapter reads, and the names of their constants."""

READ_BY_LIBRARY = {"Connection", "Content-Length", "Transfer-Encoding"}
"""Headers that the HTTP library reads."""

READ_AS_PLAIN_HTTP = {"Content-Encoding", "Date"}
"""Standard HTTP headers that the adapter reads by their literal names."""

IGNORED = {
    "Keep-Alive": "connections are kept for less than workers keep theirs",
    "Weight-Versions": "versions are known from the list; callers get the header",
    "Instance-Id": "sent in answers to health checks, which are not made",
    "Cold-Ms": "sent in answers to health checks; list entries contain it",
}
"""Headers that are not read, and why."""


# Guards against headers that the adapter ignores by mistake.
@pytest.mark.parametrize(("header", "name"), READ.items())
def test_header_is_read_from_answers(header, name):
    assert getattr(wire, name) == header
    source = (ADAPTER / "workers.py").read_text()
    assert re.search(rf"wire\.{name}\b", source)


@pytest.mark.parametrize("header", sorted(READ_AS_PLAIN_HTTP))
def test_standard_header_is_read_from_answers(header):
    assert f'"{header}"' in (ADAPTER / "workers.py").read_text()


def test_no_header_is_both_read_and_ignored():
    read = READ.keys() | READ_BY_LIBRARY | READ_AS_PLAIN_HTTP
    assert not read & IGNORED.keys()
    assert all(IGNORED.values())


def test_adapter_reads_only_listed_headers():
    source = (ADAPTER / "workers.py").read_text()
    names = set(re.findall(r"headers\.get(?:all)?\(wire\.(\w+)", source))
    names |= set(re.findall(r"wire\.(\w+) (?:not )?in (?:resp\.)?headers", source))
    assert names == set(READ.values())
