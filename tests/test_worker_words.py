"""Each word of a worker at the head of an answer is read, or not for a reason.

The protocol's words stand here as a list, so that one which the adapter drops without a
word shows.
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
    "Retry-After": "RETRY_AFTER",
}
"""Words that the adapter reads, and its names for them."""

BY_THE_LIBRARY = {"Connection", "Content-Length", "Transfer-Encoding"}
"""Words that the HTTP library reads."""

READ_AS_PLAIN_HTTP = {"Content-Encoding", "Date"}
"""Words of HTTP itself that the adapter reads under their own names."""

NOT_USED = {
    "Keep-Alive": "connections are kept for less than workers keep theirs",
    "Weight-Versions": "versions are known from the list; callers get the header",
    "Instance-Id": "stands in answers to health checks, which are not made",
    "Cold-Ms": "stands in answers to health checks; entries tell the same",
}
"""Words that nothing reads, and why."""


# Guards against words of workers that the adapter drops without anybody's knowing.
@pytest.mark.parametrize(("word", "name"), READ.items())
def test_word_is_read_from_answers(word, name):
    assert getattr(wire, name) == word
    source = (ADAPTER / "workers.py").read_text()
    assert re.search(rf"wire\.{name}\b", source)


@pytest.mark.parametrize("word", sorted(READ_AS_PLAIN_HTTP))
def test_word_of_http_is_read_from_answers(word):
    assert f'"{word}"' in (ADAPTER / "workers.py").read_text()


def test_no_word_is_both_read_and_not_used():
    read = READ.keys() | BY_THE_LIBRARY | READ_AS_PLAIN_HTTP
    assert not read & NOT_USED.keys()
    assert all(NOT_USED.values())


def test_adapter_reads_no_word_that_is_not_listed():
    source = (ADAPTER / "workers.py").read_text()
    names = set(re.findall(r"headers\.get(?:all)?\(wire\.(\w+)", source))
    names |= set(re.findall(r"wire\.(\w+) (?:not )?in (?:resp\.)?headers", source))
    assert names == set(READ.values())
