"""Validation of event streams: complete, of this answer, and split at any byte."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from spanshunt.sse import EventStream
from spanshunt.sse import Flaw
from spanshunt.sse import check_whole_answer
from spanshunt.sse import text_of_stream

USAGE = b'"usage":{"prompt_tokens":3,"completion_tokens":4}'
DONE = b"data: [DONE]\n\n"


def event(text: str, answer: str = "a1") -> bytes:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    choices = f'[{{"delta":{{"content":"{escaped}"}}}}]'
    return f'data: {{"id":"{answer}","choices":{choices}}}\n\n'.encode()


def complete_stream(texts: list[str]) -> bytes:
    tail = b'data: {"id":"a1","choices":[],' + USAGE + b"}\n\n"
    return b"".join(map(event, texts)) + tail + DONE


def validate(blocks: list[bytes], pass_usage: bool = False):
    stream = EventStream(pass_usage=pass_usage)
    out = []
    for block in blocks:
        checked = stream.feed(block)
        if checked.is_err():
            return checked.err_value, b"".join(out)
        out.append(checked.ok_value)
    return stream.finish(), b"".join(out)


class TestCompleteStreams:
    @given(
        st.lists(st.text(alphabet='ab"\\\n: {}', max_size=8), min_size=1, max_size=6),
        st.lists(st.integers(1, 40), max_size=40),
    )
    def test_any_split_gives_the_same_bytes(self, texts: list[str], sizes: list[int]):
        raw = complete_stream(texts)
        blocks, offset = [], 0
        for size in sizes:
            blocks.append(raw[offset : offset + size])
            offset += size
        blocks.append(raw[offset:])
        end, out = validate([block for block in blocks if block])
        assert end == Ok(DONE)
        assert out == b"".join(map(event, texts))
        assert text_of_stream([out]) == "".join(texts)

    def test_usage_is_read_and_passed_on_only_on_request(self):
        raw = complete_stream(["x"])
        end, _ = validate([raw], pass_usage=True)
        assert USAGE in end.ok_value
        end, out = validate([raw])
        assert USAGE not in end.ok_value + out


class TestFlaws:
    @pytest.mark.parametrize(
        ("raw", "flaw"),
        [
            (event("x") + event("y", "b2"), Flaw.OTHER_ANSWER),
            (event("x") + b"nonsense\n\n", Flaw.MALFORMED),
            (complete_stream(["x"]) + event("y"), Flaw.AFTER_END),
            (b"x" * 1_100_000, Flaw.TOO_LONG),
        ],
    )
    def test_flaw_is_found(self, raw: bytes, flaw: Flaw):
        assert validate([raw])[0] is flaw

    @given(st.integers(0, len(complete_stream(["x", "y"])) - 1))
    def test_stream_truncated_anywhere_is_invalid(self, size: int):
        end, _ = validate([complete_stream(["x", "y"])[:size]])
        assert isinstance(end, Flaw) or end.is_err()

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_raise_nothing(self, raw: bytes):
        validate([raw])
        check_whole_answer(raw)
