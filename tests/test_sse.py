"""The check of event streams: whole, own, and split anywhere."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from spanshunt.sse import EventStream
from spanshunt.sse import Flaw
from spanshunt.sse import check_whole
from spanshunt.sse import text_of_stream

USAGE = b'"usage":{"prompt_tokens":3,"completion_tokens":4}'
DONE = b"data: [DONE]\n\n"


def event(text: str, answer: str = "a1") -> bytes:
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    choices = f'[{{"delta":{{"content":"{escaped}"}}}}]'
    return f'data: {{"id":"{answer}","choices":{choices}}}\n\n'.encode()


def whole(texts: list[str]) -> bytes:
    tail = b'data: {"id":"a1","choices":[],' + USAGE + b"}\n\n"
    return b"".join(map(event, texts)) + tail + DONE


def run(blocks: list[bytes], pass_usage: bool = False):
    stream = EventStream(pass_usage=pass_usage)
    out = []
    for block in blocks:
        fed = stream.feed(block)
        if fed.is_err():
            return fed.err_value, b"".join(out)
        out.append(fed.ok_value)
    return stream.finish(), b"".join(out)


class TestWhole:
    @given(
        st.lists(st.text(alphabet='ab"\\\n: {}', max_size=8), min_size=1, max_size=6),
        st.lists(st.integers(1, 40), max_size=40),
    )
    def test_any_split_gives_the_same_bytes(self, texts: list[str], cuts: list[int]):
        raw = whole(texts)
        blocks, at = [], 0
        for cut in cuts:
            blocks.append(raw[at : at + cut])
            at += cut
        blocks.append(raw[at:])
        end, out = run([block for block in blocks if block])
        assert end == Ok(DONE)
        assert out == b"".join(map(event, texts))
        assert text_of_stream([out]) == "".join(texts)

    def test_usage_is_read_and_passed_only_on_demand(self):
        raw = whole(["x"])
        end, _ = run([raw], pass_usage=True)
        assert USAGE in end.ok_value
        end, out = run([raw])
        assert USAGE not in end.ok_value + out


class TestFlaws:
    @pytest.mark.parametrize(
        ("raw", "flaw"),
        [
            (event("x") + event("y", "b2"), Flaw.FOREIGN),
            (event("x") + b"nonsense\n\n", Flaw.MALFORMED),
            (whole(["x"]) + event("y"), Flaw.AFTER_END),
            (b"x" * 1_100_000, Flaw.TOO_LONG),
        ],
    )
    def test_flaw_is_found(self, raw: bytes, flaw: Flaw):
        assert run([raw])[0] is flaw

    @given(st.integers(0, len(whole(["x", "y"])) - 1))
    def test_truncated_anywhere_is_not_whole(self, size: int):
        end, _ = run([whole(["x", "y"])[:size]])
        assert isinstance(end, Flaw) or end.is_err()

    @given(st.binary(max_size=300))
    def test_any_bytes_give_a_value(self, raw: bytes):
        run([raw])
        check_whole(raw)
